package sock

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against an abort that the peer sees as an orderly close, and against a panic on an already closed connection.
func TestAbortResets(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer Discard(l)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer Discard(c)
	d, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	Abort(d)
	Abort(d)
	if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read after abort: %v, want a reset", err)
	}
}

package sock

import (
	"net"
	"testing"
)

// Guards against open connections reported as closed, closed ones reported as open, and data consumed by the check.
func TestClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = near.Close() }()
	if PeerClosed(near) {
		t.Error("an open connection is reported as closed")
	}
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if PeerClosed(near) {
		t.Error("a connection with unread data is reported as closed")
	}
	b := make([]byte, 1)
	if n, err := near.Read(b); n != 1 || err != nil || b[0] != 'x' {
		t.Errorf("Read() = %d, %v after PeerClosed, want the byte that was sent", n, err)
	}
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	// The read returns once the close has arrived, so that the next check cannot run too early.
	if _, err := near.Read(b); err == nil {
		t.Fatal("Read() of a closed connection succeeded")
	}
	if !PeerClosed(near) {
		t.Error("a closed connection is reported as open")
	}
}

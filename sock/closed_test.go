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
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if PeerClosed(conn) {
		t.Error("an open connection is reported as closed")
	}
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if PeerClosed(conn) {
		t.Error("a connection with unread data is reported as closed")
	}
	b := make([]byte, 1)
	if n, err := conn.Read(b); n != 1 || err != nil || b[0] != 'x' {
		t.Errorf("Read() = %d, %v after PeerClosed, want the byte that was sent", n, err)
	}
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	// The read returns once the close has arrived, so that the next check cannot run too early.
	if _, err := conn.Read(b); err == nil {
		t.Fatal("Read() of a closed connection succeeded")
	}
	if !PeerClosed(conn) {
		t.Error("a closed connection is reported as open")
	}
}

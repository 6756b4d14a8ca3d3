package proxy

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against CloseIdle closing a connection whose first request is on the way, and keeping one that never sends any.
func TestCloseIdleKeepsFreshConnections(t *testing.T) {
	s, address := startServer(t, echo)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	for limit := time.Now().Add(time.Second); s.OpenConnections() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the connection is not accepted")
		}
	}
	s.Drain()
	s.CloseIdle()
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if got := responsesOf(t, string(b)); err != nil || got != "200 GET /a " {
		t.Errorf("got %q and error %v, want the answer of a request sent after CloseIdle", got, err)
	}
	silent, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	time.Sleep(firstRequestTime + 50*time.Millisecond)
	s.CloseIdle()
	for limit := time.Now().Add(time.Second); s.OpenConnections() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("a connection without any request stays open")
		}
	}
}

// age makes all connections older.
func (s *Server) age(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.opened = c.opened.Add(-by)
	}
}

package proxy

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// Guards against a stop that blames or cuts a caller whose request is still being read at the time of the last answers.
func TestRequestUnreadAtEnd(t *testing.T) {
	s, address := startServer(t, echo)
	s.Drain()
	s.EndReading(time.Now().Add(50 * time.Millisecond))
	got := sendRaw(t, address, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na")
	if !strings.HasPrefix(got, "HTTP/1.1 503") || !strings.Contains(got, "Retry-After: 0.05") || !strings.Contains(got, "Connection: close") {
		t.Errorf("got %q, want a refusal with 503 that closes the connection", got)
	}
}

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

// Guards against estimates that miss what a route's requests need, so that a stopping VM takes or refuses the wrong ones.
func TestRouteDurations(t *testing.T) {
	var d routeDurations
	call, stream := &teaselstream.Route{Name: "call", Objective: 400 * time.Millisecond}, &teaselstream.Route{Name: "stream", Stream: true, Objective: 400 * time.Millisecond}
	if mean, deviation := d.of(call); mean != call.Objective || deviation != mean/2 {
		t.Errorf("a call without any sample: %s, %s", mean, deviation)
	}
	if mean, _ := d.of(stream); mean != initialMean {
		t.Errorf("a stream without any sample: %s", mean)
	}
	for i := range 200 {
		d.add(call, time.Duration(1+i%2)*time.Second)
	}
	mean, deviation := d.of(call)
	if (mean-1500*time.Millisecond).Abs() > 100*time.Millisecond || (deviation-500*time.Millisecond).Abs() > 50*time.Millisecond {
		t.Errorf("calls of 1 s and 2 s in turn: mean %s, deviation %s", mean, deviation)
	}
	if mean, _ := d.of(stream); mean != initialMean {
		t.Errorf("calls have changed the mean of streams: %s", mean)
	}
}

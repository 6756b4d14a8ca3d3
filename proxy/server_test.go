package proxy

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// startServer starts a server with the given handler function and returns its address.
func startServer(t *testing.T, serve func(*Exchange)) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Serve: serve, Log: slog.New(slog.DiscardHandler), Limits: func() teaselstream.EdgeLimits {
		return teaselstream.EdgeLimits{MaxHeader: 1024, MaxBody: 2048, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 2 * time.Second}
	}}
	go func() {
		if err := s.Run(l); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	})
	return s, l.Addr().String()
}

// echo responds with the method, target and body of the request.
func echo(x *Exchange) {
	if err := x.Respond(http.StatusOK, http.Header{}, fmt.Appendf(nil, "%s %s %s", x.Method, x.Target, x.Body)); err != nil {
		x.Abort()
	}
}

// sendRaw writes raw bytes and reads until the connection ends or 700 ms have passed.
func sendRaw(t *testing.T, address, raw string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(700 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	// On a keep-alive connection the deadline ends the read, so its error is expected.
	b, _ := io.ReadAll(c)
	return string(b)
}

// Guards against malformed input that gets a wrong status, blocks the server, or is parsed as another request.
func TestRawRequests(t *testing.T) {
	_, address := startServer(t, echo)
	for _, x := range []struct{ name, raw, want string }{
		{"plain", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "200 GET /a "},
		{"two on one connection", "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", "200 GET /a |200 GET /b "},
		{"body by length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "200 POST /a abc"},
		{"body in chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "200 POST /a abc"},
		{"malformed line", "GET\r\n\r\n", "400 "},
		{"no host", "GET /a HTTP/1.1\r\n\r\n", "400 "},
		{"two lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400 "},
		{"long header", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", "431 "},
		{"long body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n", "413 "},
		{"long body in chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nc00\r\n" + strings.Repeat("x", 0xc00) + "\r\n0\r\n\r\n", "413 "},
		{"slow header", "GET /a HTTP/1.1\r\nHost:", "408 "},
		{"caller closes", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "200 GET /a "},
		{"old protocol", "GET /a HTTP/1.0\r\n\r\n", "200 GET /a "},
	} {
		if got := responsesOf(t, sendRaw(t, address, x.raw)); got != x.want {
			t.Errorf("%s: got %q, want %q", x.name, got, x.want)
		}
	}
}

// responsesOf returns "STATUS BODY" of each response in a byte stream.
func responsesOf(t *testing.T, raw string) string {
	t.Helper()
	var out []string
	r := bufio.NewReader(strings.NewReader(raw))
	for {
		p, err := http.ReadResponse(r, nil)
		if err != nil {
			return strings.Join(out, "|")
		}
		b, err := io.ReadAll(p.Body)
		if err != nil {
			t.Error(err)
		}
		out = append(out, fmt.Sprintf("%d %s", p.StatusCode, b))
	}
}

// Guards against a caller's disconnect that is not reported to the handler of its request.
func TestCallerLeaves(t *testing.T) {
	gone := make(chan bool, 1)
	_, address := startServer(t, func(x *Exchange) {
		select {
		case <-x.Disconnected:
			gone <- true
		case <-time.After(2 * time.Second):
			gone <- false
		}
		x.Abort()
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if !<-gone {
		t.Error("the caller's disconnect was not reported")
	}
}

// Guards against an aborted response that looks complete to the caller, with and without chunked encoding.
func TestCutAnswer(t *testing.T) {
	_, address := startServer(t, func(x *Exchange) {
		if x.StartResponse(http.StatusOK, http.Header{}) == nil && x.Write([]byte("part")) == nil {
			x.Abort()
		}
	})
	raw := sendRaw(t, address, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	p, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(p.Body); err == nil {
		t.Error("an aborted chunked response looks complete")
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET /a HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err == nil {
		t.Error("an aborted response without chunks ends like a complete one")
	}
}

// Guards against connections that stay open after Drain because their response started before it.
func TestDrainEndsConnections(t *testing.T) {
	begun, finish := make(chan bool), make(chan bool)
	s, address := startServer(t, func(x *Exchange) {
		if err := x.StartResponse(http.StatusOK, http.Header{}); err != nil {
			t.Error(err)
		}
		begun <- true
		<-finish
		if err := x.EndResponse(); err != nil {
			t.Error(err)
		}
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-begun
	s.Drain()
	s.CloseIdle()
	finish <- true
	if err := c.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err != nil || responsesOf(t, string(b)) != "200 " {
		t.Errorf("read %q, %v; want the complete response and the end of the connection", b, err)
	}
}

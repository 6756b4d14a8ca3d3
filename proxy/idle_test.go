package proxy

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// startIdle starts a server with the given limits and returns its address.
func startIdle(t *testing.T, limits func() teaselstream.EdgeLimits) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Serve: echo, Log: slog.New(slog.DiscardHandler), Limits: limits}
	go func() { _ = s.Run(l) }()
	return l.Addr().String()
}

// Guards against limits of an earlier configuration that hold for requests on connections that were idle when they changed: a request
// that the configuration in force allows was refused with 413 or 431 (DENIED, CONFIG).
func TestLimitsOfIdleConnection(t *testing.T) {
	var limits atomic.Pointer[teaselstream.EdgeLimits]
	limits.Store(&teaselstream.EdgeLimits{MaxHeader: 128, MaxBody: 8, IdleTimeout: time.Minute})
	address := startIdle(t, func() teaselstream.EdgeLimits { return *limits.Load() })
	for _, first := range []bool{true, false} {
		limits.Store(&teaselstream.EdgeLimits{MaxHeader: 128, MaxBody: 8, IdleTimeout: time.Minute})
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(c)
		if !first {
			if got := wholeAnswer(t, c, r, "/a"); got != "200 GET /a " {
				t.Fatalf("first answer %q", got)
			}
		}
		// The server reads its limits before it waits.
		time.Sleep(20 * time.Millisecond)
		limits.Store(&teaselstream.EdgeLimits{MaxHeader: 1024, MaxBody: 16, IdleTimeout: time.Minute})
		if _, err := io.WriteString(c, "POST /b HTTP/1.1\r\nHost: h\r\nName: "+strings.Repeat("x", 200)+"\r\nContent-Length: 10\r\n\r\n0123456789"); err != nil {
			t.Fatal(err)
		}
		p, err := http.ReadResponse(r, nil)
		if err != nil || p.StatusCode != http.StatusOK {
			t.Errorf("first request on the connection %t: answer %v, %v; want 200", first, p, err)
		}
		_ = c.Close()
	}
}

// Guards against the write deadline of an earlier answer that ends a request for which the caller waits for 100 Continue: it was refused
// with 408 on a connection that was idle for some seconds.
func TestContinueOnIdleConnection(t *testing.T) {
	t.Parallel()
	c, err := net.Dial("tcp", startIdle(t, func() teaselstream.EdgeLimits { return teaselstream.EdgeLimits{} }))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	if got := wholeAnswer(t, c, r, "/a"); got != "200 GET /a " {
		t.Fatalf("first answer %q", got)
	}
	time.Sleep(writeTimeout + 200*time.Millisecond)
	if err := c.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	p, err := http.ReadResponse(r, nil)
	if err != nil || p.StatusCode != http.StatusContinue {
		t.Fatalf("answer %v, %v; want 100", p, err)
	}
	if _, err := io.WriteString(c, "abc"); err != nil {
		t.Fatal(err)
	}
	p, err = http.ReadResponse(r, nil)
	if err != nil || p.StatusCode != http.StatusOK {
		t.Fatalf("answer %v, %v; want 200", p, err)
	}
}

// blockingConn makes the first read wait until it is released, after the bytes have arrived, as a reader that is not scheduled does.
type blockingConn struct {
	net.Conn
	read    chan struct{}
	release chan struct{}
}

func (c *blockingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case c.read <- struct{}{}:
		<-c.release
	default:
	}
	return n, err
}

// Guards against CloseIdle that closes a connection from which a whole request has been read just before (LOST).
func TestCloseIdleAfterRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	server := &Server{Serve: echo, Log: slog.New(slog.DiscardHandler), Limits: func() teaselstream.EdgeLimits { return teaselstream.EdgeLimits{} }}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	n, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	b := &blockingConn{Conn: n, read: make(chan struct{}), release: make(chan struct{})}
	go server.serve(server.register(b))
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-b.read
	server.Drain()
	// CloseIdle spares connections that were accepted just now.
	server.age(firstRequestTime)
	server.CloseIdle()
	close(b.release)
	if err := c.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || p.StatusCode != http.StatusOK {
		t.Errorf("answer %v, %v; want 200", p, err)
	}
}

// Guards against a process that takes itself for idle, and exits, while it reads a request (LOST).
func TestRequestBeingReadIsActive(t *testing.T) {
	s, address := startServer(t, echo)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab"); err != nil {
		t.Fatal(err)
	}
	for limit := time.Now().Add(2 * time.Second); s.ActiveRequests() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("a request that is being read does not count as active")
		}
	}
}

// Guards against a request that has arrived behind another one and is dropped because that one's answer ends during a drain: its caller
// was not told to close (LOST).
func TestDrainAnswersNextRequest(t *testing.T) {
	begun, finish := make(chan bool), make(chan bool)
	s, address := startServer(t, func(x *Exchange) {
		if x.Target != "/first" {
			echo(x)
			return
		}
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
	if _, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-begun
	if _, err := io.WriteString(c, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	// The request has to arrive before the answer ends.
	time.Sleep(20 * time.Millisecond)
	s.Drain()
	s.CloseIdle()
	finish <- true
	if err := c.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if got := responsesOf(t, string(b)); err != nil || got != "200 |200 GET /next " {
		t.Errorf("read %q, %v; want both answers and the end of the connection", got, err)
	}
}

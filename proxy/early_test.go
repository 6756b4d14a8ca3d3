package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/sock"
)

// uploadBytes is more than maxInlineBodyBytes, so that the body is written while the answer is read.
const uploadBytes = 3 * maxInlineBodyBytes

// earlyConn is a connection to a server that answers while the body of the request is being written. As the kernel does, it reports a failure
// of the connection once, to the write; reads return what has arrived and then an end.
type earlyConn struct {
	net.Conn
	text io.Reader
	// failure is the error of the write of the body; nil lets it wait for its deadline.
	failure error
	// late lets the write return only after the end was read.
	late bool

	begun, failed, ended, interrupted        chan struct{}
	beginOnce, failOnce, endOnce, interrupts sync.Once
}

func newEarlyConn(text string, failure error, late bool) *earlyConn {
	return &earlyConn{
		text: strings.NewReader(text), failure: failure, late: late,
		begun: make(chan struct{}), failed: make(chan struct{}), ended: make(chan struct{}), interrupted: make(chan struct{}),
	}
}

// Read implements net.Conn.
func (c *earlyConn) Read(p []byte) (int, error) {
	<-c.begun
	n, err := c.text.Read(p)
	if err == nil {
		return n, nil
	}
	if c.failure != nil && !c.late {
		<-c.failed
	}
	c.endOnce.Do(func() { close(c.ended) })
	return 0, io.EOF
}

// Write implements net.Conn. Only the last write of a request is longer than a write buffer.
func (c *earlyConn) Write(p []byte) (int, error) {
	if len(p) <= readBufferBytes {
		return len(p), nil
	}
	c.beginOnce.Do(func() { close(c.begun) })
	if c.failure == nil {
		<-c.interrupted
		return 0, os.ErrDeadlineExceeded
	}
	if c.late {
		<-c.ended
		// The reader has to see the end before the result of the write.
		time.Sleep(5 * time.Millisecond)
	}
	c.failOnce.Do(func() { close(c.failed) })
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.failure)}
}

// SetWriteDeadline implements net.Conn.
func (c *earlyConn) SetWriteDeadline(at time.Time) error {
	if time.Until(at) <= 0 {
		c.interrupts.Do(func() { close(c.interrupted) })
	}
	return nil
}

// Close implements net.Conn.
func (c *earlyConn) Close() error { return c.SetWriteDeadline(time.Unix(1, 0)) }

// upload sends a request with a long body to a handler and returns the status and body of the answer, or the error that it ends with.
func upload(t *testing.T, h *Handler, path string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer sock.Discard(l)
	limits := func() teaselstream.EdgeLimits { return teaselstream.EdgeLimits{MaxBody: 8 << 20} }
	s := &Server{Serve: h.Serve, Log: slog.New(slog.DiscardHandler), Limits: limits}
	go func() { _ = s.Run(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sock.Discard(c)
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	body := bytes.Repeat([]byte("x"), uploadBytes)
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body); err != nil {
		t.Fatal(err)
	}
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	answer, err := io.ReadAll(p.Body)
	if err != nil {
		return "cut: " + err.Error()
	}
	return fmt.Sprintf("%d %s", p.StatusCode, answer)
}

// earlyServers returns a handler whose connections to servers are the given ones in turn, the last one again and again, directly or through
// another VM.
func earlyServers(t *testing.T, path string, through bool, conns ...func() net.Conn) *Handler {
	t.Helper()
	v := handlerView("192.0.2.1:1")
	h := newHandler(func() *fleet.View { return v })
	connected := h
	if through {
		connected = newHandler(h.View)
		sendThrough(t, h, connected, v, path)
	}
	var next atomic.Int64
	connected.Dial = func(context.Context, string, string) (net.Conn, error) {
		return conns[min(int(next.Add(1)), len(conns))-1](), nil
	}
	return h
}

// answersWithoutLength are answers that end with their connection, and what callers have of them.
var answersWithoutLength = []struct{ name, path, text, want string }{
	{"call", "/plain", "HTTP/1.1 200 OK\r\nAttempt: me\r\n\r\nbody", "200 body"},
	{"call without a body", "/plain", "HTTP/1.1 200 OK\r\nAttempt: me\r\n\r\n", "200 "},
	{"call in HTTP/1.0", "/plain", "HTTP/1.0 200 OK\r\nAttempt: me\r\n\r\nbody", "200 body"},
	{"refused call", "/plain", "HTTP/1.1 413 No\r\nAttempt: me\r\n\r\ntoo long", "413 too long"},
	{"stream", "/once", "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata\n\n", "200 id: 1\ndata\n\n"},
	{"resumable stream", "/resumed", "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata\n\n", "200 id: 1\ndata\n\n"},
	{"text of a model", "/once", "HTTP/1.1 200 OK\r\nAttempt: me\r\n\r\nwhole text", "200 whole text"},
	{"refused stream", "/once", "HTTP/1.1 413 No\r\nAttempt: me\r\n\r\ntoo long", "413 too long"},
}

// Guards against a part of an answer that the caller gets as a whole one since the reset of its connection was reported to the write of the
// request, so that the read that follows sees an ordinary end (MIXED, ORDER).
func TestEarlyAnswerIsReset(t *testing.T) {
	for _, x := range answersWithoutLength {
		for _, failure := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT} {
			for _, late := range []bool{false, true} {
				for _, through := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%v/late=%t/through=%t", x.name, failure, late, through), func(t *testing.T) {
						t.Parallel()
						h := earlyServers(t, x.path, through, func() net.Conn { return newEarlyConn(x.text, failure, late) })
						if got := upload(t, h, x.path); looksComplete(got) || strings.HasPrefix(got, "413") {
							t.Errorf("the caller has %q, want no whole answer of the server", got)
						}
					})
				}
			}
		}
	}
}

// Guards against refusing whole answers of servers that end their side in order before they have read the request: they go on reading, stop
// reading, or reset the connection afterwards.
func TestEarlyAnswerEnds(t *testing.T) {
	for _, x := range answersWithoutLength {
		for _, failure := range []error{nil, syscall.EPIPE} {
			for _, through := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%v/through=%t", x.name, failure, through), func(t *testing.T) {
					t.Parallel()
					h := earlyServers(t, x.path, through, func() net.Conn { return newEarlyConn(x.text, failure, true) })
					began := time.Now()
					if got := upload(t, h, x.path); got != x.want {
						t.Errorf("the caller has %q, want %q", got, x.want)
					}
					if took := time.Since(began); took > sendTimeout/2 {
						t.Errorf("the answer took %s: it waited for the upload", took)
					}
				})
			}
		}
	}
}

// Guards against refusing answers that state their end, although the connection was reset after them.
func TestEarlyAnswerStatesEnd(t *testing.T) {
	for _, x := range []struct{ path, text, want string }{
		{"/plain", "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 4\r\n\r\nbody", "200 body"},
		{"/plain", "HTTP/1.1 413 No\r\nAttempt: me\r\nContent-Length: 4\r\n\r\nbody", "413 body"},
		{"/plain", "HTTP/1.1 200 OK\r\nAttempt: me\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "200 body"},
		{"/once", "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"c\r\nid: 1\ndata\n\n\r\n0\r\n\r\n", "200 id: 1\ndata\n\n"},
	} {
		h := earlyServers(t, x.path, false, func() net.Conn { return newEarlyConn(x.text, syscall.ECONNRESET, true) })
		if got := upload(t, h, x.path); got != x.want {
			t.Errorf("%s: the caller has %q, want %q", x.path, got, x.want)
		}
	}
}

// Guards against a resumable stream that ends early after such a reset although another server has the rest of it (LOST).
func TestEarlyResetIsResumed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Type: text/event-stream\r\n"
	h := earlyServers(t, "/resumed", false,
		func() net.Conn { return newEarlyConn(head+"\r\nid: 1\ndata\n\n", syscall.ECONNRESET, true) },
		func() net.Conn {
			return newEarlyConn(head+"Transfer-Encoding: chunked\r\n\r\nc\r\nid: 2\ndata\n\n\r\n0\r\n\r\n", nil, true)
		})
	if got, want := upload(t, h, "/resumed"), "200 id: 1\ndata\n\nid: 2\ndata\n\n"; got != want {
		t.Errorf("the caller has %q, want %q", got, want)
	}
}

// Guards against a connection that carries another request while the rest of a body is still being written to it.
func TestEarlyAnswerClosesConnection(t *testing.T) {
	var dialed atomic.Int64
	h := earlyServers(t, "/plain", false, func() net.Conn {
		dialed.Add(1)
		return newEarlyConn("HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 4\r\n\r\nbody", nil, true)
	})
	for range 2 {
		if got := upload(t, h, "/plain"); got != "200 body" {
			t.Errorf("the caller has %q", got)
		}
	}
	if n := dialed.Load(); n != 2 {
		t.Errorf("%d connections carried two requests, want 2", n)
	}
}

// Guards against refusing early answers on real connections that a server ends in order: it goes on reading, or resets the connection after
// its end.
func TestEarlyAnswerOnSockets(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for range 20 {
			v := handlerView(startEarlyServer(t, reset))
			h := newHandler(func() *fleet.View { return v })
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			m := &outgoingRequest{method: http.MethodPost, target: "/", host: "h", header: make(http.Header), body: make([]byte, 8<<20)}
			a, err := h.send(ctx, v.Members["plain0"], reuseAny, m, "me")
			var body []byte
			if err == nil {
				body, err = a.readAll(&h.pool, maxResponseBytes)
			}
			if err != nil || string(body) != "body" {
				t.Errorf("reset after the end %t: the body is %q, %v; want a whole one", reset, body, err)
			}
			cancel()
		}
	}
}

// startEarlyServer starts a server that answers before it reads the body of a request and ends its side of the connection; it then reads the
// rest or resets the connection.
func startEarlyServer(t *testing.T, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sock.Discard(l) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer sock.Discard(c)
				_, _ = c.Read(make([]byte, readBufferBytes))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt: me\r\n\r\nbody")
				_ = c.(*net.TCPConn).CloseWrite()
				if reset {
					time.Sleep(2 * time.Millisecond)
					sock.Abort(c)
					return
				}
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	return l.Addr().String()
}

package hconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/detour"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/sock"
)

// earlyConn is a connection to a server that answers while the request is being written: each write fails, and reads return what has arrived
// and then an end.
type earlyConn struct {
	net.Conn
	text    io.Reader
	failure error
}

func (c *earlyConn) Read(p []byte) (int, error) { return c.text.Read(p) }

func (c *earlyConn) Write([]byte) (int, error) {
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.failure)}
}

func (*earlyConn) Close() error                     { return nil }
func (*earlyConn) SetDeadline(time.Time) error      { return nil }
func (*earlyConn) SetReadDeadline(time.Time) error  { return nil }
func (*earlyConn) SetWriteDeadline(time.Time) error { return nil }
func (*earlyConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*earlyConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// Guards against a part of an answer that counts as a whole one since the reset of its connection was reported to the write of the request, so
// that the read that follows sees an ordinary end.
func TestEarlyAnswerIsReset(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\nbody", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nbody", "HTTP/1.1 202 Accepted\r\nConnection: close\r\n\r\nbody",
		"HTTP/1.1 503 No\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nbody",
	} {
		for _, failure := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT} {
			c := Client{Dial: func(context.Context, string, string) (net.Conn, error) {
				return &earlyConn{text: strings.NewReader(text), failure: failure}, nil
			}}
			if got, err := post(&c, "192.0.2.1:1", 10); !errors.Is(err, teaselstream.ErrOutcomeUnknown) {
				t.Errorf("%q, then %v: Do() = %q, %v; want %v", text, failure, got, err, teaselstream.ErrOutcomeUnknown)
			}
		}
	}
}

// Guards against the same for answers on real connections, directly and through another VM.
func TestEarlyAnswerIsResetOnSockets(t *testing.T) {
	for _, through := range []bool{false, true} {
		for range 30 {
			address := resetEarly(t)
			var c Client
			if through {
				peers := []fleet.Peer{{Name: "me", Domain: "near"}, {Name: "other", Domain: "near", Relay: address}}
				c.Detour = &detour.Chooser{
					Self: "me", Isolated: func() bool { return true }, Peers: func() []fleet.Peer { return peers }, Rand: firstRand{},
				}
			}
			if got, err := post(&c, address, maxBodyBytes); !errors.Is(err, teaselstream.ErrOutcomeUnknown) {
				t.Errorf("through another VM %t: Do() = %q, %v; want %v", through, got, err, teaselstream.ErrOutcomeUnknown)
			}
		}
	}
}

// resetEarly starts a server that answers before it reads the body of a request and resets the connection.
func resetEarly(t *testing.T) string {
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
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
			time.Sleep(time.Millisecond)
			sock.Abort(c)
		}
	}()
	return l.Addr().String()
}

// post sends a body of a size and returns the status and body of the answer.
func post(client *Client, address string, size int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetRequestURI("http://" + address + "/")
	q.SetBody(make([]byte, size))
	err := client.Do(ctx, q, p)
	return strconv.Itoa(p.StatusCode()) + " " + string(p.Body()), err
}

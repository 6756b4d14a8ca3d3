package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// testDialect decodes only the attempt id.
type testDialect struct{}

func (testDialect) Call(http.Header) (teaselstream.CallHead, error) {
	return teaselstream.CallHead{}, nil
}
func (testDialect) Dispatch(http.Header, teaselstream.Dispatch) {}

func (testDialect) ProbeTarget(*teaselstream.Pool) string { return "/report" }
func (testDialect) Answer(_ int, h http.Header) teaselstream.AnswerHead {
	return teaselstream.AnswerHead{Attempt: teaselstream.AttemptID(h.Get("Attempt")), Stamped: h.Get("Unstamped") == ""}
}
func (testDialect) Refusal(http.Header, teaselstream.AttemptID, time.Duration) {}

// rawServer responds to each request with the next of the given raw responses; an empty one closes the connection,
// and so does the suffix CLOSE after it was written.
func rawServer(t *testing.T, responses ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(responses))
	for _, a := range responses {
		next <- a
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, next)
		}
	}()
	return l.Addr().String()
}

func serveRaw(c net.Conn, next chan string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		a := <-next
		if a == "" {
			return
		}
		if _, err := io.WriteString(c, strings.TrimSuffix(a, "CLOSE")); err != nil || strings.HasSuffix(a, "CLOSE") {
			return
		}
	}
}

func sendAndRead(t *testing.T, h *Handler, address string) (string, error) {
	t.Helper()
	h.View = func() *fleet.View { return &fleet.View{} }
	return sendTo(t, h, &fleet.Member{Replica: teaselstream.Replica{Address: address}})
}

func sendTo(t *testing.T, h *Handler, to *fleet.Member) (string, error) {
	t.Helper()
	a, err := sendOnce(t, h, to, false)
	if err != nil {
		return "", err
	}
	b, err := a.readAll(&h.pool, maxResponseBytes)
	return string(b), err
}

// sendOnce sends the request "me", for the first time or again.
func sendOnce(t *testing.T, h *Handler, to *fleet.Member, again bool) (*upstreamResponse, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	t.Cleanup(cancel)
	return h.send(ctx, to, reuseFor(true, again), &outgoingRequest{method: "GET", target: "/", host: "h", header: http.Header{}}, "me")
}

// Guards against a faulty server's bytes that are taken for the response to a request: responses to other requests, a
// second response, a truncated response, and bytes that are not HTTP.
func TestFaultyAnswers(t *testing.T) {
	const mine = "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 4\r\n\r\nmine"
	const other = "HTTP/1.1 200 OK\r\nAttempt: you\r\nContent-Length: 5\r\n\r\nyours"
	for _, x := range []struct {
		name      string
		responses []string
		want      []string
	}{
		{"kept connection", []string{mine, mine}, []string{"mine", "mine"}},
		{"late response to another request", []string{other + mine}, []string{"mine"}},
		{"second response", []string{mine + other, mine}, []string{"mine", "mine"}},
		{"ends early", []string{"HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 9\r\n\r\nminCLOSE"}, []string{"error"}},
		{"chunks end early", []string{"HTTP/1.1 200 OK\r\nAttempt: me\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmineCLOSE"}, []string{"error"}},
		{"ends with the connection", []string{"HTTP/1.1 200 OK\r\nAttempt: me\r\n\r\nmineCLOSE", mine}, []string{"mine", "mine"}},
		{"no response", []string{""}, []string{"error"}},
		{"garbage", []string{"garbage\r\n\r\n"}, []string{"error"}},
		{"interim response", []string{"HTTP/1.1 103 Early\r\n\r\n" + mine}, []string{"mine"}},
	} {
		address := rawServer(t, x.responses...)
		h := &Handler{Dialect: testDialect{}, Log: slog.New(slog.DiscardHandler)}
		for i, want := range x.want {
			got, err := sendAndRead(t, h, address)
			if err != nil {
				got = "error"
			}
			if got != want {
				t.Errorf("%s: response %d is %q (%v), want %q", x.name, i, got, err, want)
			}
		}
	}
}

// Guards against a failed dial that counts as a sent request.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	h := &Handler{Dialect: testDialect{}}
	if _, err := sendAndRead(t, h, address); !notSent(err) {
		t.Errorf("error %v does not say that nothing was sent", err)
	}
}

// Guards against events that are split or joined in the wrong place, and against a partial event that is forwarded.
func TestReadEvent(t *testing.T) {
	r := bufio.NewReader(strings.NewReader("id: 1\ndata: a\n\nid:2\r\ndata: b\r\ndata: c\r\n\r\n\n: note\n\nid: 3\ndata: cut"))
	for _, want := range []struct {
		id   uint64
		data string
	}{{1, "id: 1\ndata: a\n\n"}, {2, "id:2\r\ndata: b\r\ndata: c\r\n\r\n"}, {0, "\n: note\n\n"}} {
		data, id, err := readEvent(r)
		if err != nil || id != want.id || string(data) != want.data {
			t.Errorf("readEvent() = %q, %d, %v; want %q, %d", data, id, err, want.data, want.id)
		}
	}
	if data, _, err := readEvent(r); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("readEvent() = %q, %v for a partial event, want %v", data, err, io.ErrUnexpectedEOF)
	}
	if _, _, err := readEvent(bufio.NewReader(strings.NewReader(""))); !errors.Is(err, io.EOF) {
		t.Errorf("readEvent() error = %v at the end, want %v", err, io.EOF)
	}
}

// Guards against connections that are reused although the server closes them, or beyond its keep-alive timeout.
func TestIdleTime(t *testing.T) {
	for _, x := range []struct {
		connection, keepAlive string
		want                  time.Duration
		ok                    bool
	}{
		{"", "", defaultKeepAlive, true},
		{"close", "", 0, false},
		{"keep-alive, Close", "", 0, false},
		{"", "timeout=5", 4 * time.Second, true},
		{"", "timeout=1, max=3", maxFreshIdle, true},
		{"", "timeout=0", maxFreshIdle, false},
		{"", "timeout=soon", 0, false},
	} {
		h := http.Header{}
		if x.connection != "" {
			h.Set("Connection", x.connection)
		}
		if x.keepAlive != "" {
			h.Set("Keep-Alive", x.keepAlive)
		}
		if got, ok := keepAliveTime(h); ok != x.ok || ok && got != x.want {
			t.Errorf("keepAliveTime(%v) = %s, %t; want %s, %t", h, got, ok, x.want, x.ok)
		}
	}
}

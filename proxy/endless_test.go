package proxy

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/memory"
)

// startEndless starts a server that answers each request with first and then with rest until the connection is closed.
func startEndless(t *testing.T, first, rest string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	block := []byte(strings.Repeat(rest, 1+32<<10/len(rest)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, first)
				for err == nil {
					_, err = c.Write(block)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// heapAbove returns by how much the heap exceeds a size at most, until stop is closed.
func heapAbove(base uint64, stop <-chan struct{}) uint64 {
	most := base
	for {
		select {
		case <-stop:
			return most - base
		case <-time.After(5 * time.Millisecond):
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapAlloc)
		}
	}
}

// Guards against answers without end, of many servers or to many requests at once, which took the memory of the VM: 284 MB within some
// seconds; and against their taking the answers of sound servers with them.
func TestEndlessAnswersTogether(t *testing.T) {
	const (
		requests = 60
		limit    = 8 << 20
		// maxHeap is three quarters of the process's memory, of which limit is an eighth: the memory limit of the garbage collector.
		maxHeap = 6 * limit
		head    = "HTTP/1.1 200 OK\r\nAttempt: me\r\n"
		events  = head + "Content-Type: text/event-stream\r\n"
	)
	for _, x := range []struct{ name, path, first, rest string }{
		{"call without a length", "/plain", head + "\r\n", "x"},
		{"call with a length", "/plain", head + "Content-Length: 1000000000\r\n\r\n", "x"},
		{"call in chunks", "/plain", head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{"text of a model", "/resumed", head + "\r\n", "x"},
		{"refusal of a model", "/resumed", "HTTP/1.1 503 Service Unavailable\r\nAttempt: me\r\n\r\n", "x"},
		{"event of a stream", "/resumed", events + "\r\n", "data: x\n"},
		{"without a stamp", "/resumed", head + "Unstamped: 1\r\n\r\n", "x"},
	} {
		t.Run(x.name, func(t *testing.T) {
			bad := handlerView(startEndless(t, x.first, x.rest))
			h := newHandler(func() *fleet.View { return bad })
			h.Answers.SetLimit(limit)
			sound := handlerView(startReplica(t, &scriptedReplica{texts: []string{head + "Content-Length: 4\r\n\r\nbodyKEEP"}})).Members["plain0"]
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			collector := debug.SetMemoryLimit(int64(before.HeapAlloc) + maxHeap)
			defer debug.SetMemoryLimit(collector)
			stop, most := make(chan struct{}), make(chan uint64, 1)
			go func() { most <- heapAbove(before.HeapAlloc, stop) }()
			_, gate := startServer(t, h.Serve)
			var wait sync.WaitGroup
			for range requests {
				wait.Go(func() {
					c, err := net.Dial("tcp", gate)
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = c.Close() }()
					if got := wholeAnswer(t, c, bufio.NewReader(c), x.path); looksComplete(got) && strings.HasPrefix(got, "200") {
						t.Errorf("the caller has a whole answer of %d bytes", len(got))
					}
				})
			}
			for range 20 {
				time.Sleep(10 * time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				m := &outgoingRequest{method: http.MethodGet, target: "/", host: "h", header: make(http.Header)}
				a, err := h.send(ctx, sound, reuseAny, m, "me")
				if err == nil {
					_, err = a.readAll(&h.pool, maxResponseBytes)
				}
				cancel()
				if err != nil {
					t.Errorf("a sound answer is lost: %v", err)
				}
			}
			wait.Wait()
			close(stop)
			if n := <-most; n > maxHeap {
				t.Errorf("the heap grows by %d bytes, want at most %d", n, maxHeap)
			}
			for end := time.Now().Add(2 * time.Second); h.Answers.Used() > 0; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes count after all requests have ended", h.Answers.Used())
				}
			}
		})
	}
}

// Guards against a server that keeps getting requests although it sends bytes that are no answer.
func TestInvalidAnswersAreReported(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: me\r\n"
	for name, text := range map[string]string{
		"no protocol":   "garbage\r\n\r\n",
		"without stamp": head + "Unstamped: 1\r\nContent-Length: 2\r\n\r\nok",
		"long header":   head + "Name: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n",
		"two lengths":   head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nok",
		"broken off":    "HTTP/1.1 200 O",
		"sound":         head + "Content-Length: 2\r\n\r\nok",
	} {
		v := handlerView(startReplica(t, &scriptedReplica{texts: []string{text}}))
		h := newHandler(func() *fleet.View { return v })
		invalid := make(chan fleet.AnswerInvalid, 4)
		h.Post = func(m teaselstream.Msg) {
			if x, ok := m.(fleet.AnswerInvalid); ok {
				invalid <- x
			}
		}
		m := &outgoingRequest{method: http.MethodGet, target: "/", host: "h", header: make(http.Header)}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		a, err := h.send(ctx, v.Members["model0"], reuseAny, m, "me")
		if err == nil {
			a.conn.discard()
		}
		cancel()
		want := 1
		if name == "broken off" || name == "sound" {
			want = 0
		}
		if len(invalid) != want {
			t.Errorf("%s: %d reports, want %d (error %v)", name, len(invalid), want, err)
		}
	}
}

// Guards against bodies of requests that exceed the memory together, and against a caller that only announces a long one.
func TestBodiesTogether(t *testing.T) {
	const limit = 1 << 20
	var bodies memory.Budget
	bodies.SetLimit(limit)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	limits := func() teaselstream.EdgeLimits { return teaselstream.EdgeLimits{MaxBody: 4 << 20} }
	s := &Server{Serve: func(x *Exchange) { _ = x.Respond(http.StatusOK, http.Header{}, nil) }, Log: slog.New(slog.DiscardHandler), Limits: limits, Bodies: &bodies}
	go func() { _ = s.Run(l) }()
	ask := func(size, sent int) (int, error) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return 0, err
		}
		defer func() { _ = c.Close() }()
		q, err := http.NewRequest(http.MethodPost, "http://h/", io.LimitReader(endlessReader{}, int64(sent)))
		if err != nil {
			return 0, err
		}
		q.ContentLength = int64(size)
		go func() { _ = q.Write(c) }()
		p, err := http.ReadResponse(bufio.NewReader(c), q)
		if err != nil {
			return 0, err
		}
		return p.StatusCode, p.Body.Close()
	}
	var wait sync.WaitGroup
	refused := make(chan int, 4)
	for range 4 {
		wait.Go(func() {
			status, err := ask(3<<20, 2<<20)
			if err != nil {
				t.Error(err)
			}
			refused <- status
		})
	}
	for range 20 {
		if status, err := ask(1000, 1000); err != nil || status != http.StatusOK {
			t.Errorf("a short request gets %d, %v; want 200", status, err)
		}
		if n := bodies.Used(); n > limit {
			t.Errorf("bodies take %d bytes, want at most %d", n, limit)
		}
	}
	wait.Wait()
	close(refused)
	for status := range refused {
		if status != http.StatusServiceUnavailable {
			t.Errorf("a body beyond the memory gets %d, want 503", status)
		}
	}
	for end := time.Now().Add(time.Second); bodies.Used() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes count after all requests have ended", bodies.Used())
		}
	}
}

// endlessReader returns bytes without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

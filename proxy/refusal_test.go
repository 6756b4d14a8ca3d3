package proxy

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// refusalDialect decodes the attempt id and takes status 503 for a statement that the request has not run.
type refusalDialect struct{ testDialect }

func (refusalDialect) Answer(status int, h http.Header) teaselstream.AnswerHead {
	return teaselstream.AnswerHead{Attempt: teaselstream.AttemptID(h.Get("Attempt")), NotRun: status == http.StatusServiceUnavailable}
}

// repeatingServer refuses the first request on its first connection and runs all others. Before the answer to the next request on that
// connection it writes the refusal once more, with or without the attempt id.
type repeatingServer struct {
	refusal string
	conns   atomic.Int64
	ran     atomic.Int64
}

func (s *repeatingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	first := s.conns.Add(1) == 1
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		text := "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 4\r\n\r\nmine"
		switch {
		case first && n == 0:
			text = s.refusal
		case first && n == 1:
			text = s.refusal + text
		}
		if !first || n > 0 {
			s.ran.Add(1)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// Guards against an earlier refusal, written once more on a kept connection, that is taken for the answer to a request which the server
// runs: the caller would be told that it has not run (REFUSED), or it would run elsewhere too (TWICE).
func TestRepeatedRefusal(t *testing.T) {
	for name, refusal := range map[string]string{
		"with the id":    "HTTP/1.1 503 No\r\nAttempt: me\r\nContent-Length: 0\r\n\r\n",
		"without an id":  "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
		"of another one": "HTTP/1.1 503 No\r\nAttempt: you\r\nContent-Length: 0\r\n\r\n",
	} {
		s := &repeatingServer{refusal: refusal}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(c)
			}
		}()
		h := &Handler{Dialect: refusalDialect{}, Log: slog.New(slog.DiscardHandler), View: func() *fleet.View { return &fleet.View{} }}
		to := &fleet.Member{Replica: teaselstream.Replica{Address: l.Addr().String()}}
		for i := range 3 {
			before := s.ran.Load()
			a, err := sendOnce(t, h, to, i > 0)
			if err == nil {
				_, err = a.readAll(&h.pool, maxResponseBytes)
			}
			if err == nil && a.head.NotRun && s.ran.Load() > before {
				t.Errorf("refusal %s: send %d counts as not run, and the server has run it", name, i+1)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

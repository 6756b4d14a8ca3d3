package proxy

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/crash"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/flow"
)

// Guards against an attempt that the router itself has ended and that counts as broken off by its server: if the server ends soon after,
// the request is suspected of having crashed it.
func TestAbortedAttemptIsNotBroken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	posted := make(chan teaselstream.Msg, 10)
	h := &Handler{Log: slog.New(slog.DiscardHandler), Post: func(m teaselstream.Msg) { posted <- m }, View: func() *fleet.View { return &fleet.View{} }}
	s := &streamRunner{request: &request{Exchange: &Exchange{}, handler: h}, attempts: map[teaselstream.Attempt]*attempt{}}
	s.core.Attempt = 2
	a := &attempt{cancel: func() {}, first: fleet.Member{Replica: teaselstream.Replica{ID: "a", Address: address, Service: "m"}}}
	s.attempts[1], s.attempts[2] = a, &attempt{cancel: func() {}}
	s.abort(1)
	s.recordProgress(flow.Closed{Attempt: 1, Reason: "use of closed network connection"})
	for wait := time.After(time.Second); ; {
		select {
		case m := <-posted:
			if _, ok := m.(crash.Lost); ok {
				t.Fatal("an aborted attempt is reported as lost")
			}
			continue
		case <-wait:
		}
		return
	}
}

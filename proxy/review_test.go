package proxy

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/crash"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/flow"
	"github.com/teaselstream/teaselstream/pick"
)

// Guards against an attempt that the router itself has ended and that counts as broken off by its server: if the server ends soon after,
// the request is suspected of having crashed it.
func TestReviewAbortedAttemptIsNotBroken(t *testing.T) {
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

// Guards against a shutdown that does not wait for a request of which a part has arrived.
func TestReviewRequestBeingReadIsActive(t *testing.T) {
	s, address := startServer(t, echo)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if n := s.ActiveRequests(); n != 1 {
		t.Errorf("ActiveRequests() = %d while a request is read, want 1", n)
	}
}

// Guards against a replica that stays put aside because the balancer counted a call as a probe that was never sent.
func TestReviewProbeThatIsNotSent(t *testing.T) {
	start := time.Now()
	v := &fleet.View{Domain: "near", Members: map[teaselstream.ServerID]*fleet.Member{}, Pools: map[teaselstream.ServiceID][]*fleet.Member{}}
	for _, id := range []string{"a", "b"} {
		m := &fleet.Member{LoadEstimate: &fleet.LoadEstimate{}}
		m.ID, m.Domain, m.Slots, m.Service = teaselstream.ServerID(id), "near", 4, "plain"
		v.Members[m.ID] = m
		v.Pools["plain"] = append(v.Pools["plain"], m)
	}
	h := &Handler{Balancer: &pick.Balancer{}, View: func() *fleet.View { return v }}
	for range 2 {
		h.Balancer.RecordResult(start, v.Members["a"], pick.Failed, time.Millisecond)
	}
	v.Members["b"].LoadEstimate.OwnRequests.Store(30)
	later := start.Add(time.Second)
	h.Notices.ObserveWait(later, "a", 0, 100*time.Millisecond)
	if m := h.chooseReplica(later, v, "plain", map[teaselstream.ServerID]bool{}); m == nil || m.ID != "b" {
		t.Fatalf("chose %v while a wants nothing, want b", m)
	}
	var ids []string
	for i := range 50 {
		m := h.chooseReplica(later.Add(time.Second+time.Duration(i)*200*time.Millisecond), v, "plain", map[teaselstream.ServerID]bool{})
		ids = append(ids, string(m.ID))
	}
	if !strings.Contains(strings.Join(ids, ""), "a") {
		t.Error("a is not chosen in the 10 s after its wait, although b has 30 requests and a none")
	}
}

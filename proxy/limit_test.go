package proxy

import (
	"strings"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/pick"
)

// Guards against a replica that stays put aside because the balancer counted a call as a probe that was never sent.
func TestProbeThatIsNotSent(t *testing.T) {
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

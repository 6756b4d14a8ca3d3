package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// Guards against a replica that has just started and gets more than its share because it is idle, or none because others are faster.
func TestShareOfCalls(t *testing.T) {
	const calls, share = 2000, 0.25
	now := time.Unix(1000, 0)
	v := &fleet.View{Domain: "near", Pools: make(map[teaselstream.ServiceID][]*fleet.Member)}
	for _, id := range []teaselstream.ServerID{"a", "b"} {
		m := &fleet.Member{LoadEstimate: &fleet.LoadEstimate{}}
		m.ID, m.Service, m.Domain, m.Slots = id, "plain", "near", 6
		v.Pools["plain"] = append(v.Pools["plain"], m)
	}
	back, other := v.Pools["plain"][0], v.Pools["plain"][1]
	back.Share = share
	other.LoadEstimate.OwnRequests.Store(3)
	b := Balancer{Rand: rand.New(rand.NewPCG(1, 1))}
	count := func() (n int) {
		for range calls {
			if b.Choose(now, v, "plain", nil) == back {
				n++
			}
		}
		return n
	}
	if n := count(); n < calls*share*8/10 || n > calls*share*12/10 {
		t.Errorf("the replica got %d of %d calls, want about %g", n, calls, calls*share)
	}
	// A replica that was slow after its start is not judged by that once its share is 1.
	back.Share = 0
	b.RecordResult(now, back, Succeeded, time.Second)
	b.RecordResult(now, other, Succeeded, 10*time.Millisecond)
	if n := count(); n > 0 {
		t.Errorf("the slow replica got %d calls", n)
	}
	b.ForgetLatency(back.ID)
	if n := count(); n < calls {
		t.Errorf("the replica got %d of %d calls after its latency was forgotten; the other one runs more", n, calls)
	}
	v.Pools["plain"] = v.Pools["plain"][:1]
	back.Share = 0.01
	if n := count(); n != calls {
		t.Errorf("the only replica got %d of %d calls", n, calls)
	}
}

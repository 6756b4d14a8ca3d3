package pick

import (
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

var start = time.Unix(1000, 0)

func viewOf(ids ...string) *fleet.View {
	v := &fleet.View{Domain: "near", Members: map[teaselstream.ServerID]*fleet.Member{}, Pools: map[teaselstream.ServiceID][]*fleet.Member{}}
	for _, id := range ids {
		m := &fleet.Member{LoadEstimate: &fleet.LoadEstimate{}}
		m.ID, m.Domain, m.Slots, m.Service = teaselstream.ServerID(id), "near", 4, "plain"
		v.Members[m.ID] = m
		v.Pools["plain"] = append(v.Pools["plain"], m)
	}
	return v
}

// Guards against work for a replica that keeps failing, and against one that is put aside for good.
func TestFailingReplicaIsPutAside(t *testing.T) {
	v := viewOf("a", "b")
	var b Balancer
	v.Members["b"].LoadEstimate.OwnRequests.Store(3)
	if m := b.Choose(start, v, "plain", nil); m.ID != "a" {
		t.Fatalf("Choose() = %s, want the idle replica a", m.ID)
	}
	b.Ended(start, v.Members["a"], Failed, time.Millisecond)
	if !b.Ended(start, v.Members["a"], Failed, time.Millisecond) {
		t.Error("two failures in a row do not put a replica aside")
	}
	if m := b.Choose(start, v, "plain", nil); m.ID != "b" {
		t.Errorf("Choose() = %s, want b while a is put aside", m.ID)
	}
	later := start.Add(firstBan + time.Millisecond)
	v.Members["b"].LoadEstimate.OwnRequests.Store(30)
	if m := b.Choose(later, v, "plain", nil); m.ID != "a" {
		t.Errorf("Choose() = %s after the ban, want a trial of a", m.ID)
	}
	if m := b.Choose(later, v, "plain", nil); m.ID != "b" {
		t.Errorf("Choose() = %s during the trial of a, want b", m.ID)
	}
	b.Ended(later, v.Members["a"], Answered, time.Millisecond)
	b.Ended(later, v.Members["a"], Answered, time.Millisecond)
	if m := b.Choose(later, v, "plain", nil); m.ID != "a" {
		t.Errorf("Choose() = %s after a answered again, want a", m.ID)
	}
}

// Guards against a pool that is left without any replica because all were put aside.
func TestLastReplicaServes(t *testing.T) {
	v := viewOf("a")
	var b Balancer
	for range 5 {
		b.Ended(start, v.Members["a"], Failed, time.Millisecond)
	}
	if m := b.Choose(start, v, "plain", nil); m == nil || m.ID != "a" {
		t.Error("Choose() finds none although one replica serves")
	}
	if m := b.Choose(start, v, "plain", map[teaselstream.ServerID]bool{"a": true}); m != nil {
		t.Errorf("Choose() = %s, which had the call before", m.ID)
	}
	v.Members["a"].State = fleet.Down
	if m := b.Choose(start, v, "plain", nil); m != nil {
		t.Errorf("Choose() = %s, which is down", m.ID)
	}
}

// Guards against evidence about an earlier incarnation, against load that a replica stated long ago, and against
// callers that leave being counted against a replica.
func TestEvidenceEnds(t *testing.T) {
	v := viewOf("a", "b")
	var b Balancer
	for range 5 {
		b.Ended(start, v.Members["a"], Abandoned, time.Millisecond)
	}
	b.Load(start, v.Members["a"], teaselstream.AnswerHead{HasLoad: true, Running: 4, Waiting: 4, Slots: 4})
	if m := b.Choose(start, v, "plain", nil); m.ID != "b" {
		t.Errorf("Choose() = %s, want b while a states that it is full", m.ID)
	}
	v.Members["b"].LoadEstimate.OwnRequests.Store(1)
	if m := b.Choose(start.Add(loadTrust+time.Millisecond), v, "plain", nil); m.ID != "a" {
		t.Errorf("Choose() = %s, want a after its statement has aged", m.ID)
	}
	b.Ended(start, v.Members["a"], Failed, time.Millisecond)
	b.Ended(start, v.Members["a"], Failed, time.Millisecond)
	v.Members["a"].Incarnation++
	if m := b.Choose(start, v, "plain", nil); m.ID != "a" {
		t.Errorf("Choose() = %s, want the restarted a", m.ID)
	}
}

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

// Guards against calls to a replica that keeps failing, and against an ejection that never ends.
func TestFailingReplicaIsPutAside(t *testing.T) {
	v := viewOf("a", "b")
	var b Balancer
	v.Members["b"].LoadEstimate.OwnRequests.Store(3)
	if m := b.Choose(start, v, "plain", nil); m.ID != "a" {
		t.Fatalf("Choose() = %s, want the idle replica a", m.ID)
	}
	b.RecordResult(start, v.Members["a"], Failed, time.Millisecond)
	if !b.RecordResult(start, v.Members["a"], Failed, time.Millisecond) {
		t.Error("two failures in a row do not eject the replica")
	}
	if m := b.Choose(start, v, "plain", nil); m.ID != "b" {
		t.Errorf("Choose() = %s, want b while a is ejected", m.ID)
	}
	later := start.Add(minEjection + time.Millisecond)
	v.Members["b"].LoadEstimate.OwnRequests.Store(30)
	if m := b.Choose(later, v, "plain", nil); m.ID != "a" {
		t.Errorf("Choose() = %s after the ejection, want a probe of a", m.ID)
	}
	if m := b.Choose(later, v, "plain", nil); m.ID != "b" {
		t.Errorf("Choose() = %s during the probe of a, want b", m.ID)
	}
	b.RecordResult(later, v.Members["a"], Succeeded, time.Millisecond)
	b.RecordResult(later, v.Members["a"], Succeeded, time.Millisecond)
	if m := b.Choose(later, v, "plain", nil); m.ID != "a" {
		t.Errorf("Choose() = %s after successful calls to a, want a", m.ID)
	}
}

// Guards against a pool without any replica to choose because all are ejected.
func TestLastReplicaServes(t *testing.T) {
	v := viewOf("a")
	var b Balancer
	for range 5 {
		b.RecordResult(start, v.Members["a"], Failed, time.Millisecond)
	}
	if m := b.Choose(start, v, "plain", nil); m == nil || m.ID != "a" {
		t.Error("Choose() does not return the only serving replica")
	}
	if m := b.Choose(start, v, "plain", map[teaselstream.ServerID]bool{"a": true}); m != nil {
		t.Errorf("Choose() = %s, which was already sent the call", m.ID)
	}
	v.Members["a"].State = fleet.Down
	if m := b.Choose(start, v, "plain", nil); m != nil {
		t.Errorf("Choose() = %s, which is down", m.ID)
	}
}

// Guards against results of an earlier incarnation and outdated load reports that still count, and against canceled
// calls that count as failures of the replica.
func TestEvidenceEnds(t *testing.T) {
	v := viewOf("a", "b")
	var b Balancer
	for range 5 {
		b.RecordResult(start, v.Members["a"], Canceled, time.Millisecond)
	}
	b.RecordLoad(start, v.Members["a"], teaselstream.AnswerHead{HasLoad: true, Running: 4, Waiting: 4, Slots: 4})
	if m := b.Choose(start, v, "plain", nil); m.ID != "b" {
		t.Errorf("Choose() = %s, want b while a reports that it is full", m.ID)
	}
	v.Members["b"].LoadEstimate.OwnRequests.Store(1)
	if m := b.Choose(start.Add(loadMaxAge+time.Millisecond), v, "plain", nil); m.ID != "a" {
		t.Errorf("Choose() = %s, want a once its load report is outdated", m.ID)
	}
	b.RecordResult(start, v.Members["a"], Failed, time.Millisecond)
	b.RecordResult(start, v.Members["a"], Failed, time.Millisecond)
	v.Members["a"].Incarnation++
	if m := b.Choose(start, v, "plain", nil); m.ID != "a" {
		t.Errorf("Choose() = %s, want the restarted a", m.ID)
	}
}

package chain

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// Guards against a server whose pace is being found that gets all new work because it is idle, or none although it is the only one that
// holds some layers.
func TestShareOfPlans(t *testing.T) {
	const plans, share = 2000, 0.2
	whole := teaselstream.LayerRange{From: 0, To: 40}
	v := testView()
	back := addMember(v, "back", "fast", "near", whole)
	other := addMember(v, "other", "fast", "near", whole)
	back.Share = share
	other.LoadEstimate.OwnRequests.Store(60)
	planner := Planner{Rand: rand.New(rand.NewPCG(1, 1))}
	count := func() (n int) {
		for range plans {
			path, _, ok := planner.Plan(testStart, v, PathRequest{Service: testService, PromptTokens: 800, AnswerTokens: 200})
			if !ok {
				t.Fatal("no path")
			}
			if path[0].Server == back.ID {
				n++
			}
		}
		return n
	}
	if n := count(); n < plans*share*8/10 || n > plans*share*12/10 {
		t.Errorf("the server got %d of %d plans, want about %g", n, plans, plans*share)
	}
	other.PausedUntil = testStart.Add(time.Second)
	if n := count(); n != plans {
		t.Errorf("the server got %d of %d plans while the other one had no room", n, plans)
	}
	v.Pools[testService] = v.Pools[testService][:1]
	if n := count(); n != plans {
		t.Errorf("the only server got %d of %d plans", n, plans)
	}
}

// Guards against an estimate of how full a path is that ignores a server which another VM has found full.
func TestFullness(t *testing.T) {
	v := testView()
	a := addMember(v, "a", "fast", "near", teaselstream.LayerRange{From: 0, To: 20})
	b := addMember(v, "b", "tight", "near", teaselstream.LayerRange{From: 20, To: 40})
	path := teaselstream.Path{{Server: a.ID}, {Server: b.ID}}
	request := PathRequest{Service: testService, PromptTokens: 80, AnswerTokens: 20}
	var p Planner
	a.LoadEstimate.RecordObserved(testStart, 49, 0.1)
	b.LoadEstimate.RecordObserved(testStart, 900, 0.2)
	load, part := p.Fullness(testStart, v, request, path)
	capacity := float64(testView().Routing.Pools[testService].Engine.CacheTokens("tight", 20))
	if want := max(0.5, 0.2+80/capacity); load != want || part < 0 {
		t.Errorf("Fullness() = %g, %g; want %g", load, part, want)
	}
	b.LoadEstimate.RecordObserved(testStart, 900, 0.99)
	if load, _ := p.Fullness(testStart, v, request, path); load < 0.99 {
		t.Errorf("Fullness() = %g with a full server", load)
	}
}

// Guards against a move that replaces parts which are sound, so that more servers than the lost one's successor read all tokens again.
func TestMoveKeepsSoundParts(t *testing.T) {
	v := testView()
	for _, x := range []struct {
		id       string
		from, to teaselstream.Layer
	}{{"a", 0, 10}, {"b1", 10, 20}, {"b2", 10, 20}, {"c1", 20, 30}, {"c2", 20, 30}, {"d1", 30, 40}, {"d2", 30, 40}} {
		addMember(v, x.id, "fast", "near", teaselstream.LayerRange{From: x.from, To: x.to})
	}
	part := func(id teaselstream.ServerID, from teaselstream.Layer) teaselstream.Part {
		return teaselstream.Part{Server: id, Address: string(id), Range: teaselstream.LayerRange{From: from, To: from + 10}}
	}
	current := teaselstream.Path{part("a", 0), part("b1", 10), part("c1", 20), part("d1", 30)}
	planner := Planner{Rand: rand.New(rand.NewPCG(1, 1))}
	for range 200 {
		path, _, ok := planner.Plan(testStart, v, PathRequest{
			Service: testService, PromptTokens: 800, AnswerTokens: 200, First: "a", Current: current, Avoid: map[teaselstream.ServerID]bool{"c1": true},
		})
		if !ok || path[0] != current[0] || path[1] != current[1] || path[2].Server != "c2" || path[3] != current[3] {
			t.Fatalf("moved to %v, want only c1 replaced", path.Servers())
		}
	}
}

package route

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"pgregory.net/rapid"
)

// Guards against chains with gaps or overlaps, hops outside a server's layers, dropped kept hops and avoided or
// unavailable servers in random layouts, and against a planner that finds no chain although another one finds one.
func TestChainsCover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		r := teaselstream.PlanRequest{Model: "m", PromptTokens: 100, MaxTokens: 10, Avoid: map[teaselstream.ServerID]bool{}}
		if rapid.Bool().Draw(t, "avoid") {
			r.Avoid["s0"] = true
		}
		o := func() Options { return Options{Rand: rand.New(rand.NewPCG(1, 2))} }
		planners := []teaselstream.Planner{NewCheapest(o()), NewRandom(o()), NewLeastOutstanding(o())}
		first, found := planners[0].Plan(s.At, s, r)
		for _, p := range planners {
			c, ok := p.Plan(s.At, s, r)
			if ok != found {
				t.Fatalf("%T found a chain: %v, the first planner: %v", p, ok, found)
			}
			if ok {
				checkChain(t, s, r, c)
			}
		}
		if !found {
			return
		}
		r.Keep = first.Chain[len(first.Chain)/2:][:1]
		c, ok := planners[0].Plan(s.At, s, r)
		if !ok {
			t.Fatalf("no chain with kept hop %+v, although one was planned", r.Keep)
		}
		checkChain(t, s, r, c)
	})
}

func drawSnapshot(t *rapid.T) *teaselstream.Snapshot {
	doc := &teaselstream.Document{Models: map[teaselstream.ModelID]teaselstream.Model{"m": {Name: "m", Layers: 12, ActivationBytes: 100}}}
	doc.Links = []teaselstream.Link{{A: "d0", B: "d1", Rate: 1000, Latency: time.Millisecond}}
	s := &teaselstream.Snapshot{Domain: "d0", Document: doc, LiveVMs: 8, Servers: map[teaselstream.ServerID]teaselstream.ServerView{}}
	for i := range rapid.IntRange(1, 12).Draw(t, "servers") {
		v := teaselstream.ServerView{Weight: 0.5, State: teaselstream.ServerState(rapid.IntRange(0, 4).Draw(t, "state"))}
		v.Name, v.Model, v.Kind = teaselstream.ServerID("s"+strconv.Itoa(i)), "m", teaselstream.KindModel
		v.Domain = teaselstream.DomainID("d" + strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "domain")))
		v.Layers.From = teaselstream.Layer(3 * rapid.IntRange(0, 3).Draw(t, "from"))
		v.Layers.To = v.Layers.From + teaselstream.Layer(rapid.IntRange(1, 8).Draw(t, "length"))
		v.TimePerLayer, v.MaxConcurrent = time.Millisecond, 4
		v.Load.Running = rapid.IntRange(0, 20).Draw(t, "running")
		s.Servers[v.Name] = v
	}
	return s
}

func checkChain(t *rapid.T, s *teaselstream.Snapshot, r teaselstream.PlanRequest, c teaselstream.Plan) {
	next := teaselstream.Layer(0)
	kept := 0
	for _, h := range c.Chain {
		v := s.Servers[h.Server]
		if h.From != next || h.To <= h.From || !v.Layers.Contains(h.From) || h.To > v.Layers.To {
			t.Fatalf("hop %+v at layer %d of server with layers %s", h, next, v.Layers)
		}
		if !v.State.TakesNewWork() || r.Avoid[h.Server] {
			t.Fatalf("hop %+v uses a server in state %s, avoided: %v", h, v.State, r.Avoid[h.Server])
		}
		for _, k := range r.Keep {
			if k == h {
				kept++
			}
		}
		next = h.To
	}
	if next != s.Document.Models[r.Model].Layers || kept != len(r.Keep) {
		t.Fatalf("chain %+v ends at layer %d and keeps %d of %d hops", c.Chain, next, kept, len(r.Keep))
	}
}

// Guards against data races and wrong counts when many goroutines use one planner.
func TestPlannersAreShared(t *testing.T) {
	v := teaselstream.ServerView{Weight: 1}
	v.Name, v.Model, v.Kind, v.Layers.To, v.MaxConcurrent, v.TimePerLayer = "a", "m", teaselstream.KindModel, 4, 4, time.Millisecond
	doc := &teaselstream.Document{Models: map[teaselstream.ModelID]teaselstream.Model{"m": {Name: "m", Layers: 4}}}
	s := &teaselstream.Snapshot{Document: doc, Servers: map[teaselstream.ServerID]teaselstream.ServerView{"a": v}}
	c := NewCheapest(Options{Prefixes: &Prefixes{}})
	var g sync.WaitGroup
	for range 8 {
		g.Go(func() {
			for range 100 {
				p, _ := c.Plan(s.At, s, teaselstream.PlanRequest{Model: "m"})
				c.Started(s.At, p)
				c.Prefixes.Apply(s.At, "a", []teaselstream.CacheEvent{{Sequence: 1, Prefix: "p", Tokens: 1}})
				c.Finished(s.At, p)
			}
		})
	}
	g.Wait()
	if n := c.counters.server("a").inFlight(); n != 0 {
		t.Errorf("%d streams in flight after all ended", n)
	}
}

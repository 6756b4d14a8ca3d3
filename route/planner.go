package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

type (
	// Options configures a planner; the zero value works.
	Options struct {
		// Rand seeds the random choices of each plan; nil means a fixed seed.
		Rand teaselstream.Rand
		// Faults holds faults that tests inject to prove that their checks can fail.
		Faults invar.Faults
		// Recorder receives violations of NoNewWorkToLeaving.
		Recorder *invar.Recorder
		// Prefixes holds prefix-cache hints, or is nil for none.
		Prefixes *Prefixes
		// ReportLag is the age of a load report when it is received.
		ReportLag time.Duration
	}

	// planner holds the state that all kinds of planners need.
	planner struct {
		Options
		counters counters
		index    indexCache
		mu       sync.Mutex
		// meanTransfers is the moving average of the number of activations that a request sends over each link of its chain.
		meanTransfers float64
	}
)

var (
	_ teaselstream.Planner = (*Cheapest)(nil)
	_ teaselstream.Planner = (*Random)(nil)
	_ teaselstream.Planner = (*LeastOutstanding)(nil)
)

// meanTransfersWeight is the weight of one request in meanTransfers.
const meanTransfersWeight = 0.02

// Started counts the streams of a plan that is in use from now on.
func (p *planner) Started(now time.Time, c teaselstream.Plan) { p.countStreams(now, c, 1) }

// Finished counts the end of a plan's streams; it must be called once for each call of Started.
func (p *planner) Finished(now time.Time, c teaselstream.Plan) { p.countStreams(now, c, -1) }

func (p *planner) countStreams(now time.Time, c teaselstream.Plan, delta int) {
	x := p.index.current.Load()
	for i, h := range c.Chain {
		p.counters.server(h.Server).add(now, delta)
		if i == 0 || x == nil {
			continue
		}
		from, to := x.domainOf[c.Chain[i-1].Server], x.domainOf[h.Server]
		if from != to {
			p.counters.link(from, to).add(now, delta)
		}
	}
}

// beginPlan updates meanTransfers by a request and returns it with a source of random numbers for one plan.
// Each plan has its own source so that the shared one is locked only to seed it.
func (p *planner) beginPlan(r teaselstream.PlanRequest) (meanTransfers float64, random *rand.Rand) {
	steps, prompt := requestSize(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.meanTransfers == 0 {
		p.meanTransfers = steps + prompt
	}
	p.meanTransfers += meanTransfersWeight * (steps + prompt - p.meanTransfers)
	if p.Rand == nil {
		p.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return p.meanTransfers, rand.New(rand.NewPCG(uint64(p.Rand.IntN(1<<31)), uint64(p.Rand.IntN(1<<31))))
}

// plan runs choose on the servers that are drawn by their weights, and on all servers if those give no chain.
func (p *planner) plan(now time.Time, s *teaselstream.Snapshot, r teaselstream.PlanRequest, choose func(*graph, *rand.Rand) ([]teaselstream.Hop, bool)) (teaselstream.Plan, bool) {
	if s == nil || s.Document == nil || s.Document.Models[r.Model].Layers <= 0 {
		return teaselstream.Plan{}, false
	}
	meanTransfers, random := p.beginPlan(r)
	for _, ignoreWeights := range []bool{false, true} {
		g := p.newGraph(s, r, random, ignoreWeights)
		p.addTransfers(now, g, s, meanTransfers)
		chain, ok := choose(g, random)
		if ok {
			p.checkStates(s, r, chain)
			return g.estimate(s, r, chain), true
		}
	}
	return teaselstream.Plan{}, false
}

// checkStates records a violation for each new hop on a server that takes no new work.
func (p *planner) checkStates(s *teaselstream.Snapshot, r teaselstream.PlanRequest, chain []teaselstream.Hop) {
	kept := make(map[teaselstream.ServerID]bool, len(r.Keep))
	for _, h := range r.Keep {
		kept[h.Server] = true
	}
	for _, h := range chain {
		v := s.Servers[h.Server]
		p.Recorder.Check(kept[h.Server] || v.State.TakesNewWork(), invar.NoNewWorkToLeaving,
			"server %s in state %s chosen for layers %d-%d", h.Server, v.State, h.From, h.To)
	}
}

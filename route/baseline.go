package route

import (
	"math/rand/v2"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Random chooses each hop at random among the servers that hold the next layer.
	Random struct{ planner }

	// LeastOutstanding chooses for each hop the server with the fewest outstanding requests.
	LeastOutstanding struct{ planner }
)

// NewRandom returns a planner with the given options.
func NewRandom(o Options) *Random { return &Random{planner{Options: o}} }

// NewLeastOutstanding returns a planner with the given options.
func NewLeastOutstanding(o Options) *LeastOutstanding { return &LeastOutstanding{planner{Options: o}} }

// Plan returns a random chain; ok is false if no chain covers the model.
func (p *Random) Plan(now time.Time, s *teaselstream.Snapshot, r teaselstream.PlanRequest) (teaselstream.Plan, bool) {
	return p.plan(now, s, r, func(g *graph, random *rand.Rand) ([]teaselstream.Hop, bool) {
		return greedy(newCosts(g, r), random, func(*node) float64 { return 0 })
	})
}

// Plan returns a chain of the least loaded servers; ok is false if no chain covers the model.
func (p *LeastOutstanding) Plan(now time.Time, s *teaselstream.Snapshot, r teaselstream.PlanRequest) (teaselstream.Plan, bool) {
	return p.plan(now, s, r, func(g *graph, random *rand.Rand) ([]teaselstream.Hop, bool) {
		return greedy(newCosts(g, r), random, func(n *node) float64 { return float64(n.outstanding) })
	})
}

// greedy builds a chain from the server with the lowest score at each boundary and breaks ties at random.
// It uses the costs only to skip hops from which no chain reaches the end of the model.
func greedy(t *costTable, random *rand.Rand, score func(*node) float64) ([]teaselstream.Hop, bool) {
	var chain []teaselstream.Hop
	for l := teaselstream.Layer(0); l < t.g.layers; {
		var options []hopOption
		lowest := 0.0
		t.eachHop(l, func(n *node, to teaselstream.Layer, d int) {
			if !t.covered(l, to, d) {
				return
			}
			x := 0.0
			if n != nil {
				x = score(n)
			}
			if len(options) > 0 && x > lowest {
				return
			}
			if x < lowest {
				options = options[:0]
			}
			lowest = x
			options = append(options, hopOption{node: n, to: to, weight: 1})
		})
		if len(options) == 0 {
			return nil, false
		}
		o := pickWeighted(random, options)
		chain = append(chain, t.hop(l, o))
		l = o.to
	}
	return chain, true
}

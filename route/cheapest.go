package route

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Cheapest chooses the chain with the lowest estimated cost, at random among chains close to it.
	Cheapest struct{ planner }

	// costTable holds the lowest cost in seconds from each boundary and domain to the end of the model.
	costTable struct {
		g *graph
		r teaselstream.PlanRequest
		// remaining[l][d] is the cost from layer l if the activations are in domain d; it is nil if no hop ends at l.
		remaining [][]float64
		// nodesAt[l] lists the indices of the nodes that hold layer l, if a hop ends at l.
		nodesAt [][]int
	}

	// hopOption is a possible next hop; excess is the cost of the best chain with it above the lowest cost.
	hopOption struct {
		node   *node
		to     teaselstream.Layer
		domain int
		excess float64
		weight float64
	}
)

// costTolerance is the fraction above the lowest cost within which chains are drawn at random.
// All VMs see the same delayed load reports, and without a random choice all would take the same chain.
const costTolerance = 0.10

// sampleDecay sets how fast the weight falls with the cost: chains at the tolerance are drawn exp(-8) times as often as
// the cheapest one.
const sampleDecay = 8

// NewCheapest returns a planner with the given options.
func NewCheapest(o Options) *Cheapest { return &Cheapest{planner{Options: o}} }

// Plan returns a chain within 10% of the lowest cost; ok is false if no chain covers the model.
func (c *Cheapest) Plan(now time.Time, s *teaselstream.Snapshot, r teaselstream.PlanRequest) (teaselstream.Plan, bool) {
	return c.plan(now, s, r, func(g *graph, random *rand.Rand) ([]teaselstream.Hop, bool) {
		hit := g.cachedNodes()
		g.clearCached()
		t := newCosts(g, r)
		// A cached prefix saves time only if each server of the chain has it: a server without it needs the
		// activations of the servers before it. The best chain of servers with the prefix is therefore compared
		// with the best chain of all servers at their costs without cached prefixes.
		if len(hit) > 0 {
			all := g.nodes
			g.nodes = hit
			if x := newCosts(g, r); x.total() < t.total() {
				return x.sample(random)
			}
			g.nodes = all
		}
		return t.sample(random)
	})
}

// total returns the lowest cost of a whole chain.
func (t *costTable) total() float64 { return t.remaining[0][t.g.start] }

// newCosts computes the costs by dynamic programming from the last layer to the first.
func newCosts(g *graph, r teaselstream.PlanRequest) *costTable {
	t := &costTable{g: g, r: r, remaining: make([][]float64, g.layers+1), nodesAt: make([][]int, g.layers)}
	reached := make([]bool, g.layers+1)
	reached[0] = true
	for l := teaselstream.Layer(0); l < g.layers; l++ {
		if !reached[l] {
			continue
		}
		for i := range g.nodes {
			if g.nodes[i].layers.Contains(l) {
				t.nodesAt[l] = append(t.nodesAt[l], i)
			}
		}
		t.eachHop(l, func(_ *node, to teaselstream.Layer, _ int) {
			if to <= g.layers {
				reached[to] = true
			}
		})
	}
	t.remaining[g.layers] = make([]float64, len(g.transfer))
	for l := g.layers - 1; l >= 0; l-- {
		if reached[l] {
			t.remaining[l] = t.lowestCosts(l)
		}
	}
	return t
}

// eachHop calls f for each hop that may start at layer l, with the layer at its end; n is nil for a kept hop.
func (t *costTable) eachHop(l teaselstream.Layer, f func(n *node, to teaselstream.Layer, domain int)) {
	if k, ok := t.g.keptHops[l]; ok {
		f(nil, k.hop.To, k.domain)
		return
	}
	for _, i := range t.nodesAt[l] {
		n := &t.g.nodes[i]
		f(n, t.g.hopEnd(n, l), n.domain)
	}
}

// costFrom returns the cost of a hop at layer l and of the best chain after it, without the transfer to the hop.
func (t *costTable) costFrom(n *node, l, to teaselstream.Layer, domain int) float64 {
	if to > t.g.layers || to <= l || t.remaining[to] == nil {
		return math.Inf(1)
	}
	own := 0.0
	if n != nil {
		own = n.cost(t.r, int(to-l))
	}
	return own + t.remaining[to][domain]
}

// hop returns an option at layer l as a hop of a chain.
func (t *costTable) hop(l teaselstream.Layer, o hopOption) teaselstream.Hop {
	if o.node == nil {
		return t.g.keptHops[l].hop
	}
	return teaselstream.Hop{Server: o.node.id, Address: o.node.address, From: l, To: o.to}
}

// covered reports whether a chain leads to the end of the model after a hop from layer l to layer to.
func (t *costTable) covered(l, to teaselstream.Layer, domain int) bool {
	return !math.IsInf(t.costFrom(nil, l, to, domain), 1)
}

// transferCost returns the cost of a transfer from domain a to a hop at layer l in domain b.
// The first hop receives text instead of activations, so it costs the latency only.
func (t *costTable) transferCost(l teaselstream.Layer, a, b int) float64 {
	if l == 0 {
		return t.g.transfer[a][b].latency
	}
	return t.g.transferCost(t.r, a, b)
}

// lowestCosts returns the lowest cost from layer l to the end of the model for each domain of the activations.
func (t *costTable) lowestCosts(l teaselstream.Layer) []float64 {
	inside := make([]float64, len(t.g.transfer))
	for d := range inside {
		inside[d] = math.Inf(1)
	}
	t.eachHop(l, func(n *node, to teaselstream.Layer, d int) {
		inside[d] = min(inside[d], t.costFrom(n, l, to, d))
	})
	rest := make([]float64, len(inside))
	for a := range rest {
		rest[a] = math.Inf(1)
		for b, c := range inside {
			rest[a] = min(rest[a], t.transferCost(l, a, b)+c)
		}
	}
	return rest
}

// sample builds a chain from layer 0 and draws each hop among those that keep the chain within costTolerance.
func (t *costTable) sample(random *rand.Rand) ([]teaselstream.Hop, bool) {
	at, left := t.g.start, t.total()*costTolerance
	var chain []teaselstream.Hop
	for l := teaselstream.Layer(0); l < t.g.layers; {
		best := t.remaining[l][at]
		if math.IsInf(best, 1) {
			return nil, false
		}
		var options []hopOption
		t.eachHop(l, func(n *node, to teaselstream.Layer, d int) {
			excess := t.transferCost(l, at, d) + t.costFrom(n, l, to, d) - best
			if excess <= left || excess <= best*1e-9 {
				options = append(options, hopOption{node: n, to: to, domain: d, excess: excess, weight: sampleWeight(n, int(to-l), excess, left)})
			}
		})
		o := pickWeighted(random, options)
		chain = append(chain, t.hop(l, o))
		at, left, l = o.domain, max(left-o.excess, 0), o.to
	}
	return chain, true
}

// sampleWeight returns the weight of a hop, which grows with the server's capacity and falls with the excess cost.
func sampleWeight(n *node, layers int, excess, left float64) float64 {
	if n == nil {
		return 1
	}
	w := n.capacity / float64(layers)
	if left > 0 {
		w *= math.Exp(-sampleDecay * max(excess, 0) / left)
	}
	return w
}

// pickWeighted returns one of the options at random, with probabilities in proportion to their weights.
func pickWeighted(random *rand.Rand, options []hopOption) hopOption {
	total := 0.0
	for _, o := range options {
		total += o.weight
	}
	x := random.Float64() * total
	for _, o := range options {
		x -= o.weight
		if x < 0 {
			return o
		}
	}
	return options[len(options)-1]
}

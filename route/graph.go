package route

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

type (
	// node is a server that may run a hop of the plan.
	node struct {
		id      teaselstream.ServerID
		address string
		layers  teaselstream.LayerRange
		domain  int
		// timePerLayer is the time in seconds to run one layer for one token, queue wait included.
		timePerLayer float64
		// capacity is the rate of a full batch in layers of one token per second, scaled by the server's weight.
		capacity float64
		// outstanding is the reported number of requests, corrected by streams that started or ended since the report.
		outstanding int
		// cached is the expected number of prompt tokens whose prefill the server can skip.
		cached float64
	}

	// graph holds the part of a snapshot that one plan needs.
	graph struct {
		index  *index
		model  teaselstream.ModelID
		layers teaselstream.Layer
		nodes  []node
		// keptHops holds each kept hop under its first layer.
		keptHops map[teaselstream.Layer]keptHop
		// transfer[a][b] is the time to send activations from domain a to domain b.
		transfer [][]transfer
		start    int
		// vmFactor is the number of VMs, this one included, that are assumed to have started as many streams since the report.
		vmFactor int
	}

	// transfer holds the seconds that each message takes, and those that each token in it adds.
	transfer struct {
		latency  float64
		perToken float64
	}

	keptHop struct {
		hop    teaselstream.Hop
		domain int
	}
)

// maxVMFactor bounds vmFactor, a number of VMs: all VMs see the same delayed report and decide alike, but in a large
// fleet one stream of this VM says little about the others.
const maxVMFactor = 8

// PrefillTokensPerStep is the number of prompt tokens that an engine runs in the time of one decoding step.
// Prefill is bound by arithmetic and decoding by memory bandwidth, so one step fits many prompt tokens.
const PrefillTokensPerStep = 64

// newGraph returns the graph of a model's servers that take new work. Unless ignoreWeights is set, a server in slow start
// or on probation is included only at random, with its weight as the probability.
func (p *planner) newGraph(s *teaselstream.Snapshot, r teaselstream.PlanRequest, random teaselstream.Rand, ignoreWeights bool) *graph {
	x := p.index.get(s, &p.counters)
	g := &graph{index: x, model: r.Model, layers: s.Document.Models[r.Model].Layers, start: x.domains[s.Domain]}
	g.vmFactor = min(max(s.LiveVMs, 1), maxVMFactor)
	g.keptHops = make(map[teaselstream.Layer]keptHop, len(r.Keep))
	kept := make(map[teaselstream.ServerID]bool, len(r.Keep))
	for _, h := range r.Keep {
		kept[h.Server] = true
		g.keptHops[h.From] = keptHop{hop: h, domain: x.domains[s.Servers[h.Server].Domain]}
	}
	known := x.models[r.Model]
	g.nodes = make([]node, 0, len(known))
	for _, k := range known {
		v, ok := s.Servers[k.id]
		if !ok || r.Avoid[k.id] || kept[k.id] || !p.eligible(v.State) || v.Layers.Len() <= 0 {
			continue
		}
		w := weightOf(&v)
		if w < 1 && !ignoreWeights && random.Float64() >= w {
			continue
		}
		g.nodes = append(g.nodes, p.newNode(g, k, &v, w, r))
	}
	return g
}

// eligible reports whether the server's state allows new work.
func (p *planner) eligible(s teaselstream.ServerState) bool {
	if s == teaselstream.Leaving && p.Faults.Has(invar.IgnoreLeaving) {
		return true
	}
	return s.TakesNewWork()
}

func (p *planner) newNode(g *graph, k modelServer, v *teaselstream.ServerView, weight float64, r teaselstream.PlanRequest) node {
	own := k.counter.netChangeSince(v.Load.At.Add(-p.ReportLag))
	n := max(v.Load.Running+v.Load.Waiting+own*g.vmFactor, 0)
	slots := float64(max(v.MaxConcurrent, 1)) * weight
	layer := layerTime(v)
	e := node{
		id:           k.id,
		address:      v.Address,
		layers:       v.Layers,
		domain:       g.index.domains[v.Domain],
		timePerLayer: layer * (1 + float64(n)/slots),
		capacity:     slots / layer,
		outstanding:  n,
	}
	if p.Prefixes != nil {
		e.cached = p.Prefixes.ExpectedTokens(k.id, r.Prefixes)
	}
	return e
}

// layerTime returns the time in seconds for one layer and token at batch size 1, scaled by the measured slowdown.
func layerTime(v *teaselstream.ServerView) float64 {
	t := max(v.TimePerLayer, time.Microsecond).Seconds()
	if v.Slowdown > 0 {
		t *= v.Slowdown
	}
	return t
}

// weightOf returns the server's weight, or 1 if it is out of range.
func weightOf(v *teaselstream.ServerView) float64 {
	if v.Weight <= 0 || v.Weight > 1 {
		return 1
	}
	return v.Weight
}

// cachedNodes returns copies of the nodes that have part of the prompt cached.
func (g *graph) cachedNodes() []node {
	var hit []node
	for _, n := range g.nodes {
		if n.cached > 0 {
			hit = append(hit, n)
		}
	}
	return hit
}

// clearCached makes the graph ignore cached prefixes.
func (g *graph) clearCached() {
	for i := range g.nodes {
		g.nodes[i].cached = 0
	}
}

// hopEnd returns the layer at which a hop of node n that starts at layer l ends: at the end of the node's range,
// or where the next kept hop starts.
func (g *graph) hopEnd(n *node, l teaselstream.Layer) teaselstream.Layer {
	to := min(n.layers.To, g.layers)
	for from := range g.keptHops {
		if from > l && from < to {
			to = from
		}
	}
	return to
}

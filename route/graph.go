package route

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

type (
	// node is a server that may take a hop of the plan.
	node struct {
		id      teaselstream.ServerID
		address string
		layers  teaselstream.LayerRange
		domain  int
		// step is the time in seconds to run one layer for one token, queue wait included.
		step float64
		// capacity is the rate in layers per second, scaled by the server's weight.
		capacity float64
		// outstanding is the reported load corrected by own streams since the report.
		outstanding int
		// cached is the expected number of prompt tokens whose prefill the server can skip.
		cached float64
	}

	// graph holds what one plan needs of a snapshot.
	graph struct {
		index  *index
		model  teaselstream.ModelID
		layers teaselstream.Layer
		nodes  []node
		// keep maps the first layer of each kept hop to the hop.
		keep map[teaselstream.Layer]keptHop
		// transfer[a][b] is what it takes to move activations from domain a to b.
		transfer [][]transfer
		start    int
		// peers is the number of VMs that are taken to have started as many streams as this one since the report.
		peers int
	}

	// transfer holds the seconds for each message and for each token in it.
	transfer struct {
		latency float64
		wire    float64
	}

	keptHop struct {
		hop    teaselstream.Hop
		domain int
	}
)

// maxPeers bounds the factor on own streams since the report: all VMs see the same old report and act alike,
// but in a large fleet one own stream says little about the others.
const maxPeers = 8

// PrefillTokensPerStep is the number of prompt tokens that an engine runs in the time of one decoding step.
// Prefill is bound by arithmetic and decoding by memory bandwidth, so one step fits many prompt tokens.
const PrefillTokensPerStep = 64

// newGraph returns the graph of a model's servers; everyone ignores slow start and probation weights.
func (p *planner) newGraph(s *teaselstream.Snapshot, r teaselstream.PlanRequest, random teaselstream.Rand, everyone bool) *graph {
	x := p.index.of(s, &p.counters)
	g := &graph{index: x, model: r.Model, layers: s.Document.Models[r.Model].Layers, start: x.domains[s.Domain]}
	g.peers = min(max(s.LiveVMs, 1), maxPeers)
	g.keep = make(map[teaselstream.Layer]keptHop, len(r.Keep))
	kept := make(map[teaselstream.ServerID]bool, len(r.Keep))
	for _, h := range r.Keep {
		kept[h.Server] = true
		g.keep[h.From] = keptHop{hop: h, domain: x.domains[s.Servers[h.Server].Domain]}
	}
	known := x.models[r.Model]
	g.nodes = make([]node, 0, len(known))
	for _, k := range known {
		v, ok := s.Servers[k.id]
		if !ok || r.Avoid[k.id] || kept[k.id] || !p.eligible(v.State) || v.Layers.Len() <= 0 {
			continue
		}
		w := weightOf(&v)
		if w < 1 && !everyone && random.Float64() >= w {
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

func (p *planner) newNode(g *graph, k known, v *teaselstream.ServerView, weight float64, r teaselstream.PlanRequest) node {
	own := k.counter.since(v.Load.At.Add(-p.ReportLag))
	n := max(v.Load.Running+v.Load.Waiting+own*g.peers, 0)
	slots := float64(max(v.MaxConcurrent, 1)) * weight
	layer := layerTime(v)
	e := node{
		id:          k.id,
		address:     v.Address,
		layers:      v.Layers,
		domain:      g.index.domains[v.Domain],
		step:        layer * (1 + float64(n)/slots),
		capacity:    slots / layer,
		outstanding: n,
	}
	if p.Prefixes != nil {
		e.cached = p.Prefixes.ExpectedTokens(k.id, r.Prefixes)
	}
	return e
}

// layerTime returns the measured time in seconds for one layer and token at batch size 1.
func layerTime(v *teaselstream.ServerView) float64 {
	t := max(v.TimePerLayer, time.Microsecond).Seconds()
	if v.Slowdown > 0 {
		t *= v.Slowdown
	}
	return t
}

func weightOf(v *teaselstream.ServerView) float64 {
	if v.Weight <= 0 || v.Weight > 1 {
		return 1
	}
	return v.Weight
}

// cachedOnly returns copies of the nodes that have part of the prompt cached.
func (g *graph) cachedOnly() []node {
	var hit []node
	for _, n := range g.nodes {
		if n.cached > 0 {
			hit = append(hit, n)
		}
	}
	return hit
}

func (g *graph) forgetCached() {
	for i := range g.nodes {
		g.nodes[i].cached = 0
	}
}

// end returns the layer at which a hop of node n that starts at layer l ends.
// Kept hops stay as they are, so a hop ends where the next kept hop starts.
func (g *graph) end(n *node, l teaselstream.Layer) teaselstream.Layer {
	to := min(n.layers.To, g.layers)
	for from := range g.keep {
		if from > l && from < to {
			to = from
		}
	}
	return to
}

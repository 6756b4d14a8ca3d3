package route

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

// fullLink is the share of a link's rate from which its price grows steeply, so that it stays below its rate.
const (
	fullLink  = 0.9
	steepness = 200
)

// addTransfers fills in the time to move one token's activations between domains.
// The link's load is estimated from own streams times the number of live VMs, since no one reports it;
// moves is the number of activations that a request moves.
func (p *planner) addTransfers(now time.Time, g *graph, s *teaselstream.Snapshot, moves float64) {
	bytes := float64(s.Document.Models[g.model].ActivationBytes)
	names := g.index.names
	g.transfer = make([][]transfer, len(names))
	for a := range names {
		g.transfer[a] = make([]transfer, len(names))
		for b := range names {
			l := g.index.links[a][b]
			t := transfer{latency: l.Latency.Seconds()}
			if l.Rate > 0 {
				wire := bytes / float64(l.Rate)
				load := 0.0
				if a != b {
					load = p.counters.link(names[a], names[b]).rate(now) * float64(max(s.LiveVMs, 1)) * moves * wire
				}
				t.wire = wire * (1 + linkPrice(load))
			}
			g.transfer[a][b] = t
		}
	}
}

// linkPrice returns the expected wait on a link in multiples of one transfer: that of a single queue
// below fullLink, and a steep line above.
func linkPrice(load float64) float64 {
	if load < fullLink {
		return load / (1 - load)
	}
	return fullLink/(1-fullLink) + (load-fullLink)*steepness
}

// tokens returns the number of decoding steps and the number of prompt tokens of a request.
func tokens(r teaselstream.PlanRequest) (steps, prompt float64) {
	return float64(max(r.MaxTokens, 1)), float64(max(r.PromptTokens, 0))
}

// cost returns the estimated seconds that node n adds to a request for the given layers.
func (n *node) cost(r teaselstream.PlanRequest, layers int) float64 {
	steps, prompt := tokens(r)
	return n.step * float64(layers) * (steps + max(prompt-n.cached, 0)/PrefillTokensPerStep)
}

// move returns the estimated seconds to move a request's activations from domain a to domain b.
func (g *graph) move(r teaselstream.PlanRequest, a, b int) float64 {
	steps, prompt := tokens(r)
	t := g.transfer[a][b]
	return t.latency*(steps+prompt/PrefillTokensPerStep) + t.wire*(steps+prompt)
}

// estimate returns the plan of a chain with its expected times.
func (g *graph) estimate(s *teaselstream.Snapshot, r teaselstream.PlanRequest, chain []teaselstream.Hop) teaselstream.Plan {
	_, prompt := tokens(r)
	per, prefill := 0.0, 0.0
	at := g.start
	for i, h := range chain {
		v := s.Servers[h.Server]
		t, cached := layerTime(&v), 0.0
		if j := slices.IndexFunc(g.nodes, func(n node) bool { return n.id == h.Server }); j >= 0 {
			t, cached = g.nodes[j].step, g.nodes[j].cached
		}
		t *= float64(h.To - h.From)
		to := g.index.domains[v.Domain]
		move := g.transfer[at][to]
		if i == 0 {
			move = transfer{latency: move.latency}
		}
		per += t + move.latency + move.wire
		rest := max(prompt-cached, 0)
		prefill += (t+move.latency)*rest/PrefillTokensPerStep + move.wire*rest
		at = to
	}
	seconds := func(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
	return teaselstream.Plan{Chain: chain, PerToken: seconds(per), FirstToken: seconds(prefill + per)}
}

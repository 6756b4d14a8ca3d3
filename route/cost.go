package route

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

// A link's estimated wait grows steeply from a load of steepLoad, so that its traffic stays below its rate.
const (
	// steepLoad is a fraction of the link's rate.
	steepLoad = 0.9
	// steepSlope is in transfer times per unit of load.
	steepSlope = 200
)

// addTransfers sets the time to send one token's activations between domains.
// No report contains the load of a link, so it is estimated from this VM's streams times the number of live VMs;
// meanTransfers is the mean number of activations that a request sends over a link.
func (p *planner) addTransfers(now time.Time, g *graph, s *teaselstream.Snapshot, meanTransfers float64) {
	bytes := float64(s.Document.Models[g.model].ActivationBytes)
	domainNames := g.index.domainNames
	g.transfer = make([][]transfer, len(domainNames))
	for a := range domainNames {
		g.transfer[a] = make([]transfer, len(domainNames))
		for b := range domainNames {
			l := g.index.links[a][b]
			t := transfer{latency: l.Latency.Seconds()}
			if l.Rate > 0 {
				perToken := bytes / float64(l.Rate)
				load := 0.0
				if a != b {
					load = p.counters.link(domainNames[a], domainNames[b]).rate(now) * float64(max(s.LiveVMs, 1)) * meanTransfers * perToken
				}
				t.perToken = perToken * (1 + linkWait(load))
			}
			g.transfer[a][b] = t
		}
	}
}

// linkWait returns the expected wait on a link in multiples of one transfer time: that of an M/M/1 queue
// below steepLoad, and a line with slope steepSlope above it.
func linkWait(load float64) float64 {
	if load < steepLoad {
		return load / (1 - load)
	}
	return steepLoad/(1-steepLoad) + (load-steepLoad)*steepSlope
}

// requestSize returns the numbers of decoding steps and of prompt tokens of a request.
func requestSize(r teaselstream.PlanRequest) (steps, prompt float64) {
	return float64(max(r.MaxTokens, 1)), float64(max(r.PromptTokens, 0))
}

// cost returns the estimated seconds that node n adds to a request for the given layers.
func (n *node) cost(r teaselstream.PlanRequest, layers int) float64 {
	steps, prompt := requestSize(r)
	return n.timePerLayer * float64(layers) * (steps + max(prompt-n.cached, 0)/PrefillTokensPerStep)
}

// transferCost returns the estimated seconds to send a request's activations from domain a to domain b.
func (g *graph) transferCost(r teaselstream.PlanRequest, a, b int) float64 {
	steps, prompt := requestSize(r)
	t := g.transfer[a][b]
	return t.latency*(steps+prompt/PrefillTokensPerStep) + t.perToken*(steps+prompt)
}

// estimate returns a plan with the chain and its estimated times.
func (g *graph) estimate(s *teaselstream.Snapshot, r teaselstream.PlanRequest, chain []teaselstream.Hop) teaselstream.Plan {
	_, prompt := requestSize(r)
	per, prefill := 0.0, 0.0
	at := g.start
	for i, h := range chain {
		v := s.Servers[h.Server]
		t, cached := layerTime(&v), 0.0
		if j := slices.IndexFunc(g.nodes, func(n node) bool { return n.id == h.Server }); j >= 0 {
			t, cached = g.nodes[j].timePerLayer, g.nodes[j].cached
		}
		t *= float64(h.To - h.From)
		to := g.index.domains[v.Domain]
		move := g.transfer[at][to]
		if i == 0 {
			move = transfer{latency: move.latency}
		}
		per += t + move.latency + move.perToken
		rest := max(prompt-cached, 0)
		prefill += (t+move.latency)*rest/PrefillTokensPerStep + move.perToken*rest
		at = to
	}
	seconds := func(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
	return teaselstream.Plan{Chain: chain, PerToken: seconds(per), FirstToken: seconds(prefill + per)}
}

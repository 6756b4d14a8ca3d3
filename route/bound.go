package route

import (
	"maps"
	"math"
	"slices"

	"github.com/teaselstream/teaselstream"
)

type (
	// boundary is the point between layers at which activations in a domain wait for the next hop.
	boundary struct {
		layer  teaselstream.Layer
		domain teaselstream.DomainID
	}

	inlet  struct{ server teaselstream.ServerID }
	outlet struct{ server teaselstream.ServerID }
	end    struct{ sink bool }

	// stageGraph is the flow graph of one model, with capacities in requests per second.
	stageGraph struct {
		flow
		model   teaselstream.Model
		domains map[teaselstream.DomainID]bool
		ends    map[teaselstream.Layer]bool
		// steps and moves are the batch slots and the activations per request.
		steps float64
		moves float64
	}
)

// TokenRateBound returns the largest rate in tokens per second at which the document's servers and links
// can run all models together.
//
// A server's capacity is that of its whole range, and a link's capacity applies to each boundary
// separately, so links shared by several boundaries can only make the true rate lower.
func TokenRateBound(d *teaselstream.Document) float64 { return RequestRateBound(d, 0, 1) }

// RequestRateBound returns the largest rate in requests per second for requests of the given size.
func RequestRateBound(d *teaselstream.Document, promptTokens, answerTokens int) float64 {
	total := 0.0
	for _, m := range d.Models {
		total += modelBound(d, m, promptTokens, answerTokens)
	}
	return total
}

// ServerTokenRate returns the rate in tokens per second at which a server runs its whole range with full batches.
func ServerTokenRate(s teaselstream.Server) float64 {
	return float64(max(s.MaxConcurrent, 1)) / (s.TimePerLayer.Seconds() * float64(s.Layers.Len()))
}

func modelBound(d *teaselstream.Document, m teaselstream.Model, prompt, answer int) float64 {
	f := &stageGraph{
		model:   m,
		domains: map[teaselstream.DomainID]bool{},
		ends:    map[teaselstream.Layer]bool{0: true},
		steps:   float64(answer) + float64(prompt)/PrefillTokensPerStep,
		moves:   float64(answer + prompt),
	}
	var servers []teaselstream.Server
	for _, id := range slices.Sorted(maps.Keys(d.Servers)) {
		s := d.Servers[id]
		if s.Kind != teaselstream.KindService && s.Model == m.Name && s.Layers.Len() > 0 {
			servers = append(servers, s)
			f.domains[s.Domain] = true
			f.ends[min(s.Layers.To, m.Layers)] = true
		}
	}
	for _, s := range servers {
		f.addServer(s)
	}
	f.addLinks(d)
	source, sink := f.id(end{}), f.id(end{sink: true})
	for _, x := range slices.Sorted(maps.Keys(f.domains)) {
		f.join(source, f.id(boundary{0, x}), math.Inf(1))
		f.join(f.id(boundary{m.Layers, x}), sink, math.Inf(1))
	}
	return f.maximum(source, sink)
}

func (f *stageGraph) addServer(s teaselstream.Server) {
	in, out := f.id(inlet{s.Name}), f.id(outlet{s.Name})
	f.join(in, out, ServerTokenRate(s)/f.steps)
	for _, l := range slices.Sorted(maps.Keys(f.ends)) {
		if s.Layers.Contains(l) {
			f.join(f.id(boundary{l, s.Domain}), in, math.Inf(1))
		}
	}
	f.join(out, f.id(boundary{min(s.Layers.To, f.model.Layers), s.Domain}), math.Inf(1))
}

// addLinks joins the domains at each boundary; a pair of domains without a listed rate has no limit.
func (f *stageGraph) addLinks(d *teaselstream.Document) {
	capacity := map[[2]teaselstream.DomainID]float64{}
	for _, k := range d.Links {
		if k.Rate > 0 && f.model.ActivationBytes > 0 {
			x := float64(k.Rate) / float64(f.model.ActivationBytes) / f.moves
			capacity[[2]teaselstream.DomainID{k.A, k.B}] = x
			capacity[[2]teaselstream.DomainID{k.B, k.A}] = x
		}
	}
	domains := slices.Sorted(maps.Keys(f.domains))
	for _, l := range slices.Sorted(maps.Keys(f.ends)) {
		if l == 0 || l >= f.model.Layers {
			continue
		}
		for _, a := range domains {
			for _, b := range domains {
				if a == b {
					continue
				}
				x, ok := capacity[[2]teaselstream.DomainID{a, b}]
				if !ok {
					x = math.Inf(1)
				}
				f.join(f.id(boundary{l, a}), f.id(boundary{l, b}), x)
			}
		}
	}
}

package route

import (
	"maps"
	"math"
	"slices"

	"github.com/teaselstream/teaselstream"
)

type (
	// boundary is the node for activations in a domain that have passed all layers before the given one.
	boundary struct {
		layer  teaselstream.Layer
		domain teaselstream.DomainID
	}

	// serverInput and serverOutput are the two nodes of a server; the arc between them has the server's capacity.
	serverInput  struct{ server teaselstream.ServerID }
	serverOutput struct{ server teaselstream.ServerID }

	// terminal is the source or the sink.
	terminal struct{ sink bool }

	// capacityGraph is the flow graph of one model, with capacities in requests per second.
	capacityGraph struct {
		flowNetwork
		model   teaselstream.Model
		domains map[teaselstream.DomainID]bool
		// boundaries holds 0 and the layers at which the servers' ranges end.
		boundaries map[teaselstream.Layer]bool
		// stepsPerRequest is the number of batch slots of a decoding step that a request takes, prefill included.
		stepsPerRequest float64
		// transfersPerRequest is the number of tokens whose activations a request sends over a link.
		transfersPerRequest float64
	}
)

// TokenRateBound returns the largest rate in tokens per second at which the document's servers and links
// can run all models together.
//
// A server's capacity is that of its whole range. A link's capacity applies to each boundary separately, so the
// true rate is lower where several boundaries share a link.
func TokenRateBound(d *teaselstream.Document) float64 { return RequestRateBound(d, 0, 1) }

// RequestRateBound returns the bound in requests per second for requests with the given numbers of tokens.
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
	f := &capacityGraph{
		model:               m,
		domains:             map[teaselstream.DomainID]bool{},
		boundaries:          map[teaselstream.Layer]bool{0: true},
		stepsPerRequest:     float64(answer) + float64(prompt)/PrefillTokensPerStep,
		transfersPerRequest: float64(answer + prompt),
	}
	var servers []teaselstream.Server
	for _, id := range slices.Sorted(maps.Keys(d.Servers)) {
		s := d.Servers[id]
		if s.Kind != teaselstream.KindService && s.Model == m.Name && s.Layers.Len() > 0 {
			servers = append(servers, s)
			f.domains[s.Domain] = true
			f.boundaries[min(s.Layers.To, m.Layers)] = true
		}
	}
	for _, s := range servers {
		f.addServer(s)
	}
	f.addLinks(d)
	source, sink := f.id(terminal{}), f.id(terminal{sink: true})
	for _, x := range slices.Sorted(maps.Keys(f.domains)) {
		f.addArc(source, f.id(boundary{0, x}), math.Inf(1))
		f.addArc(f.id(boundary{m.Layers, x}), sink, math.Inf(1))
	}
	return f.maxFlow(source, sink)
}

func (f *capacityGraph) addServer(s teaselstream.Server) {
	in, out := f.id(serverInput{s.Name}), f.id(serverOutput{s.Name})
	f.addArc(in, out, ServerTokenRate(s)/f.stepsPerRequest)
	for _, l := range slices.Sorted(maps.Keys(f.boundaries)) {
		if s.Layers.Contains(l) {
			f.addArc(f.id(boundary{l, s.Domain}), in, math.Inf(1))
		}
	}
	f.addArc(out, f.id(boundary{min(s.Layers.To, f.model.Layers), s.Domain}), math.Inf(1))
}

// addLinks connects the domains at each boundary; a pair of domains without a listed rate has no limit.
func (f *capacityGraph) addLinks(d *teaselstream.Document) {
	capacity := map[[2]teaselstream.DomainID]float64{}
	for _, k := range d.Links {
		if k.Rate > 0 && f.model.ActivationBytes > 0 {
			x := float64(k.Rate) / float64(f.model.ActivationBytes) / f.transfersPerRequest
			capacity[[2]teaselstream.DomainID{k.A, k.B}] = x
			capacity[[2]teaselstream.DomainID{k.B, k.A}] = x
		}
	}
	domains := slices.Sorted(maps.Keys(f.domains))
	for _, l := range slices.Sorted(maps.Keys(f.boundaries)) {
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
				f.addArc(f.id(boundary{l, a}), f.id(boundary{l, b}), x)
			}
		}
	}
}

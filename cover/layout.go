package cover

import (
	"cmp"
	"slices"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// slotShare is the share of a server's request slots for which it keeps KV-cache memory beside its layers. A path runs at
	// most as many requests as its first server has slots.
	slotShare = 0.8
	// defaultSlots (requests per server) and defaultTokens (tokens per request) apply if the platform does not state them.
	defaultSlots  = 128
	defaultTokens = 1000
	// tokenDecay is the factor by which the KV-cache capacity is lowered until the servers of a domain can hold all layers.
	tokenDecay = 0.85
	// minTokens is the least KV-cache capacity, in tokens, that a server keeps beside its layers.
	minTokens = 6000
)

// budget divides the memory of the servers of a domain between KV cache and layers.
type budget struct {
	// tokens is the KV-cache capacity, in tokens, that every server keeps.
	tokens int
	// copies is how many copies of all layers fit in the rest.
	copies int
}

// budgetOf returns the budget of a domain; its KV-cache capacity is lowered as far as needed for one copy of all layers.
func budgetOf(e *teaselstream.EngineSpec, members []*fleet.Member) budget {
	slots := defaultSlots
	for _, m := range members {
		slots = max(slots, m.Slots)
	}
	usual := e.UsualPrompt + e.UsualAnswer/2
	if usual <= 0 {
		usual = defaultTokens
	}
	for tokens := slotShare * float64(slots*usual); ; tokens *= tokenDecay {
		b := budget{tokens: max(int(tokens), minTokens)}
		layers := 0
		for _, m := range members {
			layers += e.MaxLayers(m.Accelerator, b.tokens)
		}
		b.copies = layers / int(max(e.Layers, 1))
		if b.copies > 0 || b.tokens == minTokens {
			return b
		}
	}
}

// layout assigns ranges to the servers of a domain in which none holds any layers. The fastest servers form as many copies
// as the memory allows; the other servers get no range here and later become additional holders.
//
// A copy on fast servers answers sooner and needs fewer parts. Dividing the layers in proportion to memory would give most
// of them to the slowest kind of server.
func layout(e *teaselstream.EngineSpec, members []*fleet.Member) map[teaselstream.ServerID]teaselstream.LayerRange {
	b := budgetOf(e, members)
	n := max(b.copies, 1)
	sorted := slices.Clone(members)
	slices.SortStableFunc(sorted, func(x, y *fleet.Member) int {
		a, b := e.Kinds[x.Accelerator], e.Kinds[y.Accelerator]
		return cmp.Or(cmp.Compare(a.Pace, b.Pace), cmp.Compare(b.Memory, a.Memory), cmp.Compare(x.ID, y.ID))
	})
	ends := make([]teaselstream.Layer, n)
	out := make(map[teaselstream.ServerID]teaselstream.LayerRange, len(members))
	for _, m := range sorted {
		least := 0
		for c := range ends {
			if ends[c] < ends[least] {
				least = c
			}
		}
		from := ends[least]
		to := min(from+teaselstream.Layer(e.MaxLayers(m.Accelerator, b.tokens)), e.Layers)
		if to > from {
			out[m.ID] = teaselstream.LayerRange{From: from, To: to}
			ends[least] = to
		}
	}
	return out
}

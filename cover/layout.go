package cover

import (
	"cmp"
	"slices"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// slotShare is the share of a server's slots for whose usual requests it keeps memory beside its layers. A path runs
	// at most as many requests as its first server has slots.
	slotShare = 0.8
	// defaultSlots and defaultTokens hold where the platform does not state slots or usual sizes.
	defaultSlots  = 128
	defaultTokens = 1000
	// tokenStep lowers the memory for requests until the servers of a domain can hold all layers.
	tokenStep = 0.85
	// minTokens is the least memory for requests, in tokens, that a server keeps beside its layers.
	minTokens = 6000
)

// budget is what the servers of a domain hold beside requests.
type budget struct {
	// tokens is the memory for requests, in tokens, that every server keeps.
	tokens int
	// copies is how many times the servers can hold all layers beside that.
	copies int
}

// budgetOf returns the memory that servers keep for requests, lowered as far as needed for one copy of all layers.
func budgetOf(e *teaselstream.EngineSpec, members []*fleet.Member) budget {
	slots := defaultSlots
	for _, m := range members {
		slots = max(slots, m.Slots)
	}
	usual := e.MeanPromptTokens + e.MeanAnswerTokens/2
	if usual <= 0 {
		usual = defaultTokens
	}
	for tokens := slotShare * float64(slots*usual); ; tokens *= tokenStep {
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

// layout gives the servers of a domain ranges, for a domain in which none holds any layers. The fastest servers form
// as many copies as the memory allows; servers that are left get no range and serve as second holders.
//
// A copy of fast servers answers in less time, and needs fewer parts. Cutting layers in proportion to memory instead
// gives most layers to the slowest kind.
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

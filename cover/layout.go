package cover

import (
	"cmp"
	"slices"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// copyFree is the least share of a domain's memory that a further copy must leave for requests. Memory for
	// requests binds before processing does, and another domain's copy serves while a lost range is loaded again.
	copyFree = 0.48
	// maxCopyServers is the most servers that one copy is cut over, so that paths with some shared parts stay below their longest length.
	maxCopyServers = 20
	// minTokens is the least memory for requests, in tokens, that a server keeps beside its layers.
	minTokens = 6000
)

// copies returns how many copies of all layers a set of servers holds.
func copies(e *teaselstream.EngineSpec, members []*fleet.Member) int {
	var memory teaselstream.Bytes
	most := 0
	for _, m := range members {
		memory += e.Kinds[m.Accelerator].Memory
		most += e.MaxLayers(m.Accelerator, minTokens)
	}
	weights := e.BytesPerLayer * teaselstream.Bytes(e.Layers)
	if weights <= 0 || memory <= 0 {
		return 0
	}
	n := 1
	for ; n < len(members); n++ {
		free := 1 - float64(weights)*float64(n+1)/float64(memory)
		if most < (n+1)*int(e.Layers) {
			break
		}
		if free < copyFree && len(members) <= n*maxCopyServers {
			break
		}
	}
	return n
}

// layout gives every server of a domain a range, for a domain in which none holds any layers.
//
// Servers are dealt to copies so that the copies have like memory, and each copy is cut in proportion to memory,
// so that the memory left for requests is even over its layers.
func layout(e *teaselstream.EngineSpec, members []*fleet.Member) map[teaselstream.ServerID]teaselstream.LayerRange {
	n := copies(e, members)
	if n == 0 {
		return nil
	}
	sorted := slices.Clone(members)
	slices.SortStableFunc(sorted, func(a, b *fleet.Member) int {
		return cmp.Or(cmp.Compare(e.Kinds[b.Accelerator].Memory, e.Kinds[a.Accelerator].Memory), cmp.Compare(a.ID, b.ID))
	})
	groups := make([][]*fleet.Member, n)
	sums := make([]teaselstream.Bytes, n)
	for _, m := range sorted {
		least := 0
		for g := range sums {
			if sums[g] < sums[least] {
				least = g
			}
		}
		groups[least] = append(groups[least], m)
		sums[least] += e.Kinds[m.Accelerator].Memory
	}
	out := make(map[teaselstream.ServerID]teaselstream.LayerRange, len(members))
	for _, g := range groups {
		for id, r := range cut(e, g) {
			out[id] = r
		}
	}
	return out
}

// cut divides all layers among the servers of one copy, in proportion to memory and within what each holds.
func cut(e *teaselstream.EngineSpec, members []*fleet.Member) map[teaselstream.ServerID]teaselstream.LayerRange {
	var memory float64
	for _, m := range members {
		memory += float64(e.Kinds[m.Accelerator].Memory)
	}
	if memory == 0 {
		return nil
	}
	counts := make([]int, len(members))
	left := int(e.Layers)
	for i, m := range members {
		share := float64(e.Layers) * float64(e.Kinds[m.Accelerator].Memory) / memory
		counts[i] = min(int(share), e.MaxLayers(m.Accelerator, minTokens), left)
		left -= counts[i]
	}
	for left > 0 {
		best := -1
		for i, m := range members {
			if counts[i] >= e.MaxLayers(m.Accelerator, minTokens) {
				continue
			}
			if best < 0 || e.CacheTokens(m.Accelerator, counts[i]+1) > e.CacheTokens(members[best].Accelerator, counts[best]+1) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
		left--
	}
	out := make(map[teaselstream.ServerID]teaselstream.LayerRange, len(members))
	at := teaselstream.Layer(0)
	for i, m := range members {
		to := at + teaselstream.Layer(counts[i])
		if to > at {
			out[m.ID] = teaselstream.LayerRange{From: at, To: to}
		}
		at = to
	}
	return out
}

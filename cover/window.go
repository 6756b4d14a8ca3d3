package cover

import (
	"slices"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// maxExtraLayers is how many layers over its normal number an empty server may load to cover layers without a holder.
	maxExtraLayers = 4
	// uncoveredGain, underReplicatedGain and replicatedGain weigh a layer without a holder, one with fewer holders than copies
	// in the budget, and any other. Gains and penalties are relative weights without a unit.
	uncoveredGain       = 100.0
	underReplicatedGain = 10.0
	replicatedGain      = 1.0
	// speedGain weighs how much faster a server is than the fastest holder of a layer.
	speedGain = 3.0
	// exposureGain weighs the layers that would be lost together with one server.
	exposureGain = 4.0
	// extraLayerPenalty is the penalty for each layer over the normal number, which takes memory from the KV cache.
	extraLayerPenalty = 4.0
	// alignGain rewards a window that begins where another server's range ends or ends where one begins, which keeps paths
	// short.
	alignGain = 0.5
)

// placeEmpty orders an empty server to load the window of layers with the highest score.
func (s *domainState) placeEmpty() (Hold, bool) {
	_, hasGap := s.gap()
	for _, m := range s.live {
		if !s.nearlyEmpty(m) || !s.hasNoOrder(m) {
			continue
		}
		since, ok := s.decider.emptySince[m.ID]
		if !ok {
			since = s.now
			s.decider.emptySince[m.ID] = since
		}
		short := slices.Min(s.planned) < s.budget.copies
		if !hasGap && !short && s.now.Sub(since) < emptyReserveTime {
			continue
		}
		r := s.window(m)
		if r.Empty() {
			continue
		}
		s.assign(m, r)
		return newHold(m, r, "empty server"), true
	}
	return Hold{}, false
}

// nearlyEmpty reports whether a server holds nothing, or only the one layer to which moveSpare shrank it.
func (s *domainState) nearlyEmpty(m *fleet.Member) bool {
	return m.Holds.Empty() || m.Holds.Len() == 1 && s.normalLayers(m) > 2 && s.allSpare(m)
}

// window returns the range with the highest score for an empty server. Its length is the normal number of layers, one
// less, or up to maxExtraLayers more.
func (s *domainState) window(m *fleet.Member) teaselstream.LayerRange {
	normal := s.normalLayers(m)
	most := s.engine.MaxLayers(m.Accelerator, minTokens) - m.Holds.Len()
	sums := s.cumulativeGains(m)
	begins, ends := s.boundaryCounts()
	var best teaselstream.LayerRange
	bestScore := 0.0
	for n := max(normal-1, 1); n <= min(normal+maxExtraLayers, most); n++ {
		for from := teaselstream.Layer(0); from+teaselstream.Layer(n) <= s.engine.Layers; from++ {
			r := teaselstream.LayerRange{From: from, To: from + teaselstream.Layer(n)}
			score := sums[r.To] - sums[r.From] + alignGain*float64(ends[r.From]+begins[r.To]) - float64(max(n-normal, 0))*extraLayerPenalty
			if score > bestScore {
				best, bestScore = r, score
			}
		}
	}
	return best
}

// cumulativeGains returns the sum of a server's layer gains below each boundary, so that a window's gain is a difference.
func (s *domainState) cumulativeGains(m *fleet.Member) []float64 {
	sums := make([]float64, s.engine.Layers+1)
	for l := range s.engine.Layers {
		sums[l+1] = sums[l] + s.layerGain(m, l)
	}
	return sums
}

// layerGain returns the gain for the domain if a server also holds a layer.
func (s *domainState) layerGain(m *fleet.Member, l teaselstream.Layer) float64 {
	switch n := s.planned[l]; {
	case n == 0:
		return uncoveredGain
	case n < s.budget.copies:
		return underReplicatedGain / float64(n)
	default:
		return replicatedGain*s.memoryPressure(l)*(1+s.exposure(l)) + speedGain*s.speedup(m, l)
	}
}

// boundaryCounts counts the servers whose planned range begins and ends at each boundary.
func (s *domainState) boundaryCounts() (begins, ends []int) {
	begins, ends = make([]int, s.engine.Layers+1), make([]int, s.engine.Layers+1)
	for _, x := range s.live {
		if f := s.plannedRange(x); !f.Empty() && f.From >= 0 && f.To <= s.engine.Layers {
			begins[f.From]++
			ends[f.To]++
		}
	}
	return begins, ends
}

// speedup returns how much less time a layer takes on a server than on its fastest holder, as a share of the slowest
// kind's time.
func (s *domainState) speedup(m *fleet.Member, l teaselstream.Layer) float64 {
	best, slowest := 0.0, 0.0
	for _, x := range s.live {
		pace := s.engine.Kinds[x.Accelerator].Pace
		slowest = max(slowest, pace)
		if s.plannedRange(x).Contains(l) && (best == 0 || pace < best) {
			best = pace
		}
	}
	return max(best-s.engine.Kinds[m.Accelerator].Pace, 0) / max(slowest, 1)
}

// exposure returns the weighted share of all layers that is lost with the largest holder of a layer, and would have to be
// loaded again. It is 0 if the layer has more holders than copies in the budget.
func (s *domainState) exposure(l teaselstream.Layer) float64 {
	if s.planned[l] > s.budget.copies {
		return 0
	}
	largest := 0
	for _, m := range s.live {
		if f := s.plannedRange(m); f.Contains(l) {
			largest = max(largest, f.Len())
		}
	}
	return exposureGain * float64(largest) / float64(s.engine.Layers)
}

// memoryPressure returns the mean KV-cache capacity over all layers divided by that of a layer's holders; a higher value
// means less capacity.
func (s *domainState) memoryPressure(l teaselstream.Layer) float64 {
	if s.tokens == nil {
		s.tokens = make([]float64, s.engine.Layers)
		for _, m := range s.live {
			f := s.plannedRange(m)
			for x := max(f.From, 0); x < min(f.To, s.engine.Layers); x++ {
				s.tokens[x] += float64(s.engine.CacheTokens(m.Accelerator, f.Len()))
			}
		}
		for _, t := range s.tokens {
			s.meanTokens += t / float64(s.engine.Layers)
		}
	}
	return s.meanTokens / max(s.tokens[l], 1)
}

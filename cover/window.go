package cover

import (
	"slices"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// extraLayers is how many layers over its usual number an empty server takes to close a hole.
	extraLayers = 4
	// holeGain, shortGain and spareGain weigh a layer that nobody holds, one with too few holders, and any other.
	holeGain  = 100.0
	shortGain = 10.0
	spareGain = 1.0
	// speedGain weighs how much faster a server is than the fastest holder of a layer.
	speedGain = 3.0
	// exposureGain weighs the layers that would be lost with one server.
	exposureGain = 4.0
	// overPenalty is the price of a layer beyond the usual number, which takes memory from requests.
	overPenalty = 4.0
	// alignGain rewards a window that begins or ends where another server's does, which keeps paths short.
	alignGain = 0.5
)

// fillEmpty gives an empty server the window of layers that gains most.
func (s *survey) fillEmpty() (Hold, bool) {
	_, hasGap := s.gap()
	for _, m := range s.live {
		if !s.nearlyEmpty(m) || !s.free(m) {
			continue
		}
		since, ok := s.decider.empty[m.ID]
		if !ok {
			since = s.now
			s.decider.empty[m.ID] = since
		}
		short := slices.Min(s.held) < s.budget.copies
		if !hasGap && !short && s.now.Sub(since) < idleTime {
			continue
		}
		r := s.window(m)
		if r.Empty() {
			continue
		}
		s.give(m, r)
		return hold(m, r, "empty server"), true
	}
	return Hold{}, false
}

// nearlyEmpty reports whether a server holds nothing, or only the one layer that a move left it with.
func (s *survey) nearlyEmpty(m *fleet.Member) bool {
	return m.Holds.Empty() || m.Holds.Len() == 1 && s.usualLayers(m) > 2 && s.spare(m)
}

// window returns the range for an empty server: as many layers as its memory takes at the domain's usual
// ratio, or a few more to close a hole, where the holders are fewest.
func (s *survey) window(m *fleet.Member) teaselstream.LayerRange {
	usual := s.usualLayers(m)
	most := s.engine.MaxLayers(m.Accelerator, minTokens) - m.Holds.Len()
	sums := s.gains(m)
	begins, ends := s.edges()
	var best teaselstream.LayerRange
	bestScore := 0.0
	for n := max(usual-1, 1); n <= min(usual+extraLayers, most); n++ {
		for from := teaselstream.Layer(0); from+teaselstream.Layer(n) <= s.engine.Layers; from++ {
			r := teaselstream.LayerRange{From: from, To: from + teaselstream.Layer(n)}
			score := sums[r.To] - sums[r.From] + alignGain*float64(ends[r.From]+begins[r.To]) - float64(max(n-usual, 0))*overPenalty
			if score > bestScore {
				best, bestScore = r, score
			}
		}
	}
	return best
}

// gains returns what a server gains the domain with all layers below each boundary, so that a window's gain is a difference.
func (s *survey) gains(m *fleet.Member) []float64 {
	sums := make([]float64, s.engine.Layers+1)
	for l := range s.engine.Layers {
		sums[l+1] = sums[l] + s.gain(m, l)
	}
	return sums
}

// gain returns what a server gains the domain with one layer.
func (s *survey) gain(m *fleet.Member, l teaselstream.Layer) float64 {
	switch n := s.held[l]; {
	case n == 0:
		return holeGain
	case n < s.budget.copies:
		return shortGain / float64(n)
	default:
		return spareGain*s.tightness(l)*(1+s.exposure(l)) + speedGain*s.speedup(m, l)
	}
}

// edges counts the servers whose range begins and ends at each boundary.
func (s *survey) edges() (begins, ends []int) {
	begins, ends = make([]int, s.engine.Layers+1), make([]int, s.engine.Layers+1)
	for _, x := range s.live {
		if f := s.future(x); !f.Empty() && f.From >= 0 && f.To <= s.engine.Layers {
			begins[f.From]++
			ends[f.To]++
		}
	}
	return begins, ends
}

// speedup returns how much less time a layer would take, as a share of the slowest kind's time.
func (s *survey) speedup(m *fleet.Member, l teaselstream.Layer) float64 {
	best, slowest := 0.0, 0.0
	for _, x := range s.live {
		pace := s.engine.Kinds[x.Accelerator].Pace
		slowest = max(slowest, pace)
		if s.future(x).Contains(l) && (best == 0 || pace < best) {
			best = pace
		}
	}
	return max(best-s.engine.Kinds[m.Accelerator].Pace, 0) / max(slowest, 1)
}

// exposure is how much of a copy its largest holder would take away with a layer, which has to be loaded again.
func (s *survey) exposure(l teaselstream.Layer) float64 {
	if s.held[l] > s.budget.copies {
		return 0
	}
	largest := 0
	for _, m := range s.live {
		if f := s.future(m); f.Contains(l) {
			largest = max(largest, f.Len())
		}
	}
	return exposureGain * float64(largest) / float64(s.engine.Layers)
}

// tightness compares the memory for requests of a layer's holders with the domain's mean; a higher value is tighter.
func (s *survey) tightness(l teaselstream.Layer) float64 {
	if s.tokens == nil {
		s.tokens = make([]float64, s.engine.Layers)
		for _, m := range s.live {
			f := s.future(m)
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

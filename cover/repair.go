package cover

import (
	"cmp"
	"slices"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// comfortShare is the part of the domain's memory for requests that a server keeps when it takes over layers, as
	// long as another way to hold them is left. A server without that memory throttles its whole domain.
	comfortShare = 3
)

// next returns the most urgent order and counts it as given.
func (s *survey) next() (Hold, bool) {
	if h, ok := s.fillEmpty(); ok {
		return h, true
	}
	gap, ok := s.gap()
	if !ok {
		return s.shrink()
	}
	if h, ok := s.extend(gap, s.budget.tokens/comfortShare); ok {
		return h, true
	}
	if h, ok := s.move(gap); ok {
		return h, true
	}
	if h, ok := s.extend(gap, emptyFloor); ok {
		return h, true
	}
	return s.yield(gap)
}

// gap returns the longest run of layers that nobody will hold; a server that is only doubtful still counts.
func (s *survey) gap() (teaselstream.LayerRange, bool) {
	held := slices.Clone(s.held)
	for _, m := range s.doubtful {
		s.count(held, m.Holds, 1)
	}
	var best, run teaselstream.LayerRange
	for l := teaselstream.Layer(0); l <= s.engine.Layers; l++ {
		if l < s.engine.Layers && held[l] == 0 {
			run.To = l + 1
			continue
		}
		if run.Len() > best.Len() {
			best = run
		}
		run = teaselstream.LayerRange{From: l + 1, To: l + 1}
	}
	return best, !best.Empty()
}

// extend lets the neighbours of a gap grow into it without giving anything up. The gap is split between its two sides
// so that the tighter of the two keeps the most memory for requests, and at least that of a number of tokens; the other
// side follows with the next order.
func (s *survey) extend(gap teaselstream.LayerRange, least int) (Hold, bool) {
	var best *fleet.Member
	var bestRange teaselstream.LayerRange
	bestLeft, bestTokens := gap.Len()+1, 0
	for n := 0; n <= gap.Len(); n++ {
		left, leftTokens := s.neighbour(gap, n, least, true)
		right, rightTokens := s.neighbour(gap, gap.Len()-n, least, false)
		covered, tokens := 0, 0
		switch {
		case left != nil && right != nil:
			covered, tokens = gap.Len(), min(leftTokens, rightTokens)
		case left != nil:
			covered, tokens = n, leftTokens
		case right != nil:
			covered, tokens = gap.Len()-n, rightTokens
		}
		open := gap.Len() - covered
		if open < bestLeft && covered > 0 || open == bestLeft && tokens > bestTokens {
			m, r := right, teaselstream.LayerRange{From: gap.From + teaselstream.Layer(n), To: gap.To}
			if left != nil && n > 0 {
				m, r = left, teaselstream.LayerRange{From: gap.From, To: gap.From + teaselstream.Layer(n)}
			}
			best, bestRange, bestLeft, bestTokens = m, joined(m.Holds, r), open, tokens
		}
	}
	if best == nil {
		return Hold{}, false
	}
	s.give(best, bestRange)
	return hold(best, bestRange, "take over lost layers"), true
}

// joined returns the range from the beginning of the first to the end of the last of two ranges that touch.
func joined(a, b teaselstream.LayerRange) teaselstream.LayerRange {
	return teaselstream.LayerRange{From: min(a.From, b.From), To: max(a.To, b.To)}
}

// neighbour returns the server at one side of a gap that keeps the most memory for requests when it takes n of the
// gap's layers on that side; no server is needed for none.
func (s *survey) neighbour(gap teaselstream.LayerRange, n, least int, left bool) (*fleet.Member, int) {
	var best *fleet.Member
	bestTokens := 0
	for _, m := range s.live {
		if n == 0 || m.Holds.Empty() || !s.free(m) {
			continue
		}
		r := teaselstream.LayerRange{From: gap.From, To: gap.From + teaselstream.Layer(n)}
		touches := m.Holds.From < gap.From && m.Holds.To >= gap.From
		if !left {
			r = teaselstream.LayerRange{From: gap.To - teaselstream.Layer(n), To: gap.To}
			touches = m.Holds.To > gap.To && m.Holds.From <= gap.To
		}
		tokens := s.engine.CacheTokens(m.Accelerator, joined(m.Holds, r).Len())
		if touches && tokens >= least && tokens > bestTokens {
			best, bestTokens = m, tokens
		}
	}
	return best, bestTokens
}

// move shrinks a server whose layers are all held elsewhere, so that it can take the gap once it is nearly empty.
func (s *survey) move(gap teaselstream.LayerRange) (Hold, bool) {
	var able []*fleet.Member
	for _, m := range s.live {
		if s.free(m) && !m.Holds.Empty() && s.spare(m) && !m.Holds.Contains(gap.From) {
			able = append(able, m)
		}
	}
	if len(able) == 0 {
		return Hold{}, false
	}
	m := slices.MinFunc(able, func(a, b *fleet.Member) int {
		return cmp.Or(cmp.Compare(s.misfit(a, gap), s.misfit(b, gap)), cmp.Compare(a.ID, b.ID))
	})
	most := s.engine.MaxLayers(m.Accelerator, emptyFloor)
	want := teaselstream.LayerRange{From: gap.From, To: min(gap.To, gap.From+teaselstream.Layer(most))}
	if m.Holds.Len()+want.Len() <= s.engine.MaxLayers(m.Accelerator, 0) {
		s.give(m, want)
		h := hold(m, want, "move to lost layers")
		h.Cut = true
		return h, true
	}
	// A range that is given up stays in memory until its requests are done, so the server first shrinks to one layer.
	r := teaselstream.LayerRange{From: m.Holds.From, To: m.Holds.From + 1}
	if m.Holds.Len() == 1 {
		return Hold{}, false
	}
	s.give(m, r)
	// The layers count as held from now on, or each further server that could take them would make room too.
	s.orders[m.ID].next = want
	s.count(s.held, want, 1)
	h := hold(m, r, "make room for lost layers")
	h.Cut = true
	return h, true
}

// yield lets a neighbour of the gap give up layers at its far end that others hold, so that it can grow into the gap.
func (s *survey) yield(gap teaselstream.LayerRange) (Hold, bool) {
	for _, m := range s.live {
		if !s.free(m) || m.Holds.Len() < 2 {
			continue
		}
		r := m.Holds
		switch {
		case r.To == gap.From:
			for r.Len() > 1 && m.Holds.Len()-r.Len() < gap.Len() && s.shared(r.From) {
				r.From++
			}
		case r.From == gap.To:
			for r.Len() > 1 && m.Holds.Len()-r.Len() < gap.Len() && s.shared(r.To-1) {
				r.To--
			}
		}
		if r == m.Holds {
			continue
		}
		s.give(m, r)
		return hold(m, r, "make room to take over lost layers"), true
	}
	return Hold{}, false
}

// shared reports whether a layer has another holder that serves.
func (s *survey) shared(l teaselstream.Layer) bool { return s.held[l] > 1 && s.ready[l] > 1 }

// spare reports whether every layer of a server has another holder that serves.
func (s *survey) spare(m *fleet.Member) bool {
	for l := m.Holds.From; l < m.Holds.To; l++ {
		if !s.shared(l) {
			return false
		}
	}
	return true
}

// misfit prefers a server that already shrank, then the one whose size fits the gap best.
func (s *survey) misfit(m *fleet.Member, gap teaselstream.LayerRange) int {
	if m.Holds.Len() == 1 {
		return -1
	}
	n := s.engine.MaxLayers(m.Accelerator, emptyFloor)
	if n < gap.Len() {
		return 100 + gap.Len() - n
	}
	return n - gap.Len()
}

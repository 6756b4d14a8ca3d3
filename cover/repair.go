package cover

import (
	"cmp"
	"slices"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// takeoverDivisor divides the KV-cache capacity of the domain's budget: a server that takes over layers keeps at least the
	// quotient while there is another way to hold them. A server with less throttles its whole domain.
	takeoverDivisor = 3
)

// nextOrder returns the most urgent order and treats it as given from then on.
func (s *domainState) nextOrder() (Hold, bool) {
	if h, ok := s.placeEmpty(); ok {
		return h, true
	}
	gap, ok := s.gap()
	if !ok {
		if h, ok := s.addFirst(); ok {
			return h, true
		}
		return s.shrink()
	}
	if h, ok := s.extendNeighbour(gap, s.budget.tokens/takeoverDivisor); ok {
		return h, true
	}
	if h, ok := s.moveSpare(gap); ok {
		return h, true
	}
	if h, ok := s.extendNeighbour(gap, emergencyTokens); ok {
		return h, true
	}
	return s.shiftNeighbour(gap)
}

// gap returns the longest run of layers without a planned holder; servers in recentlyDown still count as holders.
func (s *domainState) gap() (teaselstream.LayerRange, bool) {
	planned := slices.Clone(s.planned)
	for _, m := range s.recentlyDown {
		s.addHolders(planned, m.Holds, 1)
	}
	var best, run teaselstream.LayerRange
	for l := teaselstream.Layer(0); l <= s.engine.Layers; l++ {
		if l < s.engine.Layers && planned[l] == 0 {
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

// extendNeighbour extends a server that holds layers next to a gap into it, without giving up any. The gap is split between
// its two sides so that the fewest layers stay uncovered and, among such splits, the smaller KV-cache capacity of both sides
// is largest. Each server keeps at least least tokens; the other side is extended by the next order.
func (s *domainState) extendNeighbour(gap teaselstream.LayerRange, least int) (Hold, bool) {
	var best *fleet.Member
	var bestRange teaselstream.LayerRange
	bestLeft, bestTokens := gap.Len()+1, 0
	for n := 0; n <= gap.Len(); n++ {
		left, leftTokens := s.bestNeighbour(gap, n, least, true)
		right, rightTokens := s.bestNeighbour(gap, gap.Len()-n, least, false)
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
			best, bestRange, bestLeft, bestTokens = m, spanOf(m.Holds, r), open, tokens
		}
	}
	if best == nil {
		return Hold{}, false
	}
	s.assign(best, bestRange)
	return newHold(best, bestRange, "take over lost layers"), true
}

// addFirst extends a server to the first layers if all servers that hold them have named a limit of requests: the limit counts
// the requests that begin at a server, so that paths which begin at another one use the rest of the domain.
func (s *domainState) addFirst() (Hold, bool) {
	if len(s.limitedFirsts) == 0 || s.planned[0] > len(s.limitedFirsts) {
		return Hold{}, false
	}
	var best *fleet.Member
	var bestRange teaselstream.LayerRange
	for _, m := range s.live {
		if m.Holds.Empty() || m.Holds.From == 0 || !s.hasNoOrder(m) || s.decider.limited[m.ID] {
			continue
		}
		r, ok := s.firstRange(m)
		if ok && (best == nil || r.Len()-m.Holds.Len() < bestRange.Len()-best.Holds.Len()) {
			best, bestRange = m, r
		}
	}
	if best == nil {
		return Hold{}, false
	}
	s.assign(best, bestRange)
	return newHold(best, bestRange, "first servers have named limits"), true
}

// firstRange returns a range from the first layer on that a server can hold: its own, extended, or the first layers in place of its
// own if these have other holders. Paths go on from there on any server, one with a limit included.
func (s *domainState) firstRange(m *fleet.Member) (teaselstream.LayerRange, bool) {
	if s.engine.CacheTokens(m.Accelerator, int(m.Holds.To)) >= s.budget.tokens/takeoverDivisor {
		return teaselstream.LayerRange{To: m.Holds.To}, true
	}
	moved := teaselstream.LayerRange{To: teaselstream.Layer(s.normalLayers(m))}
	// A range that is given up stays in memory until its requests are done.
	if s.allSpare(m) && m.Holds.Len()+moved.Len() <= s.engine.MaxLayers(m.Accelerator, 0) {
		return moved, true
	}
	return teaselstream.LayerRange{}, false
}

// spanOf returns the union of two adjacent or overlapping ranges.
func spanOf(a, b teaselstream.LayerRange) teaselstream.LayerRange {
	return teaselstream.LayerRange{From: min(a.From, b.From), To: max(a.To, b.To)}
}

// bestNeighbour returns the server at one side of a gap with the largest KV-cache capacity after it takes the n layers of
// the gap on that side, and that capacity in tokens. It returns nil if n is 0 or no server keeps least tokens.
func (s *domainState) bestNeighbour(gap teaselstream.LayerRange, n, least int, left bool) (*fleet.Member, int) {
	var best *fleet.Member
	bestTokens := 0
	for _, m := range s.live {
		if n == 0 || m.Holds.Empty() || !s.hasNoOrder(m) {
			continue
		}
		r := teaselstream.LayerRange{From: gap.From, To: gap.From + teaselstream.Layer(n)}
		touches := m.Holds.From < gap.From && m.Holds.To >= gap.From
		if !left {
			r = teaselstream.LayerRange{From: gap.To - teaselstream.Layer(n), To: gap.To}
			touches = m.Holds.To > gap.To && m.Holds.From <= gap.To
		}
		tokens := s.engine.CacheTokens(m.Accelerator, spanOf(m.Holds, r).Len())
		if touches && tokens >= least && tokens > bestTokens {
			best, bestTokens = m, tokens
		}
	}
	return best, bestTokens
}

// moveSpare moves a server whose layers all have other holders to the gap. If both ranges do not fit in its memory, it first
// shrinks the server to one layer.
func (s *domainState) moveSpare(gap teaselstream.LayerRange) (Hold, bool) {
	var able []*fleet.Member
	for _, m := range s.live {
		if s.hasNoOrder(m) && !m.Holds.Empty() && s.allSpare(m) && !m.Holds.Contains(gap.From) {
			able = append(able, m)
		}
	}
	if len(able) == 0 {
		return Hold{}, false
	}
	m := slices.MinFunc(able, func(a, b *fleet.Member) int {
		return cmp.Or(cmp.Compare(s.moveCost(a, gap), s.moveCost(b, gap)), cmp.Compare(a.ID, b.ID))
	})
	most := s.engine.MaxLayers(m.Accelerator, emergencyTokens)
	want := teaselstream.LayerRange{From: gap.From, To: min(gap.To, gap.From+teaselstream.Layer(most))}
	if m.Holds.Len()+want.Len() <= s.engine.MaxLayers(m.Accelerator, 0) {
		s.assign(m, want)
		h := newHold(m, want, "move to lost layers")
		h.Cut = true
		return h, true
	}
	// A range that is given up stays in memory until its requests are done, so the server first shrinks to one layer.
	r := teaselstream.LayerRange{From: m.Holds.From, To: m.Holds.From + 1}
	if m.Holds.Len() == 1 {
		return Hold{}, false
	}
	s.assign(m, r)
	// The layers count as planned from now on; otherwise every server that could hold them would be shrunk too.
	s.orders[m.ID].followUp = want
	s.addHolders(s.planned, want, 1)
	h := newHold(m, r, "make room for lost layers")
	h.Cut = true
	return h, true
}

// shiftNeighbour makes a neighbour of the gap give up layers at its far end that have other holders, so that it can then be
// extended into the gap.
func (s *domainState) shiftNeighbour(gap teaselstream.LayerRange) (Hold, bool) {
	for _, m := range s.live {
		if !s.hasNoOrder(m) || m.Holds.Len() < 2 {
			continue
		}
		r := m.Holds
		switch {
		case r.To == gap.From:
			for r.Len() > 1 && m.Holds.Len()-r.Len() < gap.Len() && s.spare(r.From) {
				r.From++
			}
		case r.From == gap.To:
			for r.Len() > 1 && m.Holds.Len()-r.Len() < gap.Len() && s.spare(r.To-1) {
				r.To--
			}
		}
		if r == m.Holds {
			continue
		}
		s.assign(m, r)
		return newHold(m, r, "make room to take over lost layers"), true
	}
	return Hold{}, false
}

// spare reports whether a layer has at least two planned and two ready holders.
func (s *domainState) spare(l teaselstream.Layer) bool { return s.planned[l] > 1 && s.ready[l] > 1 }

// allSpare reports whether every layer of a server has another holder.
func (s *domainState) allSpare(m *fleet.Member) bool {
	for l := m.Holds.From; l < m.Holds.To; l++ {
		if !s.spare(l) {
			return false
		}
	}
	return true
}

// moveCost ranks servers for a move to the gap, lowest first: a server with one layer, then one whose capacity in layers is
// closest to the gap, with those too small last.
func (s *domainState) moveCost(m *fleet.Member, gap teaselstream.LayerRange) int {
	if m.Holds.Len() == 1 {
		return -1
	}
	n := s.engine.MaxLayers(m.Accelerator, emergencyTokens)
	if n < gap.Len() {
		return 100 + gap.Len() - n
	}
	return n - gap.Len()
}

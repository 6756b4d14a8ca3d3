package cover

import (
	"cmp"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

type (
	// survey is one domain's state at one moment.
	survey struct {
		decider *Decider
		now     time.Time
		engine  *teaselstream.EngineSpec
		domain  teaselstream.DomainID
		// live are the servers that answer and stay, and doubtful those that have only just fallen silent.
		live     []*fleet.Member
		doubtful []*fleet.Member
		leaving  []*fleet.Member
		down     int
		budget   budget
		// held counts the holders of each layer that stay, with ranges being loaded.
		held []int
		// ready counts the holders of each layer that serve now.
		ready []int
		// tokens is the memory for requests of each layer's holders, and meanTokens its mean.
		tokens     []float64
		meanTokens float64
	}
)

func (d *Decider) survey(now time.Time, e *teaselstream.EngineSpec, members []*fleet.Member, domain teaselstream.DomainID) *survey {
	s := &survey{decider: d, now: now, engine: e, domain: domain, held: make([]int, e.Layers), ready: make([]int, e.Layers)}
	for _, m := range members {
		if m.Domain != domain || e.Kinds[m.Accelerator].Memory == 0 {
			continue
		}
		switch m.State {
		case fleet.Down:
			s.down++
			if now.Sub(m.DownSince) < doubtTime && m.LeavingSince.IsZero() {
				s.doubtful = append(s.doubtful, m)
			}
		case fleet.Leaving:
			s.leaving = append(s.leaving, m)
		default:
			s.live = append(s.live, m)
		}
	}
	for _, m := range s.live {
		s.count(s.ready, m.Holds, 1)
		s.count(s.held, s.future(m), 1)
	}
	s.budget = budgetOf(e, s.live)
	for id := range d.empty {
		if !slices.ContainsFunc(members, func(m *fleet.Member) bool { return m.ID == id && m.Holds.Empty() }) {
			delete(d.empty, id)
		}
	}
	return s
}

// future returns the range that a server holds once its pending order is done.
func (s *survey) future(m *fleet.Member) teaselstream.LayerRange {
	if o := s.decider.orders[m.ID]; o != nil && o.until.IsZero() {
		return o.target
	}
	return m.Holds
}

func (s *survey) count(layers []int, r teaselstream.LayerRange, n int) {
	for l := max(r.From, 0); l < min(r.To, s.engine.Layers); l++ {
		layers[l] += n
	}
}

// free reports whether a server has no order in progress.
func (s *survey) free(m *fleet.Member) bool {
	_, ok := s.decider.orders[m.ID]
	return !ok
}

// wants returns the orders that the domain needs now.
func (s *survey) wants() []Hold {
	if len(s.live) == 0 || s.budget.copies == 0 || float64(s.down) > maxDown*float64(s.down+len(s.live)) {
		return nil
	}
	if s.blank() {
		if s.growing() {
			return nil
		}
		return s.first()
	}
	var out []Hold
	for range s.live {
		h, ok := s.next()
		if !ok {
			break
		}
		out = append(out, h)
	}
	return out
}

// blank reports whether no server of the domain holds or loads any layer.
func (s *survey) blank() bool {
	return !slices.ContainsFunc(s.held, func(n int) bool { return n > 0 }) && len(s.leaving) == 0 && len(s.doubtful) == 0
}

// growing reports whether servers of the domain have appeared a short while ago.
func (s *survey) growing() bool {
	g := s.decider.grown[s.domain]
	if len(s.live) > g.servers {
		g = growth{len(s.live), s.now}
		s.decider.grown[s.domain] = g
	}
	return s.now.Sub(g.at) < growTime
}

func (s *survey) first() []Hold {
	ranges := layout(s.engine, s.live)
	var out []Hold
	for _, m := range s.live {
		if r, ok := ranges[m.ID]; ok && s.free(m) {
			out = append(out, hold(m, r, "first layout"))
		}
	}
	return out
}

func hold(m *fleet.Member, r teaselstream.LayerRange, reason string) Hold {
	return Hold{Server: m.ID, Address: m.Address, Incarnation: m.Incarnation, Holds: m.Holds, Range: r, Reason: reason}
}

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

func (s *survey) give(m *fleet.Member, r teaselstream.LayerRange) {
	s.count(s.held, s.future(m), -1)
	s.decider.orders[m.ID] = &order{target: r, at: s.now}
	s.count(s.held, r, 1)
	s.tokens, s.meanTokens = nil, 0
}

// window returns the range for an empty server: as many layers as its memory takes at the domain's usual
// ratio, or a few more to close a hole, where the holders are fewest.
func (s *survey) window(m *fleet.Member) teaselstream.LayerRange {
	usual := s.usualLayers(m)
	most := s.engine.MaxLayers(m.Accelerator, minTokens) - m.Holds.Len()
	var best teaselstream.LayerRange
	bestScore := 0.0
	for n := max(usual-1, 1); n <= min(usual+extraLayers, most); n++ {
		for from := teaselstream.Layer(0); from+teaselstream.Layer(n) <= s.engine.Layers; from++ {
			r := teaselstream.LayerRange{From: from, To: from + teaselstream.Layer(n)}
			score := s.gain(m, r) - float64(max(n-usual, 0))*overPenalty
			if score > bestScore {
				best, bestScore = r, score
			}
		}
	}
	return best
}

const (
	// comfortShare is the part of the domain's memory for requests that a server keeps when it takes over layers, as
	// long as another way to hold them is left. A server without that memory throttles its whole domain.
	comfortShare = 3
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

func (s *survey) gain(m *fleet.Member, r teaselstream.LayerRange) float64 {
	total := 0.0
	for l := r.From; l < r.To; l++ {
		switch n := s.held[l]; {
		case n == 0:
			total += holeGain
		case n < s.budget.copies:
			total += shortGain / float64(n)
		default:
			total += spareGain*s.tightness(l)*(1+s.exposure(l)) + speedGain*s.speedup(m, l)
		}
	}
	for _, x := range s.live {
		f := s.future(x)
		if f.Empty() {
			continue
		}
		if f.To == r.From || f.From == r.To {
			total += alignGain
		}
	}
	return total
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

// usualLayers returns how many layers a server holds beside the domain's memory for requests.
func (s *survey) usualLayers(m *fleet.Member) int {
	return max(1, s.engine.MaxLayers(m.Accelerator, s.budget.tokens))
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

// shrink lets a server that took over layers give up those that others hold again, so that its memory serves requests.
func (s *survey) shrink() (Hold, bool) {
	for _, m := range s.live {
		if !s.free(m) || m.Holds.Len() <= s.usualLayers(m)+shrinkSlack {
			continue
		}
		r := m.Holds
		for r.Len() > s.usualLayers(m) && s.surplus(r.From) {
			r.From++
		}
		for r.Len() > s.usualLayers(m) && s.surplus(r.To-1) {
			r.To--
		}
		if r == m.Holds {
			continue
		}
		s.give(m, r)
		return hold(m, r, "give up layers that others hold"), true
	}
	return Hold{}, false
}

// shrinkSlack is how many layers over its usual number a server keeps.
const shrinkSlack = 1

// surplus reports whether a layer has more holders that serve than the domain needs.
func (s *survey) surplus(l teaselstream.Layer) bool {
	return s.held[l] > s.budget.copies && s.ready[l] > s.budget.copies
}

package cover

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

type (
	// survey is one domain's state at one moment.
	survey struct {
		decider *Decider
		// orders are the decider's, with those that this survey wants.
		orders map[teaselstream.ServerID]*order
		now    time.Time
		engine *teaselstream.EngineSpec
		domain teaselstream.DomainID
		// live are the servers that answer and stay, and doubtful those that have only just fallen silent but may still run.
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
	d.surveys++
	s := &survey{decider: d, orders: maps.Clone(d.orders), now: now, engine: e, domain: domain, held: make([]int, e.Layers), ready: make([]int, e.Layers)}
	for _, m := range members {
		if m.Domain != domain || e.Kinds[m.Accelerator].Memory == 0 {
			continue
		}
		switch m.State {
		case fleet.Down:
			s.down++
			if now.Sub(m.DownSince) < doubtTime && m.LeavingSince.IsZero() && !m.Ended {
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
		if o := d.orders[m.ID]; o != nil && o.until.IsZero() {
			s.count(s.held, o.next, 1)
		}
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
	if o := s.orders[m.ID]; o != nil && o.until.IsZero() {
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
	_, ok := s.orders[m.ID]
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
			s.give(m, r)
			out = append(out, hold(m, r, "first layout"))
		}
	}
	return out
}

func hold(m *fleet.Member, r teaselstream.LayerRange, reason string) Hold {
	return Hold{Server: m.ID, Address: m.Address, Incarnation: m.Incarnation, Holds: m.Holds, Range: r, Reason: reason}
}

func (s *survey) give(m *fleet.Member, r teaselstream.LayerRange) {
	s.count(s.held, s.future(m), -1)
	s.orders[m.ID] = &order{target: r, at: s.now}
	s.count(s.held, r, 1)
	s.tokens, s.meanTokens = nil, 0
}

// usualLayers returns how many layers a server holds beside the domain's memory for requests.
func (s *survey) usualLayers(m *fleet.Member) int {
	return max(1, s.engine.MaxLayers(m.Accelerator, s.budget.tokens))
}

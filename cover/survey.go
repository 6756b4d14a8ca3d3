package cover

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

type (
	// domainState is the state of one failure domain at one time, with the orders that an evaluation adds to it.
	domainState struct {
		decider *Decider
		// orders holds the decider's orders and those that this evaluation adds.
		orders map[teaselstream.ServerID]*order
		now    time.Time
		engine *teaselstream.EngineSpec
		domain teaselstream.DomainID
		// live lists the servers that answer and are not leaving. recentlyDown lists those that stopped answering less than
		// downGraceTime ago and may still run.
		live         []*fleet.Member
		recentlyDown []*fleet.Member
		leaving      []*fleet.Member
		// down counts the servers that do not answer, without those that refuse connections and that the platform has removed:
		// they have ended, which does not show that this VM is cut off.
		down   int
		budget budget
		// planned counts the live holders of each layer once all pending orders are done.
		planned []int
		// ready counts the live holders of each layer as listed now.
		ready []int
		// limitedFirsts lists the live servers with the first layers that have named a limit of requests.
		limitedFirsts []*fleet.Member
		// tokens is the KV-cache capacity of each layer's holders, in tokens, and meanTokens its mean over the layers.
		tokens     []float64
		meanTokens float64
	}
)

func (d *Decider) domainState(now time.Time, e *teaselstream.EngineSpec, members []*fleet.Member, domain teaselstream.DomainID) *domainState {
	d.evaluations++
	s := &domainState{decider: d, orders: maps.Clone(d.orders), now: now, engine: e, domain: domain, planned: make([]int, e.Layers), ready: make([]int, e.Layers)}
	for _, m := range members {
		if m.Domain != domain || e.Kinds[m.Accelerator].Memory == 0 || m.Holds.From < 0 || m.Holds.To > e.Layers {
			continue
		}
		switch m.State {
		case fleet.Down:
			if m.LeavingSince.IsZero() || !m.Ended {
				s.down++
			}
			if now.Sub(m.DownSince) < downGraceTime && m.LeavingSince.IsZero() && !m.Ended {
				s.recentlyDown = append(s.recentlyDown, m)
			}
		case fleet.Leaving:
			s.leaving = append(s.leaving, m)
		default:
			s.live = append(s.live, m)
		}
	}
	for _, m := range s.live {
		if m.Holds.Contains(0) && d.limited[m.ID] {
			s.limitedFirsts = append(s.limitedFirsts, m)
		}
		s.addHolders(s.ready, m.Holds, 1)
		s.addHolders(s.planned, s.plannedRange(m), 1)
		if o := d.orders[m.ID]; o != nil && o.blockedUntil.IsZero() {
			s.addHolders(s.planned, o.followUp, 1)
		}
	}
	s.budget = budgetOf(e, s.live)
	for id := range d.emptySince {
		if !slices.ContainsFunc(members, func(m *fleet.Member) bool { return m.ID == id && m.Holds.Empty() }) {
			delete(d.emptySince, id)
		}
	}
	return s
}

// plannedRange returns the range that a server holds once its pending order is done.
func (s *domainState) plannedRange(m *fleet.Member) teaselstream.LayerRange {
	if o := s.orders[m.ID]; o != nil && o.blockedUntil.IsZero() {
		return o.target
	}
	return m.Holds
}

func (s *domainState) addHolders(layers []int, r teaselstream.LayerRange, n int) {
	for l := max(r.From, 0); l < min(r.To, s.engine.Layers); l++ {
		layers[l] += n
	}
}

// hasNoOrder reports whether a server has no pending order and no wait after a failed one.
func (s *domainState) hasNoOrder(m *fleet.Member) bool {
	_, ok := s.orders[m.ID]
	return !ok
}

// neededOrders returns the orders that the domain needs now.
func (s *domainState) neededOrders() []Hold {
	if len(s.live) == 0 || s.budget.copies == 0 || float64(s.down) > maxDownShare*float64(s.down+len(s.live)) {
		return nil
	}
	if s.holdsNothing() {
		if s.growing() {
			return nil
		}
		return s.firstLayout()
	}
	var out []Hold
	for range s.live {
		h, ok := s.nextOrder()
		if !ok {
			break
		}
		out = append(out, h)
	}
	return out
}

// holdsNothing reports whether no server of the domain holds or loads any layer.
func (s *domainState) holdsNothing() bool {
	return !slices.ContainsFunc(s.planned, func(n int) bool { return n > 0 }) && len(s.leaving) == 0 && len(s.recentlyDown) == 0
}

// growing reports whether the number of servers in the domain grew within stableTime.
func (s *domainState) growing() bool {
	g := s.decider.domainSizes[s.domain]
	if len(s.live) > g.servers {
		g = domainSize{len(s.live), s.now}
		s.decider.domainSizes[s.domain] = g
	}
	return s.now.Sub(g.at) < stableTime
}

func (s *domainState) firstLayout() []Hold {
	ranges := layout(s.engine, s.live)
	var out []Hold
	for _, m := range s.live {
		if r, ok := ranges[m.ID]; ok && s.hasNoOrder(m) {
			s.assign(m, r)
			out = append(out, newHold(m, r, "first layout"))
		}
	}
	return out
}

func newHold(m *fleet.Member, r teaselstream.LayerRange, reason string) Hold {
	return Hold{Server: m.ID, Address: m.Address, Incarnation: m.Incarnation, Holds: m.Holds, Range: r, Reason: reason}
}

func (s *domainState) assign(m *fleet.Member, r teaselstream.LayerRange) {
	s.addHolders(s.planned, s.plannedRange(m), -1)
	s.orders[m.ID] = &order{target: r, at: s.now}
	s.addHolders(s.planned, r, 1)
	s.tokens, s.meanTokens = nil, 0
}

// normalLayers returns how many layers fit a server beside the KV cache of the domain's budget.
func (s *domainState) normalLayers(m *fleet.Member) int {
	return max(1, s.engine.MaxLayers(m.Accelerator, s.budget.tokens))
}

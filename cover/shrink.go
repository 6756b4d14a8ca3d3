package cover

import "github.com/teaselstream/teaselstream"

// shrinkSlackLayers is how many layers over its normal number a server may hold before it is shrunk.
const shrinkSlackLayers = 1

// shrink makes a server that took over layers give up those that have enough other holders, to free memory for its KV
// cache.
func (s *domainState) shrink() (Hold, bool) {
	for _, m := range s.live {
		if !s.hasNoOrder(m) || m.Holds.Len() <= s.normalLayers(m)+shrinkSlackLayers {
			continue
		}
		r := m.Holds
		for r.Len() > s.normalLayers(m) && s.surplus(r.From) {
			r.From++
		}
		for r.Len() > s.normalLayers(m) && s.surplus(r.To-1) {
			r.To--
		}
		if r == m.Holds {
			continue
		}
		s.assign(m, r)
		return newHold(m, r, "give up layers that others hold"), true
	}
	return Hold{}, false
}

// surplus reports whether a layer has more ready holders than copies in the budget, and keeps them after pending orders.
// Holders that have named a limit as first servers do not count.
func (s *domainState) surplus(l teaselstream.Layer) bool {
	needed := s.budget.copies
	for _, m := range s.limitedFirsts {
		if m.Holds.Contains(l) {
			needed++
		}
	}
	return s.planned[l] > needed && s.ready[l] > needed
}

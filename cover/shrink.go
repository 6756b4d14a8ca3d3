package cover

import "github.com/teaselstream/teaselstream"

// shrinkSlack is how many layers over its usual number a server keeps.
const shrinkSlack = 1

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

// surplus reports whether a layer has more holders that serve than the domain needs.
func (s *survey) surplus(l teaselstream.Layer) bool {
	return s.held[l] > s.budget.copies && s.ready[l] > s.budget.copies
}

package queue

import (
	"cmp"
	"time"
)

// standing is what the position of a request in the order depends on, beside its times and size.
type standing struct {
	// urgency is the rank, or 0 while the request is starved.
	urgency int
	// starved reports that the request's rank, team or size is served too rarely.
	starved, overShare, late bool
	// deferred reports that the request is late and leaves room to those of its rank or above, of which some were refused lately.
	deferred bool
}

func (s *service) standing(now time.Time, e *entry) standing {
	p := standing{urgency: e.Rank, starved: s.starved(e), overShare: s.overShare(now, e.Team), late: now.After(e.onTimeBy)}
	if p.starved {
		p.urgency = 0
	}
	p.deferred = p.late && p.urgency > 0 && s.refusedLately(now, p.urgency)
	return p
}

// compare orders a before b if its result is negative.
func compare(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		compareBool(a.overShare, b.overShare),
		compareBool(a.late, b.late),
		a.onTimeBy.Compare(b.onTimeBy),
		cmp.Compare(a.Size, b.Size),
		cmp.Compare(a.arrival, b.arrival),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// blocks reports whether x must not be sent while e is held. Within a rank, a smaller request may use room that is too small for e.
func (e *entry) blocks(x *entry) bool {
	switch {
	case e == x || e.Load < 0 || e.overShare:
		return false
	case e.urgency != x.urgency:
		return e.urgency < x.urgency
	case x.overShare:
		return true
	}
	return e.Size <= x.Size && compare(e, x) < 0
}

// blocker returns the first request in the order that blocks e, or nil.
func (s *service) blocker(e *entry) *entry {
	return s.first(func(h *entry) bool { return h.blocks(e) })
}

// firstWaiting returns the first request in the order that waits for room and has not been woken, or nil.
func (s *service) firstWaiting() *entry {
	return s.first(func(h *entry) bool { return h.Load >= 0 && !h.woken })
}

// first returns the first held request in the order that is wanted, or nil.
func (s *service) first(wanted func(*entry) bool) *entry {
	var first *entry
	for _, h := range s.held {
		if wanted(h) && (first == nil || compare(h, first) < 0) {
			first = h
		}
	}
	return first
}

// ahead returns the number of held requests before e in the order.
func (s *service) ahead(e *entry) int {
	n := 0
	for _, h := range s.held {
		if h != e && h.Load >= 0 && compare(h, e) < 0 {
			n++
		}
	}
	return n
}

// overtakes reports whether a request that arrived before e is held for room.
func (s *service) overtakes(e *entry) bool {
	for _, h := range s.held {
		if h.Load >= 0 && h.arrival < e.arrival {
			return true
		}
	}
	return false
}

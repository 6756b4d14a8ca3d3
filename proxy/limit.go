package proxy

import (
	"maps"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/pick"
)

// observeLimit passes on the limit that a server names in an answer to a request sent at the given time, or that it names none.
func (h *Handler) observeLimit(sentAt time.Time, id teaselstream.ServerID, a teaselstream.AnswerHead) {
	if m, ok := h.Limits.Observe(time.Now(), sentAt, id, a); ok {
		h.Post(m)
	}
}

// chooseReplica returns the replica for a call, and uses one request of its limit up if it has named one; it returns nil if there
// is none that takes the call. A replica that has said that it leaves, or that it wants nothing from this VM for now, takes none.
func (h *Handler) chooseReplica(now time.Time, v *fleet.View, s teaselstream.ServiceID, tried map[teaselstream.ServerID]bool) *fleet.Member {
	avoid := tried
	for {
		m := h.Balancer.Choose(now, v, s, avoid)
		if m == nil || h.takesCalls(now, m) && h.Limits.Take(now, m.ID) {
			return m
		}
		if len(avoid) == len(tried) {
			avoid = maps.Clone(tried)
		}
		avoid[m.ID] = true
		// The balancer may have chosen the replica for a probe, which is not sent.
		h.Balancer.RecordResult(now, m, pick.Canceled, 0)
	}
}

// takesCalls reports whether a replica has not said that it leaves or wants nothing from this VM for now.
func (h *Handler) takesCalls(now time.Time, m *fleet.Member) bool {
	return h.Notices.LeavingSince(m.ID, m.Incarnation).IsZero() && h.Notices.Wait(now, m.ID, m.Incarnation) <= 0
}

// soonestReplica returns the time until the first replica of a service takes a call of this VM, as far as limits and the replicas'
// own words say; 0 means that they do not say.
func (h *Handler) soonestReplica(now time.Time, v *fleet.View, s teaselstream.ServiceID) time.Duration {
	var soonest time.Duration
	for _, m := range v.Pools[s] {
		if m.State != fleet.Serving {
			continue
		}
		if wait, ok := h.startWait(now, m.ID, m.Incarnation); ok && wait > 0 && (soonest == 0 || wait < soonest) {
			soonest = wait
		}
	}
	return soonest
}

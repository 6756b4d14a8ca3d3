package proxy

import (
	"log/slog"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// observeNotice records what a server says about itself in an answer to the request.
func (r *request) observeNotice(id teaselstream.ServerID, incarnation teaselstream.Incarnation, a teaselstream.AnswerHead) {
	if a.Leaving && r.handler.Notices.ObserveLeaving(time.Now(), id, incarnation) {
		r.log("LeavingStated", slog.LevelInfo, "server", string(id), "incarnation", uint64(incarnation))
		r.handler.Post(fleet.LeavingStated{Server: id, Incarnation: incarnation})
	}
}

// leavingSince returns since when a server leaves, by its own answers or the list, whichever is earlier, or the zero time.
func (h *Handler) leavingSince(id teaselstream.ServerID, incarnation teaselstream.Incarnation) time.Time {
	since := h.Notices.LeavingSince(id, incarnation)
	m := h.View().Members[id]
	if m == nil || m.LeavingSince.IsZero() || m.Incarnation > incarnation || !since.IsZero() && since.Before(m.LeavingSince) {
		return since
	}
	return m.LeavingSince
}

// mayStart reports whether a new request may be sent to a server as the first of its path.
func (h *Handler) mayStart(now time.Time, id teaselstream.ServerID) bool {
	m := h.View().Members[id]
	if m == nil {
		return false
	}
	since := h.leavingSince(id, m.Incarnation)
	return (since.IsZero() || h.Planner.TakesNewWork(now, since)) && h.Limits.Ready(now, id)
}

// logLeaving logs a request that is sent to a server that is shutting down. That is allowed for the time that the platform states.
func (h *Handler) logLeaving(planned time.Time, to *fleet.Member, id teaselstream.AttemptID) {
	now := time.Now()
	args := []any{"request", string(id), "server", string(to.ID), "incarnation", uint64(to.Incarnation), "sincePlanMs", now.Sub(planned).Milliseconds()}
	said := h.Notices.LeavingSince(to.ID, to.Incarnation)
	if m := h.View().Members[to.ID]; m != nil && !m.LeavingSince.IsZero() {
		args = append(args, "sinceListedMs", now.Sub(m.LeavingSince).Milliseconds())
	} else if said.IsZero() {
		return
	}
	if !said.IsZero() {
		args = append(args, "sinceStatedMs", now.Sub(said).Milliseconds())
	}
	h.Log.Info("SentToLeaving", args...)
}

package proxy

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// sendMargin is the time for the way of a request to its server. Links take a few milliseconds, and a packet that is lost is sent
// again after 200 ms or more.
const sendMargin = 300 * time.Millisecond

// errWithheld reports that a request was not sent since its server takes no more by now.
var errWithheld = errors.New("server takes no more requests")

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

// maySend checks, when a connection is there, that a request planned at a given time may still be sent. A request to a server that
// is shutting down is logged; after its drain time the error wraps errWithheld.
func (h *Handler) maySend(planned time.Time, to *fleet.Member, id teaselstream.AttemptID) error {
	now := time.Now()
	since := h.leavingSince(to.ID, to.Incarnation)
	if since.IsZero() {
		return nil
	}
	args := []any{
		"request", string(id), "server", string(to.ID), "incarnation", uint64(to.Incarnation),
		"sincePlanMs", now.Sub(planned).Milliseconds(), "leavingMs", now.Sub(since).Milliseconds(),
		"stated", !h.Notices.LeavingSince(to.ID, to.Incarnation).IsZero(),
	}
	if now.Sub(since) > h.Planner.DrainTime-sendMargin {
		h.Log.Info("SendWithheld", args...)
		return fmt.Errorf("send to %s: %w: its drain time is over", to.ID, errWithheld)
	}
	h.Log.Info("SentToLeaving", args...)
	return nil
}

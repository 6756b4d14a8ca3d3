package proxy

import (
	"errors"
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// sendMargin is the time for the way of a request to its server. Links take a few milliseconds, and a packet that is lost is sent
// again after 200 ms or more.
const sendMargin = 300 * time.Millisecond

// ErrWithheld reports that nothing was sent since the server takes nothing by now.
var ErrWithheld = errors.New("server takes nothing now")

// observeNotice records what a server says about itself in an answer.
func (h *Handler) observeNotice(to *fleet.Member, a teaselstream.AnswerHead, id teaselstream.AttemptID) {
	now := time.Now()
	if a.Leaving && h.Notices.ObserveLeaving(now, to.ID, to.Incarnation) {
		h.Log.Info("LeavingStated", "request", string(id), "server", string(to.ID), "incarnation", uint64(to.Incarnation))
		h.Post(fleet.LeavingStated{Server: to.ID, Incarnation: to.Incarnation})
	}
	if a.Wait > 0 {
		h.Log.Info("WaitRequested", "request", string(id), "server", string(to.ID), "waitMs", a.Wait.Milliseconds())
		h.Notices.ObserveWait(now, to.ID, to.Incarnation, a.Wait)
	}
}

// CheckWait returns an error that wraps ErrWithheld if a server wants nothing from this VM now, orders and reports included.
func (h *Handler) CheckWait(id teaselstream.ServerID, incarnation teaselstream.Incarnation) error {
	if wait := h.Notices.Wait(time.Now(), id, incarnation); wait > 0 {
		return fmt.Errorf("send to %s: %w: it asked to wait, %d ms are left", id, ErrWithheld, wait.Milliseconds())
	}
	return nil
}

// ObserveWait records that a server refused a report, order or move and wants nothing from this VM, if the error says so.
func (h *Handler) ObserveWait(id teaselstream.ServerID, incarnation teaselstream.Incarnation, err error) {
	var w *teaselstream.WaitError
	if errors.As(err, &w) {
		h.Log.Info("WaitRequested", "server", string(id), "waitMs", w.Wait.Milliseconds())
		h.Notices.ObserveWait(time.Now(), id, incarnation, w.Wait)
	}
}

// startWait returns the time until a server may get a new request of this VM, by its limit and by the time for which it wants
// nothing; ok is false if this VM has no part of the limit.
func (h *Handler) startWait(now time.Time, id teaselstream.ServerID, incarnation teaselstream.Incarnation) (wait time.Duration, ok bool) {
	wait, ok = h.Limits.Wait(now, id)
	return max(wait, h.Notices.Wait(now, id, incarnation)), ok
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
	wait, ok := h.startWait(now, id, m.Incarnation)
	return (since.IsZero() || h.Planner.TakesNewWork(now, since)) && ok && wait <= 0
}

// maySend checks, when a connection is there, that a request planned at a given time may still be sent. A request to a server that
// is shutting down is logged; after its drain time, or while the server wants nothing from this VM, the error wraps ErrWithheld.
func (h *Handler) maySend(planned time.Time, to *fleet.Member, id teaselstream.AttemptID) error {
	now := time.Now()
	if err := h.CheckWait(to.ID, to.Incarnation); err != nil {
		h.Log.Info("SendWithheld", "request", string(id), "server", string(to.ID), "sincePlanMs", now.Sub(planned).Milliseconds(), "error", err.Error())
		return err
	}
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
		return fmt.Errorf("send to %s: %w: its drain time is over", to.ID, ErrWithheld)
	}
	h.Log.Info("SentToLeaving", args...)
	return nil
}

package call

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/order"
)

// defaultTimeout bounds a call to a service for which the document sets no timeout.
const defaultTimeout = 30 * time.Second

// callOnce carries out a non-idempotent call, which is claimed in the store before it is sent.
func (h *Handler) callOnce(ctx context.Context, c teaselstream.ServiceCall, t teaselstream.TeamID, spec teaselstream.ServiceSpec, deadline time.Time) (teaselstream.ServiceAnswer, error) {
	if h.runner == nil {
		return teaselstream.ServiceAnswer{}, refusal(teaselstream.CodeStoreUnavailable, "non-idempotent calls are not available without a store")
	}
	return h.runner.submit(ctx, order.Submit{Team: t, Service: spec, Call: c, Deadline: deadline})
}

// send sends a claimed call to one replica, unless its send window has passed.
func (s *runner) send(c order.Send) teaselstream.Msg {
	m := order.Answered{Key: c.Key, Claim: c.Claim, Try: c.Try}
	tried := make(map[teaselstream.ServerID]bool, len(c.Avoid))
	for _, id := range c.Avoid {
		tried[id] = true
	}
	w, ok := s.h.inFlight.pick(s.h.options.Snapshot(), c.Service.Name, s.h.options.Rand, tried)
	if !ok {
		m.Err = fmt.Errorf("no replica takes new work: %w", teaselstream.ErrUnavailable)
		return m
	}
	m.Server = w.Name
	if order.DeadlinePassed(time.Now(), c.Until) {
		s.h.inFlight.finish(w.Name)
		m.Err = fmt.Errorf("the send window has passed: %w", teaselstream.ErrUnavailable)
		return m
	}
	// The call continues past the deadline of its caller, so that a resend finds its answer.
	m.Answer, m.Err = s.h.callServer(context.Background(), w, c.Call, timeoutOf(c.Service))
	if m.Err == nil && c.Service.ChecksFencing && m.Answer.Status == http.StatusConflict {
		m.Err = fmt.Errorf("claim %d: %w", c.Claim, teaselstream.ErrFenced)
	}
	return m
}

func timeoutOf(v teaselstream.ServiceSpec) time.Duration {
	if v.Timeout > 0 {
		return v.Timeout
	}
	return defaultTimeout
}

// lookUp asks one replica whether a call has run.
func (s *runner) lookUp(c order.LookUp) teaselstream.Msg {
	m := order.LookedUp{ID: c.ID}
	w, ok := s.h.inFlight.pick(s.h.options.Snapshot(), c.Service.Name, s.h.options.Rand, nil)
	if !ok {
		m.Err = fmt.Errorf("no replica takes new work: %w", teaselstream.ErrUnavailable)
		return m
	}
	a, err := s.h.callServer(context.Background(), w, c.Call, timeoutOf(c.Service))
	switch {
	case err != nil:
		m.Err = err
	case a.Status/100 == 2:
		m.Found = true
	case a.Status != http.StatusNotFound:
		m.Err = fmt.Errorf("status look-up: status %d", a.Status)
		slog.Warn("status look-up failed", "service", c.Service.Name, "status", a.Status)
	}
	return m
}

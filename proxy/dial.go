package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/reach"
)

const (
	// maxLateness is how long after its deadline a VM that gets the processor notices the end of a dial; its timers are some milliseconds
	// late.
	maxLateness = 20 * time.Millisecond
	// silentStreamTime is how long a stream on a connection to a server may get nothing while this VM reaches no server, if the budget
	// has a retry left for it.
	silentStreamTime = 300 * time.Millisecond
	// longSilentTime is the same for a stream without a retry, which is then cut: its caller can come back with the last event.
	longSilentTime = 1600 * time.Millisecond
)

// dialServer connects to a server within dialTimeout.
func (h *Handler) dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return h.DialServer(ctx, network, address)
}

// DialServer connects to a server. The control loop gets the failure, or what the connection shows later, and decides from it whether
// this VM reaches servers.
func (h *Handler) DialServer(ctx context.Context, network, address string) (net.Conn, error) {
	dial := h.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	c, err := dial(ctx, network, address)
	if err != nil {
		switch {
		case errors.Is(err, syscall.ECONNRESET):
			// A connection that is reset at once can come about and end before the dial returns.
			h.postFailed(address, reach.BrokenOff)
		case isLate(ctx, time.Now()):
			// The connection may have come about while this VM did not get the processor.
			h.postFailed(address, reach.Silent)
		case !errors.Is(ctx.Err(), context.Canceled):
			h.postFailed(address, reach.NotConnected)
		}
		return nil, err
	}
	return &observedConn{Conn: c, handler: h, address: address, openedAt: time.Now()}, nil
}

// isLate reports whether the end of a context's time was noticed so late that what came in time may not have been read.
func isLate(ctx context.Context, now time.Time) bool {
	deadline, ok := ctx.Deadline()
	return ok && errors.Is(ctx.Err(), context.DeadlineExceeded) && now.Sub(deadline) > maxLateness
}

// postFailed reports to the control loop that a connection to a server brought no answer.
func (h *Handler) postFailed(address string, cause reach.Cause) {
	m := reach.Failed{Address: address, Cause: cause}
	if at := h.receivedAt.Load(); at != 0 {
		m.ReceivedAt = time.Unix(0, at)
	}
	h.post(m)
}

// ProbeServer sends a request that needs no free slot to a server on a new connection; the control loop gets what the connection shows.
// A server that wants nothing from this VM now is left out.
func (h *Handler) ProbeServer(address string) {
	v := h.View()
	to := v.ByAddress(address)
	if to == nil || h.CheckWait(to.ID, to.Incarnation) != nil {
		return
	}
	q := h.probeRequest(v, to)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := h.DialServer(ctx, "tcp", address)
	if err != nil {
		// DialServer has reported the failure.
		return
	}
	u := newServerConn(c, address)
	defer u.discard()
	if err := u.SetReadDeadline(time.Now().Add(probeAnswerTimeout)); err != nil {
		h.Log.Info("ProbeFailed", "server", string(to.ID), "error", err.Error())
		return
	}
	a, err := h.roundTrip(u, q, "")
	if err != nil {
		h.Log.Info("ProbeFailed", "server", string(to.ID), "error", err.Error())
		return
	}
	h.observeNotice(to, a.head, "")
}

// probeRequest returns the request with which a server is probed.
func (h *Handler) probeRequest(v *fleet.View, to *fleet.Member) *outgoingRequest {
	var pool *teaselstream.Pool
	if v.Routing != nil {
		pool = v.Routing.Pools[to.Service]
	}
	q := &outgoingRequest{method: http.MethodGet, target: h.Dialect.ProbeTarget(pool), host: to.Address, header: make(http.Header)}
	h.Dialect.Dispatch(q.header, teaselstream.Dispatch{Server: to.ID})
	q.header.Set("Connection", "close")
	return q
}

// CloseIdleToServers closes idle connections to servers, which must not be believed once new ones fail.
func (h *Handler) CloseIdleToServers() { h.pool.CloseIdle() }

// CloseSilentStreams closes the connections to servers on which streams wait and have got nothing for some time, so that they go on
// another way or end, and returns their number.
func (h *Handler) CloseSilentStreams(now time.Time) int {
	left := func(s teaselstream.ServiceID, begun bool) int { return h.Budgets.ForService(s).Left(now, begun) }
	return h.pool.closeSilentStreams(now.Add(-silentStreamTime), now.Add(-longSilentTime), left)
}

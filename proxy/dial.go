package proxy

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/reach"
)

// dialServer connects to a server within dialTimeout.
func (h *Handler) dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return h.DialServer(ctx, network, address)
}

// DialServer connects to a server and reports the result to the control loop, which decides from it whether this VM reaches servers.
func (h *Handler) DialServer(ctx context.Context, network, address string) (net.Conn, error) {
	dial := h.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	c, err := dial(ctx, network, address)
	switch {
	case h.Post == nil:
	case err == nil:
		h.Post(reach.Connected{Address: address})
	case !errors.Is(ctx.Err(), context.Canceled):
		h.Post(reach.Failed{Address: address})
	}
	return c, err
}

// ProbeServer opens a connection to a server and closes it; the control loop gets the result.
func (h *Handler) ProbeServer(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := h.DialServer(ctx, "tcp", address)
	if err != nil {
		// DialServer has reported the failure.
		return
	}
	// The connection carries nothing, so an error of its close does not matter.
	_ = c.Close()
}

// CloseIdleToServers closes idle connections to servers, which must not be believed once new ones fail.
func (h *Handler) CloseIdleToServers() { h.pool.CloseIdle() }

const (
	// silentStreamTime is how long a stream on a connection to a server may get nothing while this VM reaches no server, if the budget
	// has a retry left for it.
	silentStreamTime = 300 * time.Millisecond
	// longSilentTime is the same for a stream without a retry, which is then cut: its caller can come back with the last event.
	longSilentTime = 1600 * time.Millisecond
)

// CloseSilentStreams closes the connections to servers on which streams wait and have got nothing for some time, so that they go on
// another way or end, and returns their number.
func (h *Handler) CloseSilentStreams(now time.Time) int {
	left := func(s teaselstream.ServiceID, begun bool) int { return h.Budgets.ForService(s).Left(now, begun) }
	return h.pool.closeSilentStreams(now.Add(-silentStreamTime), now.Add(-longSilentTime), left)
}

package proxy

import (
	"context"
	"net"
)

// dialServer connects to a server within dialTimeout.
func (h *Handler) dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if h.Dial != nil {
		return h.Dial(ctx, network, address)
	}
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, address)
}

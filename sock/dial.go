package sock

import (
	"context"
	"net"
)

// DialFunc opens a connection as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

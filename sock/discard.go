package sock

import (
	"errors"
	"io"
	"log/slog"
	"net"
)

// Discard closes c, which is not used again. An error means that it was already broken and is logged at level debug.
func Discard(c io.Closer) {
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Debug("CloseFailed", "error", err)
	}
}

// Abort closes a connection with a TCP reset.
func Abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetLinger(0); err != nil && !errors.Is(err, net.ErrClosed) {
			slog.Debug("LingerNotSet", "error", err)
		}
	}
	Discard(c)
}

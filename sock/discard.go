package sock

import (
	"errors"
	"io"
	"log/slog"
	"net"
)

// Discard closes what is given up. An error only says that it was broken before, which is logged at level debug.
func Discard(c io.Closer) {
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Debug("CloseFailed", "error", err)
	}
}

// Abort closes a connection with a reset instead of an orderly end.
func Abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetLinger(0); err != nil && !errors.Is(err, net.ErrClosed) {
			slog.Debug("LingerNotSet", "error", err)
		}
	}
	Discard(c)
}

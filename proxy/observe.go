package proxy

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream/reach"
)

// observedConn is a connection to a server that reports to the control loop whether it brings an answer.
type observedConn struct {
	net.Conn
	handler  *Handler
	address  string
	openedAt time.Time
	// reported means that the first byte of an answer, or that there was none, was reported.
	reported atomic.Bool
}

// Read implements net.Conn.
func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.handler.receivedAt.Store(time.Now().UnixNano())
		if !c.reported.Load() && c.reported.CompareAndSwap(false, true) {
			c.handler.post(reach.Answered{Address: c.address, OpenedAt: c.openedAt})
		}
		return n, err
	}
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		// A read deadline ends only reads of answers that are due, on connections that have brought one before too.
		c.handler.postFailed(c.address, reach.Silent)
	default:
		c.reportEnd(err)
	}
	return n, err
}

// Write implements net.Conn.
func (c *observedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.reportEnd(err)
	}
	return n, err
}

// reportEnd reports that the server, or the network, ended the connection before an answer.
func (c *observedConn) reportEnd(err error) {
	if !errors.Is(err, net.ErrClosed) && c.reported.CompareAndSwap(false, true) {
		c.handler.postFailed(c.address, reach.BrokenOff)
	}
}

// SyscallConn implements syscall.Conn, with which package sock finds out whether the connection is open.
func (c *observedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

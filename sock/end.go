package sock

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// EndConn is a connection whose reads return io.EOF only after an orderly end. The kernel reports the failure of a connection once, to the
// call that comes first; if that is a write, reads of the connection below return what has arrived and then io.EOF.
type EndConn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// failure is the error with which a write reported that the connection failed, or nil.
	failure error
}

// Write implements net.Conn.
func (c *EndConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. If a write has reported that the connection failed, the error wraps io.ErrUnexpectedEOF and that of the write. A
// write that is still in progress at the end is interrupted, since its result may not have been recorded yet.
func (c *EndConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !c.writing.TryLock() {
		if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
			return n, fmt.Errorf("interrupt write: %w: %w", io.ErrUnexpectedEOF, err)
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.failure != nil {
		return n, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, c.failure)
	}
	return n, err
}

// SyscallConn implements syscall.Conn, with which Idle and PeerClosed find out whether the connection is open.
func (c *EndConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// isFailure reports whether the error of a write means that the connection failed. EPIPE does not: Linux reports a reset as ECONNRESET, and
// as EPIPE only after the peer has ended its side in order. Nor does a deadline, which says nothing about the peer's side.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}

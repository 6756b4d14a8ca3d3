package sock

import (
	"net"
	"syscall"
)

// PeerClosed reports whether the peer has closed or reset the connection, without blocking or consuming data.
func PeerClosed(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n <= 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR //nolint:errorlint // Recvfrom returns a plain Errno.
	})
	return closed || err != nil
}

package sock

import (
	"errors"
	"net"
	"syscall"
)

// Idle reports whether a connection is open and has no unread data, so that it can carry another request.
func Idle(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return true
	}
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN //nolint:errorlint // Recvfrom returns a plain Errno.
	})
	return idle && err == nil
}

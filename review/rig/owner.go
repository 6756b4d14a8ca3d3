//go:build review

package rig

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// All machines connect to the address at which the store lists a replica, so that only the system knows whose a connection is: the
// inode of its other end is among the open files of the gate's process. The constants and offsets are those of linux/inet_diag.h and
// linux/sock_diag.h.
const (
	netlinkDiag  = 4
	diagByFamily = 20
	headerBytes  = 16
	requestBytes = 56
	idOffset     = 8
	inodeOffset  = 68
	anyValue     = 1<<32 - 1
)

// peerInode returns the inode of the other end of a local connection.
func peerInode(c net.Conn) (uint64, error) {
	peer, ok := c.RemoteAddr().(*net.TCPAddr)
	local, isTCP := c.LocalAddr().(*net.TCPAddr)
	if !ok || !isTCP {
		return 0, fmt.Errorf("%T: not a TCP connection", c)
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkDiag)
	if err != nil {
		return 0, fmt.Errorf("open netlink socket: %w", err)
	}
	defer func() { _ = syscall.Close(fd) }()
	order := binary.NativeEndian
	b := make([]byte, headerBytes+requestBytes)
	order.PutUint32(b, uint32(len(b)))
	order.PutUint16(b[4:], diagByFamily)
	order.PutUint16(b[6:], syscall.NLM_F_REQUEST)
	b[headerBytes], b[headerBytes+1] = syscall.AF_INET, syscall.IPPROTO_TCP
	order.PutUint32(b[headerBytes+4:], anyValue)
	id := b[headerBytes+idOffset:]
	binary.BigEndian.PutUint16(id, uint16(peer.Port))
	binary.BigEndian.PutUint16(id[2:], uint16(local.Port))
	copy(id[4:], peer.IP.To4())
	copy(id[20:], local.IP.To4())
	order.PutUint32(id[40:], anyValue)
	order.PutUint32(id[44:], anyValue)
	if err := syscall.Sendto(fd, b, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, fmt.Errorf("ask for socket: %w", err)
	}
	answer := make([]byte, 1<<10)
	n, _, err := syscall.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, fmt.Errorf("ask for socket: %w", err)
	}
	if n < headerBytes+inodeOffset+4 || order.Uint16(answer[4:]) != diagByFamily {
		return 0, fmt.Errorf("connection from %s is gone", peer)
	}
	return uint64(order.Uint32(answer[headerBytes+inodeOffset:])), nil
}

// openSockets returns the inodes of the sockets that processes have open.
func openSockets(pids []int) map[uint64]bool {
	sockets := make(map[uint64]bool)
	for _, pid := range pids {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		if err != nil {
			continue
		}
		for _, f := range files {
			// A file may be closed after it was listed.
			target, err := os.Readlink(f)
			if err != nil {
				continue
			}
			text, ok := strings.CutPrefix(target, "socket:[")
			if inode, err := strconv.ParseUint(strings.TrimSuffix(text, "]"), 10, 64); ok && err == nil {
				sockets[inode] = true
			}
		}
	}
	return sockets
}

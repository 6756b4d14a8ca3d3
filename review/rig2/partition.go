//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/teaselstream/teaselstream/sock"
)

type (
	// partition resets the connections of some processes to all replicas, and those that they open, while it is on.
	partition struct {
		mu    sync.Mutex
		pids  []int
		conns map[net.Conn]bool
	}

	// cutListener is the listener of a replica, on which a partition acts.
	cutListener struct {
		net.Listener
		partition *partition
	}

	// countedConn is a connection that a partition knows until it is closed.
	countedConn struct {
		net.Conn
		partition *partition
	}
)

// begin partitions processes from all replicas.
func (p *partition) begin(pids []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pids = pids
	owned := openSockets(pids)
	for c := range p.conns {
		if owned[peerSocket(c)] {
			sock.Abort(c)
		}
	}
}

func (p *partition) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pids = nil
}

// admit reports whether a new connection lives.
func (p *partition) admit(c net.Conn) bool {
	p.mu.Lock()
	pids := p.pids
	p.mu.Unlock()
	if len(pids) > 0 && openSockets(pids)[peerSocket(c)] {
		sock.Abort(c)
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[net.Conn]bool)
	}
	p.conns[c] = true
	return true
}

// Accept returns the next connection that no partition cuts.
func (l cutListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.partition.admit(c) {
			return countedConn{c, l.partition}, nil
		}
	}
}

// Close closes the connection and makes the partition forget it.
func (c countedConn) Close() error {
	c.partition.mu.Lock()
	delete(c.partition.conns, c.Conn)
	c.partition.mu.Unlock()
	return c.Conn.Close()
}

// peerSocket returns the inode of the other end of a local connection, or 0 if it is gone. The constants and offsets are those of
// linux/inet_diag.h and linux/sock_diag.h; a look through /proc/net/tcp would take too long beside many other connections.
func peerSocket(c net.Conn) uint32 {
	const (
		netlinkDiag, diagByFamily    = 4, 20
		headerBytes, requestBytes    = 16, 56
		idOffset, inodeOffset, wants = 8, 68, 1<<32 - 1
	)
	peer, isTCP := c.RemoteAddr().(*net.TCPAddr)
	local, alsoTCP := c.LocalAddr().(*net.TCPAddr)
	if !isTCP || !alsoTCP {
		return 0
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkDiag)
	if err != nil {
		return 0
	}
	defer func() { _ = syscall.Close(fd) }()
	order := binary.NativeEndian
	q := make([]byte, headerBytes+requestBytes)
	order.PutUint32(q, uint32(len(q)))
	order.PutUint16(q[4:], diagByFamily)
	order.PutUint16(q[6:], syscall.NLM_F_REQUEST)
	q[headerBytes], q[headerBytes+1] = syscall.AF_INET, syscall.IPPROTO_TCP
	order.PutUint32(q[headerBytes+4:], wants)
	id := q[headerBytes+idOffset:]
	binary.BigEndian.PutUint16(id, uint16(peer.Port))
	binary.BigEndian.PutUint16(id[2:], uint16(local.Port))
	copy(id[4:], peer.IP.To4())
	copy(id[20:], local.IP.To4())
	order.PutUint32(id[40:], wants)
	order.PutUint32(id[44:], wants)
	if err := syscall.Sendto(fd, q, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0
	}
	a := make([]byte, 1<<10)
	n, _, err := syscall.Recvfrom(fd, a, 0)
	if err != nil || n < headerBytes+inodeOffset+4 || order.Uint16(a[4:]) != diagByFamily {
		return 0
	}
	return order.Uint32(a[headerBytes+inodeOffset:])
}

// openSockets returns the inodes of the sockets that processes have open.
func openSockets(pids []int) map[uint32]bool {
	owned := make(map[uint32]bool)
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
			if inode, err := strconv.ParseUint(strings.TrimSuffix(text, "]"), 10, 32); ok && err == nil {
				owned[uint32(inode)] = true
			}
		}
	}
	delete(owned, 0)
	return owned
}

// pids returns the ids of the processes of some gates.
func (b *bench) pids(gates []int) []int {
	var ids []int
	for i, g := range b.gates {
		if slices.Contains(gates, i) {
			ids = append(ids, g.cmd.Process.Pid)
		}
	}
	return ids
}

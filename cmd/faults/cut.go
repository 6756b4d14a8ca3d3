package main

import (
	"log/slog"
	"net"
	"sync"

	"github.com/teaselstream/teaselstream/sock"
)

// cutForm is what happens to the connections of VMs that are partitioned from a link's target.
type cutForm int

const (
	// cutHang keeps all bytes, also those of new connections, until the partition ends.
	cutHang cutForm = iota
	// cutReset aborts all connections, and new ones.
	cutReset
	// cutRefuse aborts new connections; old ones live on.
	cutRefuse
)

// String returns the name of a form.
func (f cutForm) String() string { return [...]string{"hang", "reset", "refuse"}[f] }

// cut is a partition of VMs, known by the ids of their processes, from the targets of links.
type cut struct {
	form cutForm
	pids []int

	mu      sync.Mutex
	sockets map[uint64]bool
}

// affects reports whether a connection comes from one of the VMs.
func (x *cut) affects(c net.Conn) bool {
	inode, err := peerInode(c)
	if err != nil {
		// The other end has closed it.
		slog.Debug("ConnectionNotAssigned", "error", err)
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.sockets[inode] {
		x.sockets = openSockets(x.pids)
	}
	return x.sockets[inode]
}

// begin partitions VMs from the target.
func (k *link) begin(x *cut) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = x
	for c := range k.conns {
		if !x.affects(c) {
			continue
		}
		switch x.form {
		case cutHang:
			k.held[c] = true
		case cutReset:
			sock.Abort(c)
		case cutRefuse:
		}
	}
}

// end ends a partition and passes on what it kept.
func (k *link) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = nil
	clear(k.held)
}

// admit applies the partition in force to a new connection and reports whether it lives.
func (k *link) admit(c net.Conn) bool {
	k.mu.Lock()
	x := k.cut
	k.mu.Unlock()
	if x == nil || !x.affects(c) {
		return true
	}
	if x.form != cutHang {
		sock.Abort(c)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held[c] = k.cut == x
	return true
}

package plat

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/teaselstream/teaselstream/sock"
)

type (
	// Cut says how a partition between a VM and the replicas shows.
	Cut uint8

	// Network carries connections from VMs to replicas and can partition a VM from all replicas; its zero value partitions none.
	Network struct {
		mu      sync.Mutex
		cuts    map[string]partition
		links   map[*link]bool
		carried map[string]int64
	}

	partition struct {
		cut   Cut
		ended chan struct{}
	}

	// link is one connection: the VM's end and the replica's end, between which two goroutines copy.
	link struct {
		network     *Network
		source      string
		vm, replica net.Conn
	}
)

const (
	// CutHangs holds back all bytes of open connections, and new connections do not come about.
	CutHangs Cut = iota + 1
	// CutResets resets open connections and refuses new ones.
	CutResets
	// CutRefuses refuses new connections, while open ones live on.
	CutRefuses
)

// String returns the name of the cut.
func (c Cut) String() string { return [...]string{"none", "hang", "reset", "refuse"}[c] }

// Cut partitions VMs, named by their sources, from all replicas.
func (n *Network) Cut(c Cut, sources ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[string]partition)
	}
	for _, s := range sources {
		n.cuts[s] = partition{c, make(chan struct{})}
		for l := range n.links {
			if l.source == s && c == CutResets {
				l.reset()
			}
		}
	}
}

// Mend ends the partitions of VMs; bytes that were held back arrive.
func (n *Network) Mend(sources ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range sources {
		if p, ok := n.cuts[s]; ok {
			close(p.ended)
			delete(n.cuts, s)
		}
	}
}

// Carried returns the number of bytes between a VM and the replicas so far.
func (n *Network) Carried(source string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.carried[source]
}

// Dial returns the function with which a VM connects to replicas.
func (n *Network) Dial(source string) sock.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		switch p := n.partition(source); p.cut {
		case CutHangs:
			select {
			case <-p.ended:
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
			}
		case CutResets, CutRefuses:
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}
		replica, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.connect(source, replica)
	}
}

func (n *Network) partition(source string) partition {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[source]
}

// connect returns the VM's end of a new link whose other end is a connection to a replica.
func (n *Network) connect(source string, replica net.Conn) (net.Conn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen: %w", err), replica.Close())
	}
	defer sock.Discard(l)
	vm, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("connect: %w", err), replica.Close())
	}
	inner, err := l.Accept()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("accept: %w", err), vm.Close(), replica.Close())
	}
	x := &link{network: n, source: source, vm: inner, replica: replica}
	n.mu.Lock()
	if n.links == nil {
		n.links, n.carried = make(map[*link]bool), make(map[string]int64)
	}
	n.links[x] = true
	n.mu.Unlock()
	go x.copy(replica, inner)
	go x.copy(inner, replica)
	return vm, nil
}

// copy copies from one end to the other, and holds bytes and the close back while the VM is partitioned.
func (l *link) copy(to, from net.Conn) {
	b := make([]byte, 16<<10)
	for {
		k, err := from.Read(b)
		if p := l.network.partition(l.source); p.cut == CutHangs {
			<-p.ended
		}
		if k > 0 {
			l.network.count(l.source, k)
			if _, err := to.Write(b[:k]); err != nil {
				l.close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			l.close()
			return
		}
		if err != nil {
			l.network.forget(l)
			l.reset()
			return
		}
	}
}

func (n *Network) count(source string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carried[source] += int64(bytes)
}

func (n *Network) forget(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}

func (l *link) close() {
	l.network.forget(l)
	sock.Discard(l.vm)
	sock.Discard(l.replica)
}

func (l *link) reset() {
	sock.Abort(l.vm)
	sock.Abort(l.replica)
}

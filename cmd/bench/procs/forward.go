package procs

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"

	"github.com/teaselstream/teaselstream/sock"
)

type (
	// network forwards connections between processes and simulates network partitions.
	//
	// It keeps the bytes of a cut connection and delivers them after healing, as TCP retransmission does.
	network struct {
		mu        sync.Mutex
		cuts      []cut
		changed   chan struct{}
		listeners []net.Listener
		conns     map[net.Conn]bool
		closed    bool
		// owner returns the process at the remote end of a connection.
		owner func(net.Conn) peer
	}

	// peer is one end of a connection: a process or node with its failure domain. Platform services have no domain.
	peer struct{ name, domain string }

	// cut separates the peers that match a from those that match b, by name or domain; an empty b means all others.
	cut struct{ a, b string }
)

func newNetwork(owner func(net.Conn) peer) *network {
	return &network{changed: make(chan struct{}), conns: map[net.Conn]bool{}, owner: owner}
}

func (p peer) matches(s string) bool { return s != "" && (p.name == s || p.domain == s) }

func (c cut) separates(x, y peer) bool {
	if c.b == "" {
		return x.matches(c.a) != y.matches(c.a)
	}
	return x.matches(c.a) && y.matches(c.b) || x.matches(c.b) && y.matches(c.a)
}

// cut adds a cut.
func (n *network) cut(c cut) { n.change(func() { n.cuts = append(n.cuts, c) }) }

// heal removes all cuts.
func (n *network) heal() { n.change(func() { n.cuts = nil }) }

func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// waitConnected waits until no cut separates x and y. It returns false once the network is closed.
func (n *network) waitConnected(x, y peer) bool {
	for {
		n.mu.Lock()
		changed, closed := n.changed, n.closed
		blocked := slices.ContainsFunc(n.cuts, func(c cut) bool { return c.separates(x, y) })
		n.mu.Unlock()
		if closed || !blocked {
			return !closed
		}
		<-changed
	}
}

// forward listens on an address and forwards connections to the target address of a peer.
func (n *network) forward(listen, target string, to peer) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen for forwarder: %w", err)
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.relay(c, target, to)
		}
	}()
	return nil
}

func (n *network) relay(c net.Conn, target string, to peer) {
	from := n.owner(c)
	if !n.track(c) {
		return
	}
	defer n.untrack(c)
	if !n.waitConnected(from, to) {
		return
	}
	d, err := net.Dial("tcp", target)
	if err != nil {
		// The caller must see a reset, as from a refused connection, not an orderly close.
		sock.Abort(c)
		return
	}
	if !n.track(d) {
		return
	}
	defer n.untrack(d)
	var wait sync.WaitGroup
	wait.Go(func() { n.copyBytes(d, c, from, to) })
	wait.Go(func() { n.copyBytes(c, d, from, to) })
	wait.Wait()
}

// copyBytes copies one direction until the source ends. It passes a half-close on and keeps the other direction open.
func (n *network) copyBytes(w, r net.Conn, from, to peer) {
	buf := make([]byte, 32<<10)
	for {
		k, err := r.Read(buf)
		if !n.waitConnected(from, to) {
			return
		}
		if k > 0 {
			if _, err := w.Write(buf[:k]); err != nil {
				sock.Discard(r)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if t, ok := w.(*net.TCPConn); ok {
				if err := t.CloseWrite(); err != nil {
					sock.Discard(w)
				}
			}
			return
		case err != nil:
			sock.Abort(w)
			return
		}
	}
}

// track registers a connection so that close ends it. It closes the connection and returns false if the network is
// already closed.
func (n *network) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		sock.Discard(c)
		return false
	}
	n.conns[c] = true
	return true
}

func (n *network) untrack(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sock.Discard(c)
	delete(n.conns, c)
}

func (n *network) close() {
	n.change(func() {
		n.closed = true
		for _, l := range n.listeners {
			sock.Discard(l)
		}
		for c := range n.conns {
			sock.Discard(c)
		}
	})
}

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
	// network carries connections between processes and holds those that are cut.
	//
	// Bytes of a cut connection stay where they are and go on when it is healed, as TCP's retransmission does.
	network struct {
		mu        sync.Mutex
		cuts      []cut
		changed   chan struct{}
		listeners []net.Listener
		conns     map[net.Conn]bool
		closed    bool
		// owner tells the process at the other end of a connection.
		owner func(net.Conn) place
	}

	// place is a process or address with its failure domain; the platform has none.
	place struct{ name, domain string }

	// cut separates the places a from the places b; an empty b means everything else.
	cut struct{ a, b string }
)

func newNetwork(owner func(net.Conn) place) *network {
	return &network{changed: make(chan struct{}), conns: map[net.Conn]bool{}, owner: owner}
}

func (p place) in(s string) bool { return s != "" && (p.name == s || p.domain == s) }

func (c cut) separates(x, y place) bool {
	if c.b == "" {
		return x.in(c.a) != y.in(c.a)
	}
	return x.in(c.a) && y.in(c.b) || x.in(c.b) && y.in(c.a)
}

// cut adds a cut, and heal removes all.
func (n *network) cut(c cut) { n.change(func() { n.cuts = append(n.cuts, c) }) }

func (n *network) heal() { n.change(func() { n.cuts = nil }) }

func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// pass waits until x and y are connected; it reports false when the network is closed.
func (n *network) pass(x, y place) bool {
	for {
		n.mu.Lock()
		changed, closed := n.changed, n.closed
		held := slices.ContainsFunc(n.cuts, func(c cut) bool { return c.separates(x, y) })
		n.mu.Unlock()
		if closed || !held {
			return !closed
		}
		<-changed
	}
}

// forward listens on an address and passes connections on to the target of a place.
func (n *network) forward(listen, target string, to place) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen for a forwarder: %w", err)
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
			go n.carry(c, target, to)
		}
	}()
	return nil
}

func (n *network) carry(c net.Conn, target string, to place) {
	from := n.owner(c)
	if !n.keep(c) {
		return
	}
	defer n.drop(c)
	if !n.pass(from, to) {
		return
	}
	d, err := net.Dial("tcp", target)
	if err != nil {
		// A refused connection must look like one to the caller: a reset, not an orderly end.
		sock.Abort(c)
		return
	}
	if !n.keep(d) {
		return
	}
	defer n.drop(d)
	var wait sync.WaitGroup
	wait.Go(func() { n.pump(d, c, from, to) })
	wait.Go(func() { n.pump(c, d, from, to) })
	wait.Wait()
}

// pump copies until the source ends; a half-closed connection stays open in the other direction.
func (n *network) pump(w, r net.Conn, from, to place) {
	buf := make([]byte, 32<<10)
	for {
		k, err := r.Read(buf)
		if !n.pass(from, to) {
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

// keep remembers a connection for close; it closes it at once if the network is closed.
func (n *network) keep(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		sock.Discard(c)
		return false
	}
	n.conns[c] = true
	return true
}

func (n *network) drop(c net.Conn) {
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

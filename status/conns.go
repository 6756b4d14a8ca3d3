package status

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/sock"
)

// endCheckPeriod is the time between two checks of the connections to servers. A server that ends closes them, and callers expect the
// next event within a few hundred milliseconds.
const endCheckPeriod = 20 * time.Millisecond

type (
	// Conns watches the connections that it opens for their end by the server; its zero value works. It is safe for concurrent use.
	Conns struct {
		mu   sync.Mutex
		open map[*watchedConn]bool
	}

	// watchedConn is a connection that is watched until it is closed.
	watchedConn struct {
		net.Conn
		conns   *Conns
		address string
	}
)

// Dial returns a function that opens connections with another one and watches them.
func (c *Conns) Dial(dial sock.DialFunc) sock.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		w := &watchedConn{Conn: n, conns: c, address: address}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.open == nil {
			c.open = make(map[*watchedConn]bool)
		}
		c.open[w] = true
		return w, nil
	}
}

// Close implements net.Conn.
func (w *watchedConn) Close() error {
	w.conns.forget(w)
	return w.Conn.Close()
}

func (c *Conns) forget(w *watchedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, w)
}

// Run reports the address of each server that has ended a connection, once for each, while active, until ctx ends.
func (c *Conns) Run(ctx context.Context, active func() bool, ended func(address string)) {
	t := time.NewTicker(endCheckPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !active() {
			continue
		}
		for _, w := range c.endedConns() {
			ended(w.address)
		}
	}
}

// endedConns returns the connections that have ended since the last call, and stops watching them.
func (c *Conns) endedConns() []*watchedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*watchedConn
	for w := range c.open {
		if sock.PeerClosed(w.Conn) {
			out = append(out, w)
			delete(c.open, w)
		}
	}
	return out
}

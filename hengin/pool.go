package hengin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/sock"
)

const (
	maxIdlePerAddress = 64
	// maxIdleTime is shorter than the usual keep-alive timeout of HTTP servers, so that few connections are closed by the
	// engine first.
	maxIdleTime = 20 * time.Second
	dialTimeout = 500 * time.Millisecond
)

type (
	// pool keeps idle connections to engines for later streams.
	pool struct {
		mu   sync.Mutex
		idle map[string][]idleConn
	}

	idleConn struct {
		conn  net.Conn
		since time.Time
	}
)

// get returns an idle connection that the engine has not closed, or a new one.
func (p *pool) get(ctx context.Context, address string) (net.Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if !sock.PeerClosed(c) {
			return c, nil
		}
		sock.Discard(c)
	}
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// take returns the most recently used idle connection, or nil. It closes all of them if that one is too old.
func (p *pool) take(address string) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	if time.Since(last.since) > maxIdleTime {
		closeAll(list)
		delete(p.idle, address)
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return last.conn
}

// put keeps a connection from which a complete answer was read.
func (p *pool) put(address string, c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]idleConn)
	}
	list := p.idle[address]
	if len(list) >= maxIdlePerAddress {
		sock.Discard(c)
		return
	}
	p.idle[address] = append(list, idleConn{conn: c, since: time.Now()})
}

// close closes all idle connections.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		closeAll(list)
	}
	p.idle = nil
}

func closeAll(list []idleConn) {
	for _, c := range list {
		sock.Discard(c.conn)
	}
}

package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/gobwas/ws"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/sock"
	"github.com/teaselstream/teaselstream/wire"
)

// dial is the state of opening a link to one address.
type dial struct {
	busy     bool
	failures int
	retryAt  time.Time
	queue    []queued
}

type queued struct {
	to      teaselstream.VMID
	message wire.Message
}

// enqueue keeps a message until the link is open; the caller holds the lock.
func (m *Mesh) enqueue(to teaselstream.VMID, address string, x wire.Message) error {
	if address == "" {
		return fmt.Errorf("%w: no address of %s", ErrUnreachable, to)
	}
	d := m.dials[address]
	if d == nil {
		d = &dial{}
		m.dials[address] = d
	}
	if len(d.queue) >= queueLimit || !d.busy && time.Now().Before(d.retryAt) {
		return fmt.Errorf("%w: %s at %s", ErrUnreachable, to, address)
	}
	d.queue = append(d.queue, queued{to, x})
	m.startDial(address, d)
	return nil
}

// startDial opens a link unless that is under way; the caller holds the lock.
func (m *Mesh) startDial(address string, d *dial) {
	if d.busy || m.closed {
		return
	}
	d.busy = true
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
		defer cancel()
		c, br, _, err := ws.Dialer{}.Dial(ctx, "ws://"+address+"/peers")
		if err != nil || br != nil {
			// The acceptor is silent until the Hello, so early data is a fault of protocol.
			if c != nil {
				sock.Discard(c)
			}
			m.dialEnded(address, nil)
			return
		}
		m.enroll(c, newLink(m, address, true))
	}()
}

// dialEnded sends what waited for a link, or drops it and backs off if l is nil.
func (m *Mesh) dialEnded(address string, l *link) {
	m.mu.Lock()
	d := m.dials[address]
	if d == nil || !d.busy {
		m.mu.Unlock()
		return
	}
	d.busy = false
	queue := d.queue
	d.queue = nil
	if l == nil {
		m.stats.DialFailures.Add(1)
		d.failures++
		d.retryAt = time.Now().Add(teaselstream.Backoff(m.o.Rand, dialBase, dialLimit, d.failures))
	} else {
		delete(m.dials, address)
	}
	m.mu.Unlock()
	for _, q := range queue {
		// Another VM may have taken over the address.
		if l == nil || l.peer() != q.to || l.send(q.message) != nil {
			m.stats.Dropped.Add(1)
		}
	}
}

// seed dials the seed addresses while there is no link.
func (m *Mesh) seed() {
	defer m.work.Done()
	t := time.NewTicker(dialBase)
	defer t.Stop()
	for {
		m.mu.Lock()
		if len(m.links) == 0 {
			for _, a := range m.o.Seeds {
				d := m.dials[a]
				if d == nil {
					d = &dial{}
					m.dials[a] = d
				}
				if a != m.Address() && !time.Now().Before(d.retryAt) {
					m.startDial(a, d)
				}
			}
		}
		m.mu.Unlock()
		select {
		case <-m.ctx.Done():
			return
		case <-t.C:
		}
	}
}

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

// dialState is the state of opening a link to one address.
type dialState struct {
	dialing  bool
	failures int
	retryAt  time.Time
	queue    []queuedMessage
}

type queuedMessage struct {
	to      teaselstream.VMID
	message wire.Message
}

// enqueue queues a message until the link is open; the caller must hold m.mu.
func (m *Mesh) enqueue(to teaselstream.VMID, address string, x wire.Message) error {
	if address == "" {
		return fmt.Errorf("%w: no address known for %s", ErrUnreachable, to)
	}
	d := m.dials[address]
	if d == nil {
		d = &dialState{}
		m.dials[address] = d
	}
	if len(d.queue) >= maxQueuedMessages || !d.dialing && time.Now().Before(d.retryAt) {
		return fmt.Errorf("%w: %s at %s", ErrUnreachable, to, address)
	}
	d.queue = append(d.queue, queuedMessage{to, x})
	m.startDial(address, d)
	return nil
}

// startDial opens a link unless a dial is in progress; the caller must hold m.mu.
func (m *Mesh) startDial(address string, d *dialState) {
	if d.dialing || m.closed {
		return
	}
	d.dialing = true
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
		defer cancel()
		c, br, _, err := ws.Dialer{}.Dial(ctx, "ws://"+address+"/peers")
		if err != nil || br != nil {
			// The acceptor sends nothing before it gets the Hello, so early data is a protocol error.
			if c != nil {
				sock.Discard(c)
			}
			m.dialDone(address, nil)
			return
		}
		m.enrollLink(c, newLink(m, address, true))
	}()
}

// dialDone sends the queued messages over the new link; if l is nil, it drops them and backs off.
func (m *Mesh) dialDone(address string, l *link) {
	m.mu.Lock()
	d := m.dials[address]
	if d == nil || !d.dialing {
		m.mu.Unlock()
		return
	}
	d.dialing = false
	queue := d.queue
	d.queue = nil
	if l == nil {
		m.stats.DialFailures.Add(1)
		d.failures++
		d.retryAt = time.Now().Add(teaselstream.Backoff(m.options.Rand, dialBackoffBase, dialBackoffMax, d.failures))
	} else {
		delete(m.dials, address)
	}
	m.mu.Unlock()
	for _, q := range queue {
		// The address may belong to a different VM by now.
		if l == nil || l.peer() != q.to || l.send(q.message) != nil {
			m.stats.Dropped.Add(1)
		}
	}
}

// dialSeeds dials the seed addresses as long as there is no link.
func (m *Mesh) dialSeeds() {
	defer m.goroutines.Done()
	t := time.NewTicker(dialBackoffBase)
	defer t.Stop()
	for {
		m.mu.Lock()
		if len(m.links) == 0 {
			for _, a := range m.options.Seeds {
				d := m.dials[a]
				if d == nil {
					d = &dialState{}
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

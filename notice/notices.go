package notice

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// keepTime is how long a server's words are kept after its last answer. A server that leaves serves for some seconds more, and a
	// restored store lists it for some seconds as it was before.
	keepTime = 10 * time.Minute
	// sweepInterval is the least time between two searches for notices to drop.
	sweepInterval = time.Minute
)

type (
	// Notices holds what servers have said. The zero value holds nothing. It is safe for concurrent use.
	Notices struct {
		// any is set once a server has said anything, so that most requests take no lock.
		any     atomic.Bool
		mu      sync.Mutex
		servers map[teaselstream.ServerID]*statement
		sweptAt time.Time
	}

	// statement is what one incarnation of a server has said.
	statement struct {
		incarnation  teaselstream.Incarnation
		leavingSince time.Time
		// waitUntil is until when it wants nothing from this VM.
		waitUntil time.Time
		heardAt   time.Time
	}
)

// ObserveLeaving records that an answer of a server said that it leaves, and reports whether this is news.
func (n *Notices) ObserveLeaving(now time.Time, id teaselstream.ServerID, incarnation teaselstream.Incarnation) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.statement(now, id, incarnation)
	if s == nil || !s.leavingSince.IsZero() {
		return false
	}
	s.leavingSince = now
	return true
}

// ObserveWait records that a server wants nothing from this VM for some time.
func (n *Notices) ObserveWait(now time.Time, id teaselstream.ServerID, incarnation teaselstream.Incarnation, wait time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.statement(now, id, incarnation)
	if until := now.Add(wait); s != nil && until.After(s.waitUntil) {
		s.waitUntil = until
	}
}

// Wait returns for how long a server wants nothing more from this VM, or 0.
func (n *Notices) Wait(now time.Time, id teaselstream.ServerID, incarnation teaselstream.Incarnation) time.Duration {
	if !n.any.Load() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.servers[id]
	if s == nil || s.incarnation < incarnation {
		return 0
	}
	return max(0, s.waitUntil.Sub(now))
}

// LeavingSince returns when an answer of a server first said that it leaves, or the zero time.
func (n *Notices) LeavingSince(id teaselstream.ServerID, incarnation teaselstream.Incarnation) time.Time {
	if !n.any.Load() {
		return time.Time{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.servers[id]; s != nil && s.incarnation >= incarnation {
		return s.leavingSince
	}
	return time.Time{}
}

// statement returns the statement of an incarnation of a server to change, or nil if a later incarnation has made one. The caller
// holds the lock.
func (n *Notices) statement(now time.Time, id teaselstream.ServerID, incarnation teaselstream.Incarnation) *statement {
	if n.servers == nil {
		n.servers = make(map[teaselstream.ServerID]*statement)
	}
	n.any.Store(true)
	n.sweep(now)
	s := n.servers[id]
	switch {
	case s == nil || s.incarnation < incarnation:
		s = &statement{incarnation: incarnation}
		n.servers[id] = s
	case s.incarnation > incarnation:
		return nil
	}
	s.heardAt = now
	return s
}

func (n *Notices) sweep(now time.Time) {
	if now.Sub(n.sweptAt) < sweepInterval {
		return
	}
	n.sweptAt = now
	for id, s := range n.servers {
		if now.Sub(s.heardAt) > keepTime && now.After(s.waitUntil) {
			delete(n.servers, id)
		}
	}
}

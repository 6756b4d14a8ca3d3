package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/teaselstream/teaselstream"
)

// confirmInterval is the least time between two messages about an unchanged limit of one server.
const confirmInterval = time.Second

type (
	// Limits holds this VM's parts of the limits of servers. The zero value limits nothing. It is safe for concurrent use.
	Limits struct {
		// any is set while a server is limited, so that most requests take no lock.
		any     atomic.Bool
		mu      sync.Mutex
		servers map[teaselstream.ServerID]*serverLimit
	}

	serverLimit struct {
		Part
		limiter     *rate.Limiter
		confirmedAt time.Time
	}

	// Part is the limit of a server, and what of it this VM may use.
	Part struct {
		Limit teaselstream.RequestsPerSecond
		Rate  teaselstream.RequestsPerSecond
	}
)

// Set replaces the parts of all servers. A server without one is not limited.
func (l *Limits) Set(now time.Time, parts map[teaselstream.ServerID]Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.servers == nil {
		l.servers = make(map[teaselstream.ServerID]*serverLimit)
	}
	for id := range l.servers {
		if _, ok := parts[id]; !ok {
			delete(l.servers, id)
		}
	}
	for id, p := range parts {
		s := l.servers[id]
		if s == nil {
			// One request at a time: the bursts of all VMs add up.
			s = &serverLimit{limiter: rate.NewLimiter(rate.Limit(p.Rate), 1)}
			l.servers[id] = s
		}
		s.Part = p
		s.limiter.SetLimitAt(now, rate.Limit(p.Rate))
	}
	l.any.Store(len(l.servers) > 0)
}

// Ready reports whether this VM may send a request to a server now.
func (l *Limits) Ready(now time.Time, id teaselstream.ServerID) bool {
	wait, ok := l.Wait(now, id)
	return ok && wait <= 0
}

// Take uses one request to a server up and reports whether there was one.
func (l *Limits) Take(now time.Time, id teaselstream.ServerID) bool {
	if !l.any.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	return s == nil || s.Rate > 0 && s.limiter.AllowN(now, 1)
}

// Wait returns the time until this VM may send the next request to a server; ok is false if it has no part of the limit.
func (l *Limits) Wait(now time.Time, id teaselstream.ServerID) (wait time.Duration, ok bool) {
	if !l.any.Load() {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil {
		return 0, true
	}
	if s.Rate <= 0 {
		return 0, false
	}
	missing := 1 - s.limiter.TokensAt(now)
	return max(0, time.Duration(missing/float64(s.Rate)*float64(time.Second))), true
}

// Observe returns the message for Tracker about the limit in an answer to a request that was sent at a given time; ok is false if
// it would say nothing new.
func (l *Limits) Observe(now, sentAt time.Time, id teaselstream.ServerID, a teaselstream.AnswerHead) (m Named, ok bool) {
	if !a.HasLimit && !l.any.Load() {
		return Named{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	m = Named{Server: id, HasLimit: a.HasLimit, Limit: a.Limit, SentAt: sentAt}
	switch {
	case s == nil:
		return m, a.HasLimit
	case !a.HasLimit:
		// A refusal can come from another server at the same address, which says nothing of this one.
		return m, a.Stamped && !a.NotRun
	case a.Limit == s.Limit && now.Sub(s.confirmedAt) < confirmInterval:
		return m, false
	}
	s.confirmedAt = now
	return m, true
}

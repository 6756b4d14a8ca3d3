package proxy

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/crash"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/sock"
)

const (
	// soundEvents is the number of events after which a server is taken to write an answer without harm.
	soundEvents = 3
	// endCheckDelay is the wait before a server that accepted a connection after it broke off an answer is checked again, since
	// a process that ends may close its listener last.
	endCheckDelay = 100 * time.Millisecond
	// endCheckReuse is how long the result of a check counts for other requests; a server that ends breaks off all its answers.
	endCheckReuse = 300 * time.Millisecond
	// isolationCheckDelay covers the probes by which a VM finds that it reaches no server.
	isolationCheckDelay = probeTimeout + 10*time.Millisecond
)

type (
	// endings checks whether servers that broke off answers have ended; requests of one server share a check.
	endings struct {
		mu     sync.Mutex
		recent map[teaselstream.ServerID]*endCheck
	}

	endCheck struct {
		at    time.Time
		done  chan struct{}
		ended bool
	}
)

// crashTraits returns the traits of a request that other requests which crash servers may share.
func (r *request) crashTraits() []crash.Trait {
	traits := []crash.Trait{crash.ContentTrait(r.caller.Team, r.Method, r.Target, r.Body)}
	if r.pool.Engine == nil {
		return traits
	}
	for _, id := range r.head.Segments {
		traits = append(traits, crash.SegmentTrait(r.pool.Service, id))
	}
	return traits
}

func (h *Handler) quarantine() *crash.Quarantine {
	if h.Quarantine == nil {
		return nil
	}
	return h.Quarantine()
}

// mayRun reports whether the request may be sent to a server: it has no signature of requests that crash servers, or is the one request that
// is sent on trial.
func (r *request) mayRun() bool {
	q := r.handler.quarantine()
	if !q.Refuses(r.traits) {
		return true
	}
	if r.onTrial || !q.TakeTrial(r.traits) {
		return false
	}
	r.onTrial = true
	r.log("CrashTrial", slog.LevelInfo, "traits", r.traits)
	return true
}

// isHarmful reports whether the request, which was sent, has a signature of requests that crash servers and was not sent on trial.
func (r *request) isHarmful() bool { return !r.onTrial && r.handler.quarantine().Refuses(r.traits) }

// reportSound reports that a server has answered the request, as far as that can matter: the segments of prompts are remembered
// and the content only if it is suspected.
func (r *request) reportSound() {
	q := r.handler.quarantine()
	traits := r.traits[1:]
	if q.Suspects(r.traits[0]) {
		traits = r.traits
	}
	if len(traits) > 0 {
		r.handler.Post(crash.Answered{Traits: traits})
	}
}

// reportLoss reports that a server broke off the request without an answer, if the server has ended.
func (r *request) reportLoss(m *fleet.Member, begun bool) {
	if !r.handler.reportEnding(m) {
		return
	}
	r.handler.Post(crash.Lost{Request: r.head.Attempt, Server: m.ID, Incarnation: m.Incarnation, Traits: r.traits, Begun: begun})
	r.log("ServerCrashed", slog.LevelInfo, "server", string(m.ID), "incarnation", uint64(m.Incarnation), "begun", begun, "traits", r.traits)
}

// reportEnding reports that a server has ended, if it has, and returns whether it has.
func (h *Handler) reportEnding(m *fleet.Member) bool {
	if !h.endings.check(m.ID, m.Address, h.dialServer) {
		return false
	}
	// A VM that loses all servers is refused by each of them. The probes that follow the first failure show that by then.
	time.Sleep(isolationCheckDelay)
	if h.Detour.IsIsolated() {
		return false
	}
	h.Post(fleet.Unreachable{Server: m.ID, Incarnation: m.Incarnation, Ended: true, Reason: "broke off answers and refuses connections"})
	return true
}

// check reports whether a server has ended: its address refuses connections.
func (e *endings) check(id teaselstream.ServerID, address string, dial sock.DialFunc) bool {
	now := time.Now()
	e.mu.Lock()
	if e.recent == nil {
		e.recent = make(map[teaselstream.ServerID]*endCheck)
	}
	c := e.recent[id]
	if c == nil || now.Sub(c.at) > endCheckReuse {
		e.dropOld(now)
		c = &endCheck{at: now, done: make(chan struct{})}
		e.recent[id] = c
		e.mu.Unlock()
		c.ended = refusesConnections(address, dial)
		if !c.ended {
			time.Sleep(endCheckDelay)
			c.ended = refusesConnections(address, dial)
		}
		close(c.done)
		return c.ended
	}
	e.mu.Unlock()
	<-c.done
	return c.ended
}

func (e *endings) dropOld(now time.Time) {
	for id, c := range e.recent {
		if now.Sub(c.at) > endCheckReuse {
			delete(e.recent, id)
		}
	}
}

func refusesConnections(address string, dial sock.DialFunc) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// The connection carries nothing, so an error of its close does not matter.
	_ = c.Close()
	return false
}

package proxy

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/flow"
	"github.com/teaselstream/teaselstream/memory"
	"github.com/teaselstream/teaselstream/meter"
)

type (
	// attempt is the state of one attempt that was opened; a second one may run until it replaces the first.
	attempt struct {
		cancel context.CancelFunc
		// first is the first server as it was known when the attempt was opened.
		first    fleet.Member
		openedAt time.Time
		events   int
		// reserved holds the servers of the path that count this request as their own.
		reserved []*fleet.LoadEstimate
		// ended reports that the router has aborted the attempt or its end was recorded.
		ended bool
		// response is nil until the first server has answered.
		response *savedResponse
		// held counts the events that have been read and not delivered.
		held *memory.Holder
	}

	// savedResponse is the part of an attempt's response that is forwarded later; body is set for responses that are not streamed.
	savedResponse struct {
		status int
		header http.Header
		body   []byte
	}
)

// current returns the state of the running attempt; it is empty if none was opened.
func (s *streamRunner) current() *attempt {
	if a := s.attempts[s.core.Attempt]; a != nil {
		return a
	}
	return &attempt{}
}

// recordProgress counts the events of an attempt and logs its end if the server broke it off.
func (s *streamRunner) recordProgress(m teaselstream.Msg) {
	switch m := m.(type) {
	case flow.Event:
		a := s.attempts[m.Attempt]
		if a == nil {
			return
		}
		a.held.Shrink(len(m.Data))
		a.events++
		if a.events == soundEvents {
			s.reportSound()
		}
	case flow.Closed:
		a := s.attempts[m.Attempt]
		if a == nil || a.ended {
			return
		}
		s.abort(m.Attempt)
		switch {
		case m.NotSent:
		case m.Complete && a.events < soundEvents:
			s.reportSound()
		case !m.Complete:
			s.recordBroken(m, a)
		}
	}
}

// recordBroken logs what ran on a server that broke off an answer, and reports the server if it has ended, with the request
// if it had not written an answer.
func (s *streamRunner) recordBroken(m flow.Closed, a *attempt) {
	begun := a.response != nil
	s.log("AttemptBroken", slog.LevelInfo, "attempt", m.Attempt, "server", string(a.first.ID), "incarnation", uint64(a.first.Incarnation),
		"begun", begun, "events", a.events, "segments", s.head.Segments, "error", m.Reason)
	if a.first.Service == "" {
		return
	}
	first := a.first
	if a.events < soundEvents {
		go s.reportLoss(&first, begun)
		return
	}
	// A server that has ended does not count against the servers on which the request may run.
	go s.handler.reportEnding(&first)
}

// recordResponse keeps the head of an attempt's response and records the load and the limit that its first server states in it.
func (s *streamRunner) recordResponse(now time.Time, o openedResponse) {
	a := s.attempts[o.Attempt]
	if a == nil {
		return
	}
	a.response, a.held = &o.head, o.held
	if o.Answer.NotRun {
		s.log("AttemptRefused", slog.LevelInfo, "attempt", o.Attempt, "status", o.Status, "server", string(a.first.ID),
			"fault", o.Answer.Fault, "running", o.Answer.Running, "waiting", o.Answer.Waiting)
	}
	s.handler.observeLimit(a.openedAt, a.first.ID, o.Answer)
	if !o.Answer.HasLoad {
		return
	}
	if m := s.handler.View().Members[a.first.ID]; m != nil {
		m.LoadEstimate.RecordReport(now, o.Answer.Running, o.Answer.Waiting, -1)
	}
}

// abort ends an attempt, whose connection closes, and releases what it has reserved.
func (s *streamRunner) abort(n teaselstream.Attempt) {
	if a := s.attempts[n]; a != nil {
		a.ended = true
		a.cancel()
		s.reserve(a, nil)
	}
}

func (s *streamRunner) abortAll() {
	for n := range s.attempts {
		s.abort(n)
	}
}

// reserve moves an attempt's counts of tokens and requests in use to the servers of another path.
func (s *streamRunner) reserve(a *attempt, path teaselstream.Path) {
	for _, u := range a.reserved {
		u.OwnTokens.Add(-s.reservedTokens)
		u.OwnRequests.Add(-1)
	}
	a.reserved = a.reserved[:0]
	v := s.handler.View()
	for _, p := range path {
		if m := v.Members[p.Server]; m != nil {
			m.LoadEstimate.OwnTokens.Add(s.reservedTokens)
			m.LoadEstimate.OwnRequests.Add(1)
			a.reserved = append(a.reserved, m.LoadEstimate)
		}
	}
}

func (s *streamRunner) open(c flow.Open) {
	ctx, cancel := context.WithDeadline(context.Background(), s.deadline)
	// A server that has left the view since the path was planned is known by its place in the path only.
	a := &attempt{
		cancel: cancel, openedAt: time.Now(),
		first: fleet.Member{Replica: teaselstream.Replica{ID: c.Path[0].Server, Address: c.Path[0].Address}},
	}
	if m := s.handler.View().Members[c.Path[0].Server]; m != nil {
		a.first = *m
	}
	if c.Attempt == s.core.Attempt {
		// All earlier attempts have ended; otherwise this one is to replace the running one.
		s.abortAll()
	}
	s.attempts[c.Attempt] = a
	s.reserve(a, c.Path)
	if c.Attempt > 1 {
		s.handler.Meter.Count(meter.Retry, 1)
		s.log("RequestSentAgain", slog.LevelInfo, "attempt", c.Attempt, "reason", c.Reason, "server", string(c.Path[0].Server),
			"lastEvent", c.LastEvent, "viewAgeMs", time.Since(s.handler.View().At).Milliseconds())
	}
	header := endToEndHeader(s.Header)
	s.handler.Dialect.Dispatch(header, teaselstream.Dispatch{
		Team: s.caller.Team, Server: c.Path[0].Server, TimeLeft: s.timeLeft(time.Now()), Path: c.Path, LastEvent: c.LastEvent,
	})
	m := &outgoingRequest{method: s.Method, target: s.Target, host: s.Host, header: header, body: s.Body, stream: true}
	first := a.first
	go s.runAttempt(ctx, c, &first, m)
}

package flow

import (
	"bytes"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

func (s *Stream) onOpened(now time.Time, m Opened) []teaselstream.Cmd {
	if s.replacement.is(m.Attempt) {
		return s.onReplacementOpened(now, m)
	}
	if m.Attempt != s.Attempt {
		return nil
	}
	s.lastActivity = now
	switch {
	case m.Status/100 == 2 && m.Whole && s.delivered:
		s.markMayHaveRun()
		s.avoid[s.Path[0].Server] = true
		return append([]teaselstream.Cmd{Abort{s.Attempt, notTheRest}}, s.retryOrFail(now, notTheRest)...)
	case m.Status/100 == 2:
		s.opened = true
		s.markMayHaveRun()
		return nil
	case m.Answer.NotRun:
		return s.onRefused(now, m)
	default:
		// The server may have run the request and answers with a failure status.
		s.markMayHaveRun()
		if s.replacement.pending() {
			return append([]teaselstream.Cmd{Abort{s.Attempt, "failure status"}}, s.retryOrFail(now, "failure status")...)
		}
		if s.delivered {
			return s.retryOrFail(now, "failure status")
		}
		if s.mayRunAgain() && s.serversUsed() < max(s.MaxServers, 1) && s.attempts < maxStreamAttempts && s.mayRetry() {
			s.avoid[s.Path[0].Server] = true
			return append([]teaselstream.Cmd{Abort{s.Attempt, "failure status"}}, s.open(now, "failure status")...)
		}
		s.done = true
		if !s.mayRunAgain() && teaselstream.PromisesNotRun(m.Status) {
			return []teaselstream.Cmd{Finish{Refusal: falsePromise(), Replaced: s.Attempt}}
		}
		return []teaselstream.Cmd{PassThrough{s.Attempt}}
	}
}

// markMayHaveRun records that the current attempt may have run.
func (s *Stream) markMayHaveRun() {
	if !s.attemptMayHaveRun {
		s.attemptMayHaveRun = true
		s.attemptCounted = s.markRan(s.Path[0].Server)
	}
}

// unmarkMayHaveRun takes back that the current attempt may have run, once its server has said that it has not, or nothing was sent.
func (s *Stream) unmarkMayHaveRun() {
	if !s.attemptMayHaveRun || s.opened || s.attemptDelivered {
		return
	}
	s.attemptMayHaveRun = false
	s.possiblyRan--
	s.mayHaveRun = s.possiblyRan > 0
	ranHere := func(x ranServer) bool { return x.id == s.Path[0].Server }
	if i := slices.IndexFunc(s.ranOn, ranHere); i >= 0 && s.attemptCounted {
		s.ranOn = slices.Delete(s.ranOn, i, i+1)
	}
}

// markRan records that an attempt may have run at a first server, and reports whether no earlier one may have.
func (s *Stream) markRan(first teaselstream.ServerID) bool {
	s.mayHaveRun = true
	s.possiblyRan++
	x := ranServer{first, s.Planner.Incarnation(first)}
	if slices.Contains(s.ranOn, x) {
		return false
	}
	s.ranOn = append(s.ranOn, x)
	return true
}

func (s *Stream) mayRetry() bool { return s.MayRetry(s.delivered || s.LastEvent > 0) }

func (s *Stream) mayRunAgain() bool { return s.Resumable }

// notTheRest is the reason of an attempt whose answer is not the rest of the stream that the caller already has a part of.
const notTheRest = "answer is not the rest of the stream"

func (s *Stream) onEvent(now time.Time, m Event) []teaselstream.Cmd {
	if s.replacement.is(m.Attempt) {
		return s.onReplacementEvent(now, m)
	}
	if m.Attempt != s.Attempt || !s.reopenAt.IsZero() {
		return nil
	}
	s.markMayHaveRun()
	if m.ID == 0 && s.delivered && !s.attemptDelivered {
		if isComment(m.Data) {
			return nil
		}
		// Without a number nothing shows that the event continues what the caller has; it may be the text of an error.
		s.avoid[s.Path[0].Server] = true
		return append([]teaselstream.Cmd{Abort{s.Attempt, notTheRest}}, s.retryOrFail(now, notTheRest)...)
	}
	s.lastActivity = now
	if m.ID != 0 && m.ID <= s.lastEventID {
		return nil
	}
	if m.ID != 0 && s.lastEventID != 0 && m.ID != s.lastEventID+1 {
		return append([]teaselstream.Cmd{Abort{s.Attempt, "events are missing"}}, s.retryOrFail(now, "events are missing")...)
	}
	if m.ID != 0 {
		s.lastEventID = m.ID
	}
	s.recordGap(now)
	s.turn = turn{}
	s.delivered, s.attemptDelivered, s.lastEventAt = true, true, now
	s.probeDelay = nextEventProbeDelay
	// The path works, whatever probes of it showed. A server that is down may still have sent what is on its way.
	for _, p := range s.Path {
		if !s.Planner.Down(p.Server) {
			delete(s.avoid, p.Server)
		}
	}
	return append([]teaselstream.Cmd{Deliver{s.Attempt, m.Data}}, s.dropReplacement("the running attempt goes on")...)
}

// isComment reports whether an event has no fields, as servers send it to keep a connection open.
func isComment(data []byte) bool {
	for line := range bytes.Lines(data) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

func (s *Stream) onClosed(now time.Time, m Closed) []teaselstream.Cmd {
	if s.replacement.is(m.Attempt) {
		return s.onReplacementClosed(m)
	}
	if m.Attempt != s.Attempt || !s.reopenAt.IsZero() {
		return nil
	}
	if m.Complete && s.opened {
		s.done = true
		return []teaselstream.Cmd{Finish{Complete: true}}
	}
	if m.NotSent {
		s.unmarkMayHaveRun()
	} else {
		s.markMayHaveRun()
	}
	if len(s.Path) > 0 {
		s.avoid[s.Path[0].Server] = true
	}
	return s.retryOrFail(now, m.Reason)
}

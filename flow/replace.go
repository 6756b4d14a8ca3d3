package flow

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// replacement is an attempt that takes the place of the running one once a server has taken it. Its zero value means that there is none.
type replacement struct {
	attempt  teaselstream.Attempt
	path     teaselstream.Path
	stepTime time.Duration
}

func (r *replacement) pending() bool { return r.attempt != 0 }

// openReplacement opens another attempt beside the running one if a path, the route and the retry budget allow that now. The running
// attempt ends only when a server has taken the other one: its own server may go on, and the others may have no room.
func (s *Stream) openReplacement(now time.Time, reason string) []teaselstream.Cmd {
	s.markMayHaveRun()
	if now.Sub(s.lastActivity) < nextEventProbeDelay {
		// There was activity recently, so the path still works although a server in avoid is part of it. It is probed again
		// if no event follows.
		s.probeDelay = nextEventProbeDelay
		return nil
	}
	silent := now.Sub(s.lastActivity)
	s.probeDelay = silent + replanInterval
	if s.replacement.pending() || !s.mayRunAgain() || s.serversUsed() >= max(s.MaxServers, 1) || s.MayRun != nil && !s.MayRun() {
		return nil
	}
	if s.attempts >= maxStreamAttempts {
		if !s.callerWaits(now) {
			return nil
		}
		s.probeDelay = silent + lateRetryInterval
	}
	avoid := s.excludedForNow(now)
	// The first server of the running attempt would hold the request twice.
	avoid[s.Path[0].Server] = true
	path, stepTime, ok := s.Planner.Plan(now, avoid, "")
	if !ok || !s.mayRetry() || !s.Planner.Take(now, path[0].Server) {
		return nil
	}
	s.attempts++
	s.replacement = replacement{teaselstream.Attempt(s.attempts), path, stepTime}
	return []teaselstream.Cmd{Open{Attempt: s.replacement.attempt, Path: path, LastEvent: s.resumeAfter(), Reason: reason}}
}

// adoptReplacement makes the replacement the running attempt. The one before it has ended or is aborted by the caller.
func (s *Stream) adoptReplacement(now time.Time) {
	r := s.replacement
	s.replacement = replacement{}
	s.begin(now, r.attempt, r.path, r.stepTime)
}

// onReplacementOpened handles the answer to the replacement: the running attempt ends if the answer continues the stream.
func (s *Stream) onReplacementOpened(now time.Time, m Opened) []teaselstream.Cmd {
	r := s.replacement
	switch {
	case m.Answer.NotRun:
		s.replacement = replacement{}
		s.recordRefusal(now, r.path, m.Answer)
		return []teaselstream.Cmd{Abort{r.attempt, "refused as not run"}}
	case m.Status/100 != 2, m.Whole && s.delivered:
		return s.dropReplacement("failure status")
	}
	cmds := []teaselstream.Cmd{Abort{s.Attempt, "replaced"}}
	s.adoptReplacement(now)
	s.opened = true
	s.markMayHaveRun()
	return cmds
}

// onReplacementClosed handles the loss of the replacement before a server has taken it.
func (s *Stream) onReplacementClosed(m Closed) []teaselstream.Cmd {
	r := s.replacement
	s.replacement = replacement{}
	s.avoid[r.path[0].Server] = true
	if !m.NotSent {
		s.markRan(r.path[0].Server)
	}
	return nil
}

// dropReplacement ends the replacement, which may have run, and keeps the running attempt.
func (s *Stream) dropReplacement(reason string) []teaselstream.Cmd {
	if !s.replacement.pending() {
		return nil
	}
	r := s.replacement
	s.replacement = replacement{}
	s.avoid[r.path[0].Server] = true
	s.markRan(r.path[0].Server)
	return []teaselstream.Cmd{Abort{r.attempt, reason}}
}

// recordRefusal excludes the server that refused a replacement for a short time, and those behind the same link if it is remote.
func (s *Stream) recordRefusal(now time.Time, path teaselstream.Path, a teaselstream.AnswerHead) {
	fault := s.Planner.Resolve(a.Fault)
	if fault == "" {
		fault = path[0].Server
	}
	s.refusedAt[fault] = now
	for _, id := range s.Planner.RemoteDomainServers(path[0].Server, fault) {
		s.refusedAt[id] = now
	}
}

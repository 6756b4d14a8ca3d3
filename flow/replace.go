package flow

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

// replacement is an attempt that takes the place of the running one with its first event. Its zero value means that there is none.
type replacement struct {
	attempt  teaselstream.Attempt
	path     teaselstream.Path
	stepTime time.Duration
	openedAt time.Time
	// answered reports that its server has answered with success.
	answered bool
	probing  bool
}

// is reports whether there is a replacement with the given attempt number.
func (r *replacement) is(n teaselstream.Attempt) bool { return r.pending() && r.attempt == n }

func (r *replacement) pending() bool { return r.attempt != 0 }

// openReplacement opens another attempt beside the running one if a path, the route and the retry budget allow that now. The running
// attempt ends only when the other one continues the stream: its own server may go on, and the others may have no room.
func (s *Stream) openReplacement(now time.Time, reason string) []teaselstream.Cmd {
	s.markMayHaveRun()
	silent := now.Sub(s.lastActivity)
	if silent < s.leastSilence() {
		// There was activity recently, so the path still works although a server in avoid is part of it. It is probed again
		// if no event follows.
		s.probeDelay = s.leastSilence()
		return nil
	}
	s.probeDelay = silent + replanInterval
	if s.replacement.pending() || now.Before(s.replaceAfter) || !s.mayReplace(now) {
		return nil
	}
	avoid := s.excludedForNow(now)
	// The first server of the running attempt would hold the request twice.
	avoid[s.Path[0].Server] = true
	path, stepTime, ok := s.plan(now, avoid)
	if !ok || !s.mayRetry() || !s.Planner.Take(now, path[0].Server) {
		return nil
	}
	s.attempts++
	s.replacement = replacement{attempt: teaselstream.Attempt(s.attempts), path: path, stepTime: stepTime, openedAt: now}
	return []teaselstream.Cmd{Open{Attempt: s.replacement.attempt, Path: path, LastEvent: s.resumeAfter(), Reason: reason}}
}

// mayReplace reports whether the request may be sent once more while an attempt is running.
func (s *Stream) mayReplace(now time.Time) bool {
	if !s.mayRunAgain() || s.MayRun != nil && !s.MayRun() {
		return false
	}
	return s.attempts < maxStreamAttempts || s.callerWaits(now)
}

// adoptReplacement makes the replacement the running attempt. The one before it has ended or is aborted by the caller.
func (s *Stream) adoptReplacement(now time.Time) {
	r := s.replacement
	s.replacement = replacement{}
	s.begin(now, r.attempt, r.path, r.stepTime)
	s.opened, s.attemptMayHaveRun = r.answered, r.answered
}

// onReplacementOpened handles the head of the replacement's answer. The running attempt goes on until the first event.
func (s *Stream) onReplacementOpened(now time.Time, m Opened) []teaselstream.Cmd {
	r := &s.replacement
	switch {
	case m.Answer.NotRun:
		return s.onReplacementRefused(now, m.Answer)
	case m.Status/100 != 2:
		return s.dropFailedReplacement("failure status")
	case m.Whole && s.delivered:
		return s.dropFailedReplacement(notTheRest)
	}
	r.answered = true
	s.markRan(r.path[0].Server)
	return nil
}

// onReplacementRefused excludes the server that refused the replacement for a short time, and those behind the same link if it is
// remote. A refusal makes a new view, so that the next replacement must wait by itself.
func (s *Stream) onReplacementRefused(now time.Time, a teaselstream.AnswerHead) []teaselstream.Cmd {
	r := s.replacement
	s.replacement = replacement{}
	s.replaceAfter = now.Add(replanInterval)
	if s.attempts >= maxStreamAttempts {
		s.replaceAfter = now.Add(lateRetryInterval)
	}
	fault := s.Planner.Resolve(a.Fault)
	if fault == "" {
		fault = r.path[0].Server
	}
	s.refusedAt[fault] = now
	for _, id := range s.Planner.RemoteDomainServers(r.path[0].Server, fault) {
		s.refusedAt[id] = now
	}
	return []teaselstream.Cmd{Abort{r.attempt, "refused as not run"}}
}

// onReplacementEvent makes the replacement the running attempt if the event continues the stream.
func (s *Stream) onReplacementEvent(now time.Time, m Event) []teaselstream.Cmd {
	switch {
	case m.ID == 0 && isComment(m.Data), m.ID != 0 && m.ID <= s.lastEventID:
		return nil
	case m.ID == 0 && s.delivered:
		return s.dropFailedReplacement(notTheRest)
	case m.ID != 0 && s.lastEventID != 0 && m.ID != s.lastEventID+1:
		return s.dropFailedReplacement("events are missing")
	}
	cmds := []teaselstream.Cmd{Abort{s.Attempt, "replaced"}}
	s.adoptReplacement(now)
	return append(cmds, s.onEvent(now, m)...)
}

// onReplacementClosed handles the end of the replacement before its first event. A complete answer without one says that the caller
// has the whole stream.
func (s *Stream) onReplacementClosed(m Closed) []teaselstream.Cmd {
	r := s.replacement
	if m.Complete && r.answered && s.delivered {
		s.done = true
		return []teaselstream.Cmd{Abort{s.Attempt, "replaced"}, Finish{Complete: true}}
	}
	s.replacement = replacement{}
	s.avoid[r.path[0].Server] = true
	if !m.NotSent && !r.answered {
		s.markRan(r.path[0].Server)
	}
	return nil
}

// onReplacementProbed ends the replacement if its path is silent too, so that another one can be opened.
func (s *Stream) onReplacementProbed(now time.Time, m Probed) []teaselstream.Cmd {
	s.replacement.probing = false
	stalled := s.Planner.Resolve(m.BlockedOn)
	if stalled != "" {
		s.avoid[stalled] = true
	}
	if !m.Unresponsive && stalled == "" {
		return nil
	}
	if m.Unresponsive {
		s.markSilent(now, s.replacement.path[0].Server)
	}
	cmds := s.dropReplacement("part does not answer")
	return append(cmds, s.openReplacement(now, "part does not answer")...)
}

// probeReplacement probes the replacement once it has been without an event for as long as a first attempt may be.
func (s *Stream) probeReplacement(now time.Time) []teaselstream.Cmd {
	r := &s.replacement
	if !r.pending() || r.probing || now.Sub(r.openedAt) < firstEventProbeDelay {
		return nil
	}
	r.probing = true
	return []teaselstream.Cmd{Probe{r.attempt, r.path, now.Sub(r.openedAt)}}
}

// dropReplacement ends the replacement, which may have run, and keeps the running attempt.
func (s *Stream) dropReplacement(reason string) []teaselstream.Cmd {
	if !s.replacement.pending() {
		return nil
	}
	r := s.replacement
	s.replacement = replacement{}
	if !r.answered {
		s.markRan(r.path[0].Server)
	}
	return []teaselstream.Cmd{Abort{r.attempt, reason}}
}

// dropFailedReplacement is dropReplacement for one whose server is not to be used again.
func (s *Stream) dropFailedReplacement(reason string) []teaselstream.Cmd {
	s.avoid[s.replacement.path[0].Server] = true
	return s.dropReplacement(reason)
}

// dropLostReplacement ends the replacement if its path uses a server that is down.
func (s *Stream) dropLostReplacement(down []teaselstream.ServerID) []teaselstream.Cmd {
	lost := func(p teaselstream.Part) bool { return slices.Contains(down, p.Server) }
	if !slices.ContainsFunc(s.replacement.path, lost) {
		return nil
	}
	return s.dropReplacement("part is down")
}

// Parts returns the parts of the running attempt's path and of the attempt that is to replace it.
func (s *Stream) Parts() []teaselstream.Part { return slices.Concat(s.Path, s.replacement.path) }

package flow

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

func (s *Stream) tick(now time.Time) []teaselstream.Cmd {
	if !s.reopenAt.IsZero() {
		if now.Before(s.reopenAt) {
			return nil
		}
		if s.retryUncharged && s.noServerLeft(now) {
			return s.waitForServers(now, "no server that may run the request answers")
		}
		if s.retryUncharged && !s.mayRetry() {
			if s.waitForBudget(now) {
				return nil
			}
			return s.fail(teaselstream.CodeServerLost, "retry budget is used up", 0)
		}
		s.retryUncharged = false
		return s.open(now, "retry after waiting for path, budget or backoff")
	}
	silent := now.Sub(s.lastActivity)
	if s.moving {
		return nil
	}
	if s.awaitsTurn() && !now.Before(s.turn.at) {
		s.turn.at = time.Time{}
		if cmds := s.moveOrReplace(now, "part is down"); len(cmds) > 0 {
			return cmds
		}
	}
	if s.probing {
		return nil
	}
	if cmds := s.reportStall(now, silent); len(cmds) > 0 || silent < s.probeDelay {
		return cmds
	}
	if silent > hungTimeout && s.mayRunAgain() && !s.noServerLeft(now) {
		s.avoid[s.Path[0].Server] = true
		return append(s.probeReplacement(now), s.openReplacement(now, "no event")...)
	}
	s.probing = true
	s.probeDelay = time.Duration(float64(s.probeDelay) * probeDelayFactor)
	if silent < hungTimeout && s.probeDelay > hungTimeout {
		// Callers leave soon after hungTimeout, long before the next probe would be due.
		s.probeDelay = hungTimeout + time.Millisecond
	}
	return append([]teaselstream.Cmd{Probe{s.Attempt, s.Path, silent}}, s.probeReplacement(now)...)
}

func (s *Stream) onProbed(now time.Time, m Probed) []teaselstream.Cmd {
	if s.replacement.is(m.Attempt) {
		return s.onReplacementProbed(now, m)
	}
	if m.Attempt != s.Attempt || !s.probing {
		return nil
	}
	s.probing = false
	stalled := s.Planner.Resolve(m.BlockedOn)
	if m.Unresponsive {
		s.markSilent(now, s.Path[0].Server)
	}
	if stalled != "" && stalled != s.Path[0].Server {
		s.avoid[stalled] = true
		if s.runs() && !slices.Contains(s.Path.Servers(), stalled) {
			// A move whose outcome is not known has taken effect.
			return s.openReplacement(now, "part does not answer")
		}
	}
	return s.moveOrReplace(now, "part does not answer")
}

// runs reports whether an attempt is running and no move of it is under way.
func (s *Stream) runs() bool { return !s.moving && s.reopenAt.IsZero() && len(s.Path) > 0 }

func (s *Stream) onServersDown(now time.Time, m ServersDown) []teaselstream.Cmd {
	for _, id := range m.Servers {
		s.markSilent(now, id)
	}
	return append(s.dropLostReplacement(m.Servers), s.moveOrReplace(now, "part is down")...)
}

// moveOrReplace takes the request off the servers in avoid: by a move if the first server stays, otherwise by a new attempt. Parts that
// are only leaving are left by a move or not at all.
func (s *Stream) moveOrReplace(now time.Time, reason string) []teaselstream.Cmd {
	if !s.runs() {
		return nil
	}
	if s.avoid[s.Path[0].Server] {
		return s.openReplacement(now, reason)
	}
	lost := s.lostPart()
	if !lost && !slices.ContainsFunc(s.Path, func(p teaselstream.Part) bool { return s.leaving[p.Server] }) {
		return nil
	}
	if !lost {
		reason = s.leavingReason
	}
	excluded := s.excludedForNow(now)
	path, stepTime, ok := s.planMove(now, excluded, s.leaving)
	if !ok && lost {
		path, stepTime, ok = s.planMove(now, excluded, nil)
	}
	if ok && s.repaths < maxRepaths {
		if lost && !s.mayLeave(now, s.firstLost()) {
			return nil
		}
		s.repaths++
		s.moving = true
		s.previousPath = s.Path
		s.Path, s.stepTime = path, stepTime
		return []teaselstream.Cmd{Repath{s.Attempt, path, reason}}
	}
	if !lost {
		return nil
	}
	return s.openReplacement(now, reason)
}

// planMove returns a path for a move, which keeps the first part with its layer range unchanged and uses no server of the two sets.
func (s *Stream) planMove(now time.Time, excluded, leaving map[teaselstream.ServerID]bool) (teaselstream.Path, time.Duration, bool) {
	if len(leaving) > 0 {
		excluded = maps.Clone(excluded)
		maps.Copy(excluded, leaving)
	}
	path, stepTime, ok := s.Planner.PlanMove(now, excluded, s.Path)
	return path, stepTime, ok && path[0] == s.Path[0]
}

func (s *Stream) onRepathed(now time.Time, m Repathed) []teaselstream.Cmd {
	if m.Attempt != s.Attempt || !s.moving {
		return nil
	}
	s.moving = false
	if m.Err == nil {
		// The new parts must read all tokens so far before the next event.
		s.lastActivity = now
		s.turn, s.stallReported = turn{}, false
		s.probeDelay = max(s.probeDelay, firstEventProbeDelay)
		return nil
	}
	refused := s.Path
	s.Path = s.previousPath
	if !s.runs() {
		return nil
	}
	if !errors.Is(m.Err, teaselstream.ErrConflict) {
		if !s.lostPart() {
			return nil
		}
		return s.openReplacement(now, "move failed")
	}
	// The first server still runs the request, so another move is tried before a new attempt.
	if fault := s.Planner.Resolve(m.Fault); fault != "" {
		s.refusedAt[fault] = now
	} else {
		s.markMoveRefused(now, refused)
	}
	if !s.lostPart() {
		// A part that leaves still works.
		return nil
	}
	return s.moveOrReplace(now, "move refused")
}

// lostPart reports whether a server of the running attempt's path is in avoid.
func (s *Stream) lostPart() bool {
	return slices.ContainsFunc(s.Path, func(p teaselstream.Part) bool { return s.avoid[p.Server] })
}

// markMoveRefused excludes all servers that a refused move would have added, since the one that refused is not known.
func (s *Stream) markMoveRefused(now time.Time, path teaselstream.Path) {
	current := s.Path.Servers()
	for _, p := range path {
		if !slices.Contains(current, p.Server) {
			s.refusedAt[p.Server] = now
		}
	}
}

// markSilent excludes a server that does not answer, until it does.
func (s *Stream) markSilent(now time.Time, id teaselstream.ServerID) {
	s.avoid[id] = true
	s.silentAt[id] = now
}

// excludedForNow returns the servers that neither a move nor a replacement uses now: those in avoid and those that refused either
// recently. Servers that were silent and answer again are used.
func (s *Stream) excludedForNow(now time.Time) map[teaselstream.ServerID]bool {
	out := maps.Clone(s.avoid)
	for id, at := range s.silentAt {
		if now.Sub(at) >= refusalTime && !s.Planner.Down(id) {
			delete(out, id)
		}
	}
	for id, at := range s.refusedAt {
		if now.Sub(at) < refusalTime {
			out[id] = true
		}
	}
	return out
}

// MoveOff moves the stream off a server of its path that will soon stop or is slow, unless that is the first one. A refused move is repeated only
// if a pause follows: most streams end in time, and moves that are repeated fill the other servers with prompts to read again.
func (s *Stream) MoveOff(now time.Time, id teaselstream.ServerID, reason string) []teaselstream.Cmd {
	if s.done || !s.runs() || s.avoid[id] || s.leaving[id] || !s.opened || s.Path[0].Server == id {
		return nil
	}
	s.leaving[id], s.leavingReason = true, reason
	return s.moveOrReplace(now, reason)
}

// Outlasts estimates, from the rate at which a stream produced events in the time running, whether its expected number of
// events takes longer than left. Moving a shorter stream would only make the new part read all its tokens, which delays
// other requests there. A stream that already has the expected number of events counts as one that lasts longer.
func Outlasts(expected, events int, running, left time.Duration) bool {
	if events == 0 || events >= expected {
		return true
	}
	return time.Duration(expected-events)*(running/time.Duration(events)) > left
}

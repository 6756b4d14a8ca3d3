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
	if s.probing || s.moving || silent < s.probeDelay {
		return nil
	}
	if silent > hungTimeout && s.mayRunAgain() && s.serversUsed() < max(s.MaxServers, 1) {
		s.avoid[s.Path[0].Server] = true
		return s.reopenElsewhere(now, "no event")
	}
	s.probing = true
	s.probeDelay = time.Duration(float64(s.probeDelay) * probeDelayFactor)
	return []teaselstream.Cmd{Probe{s.Attempt, s.Path, silent}}
}

func (s *Stream) onProbed(now time.Time, m Probed) []teaselstream.Cmd {
	if m.Attempt != s.Attempt || !s.probing {
		return nil
	}
	s.probing = false
	stalled := s.Planner.Resolve(m.BlockedOn)
	if m.Unresponsive {
		s.avoid[s.Path[0].Server] = true
	}
	if stalled != "" && stalled != s.Path[0].Server {
		s.avoid[stalled] = true
	}
	return s.moveOrReopen(now, "part does not answer")
}

func (s *Stream) onServersDown(now time.Time, m ServersDown) []teaselstream.Cmd {
	for _, id := range m.Servers {
		s.avoid[id] = true
	}
	if s.moving || !s.reopenAt.IsZero() || len(s.Path) == 0 {
		return nil
	}
	return s.moveOrReopen(now, "part is down")
}

// moveOrReopen takes the request off the servers in avoid: by a move if the first server stays, otherwise by a new attempt.
func (s *Stream) moveOrReopen(now time.Time, reason string) []teaselstream.Cmd {
	if s.avoid[s.Path[0].Server] {
		return s.reopenElsewhere(now, reason)
	}
	hit := false
	for _, p := range s.Path {
		hit = hit || s.avoid[p.Server]
	}
	if !hit {
		return nil
	}
	path, stepTime, ok := s.Planner.Plan(now, s.excludedFromMove(now), s.Path[0].Server)
	if ok && path[0] != s.Path[0] {
		// A move keeps the first part with its layer range unchanged.
		ok = false
	}
	if ok && s.repaths < maxRepaths {
		s.repaths++
		s.moving = true
		s.previousPath = s.Path
		s.Path, s.stepTime = path, stepTime
		return []teaselstream.Cmd{Repath{s.Attempt, path, reason}}
	}
	return s.reopenElsewhere(now, reason)
}

// reopenElsewhere replaces the running attempt by a new one if a path, the route and the retry budget allow that now.
// Otherwise the attempt is kept: its server may continue, and a pause alone is no reason to end an answer.
func (s *Stream) reopenElsewhere(now time.Time, reason string) []teaselstream.Cmd {
	s.markMayHaveRun()
	if now.Sub(s.lastActivity) < nextEventProbeDelay {
		// There was activity recently, so the path still works although a server in avoid is part of it. It is probed again
		// if no event follows.
		s.probeDelay = nextEventProbeDelay
		return nil
	}
	_, _, ok := s.Planner.Plan(now, s.avoid, "")
	if !ok || !s.mayRunAgain() || s.attempts >= maxStreamAttempts || s.serversUsed() >= max(s.MaxServers, 1) || !s.mayRetry() {
		s.probeDelay = now.Sub(s.lastActivity) + replanInterval
		return nil
	}
	return append([]teaselstream.Cmd{Abort{s.Attempt, reason}}, s.open(now, reason)...)
}

func (s *Stream) onRepathed(now time.Time, m Repathed) []teaselstream.Cmd {
	if m.Attempt != s.Attempt || !s.moving {
		return nil
	}
	s.moving = false
	if m.Err == nil {
		// The new parts must read all tokens so far before the next event.
		s.lastActivity = now
		s.probeDelay = max(s.probeDelay, firstEventProbeDelay)
		return nil
	}
	refused := s.Path
	s.Path = s.previousPath
	if !errors.Is(m.Err, teaselstream.ErrConflict) {
		return s.reopenElsewhere(now, "move failed")
	}
	// The first server still runs the request, so another move is tried before a new attempt.
	if fault := s.Planner.Resolve(m.Fault); fault != "" {
		s.moveRefusedAt[fault] = now
	} else {
		s.markMoveRefused(now, refused)
	}
	return s.moveOrReopen(now, "move refused")
}

// markMoveRefused excludes all servers that a refused move would have added, since the one that refused is not known.
func (s *Stream) markMoveRefused(now time.Time, path teaselstream.Path) {
	current := s.Path.Servers()
	for _, p := range path {
		if !slices.Contains(current, p.Server) {
			s.moveRefusedAt[p.Server] = now
		}
	}
}

// excludedFromMove returns the servers that a move must not use: those in avoid and those that refused a move recently.
func (s *Stream) excludedFromMove(now time.Time) map[teaselstream.ServerID]bool {
	if len(s.moveRefusedAt) == 0 {
		return s.avoid
	}
	out := maps.Clone(s.avoid)
	for id, at := range s.moveRefusedAt {
		if now.Sub(at) < moveRefusalTime {
			out[id] = true
		}
	}
	return out
}

// MoveOff moves the stream off a server of its path that will soon stop, unless that is the first one.
func (s *Stream) MoveOff(now time.Time, id teaselstream.ServerID) []teaselstream.Cmd {
	if s.done || s.moving || s.avoid[id] || !s.opened || len(s.Path) == 0 || s.Path[0].Server == id {
		return nil
	}
	s.avoid[id] = true
	return s.moveOrReopen(now, "part is leaving")
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

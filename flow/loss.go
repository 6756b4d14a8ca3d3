package flow

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

func (s *Stream) tick(now time.Time) []teaselstream.Cmd {
	if !s.reopen.IsZero() {
		if now.Before(s.reopen) {
			return nil
		}
		if s.owed && !s.mayRetry() {
			if s.waitForBudget(now) {
				return nil
			}
			return s.fail(teaselstream.CodeServerLost, "retry budget is used up", 0)
		}
		s.owed = false
		return s.open(now, "waited for a path or budget")
	}
	silent := now.Sub(s.progress)
	if s.probing || s.moving || silent < s.probeWait {
		return nil
	}
	if silent > hungTime && s.mayRepeat() && s.counted() < max(s.MaxServers, 1) {
		s.avoid[s.Path[0].Server] = true
		return s.resume(now, "no event")
	}
	s.probing = true
	s.probeWait = time.Duration(float64(s.probeWait) * probeGrowth)
	return []teaselstream.Cmd{Probe{s.Attempt, s.Path, silent}}
}

func (s *Stream) onProbed(now time.Time, m Probed) []teaselstream.Cmd {
	if m.Attempt != s.Attempt || !s.probing {
		return nil
	}
	s.probing = false
	stalled := s.Planner.Resolve(m.WaitsFor)
	if m.Unresponsive {
		s.avoid[s.Path[0].Server] = true
	}
	if stalled != "" && stalled != s.Path[0].Server {
		s.avoid[stalled] = true
	}
	return s.leave(now, "part does not answer")
}

func (s *Stream) onLost(now time.Time, m ServersDown) []teaselstream.Cmd {
	for _, id := range m.Servers {
		s.avoid[id] = true
	}
	if s.moving || !s.reopen.IsZero() || len(s.Path) == 0 {
		return nil
	}
	return s.leave(now, "part is down")
}

// leave moves the request off the servers that it must avoid.
func (s *Stream) leave(now time.Time, reason string) []teaselstream.Cmd {
	if s.avoid[s.Path[0].Server] {
		return s.resume(now, reason)
	}
	hit := false
	for _, p := range s.Path {
		hit = hit || s.avoid[p.Server]
	}
	if !hit {
		return nil
	}
	path, step, ok := s.Planner.Plan(now, s.unfit(now), s.Path[0].Server)
	if ok && path[0] != s.Path[0] {
		// The running request keeps its first part, whose end must not move.
		ok = false
	}
	if ok && s.repaths < maxRepaths {
		s.repaths++
		s.moving = true
		s.before = s.Path
		s.Path, s.step = path, step
		return []teaselstream.Cmd{Repath{s.Attempt, path, reason}}
	}
	return s.resume(now, reason)
}

// resume leaves the running attempt for another one if a path, the route and the retry budget allow that now. Otherwise
// the attempt is kept: its server may go on, and silence alone is no reason to end an answer.
func (s *Stream) resume(now time.Time, reason string) []teaselstream.Cmd {
	s.note()
	if now.Sub(s.progress) < eventProbe {
		// Events still come, whatever is believed of a part; the attempt is judged again when they stop.
		s.probeWait = eventProbe
		return nil
	}
	_, _, ok := s.Planner.Plan(now, s.avoid, "")
	if !ok || !s.mayRepeat() || s.opens >= maxOpens || s.counted() >= max(s.MaxServers, 1) || !s.mayRetry() {
		s.probeWait = now.Sub(s.progress) + planWait
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
		// The new parts read all tokens so far before the next event.
		s.progress = now
		s.probeWait = max(s.probeWait, firstProbe)
		return nil
	}
	refused := s.Path
	s.Path = s.before
	if !errors.Is(m.Err, teaselstream.ErrConflict) {
		return s.resume(now, "move failed")
	}
	// The first server still works on the request, so another path is tried before the request is sent again.
	if fault := s.Planner.Resolve(m.RefusedBy); fault != "" {
		s.full[fault] = now
	} else {
		s.fill(now, refused)
	}
	return s.leave(now, "move refused")
}

// fill takes the servers that a refused move would have added for full.
func (s *Stream) fill(now time.Time, path teaselstream.Path) {
	current := s.Path.Servers()
	for _, p := range path {
		if !slices.Contains(current, p.Server) {
			s.full[p.Server] = now
		}
	}
}

// unfit returns the servers that a move must leave out: those to avoid, and those that have just refused one.
func (s *Stream) unfit(now time.Time) map[teaselstream.ServerID]bool {
	if len(s.full) == 0 {
		return s.avoid
	}
	out := maps.Clone(s.avoid)
	for id, at := range s.full {
		if now.Sub(at) < fullTime {
			out[id] = true
		}
	}
	return out
}

// MoveOff tells the stream that a server on its path will end soon.
func (s *Stream) MoveOff(now time.Time, id teaselstream.ServerID) []teaselstream.Cmd {
	if s.done || s.moving || s.avoid[id] || !s.opened || len(s.Path) == 0 || s.Path[0].Server == id {
		return nil
	}
	s.avoid[id] = true
	return s.leave(now, "part is leaving")
}

// Outlasts reports whether a stream that has made some of its expected events in a running time probably goes on for
// longer than a time that is left. The move of one that does not would only make the new part read all its tokens, in front
// of others. A stream that is longer than expected counts as one that goes on.
func Outlasts(expected, events int, running, left time.Duration) bool {
	if events == 0 || events >= expected {
		return true
	}
	return time.Duration(expected-events)*(running/time.Duration(events)) > left
}

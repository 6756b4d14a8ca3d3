package flow

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

func (s *Stream) onRefused(now time.Time, m Opened) []teaselstream.Cmd {
	s.unmarkMayHaveRun()
	fault := s.Planner.Resolve(m.Answer.Fault)
	if fault == "" {
		fault = s.Path[0].Server
	}
	s.avoid[fault] = true
	for _, id := range s.Planner.RemoteDomainServers(s.Path[0].Server, fault) {
		s.avoid[id] = true
	}
	cmds := []teaselstream.Cmd{Abort{s.Attempt, "refused as not run"}}
	if s.replacement.pending() {
		s.adoptReplacement(now)
		return cmds
	}
	if s.attempts >= maxStreamAttempts {
		if s.callerWaits(now) {
			s.retryUncharged = true
			s.reopenAt = now.Add(lateRetryInterval)
			return cmds
		}
		return append(cmds, s.fail(teaselstream.CodeOverloaded, "servers refused the request", retryAfterRefusals)...)
	}
	if !s.mayRetry() {
		if s.waitForBudget(now) {
			return cmds
		}
		return append(cmds, s.fail(teaselstream.CodeOverloaded, "servers refused the request", s.retryAfterBudget(now))...)
	}
	if s.attempts == 1 {
		return append(cmds, s.open(now, "refused as not run")...)
	}
	s.reopenAt = now.Add(refusalBackoff << (s.attempts - 2))
	return cmds
}

// retryAfterBudget returns the Retry-After of a refused request that the retry budget does not let this VM send again.
func (s *Stream) retryAfterBudget(now time.Time) time.Duration {
	if path, _, ok := s.Planner.Plan(now, s.avoid, ""); ok && s.Planner.HasRoom(now, path) {
		return retryAfterOtherVM
	}
	return retryAfterRefusals
}

// retryOrFail follows the end of the running attempt. It goes on with the replacement if there is one, opens another attempt if the
// route, the retry budget and the number of servers used allow it, and otherwise waits for the budget or ends the request.
func (s *Stream) retryOrFail(now time.Time, reason string) []teaselstream.Cmd {
	if s.replacement.pending() {
		s.adoptReplacement(now)
		return nil
	}
	if s.mayHaveRun && !s.mayRunAgain() {
		return s.fail(teaselstream.CodeServerLost, reason, 0)
	}
	if s.noServerLeft(now) {
		return s.waitForServers(now, reason)
	}
	if s.attempts >= maxStreamAttempts {
		if s.callerWaits(now) {
			s.retryUncharged = true
			s.reopenAt = now.Add(lateRetryInterval)
			return nil
		}
		return s.fail(teaselstream.CodeServerLost, reason, retryAfterRefusals)
	}
	if s.possiblyRan > 0 && !s.mayRetry() {
		if s.waitForBudget(now) {
			return nil
		}
		return s.fail(teaselstream.CodeServerLost, reason, retryAfterRefusals)
	}
	return s.open(now, reason)
}

// callerWaits reports whether the caller of a running stream probably still waits for the next event.
func (s *Stream) callerWaits(now time.Time) bool {
	return s.delivered && now.Sub(s.lastEventAt) < maxEventWait
}

// waitForBudget schedules another attempt while the caller of a running stream still waits for the next event. The loss of
// one server ends many streams at once, and the retry budget refills within one or two seconds.
func (s *Stream) waitForBudget(now time.Time) bool {
	if !s.callerWaits(now) {
		return false
	}
	s.retryUncharged = true
	s.reopenAt = now.Add(replanInterval)
	return true
}

// serversUsed returns the number of servers that count against MaxServers; those that have ended or were cut off do not. A server that is
// silent goes on with the request, so it counts until its silence shows that it was cut off.
func (s *Stream) serversUsed() int {
	n := 0
	for _, x := range s.ranOn {
		if !s.Planner.Gone(x.id, x.incarnation) {
			n++
		}
	}
	return n
}

// plan returns a path for another attempt. A request that has run on as many servers as it may goes back to one that was silent and answers
// again.
func (s *Stream) plan(now time.Time, avoid map[teaselstream.ServerID]bool) (teaselstream.Path, time.Duration, bool) {
	if s.serversUsed() < max(s.MaxServers, 1) {
		return s.Planner.Plan(now, avoid, "")
	}
	for _, x := range s.ranOn {
		_, wasSilent := s.silentAt[x.id]
		if !wasSilent || avoid[x.id] || s.Planner.Down(x.id) || s.Planner.Incarnation(x.id) != x.incarnation {
			continue
		}
		if path, stepTime, ok := s.Planner.Plan(now, avoid, x.id); ok && path[0].Server == x.id {
			return path, stepTime, true
		}
	}
	return nil, 0, false
}

// noServerLeft reports whether the request has run on as many servers as it may, and none of them can go on with it now.
func (s *Stream) noServerLeft(now time.Time) bool {
	if s.serversUsed() < max(s.MaxServers, 1) {
		return false
	}
	_, _, ok := s.plan(now, s.excludedForNow(now))
	return !ok
}

// waitForServers looks for a path again soon if a server that ran the request was silent, since it may go on, have room again or prove to be
// cut off while the caller waits. Otherwise it ends the request.
func (s *Stream) waitForServers(now time.Time, reason string) []teaselstream.Cmd {
	isSilent := func(x ranServer) bool {
		_, wasSilent := s.silentAt[x.id]
		return (wasSilent || s.Planner.Down(x.id)) && !s.Planner.Gone(x.id, x.incarnation)
	}
	since := s.startedAt
	if s.delivered {
		since = s.lastEventAt
	}
	if now.Sub(since) >= maxServerWait || !slices.ContainsFunc(s.ranOn, isSilent) {
		return s.fail(teaselstream.CodeServerLost, reason, retryAfterRefusals)
	}
	s.retryUncharged = true
	s.reopenAt = now.Add(replanInterval)
	return nil
}

func (s *Stream) fail(code teaselstream.Code, message string, retryAfter time.Duration) []teaselstream.Cmd {
	s.done = true
	if s.delivered {
		return []teaselstream.Cmd{Finish{Reason: message}}
	}
	e := &teaselstream.Error{Code: code, Outcome: teaselstream.NotRun, Message: message, RetryAfter: retryAfter}
	if s.mayHaveRun {
		e.Outcome, e.RetryAfter = teaselstream.Unknown, 0
		if code != teaselstream.CodeCrashesServers {
			e.Code = teaselstream.CodeServerLost
		}
	}
	return []teaselstream.Cmd{Finish{Refusal: e}}
}

// minLimitWait is the least time between two attempts to find a server that has named a limit and takes a request.
const minLimitWait = 10 * time.Millisecond

// waitForLimit holds the request until a server that has named a limit takes it, if that is soon, and otherwise refuses it. A
// running stream waits as long as its caller does.
func (s *Stream) waitForLimit(now time.Time, wait time.Duration) []teaselstream.Cmd {
	if s.callerWaits(now) {
		s.reopenAt = now.Add(replanInterval)
		return nil
	}
	if s.limitedSince.IsZero() {
		s.limitedSince = now
	}
	at := now.Add(max(wait, minLimitWait))
	if wait >= 0 && at.Sub(s.limitedSince) <= time.Duration(limitHold*float64(s.Objective)) {
		s.reopenAt = at
		return nil
	}
	return s.fail(teaselstream.CodeOverloaded, "servers take no more requests for now", min(max(wait, minLimitRetry), maxRetryAfter))
}

// crashesServers is the message of a request that is refused because requests like it crash servers.
const crashesServers = "requests with this content have crashed servers"

// onHarmful takes a request whose answer has not begun off its server, where it may still wait to run.
func (s *Stream) onHarmful() []teaselstream.Cmd {
	if s.delivered {
		return nil
	}
	if s.reopenAt.IsZero() {
		s.markMayHaveRun()
	}
	return append([]teaselstream.Cmd{Abort{s.Attempt, crashesServers}}, s.fail(teaselstream.CodeCrashesServers, crashesServers, 0)...)
}

func (s *Stream) timeOut() []teaselstream.Cmd {
	s.done = true
	cmds := []teaselstream.Cmd{Abort{s.Attempt, "deadline exceeded"}}
	if s.delivered {
		return append(cmds, Finish{Reason: "deadline exceeded"})
	}
	e := &teaselstream.Error{Code: teaselstream.CodeDeadlineExceeded, Outcome: teaselstream.Unknown, Message: "time for the answer is up"}
	return append(cmds, Finish{Refusal: e})
}

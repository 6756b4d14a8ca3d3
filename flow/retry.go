package flow

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

func (s *Stream) refused(now time.Time, m Opened) []teaselstream.Cmd {
	fault := s.Planner.Resolve(m.Answer.Fault)
	if fault == "" {
		fault = s.Path[0].Server
	}
	s.avoid[fault] = true
	for _, id := range s.Planner.RemoteDomainServers(s.Path[0].Server, fault) {
		s.avoid[id] = true
	}
	cmds := []teaselstream.Cmd{Abort{s.Attempt, "refused as not run"}}
	if s.opens >= maxOpens {
		if s.callerWaits(now) {
			s.owed = true
			s.reopen = now.Add(laterWait)
			return cmds
		}
		return append(cmds, s.fail(teaselstream.CodeOverloaded, "servers refused the request", retryAfterFull)...)
	}
	if !s.mayRetry() {
		if s.waitForBudget(now) {
			return cmds
		}
		return append(cmds, s.fail(teaselstream.CodeOverloaded, "servers refused the request", retryAfterFull)...)
	}
	if s.opens == 1 {
		return append(cmds, s.open(now, "refused as not run")...)
	}
	s.reopen = now.Add(refusalWait << (s.opens - 2))
	return cmds
}

// again sends the request once more if its route, the budget and the servers it ran on allow that.
func (s *Stream) again(now time.Time, reason string) []teaselstream.Cmd {
	if s.mayHaveRun && !s.mayRepeat() {
		return s.fail(teaselstream.CodeServerLost, reason, 0)
	}
	if s.opens >= maxOpens || s.counted() >= max(s.MaxServers, 1) {
		return s.fail(teaselstream.CodeServerLost, reason, retryAfterFull)
	}
	if s.runs > 0 && !s.mayRetry() {
		if s.waitForBudget(now) {
			return nil
		}
		return s.fail(teaselstream.CodeServerLost, reason, retryAfterFull)
	}
	return s.open(now, reason)
}

// callerWaits reports whether the caller of a running stream still waits for the next event.
func (s *Stream) callerWaits(now time.Time) bool {
	return s.delivered && now.Sub(s.eventAt) < patience
}

// waitForBudget keeps a running stream while its caller still waits for the next event: the loss of one server ends many
// streams at once, and the budget for sending them again fills within a second or two.
func (s *Stream) waitForBudget(now time.Time) bool {
	if !s.callerWaits(now) {
		return false
	}
	s.owed = true
	s.reopen = now.Add(planWait)
	return true
}

// counted returns the servers that count against MaxServers: those that have ended since do not.
func (s *Stream) counted() int {
	n := 0
	for _, id := range s.ranOn {
		if !s.Planner.Down(id) {
			n++
		}
	}
	return n
}

func (s *Stream) fail(code teaselstream.Code, message string, retryAfter time.Duration) []teaselstream.Cmd {
	s.done = true
	if s.delivered {
		return []teaselstream.Cmd{Finish{}}
	}
	e := &teaselstream.Error{Code: code, Outcome: teaselstream.NotRun, Message: message, RetryAfter: retryAfter}
	if s.mayHaveRun {
		e.Code, e.Outcome, e.RetryAfter = teaselstream.CodeServerLost, teaselstream.Unknown, 0
	}
	return []teaselstream.Cmd{Finish{Refusal: e}}
}

func (s *Stream) timeOut() []teaselstream.Cmd {
	s.done = true
	cmds := []teaselstream.Cmd{Abort{s.Attempt, "time is up"}}
	if s.delivered {
		return append(cmds, Finish{})
	}
	e := &teaselstream.Error{Code: teaselstream.CodeDeadlineExceeded, Outcome: teaselstream.Unknown, Message: "time for the answer is up"}
	return append(cmds, Finish{Refusal: e})
}

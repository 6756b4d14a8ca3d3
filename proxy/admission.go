package proxy

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/queue"
)

type (
	// Admission orders the model requests of a VM that have not been sent yet. Its zero value is ready to use and safe for concurrent use.
	Admission struct {
		mu    sync.Mutex
		queue queue.Queue
		// counts holds the service whose ranks were set last by configuration.
		counts map[teaselstream.ServiceID]int
		// running counts this VM's running requests by service and team.
		running map[teaselstream.ServiceID]map[teaselstream.TeamID]int
		// wakes holds the held requests, which are asked again before their time when the queue says so.
		wakes map[teaselstream.AttemptID]chan struct{}
	}

	// TeamCount is the number of running requests of a team to a service.
	TeamCount struct {
		Service teaselstream.ServiceID
		Team    teaselstream.TeamID
		Running int
	}
)

// SetRand sets the source of the spread of Retry-After; it must be called before the first request.
func (a *Admission) SetRand(r teaselstream.Rand) { a.queue.Rand = r }

// update passes a message to the queue.
func (a *Admission) update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wake(a.queue.Update(now, m))
}

// wake wakes the held requests among those that commands are about. The caller holds the lock.
func (a *Admission) wake(cmds []teaselstream.Cmd) []teaselstream.Cmd {
	for _, c := range cmds {
		h, ok := c.(queue.Hold)
		if !ok {
			continue
		}
		if w := a.wakes[h.Request]; w != nil {
			select {
			case w <- struct{}{}:
			default:
			}
		}
	}
	return cmds
}

// await returns a channel that receives when the queue asks a held request again before its time.
func (a *Admission) await(id teaselstream.AttemptID) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wakes == nil {
		a.wakes = make(map[teaselstream.AttemptID]chan struct{})
	}
	w := make(chan struct{}, 1)
	a.wakes[id] = w
	return w
}

func (a *Admission) forget(id teaselstream.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.wakes, id)
}

// arrive submits a request, after the number of ranks of its service.
func (a *Admission) arrive(now time.Time, m queue.Arrive, ranks int) []teaselstream.Cmd {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts[m.Service] != ranks {
		if a.counts == nil {
			a.counts = make(map[teaselstream.ServiceID]int)
		}
		a.counts[m.Service] = ranks
		a.queue.Update(now, queue.Ranks{Service: m.Service, Count: ranks})
	}
	return a.wake(a.queue.Update(now, m))
}

// count adds a request that starts or ends to the running ones of its team.
func (a *Admission) count(s teaselstream.ServiceID, t teaselstream.TeamID, by int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running == nil {
		a.running = make(map[teaselstream.ServiceID]map[teaselstream.TeamID]int)
	}
	teams := a.running[s]
	if teams == nil {
		teams = make(map[teaselstream.TeamID]int)
		a.running[s] = teams
	}
	if teams[t] += by; teams[t] <= 0 {
		delete(teams, t)
	}
}

// Running returns this VM's running requests by service and team.
func (a *Admission) Running() []TeamCount {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []TeamCount
	for s, teams := range a.running {
		for t, n := range teams {
			out = append(out, TeamCount{s, t, n})
		}
	}
	return out
}

// SetShares sets the running requests of all VMs of the failure domain by service and team.
func (a *Admission) SetShares(now time.Time, counts []TeamCount) {
	sums := make(map[teaselstream.ServiceID]int)
	for _, c := range counts {
		sums[c.Service] += c.Running
	}
	shares := make(map[teaselstream.ServiceID]map[teaselstream.TeamID]float64)
	for _, c := range counts {
		if shares[c.Service] == nil {
			shares[c.Service] = make(map[teaselstream.TeamID]float64)
		}
		if sums[c.Service] > 0 {
			shares[c.Service][c.Team] = float64(c.Running) / float64(sums[c.Service])
		}
	}
	for s, teams := range shares {
		a.update(now, queue.Teams{Service: s, Shares: teams})
	}
}

// awaitTurn waits until the request may be sent, and reports whether it may. Otherwise it has been refused or has ended.
func (s *streamRunner) awaitTurn() bool {
	a := s.handler.Admission
	if a == nil || !s.handler.observed() {
		return true
	}
	now := time.Now()
	load, part, ok := s.fullness(now)
	if !ok {
		// Without a path the stream itself knows best what to do: wait for a limit, or refuse with the uncovered layers.
		return true
	}
	rank, ranks := s.rank()
	s.queued = true
	cmds := a.arrive(now, queue.Arrive{
		Request: s.head.Attempt, Service: s.pool.Service, Rank: rank, Team: s.caller.Team, Size: s.head.PromptTokens + s.expectedTokens(),
		Objective: s.route.Objective, Usual: s.handler.firstEvents.mean(), Waited: s.waitedBefore(), Deadline: s.deadline, Resumed: s.head.LastEvent > 0, Load: load, Part: part,
	}, ranks)
	for {
		sent, hold := s.follow(cmds)
		if sent || hold <= 0 {
			return sent
		}
		if !s.hold(hold) {
			return false
		}
		now = time.Now()
		if load, part, ok = s.fullness(now); !ok {
			s.leaveQueue()
			return true
		}
		cmds = a.update(now, queue.Again{Request: s.head.Attempt, Load: load, Part: part})
	}
}

// waitedBefore returns the time since the caller's first attempt, as far as the time that it still waits shows it.
func (s *streamRunner) waitedBefore() time.Duration {
	if s.route.Timeout <= 0 || s.head.Deadline <= 0 {
		return 0
	}
	return max(s.route.Timeout-s.head.Deadline, 0)
}

// fullness plans a path and returns the share in use of its fullest server; ok is false without a path.
func (s *streamRunner) fullness(now time.Time) (load, part float64, ok bool) {
	p := s.core.Planner.(*streamPlanner)
	path, _, ok := p.Plan(now, nil, "")
	if !ok {
		return 0, 0, false
	}
	load, part = s.handler.Planner.Fullness(now, s.handler.View(), p.pathRequest, path)
	return load, part, true
}

// follow carries out the queue's decision about this request: sent, held for some time, or refused.
func (s *streamRunner) follow(cmds []teaselstream.Cmd) (sent bool, hold time.Duration) {
	for _, c := range cmds {
		switch c := c.(type) {
		case queue.Send:
			sent = c.Request == s.head.Attempt
		case queue.Hold:
			if c.Request == s.head.Attempt {
				hold = max(c.For, time.Millisecond)
			}
		case queue.Refuse:
			if c.Request == s.head.Attempt {
				s.handler.Meter.Count(meter.RefusedInQueue, 1)
				s.queued = false
				s.refuse(http.StatusServiceUnavailable, &teaselstream.Error{
					Code: teaselstream.CodeOverloaded, Outcome: teaselstream.NotRun, Message: "servers have no room: " + c.Reason, RetryAfter: c.RetryAfter,
				})
			}
		case queue.LogDecision:
			s.handler.Meter.Count(meter.QueueDecision, 1)
			s.log("QueueDecision", slog.LevelInfo, "rank", c.Rank, "load", c.Load, "waitedMs", c.Waited.Milliseconds(), "reason", c.Reason)
		}
	}
	return sent, hold
}

// hold waits for some time, and reports whether the request still has to be answered then.
func (s *streamRunner) hold(d time.Duration) bool {
	began := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	woken := s.handler.Admission.await(s.head.Attempt)
	defer s.handler.Admission.forget(s.head.Attempt)
	select {
	case <-woken:
		s.class.QueueWait(time.Since(began))
		return true
	case <-timer.C:
		s.class.QueueWait(time.Since(began))
		return true
	case <-s.Disconnected:
		s.recordEnd(teaselstream.CodeCanceled, teaselstream.NotRun, "caller left while the request was held")
		s.Abort()
	case <-s.stopEnd():
		s.refuse(http.StatusServiceUnavailable, stopRefusal())
	}
	return false
}

// leaveQueue tells the queue that the request has ended.
func (s *streamRunner) leaveQueue() {
	if s.queued {
		s.queued = false
		s.handler.Admission.update(time.Now(), queue.Ended{Request: s.head.Attempt})
	}
}

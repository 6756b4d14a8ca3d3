package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

// Queue is the admission state machine of one VM; the zero value admits nothing until it receives Capacity.
type Queue struct {
	// slots is the number of requests that this VM may run at once.
	slots     int
	queueTime time.Duration
	teams     []*team
	teamsByID map[teaselstream.TeamID]*team
	shares    map[teaselstream.TeamID]teaselstream.Share
	// entries holds all requests that wait or run, active those that run.
	entries map[teaselstream.RequestID]*entry
	active  map[teaselstream.RequestID]*entry
	now     time.Time
	// order is the arrival number of the latest request.
	order uint64
	// virtualTime is the largest start tag of an admitted request; start tags order the teams in fair queueing.
	virtualTime float64
	// secondsPerCost is the smoothed service time per unit of cost, 0 if unknown.
	secondsPerCost float64
	// meanCost is the smoothed cost of an arriving request.
	meanCost float64
}

var _ teaselstream.Core = (*Queue)(nil)

// smoothing is the weight of a new sample in the exponential moving averages.
const smoothing = 0.05

// Update applies one message and returns the Admit, Refuse and Preempt commands that follow from it.
func (q *Queue) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	q.now = now
	switch m := m.(type) {
	case Arrive:
		return q.arrive(now, m)
	case Finished:
		q.finish(m)
	case Capacity:
		q.slots = (m.Slots + max(m.LiveVMs, 1) - 1) / max(m.LiveVMs, 1)
	case Shares:
		q.setShares(m)
	case Tick:
		return append(q.expire(now), q.dispatch(now)...)
	}
	return q.dispatch(now)
}

// Waiting returns the number of requests in the queue, preempted ones included.
func (q *Queue) Waiting() int { return len(q.entries) - len(q.active) }

// Running returns the number of requests that are admitted and not finished.
func (q *Queue) Running() int { return len(q.active) }

func (q *Queue) setShares(m Shares) {
	q.shares, q.queueTime = m.Teams, m.QueueTime
	for _, t := range q.teams {
		t.share = q.shareOf(t.id)
	}
}

// shareOf returns a team's share. An unknown team gets the smallest share, 1, because a share of 0 would make the start
// tags of all teams infinite.
func (q *Queue) shareOf(id teaselstream.TeamID) float64 {
	if s := q.shares[id]; s > 0 {
		return float64(s)
	}
	return 1
}

func (q *Queue) team(id teaselstream.TeamID) *team {
	if t := q.teamsByID[id]; t != nil {
		return t
	}
	if q.teamsByID == nil {
		q.teamsByID = map[teaselstream.TeamID]*team{}
		q.entries = map[teaselstream.RequestID]*entry{}
		q.active = map[teaselstream.RequestID]*entry{}
	}
	t := &team{id: id, share: q.shareOf(id)}
	q.teamsByID[id] = t
	i, _ := slices.BinarySearchFunc(q.teams, id, func(t *team, id teaselstream.TeamID) int { return cmp.Compare(t.id, id) })
	q.teams = slices.Insert(q.teams, i, t)
	return t
}

func (q *Queue) arrive(now time.Time, m Arrive) []teaselstream.Cmd {
	t := q.team(m.Team)
	t.seen = now
	if q.entries[m.Request] != nil {
		return []teaselstream.Cmd{Refuse{Request: m.Request, Code: teaselstream.CodeBadRequest}}
	}
	m.Cost = max(m.Cost, 1)
	q.order++
	e := &entry{Arrive: m, arrived: now, order: q.order}
	if q.meanCost == 0 {
		q.meanCost = m.Cost
	}
	q.meanCost += smoothing * (m.Cost - q.meanCost)
	if wait := q.wait(t, e); q.tooLate(now, e, wait) {
		return []teaselstream.Cmd{q.refusal(t, e, wait)}
	}
	q.entries[m.Request] = e
	t.enqueue(e, q.virtualTime)
	return q.dispatch(now)
}

func (q *Queue) finish(m Finished) {
	e := q.entries[m.Request]
	if e == nil {
		return
	}
	t := q.teamsByID[e.Team]
	delete(q.entries, m.Request)
	if !e.running {
		t.remove(e)
		return
	}
	delete(q.active, m.Request)
	t.addRunning(q.now, -1)
	if m.Duration > 0 {
		x := m.Duration.Seconds() / e.Cost
		if q.secondsPerCost == 0 {
			q.secondsPerCost = x
		}
		q.secondsPerCost += smoothing * (x - q.secondsPerCost)
	}
}

// dispatch admits requests in the order of the teams' start tags while slots are free, and preempts for those of a
// higher priority class once none is free.
func (q *Queue) dispatch(now time.Time) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for {
		t := q.nextTeam()
		if t == nil {
			return cmds
		}
		e := t.waiting[0]
		if q.tooLate(now, e, 0) {
			cmds = append(cmds, q.refuseWaiting(t, e))
			continue
		}
		if !q.mayRun(t) {
			v := q.victim(t, e)
			if v == nil {
				return cmds
			}
			q.preempt(v)
			cmds = append(cmds, Preempt{Request: v.Request})
		}
		cmds = append(cmds, q.admit(t, e))
	}
}

// nextTeam returns the waiting team to serve next: teams that may use a free slot come first, then the lowest start tag.
func (q *Queue) nextTeam() *team {
	var best *team
	for _, t := range q.teams {
		if len(t.waiting) == 0 {
			continue
		}
		if best == nil || q.startsBefore(t, best) {
			best = t
		}
	}
	return best
}

// startsBefore reports whether team a is served before team b.
func (q *Queue) startsBefore(a, b *team) bool {
	if x, y := q.mayRun(a), q.mayRun(b); x != y {
		return x
	}
	return a.start < b.start
}

// admit starts e, the first waiting request of t, and charges its cost to t unless it was charged before a preemption.
func (q *Queue) admit(t *team, e *entry) teaselstream.Cmd {
	a := Admit{Request: e.Request, Priority: 2 * e.Priority}
	if !q.overShare(t) {
		a.Priority++
	}
	t.waiting = t.waiting[1:]
	q.virtualTime = max(q.virtualTime, t.start)
	if !e.preempted {
		t.start += e.Cost / t.share
	}
	e.running = true
	t.addRunning(q.now, 1)
	q.active[e.Request] = e
	return a
}

// refuseWaiting removes a waiting request from the queue and refuses it.
func (q *Queue) refuseWaiting(t *team, e *entry) teaselstream.Cmd {
	t.remove(e)
	delete(q.entries, e.Request)
	return q.refusal(t, e, q.wait(t, e))
}

// expire refuses all waiting requests that can no longer meet their deadline.
func (q *Queue) expire(now time.Time) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, t := range q.teams {
		for _, e := range slices.Clone(t.waiting) {
			if q.tooLate(now, e, 0) {
				cmds = append(cmds, q.refuseWaiting(t, e))
			}
		}
	}
	return cmds
}

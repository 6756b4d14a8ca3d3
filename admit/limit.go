package admit

import (
	"math"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// slotReserve is the fraction of the slots that a team over its share must leave free while other teams are
	// active. Requests of those teams then start at once, and engine queues stay as short as under normal load. With 1/16, a team
	// at 10 times its share raised the p95 time to first token of other teams by 38%.
	slotReserve = 0.4
	// teamActiveTime is how long after its last request a team still counts when the slots are divided.
	teamActiveTime = 10 * time.Second
	// minRetryAfter is the shortest Retry-After that is sent, so that refused callers do not resend at once.
	minRetryAfter = time.Second
)

// slotFraction returns the fraction of the slots that t's share gives it among the teams with recent requests.
func (q *Queue) slotFraction(t *team) float64 {
	sum := t.share
	for _, o := range q.teams {
		if o != t && (len(o.waiting) > 0 || o.running > 0 || q.now.Sub(o.seen) < teamActiveTime) {
			sum += o.share
		}
	}
	return t.share / sum
}

// overShare reports whether one more running request would take team t over its fair number of slots.
// A burst of up to two standard deviations above that number can be chance, and counts only if the recent mean exceeds
// the number too.
func (q *Queue) overShare(t *team) bool {
	fair := max(q.slotFraction(t)*float64(q.slots), 1)
	next := float64(t.running + 1)
	return next > fair && (t.meanRunning(q.now) > fair || next > fair+2*math.Sqrt(fair))
}

// mayRun reports whether team t may use a free slot.
func (q *Queue) mayRun(t *team) bool {
	free := q.slots - len(q.active)
	if len(q.shares) > 1 && q.overShare(t) {
		free -= int(float64(q.slots) * slotReserve)
	}
	return free > 0
}

// wait estimates how long e would wait for a slot if it joined the queue now.
func (q *Queue) wait(t *team, e *entry) time.Duration {
	if q.mayRun(t) && len(t.waiting) == 0 {
		return 0
	}
	ahead := float64(t.position(e) + 1)
	rate := float64(max(q.slots, 1)) * q.slotFraction(t)
	return seconds(ahead * q.secondsPerCost * q.meanCost / rate)
}

// tooLate reports whether e would miss its deadline or exceed the queue's time limit if it started after wait.
// The time limit does not apply to preempted requests.
func (q *Queue) tooLate(now time.Time, e *entry, wait time.Duration) bool {
	start := now.Add(wait)
	if q.queueTime > 0 && start.Sub(e.arrived) > q.queueTime && !e.preempted {
		return true
	}
	return !e.Deadline.IsZero() && start.Add(seconds(q.secondsPerCost*e.Cost)).After(e.Deadline)
}

// refusal returns the command that refuses e, with the expected wait as the delay before a resend.
func (q *Queue) refusal(t *team, e *entry, wait time.Duration) teaselstream.Cmd {
	r := Refuse{Request: e.Request, Code: teaselstream.CodeOverloaded, RetryAfter: max(wait, minRetryAfter).Round(time.Millisecond)}
	if q.overShare(t) && q.othersWait(t) {
		r.Code = teaselstream.CodeOverShare
	}
	return r
}

func (q *Queue) othersWait(t *team) bool {
	for _, o := range q.teams {
		if o != t && len(o.waiting) > 0 {
			return true
		}
	}
	return false
}

// victim returns the running request to preempt in favor of e, or nil if there is none.
// A victim has a lower priority class, belongs to the same team or to a team over its share, and was never preempted.
func (q *Queue) victim(t *team, e *entry) *entry {
	var worst *entry
	for _, x := range q.active {
		o := q.teamsByID[x.Team]
		if x.preempted || x.Priority >= e.Priority || (o != t && !q.overShare(o)) {
			continue
		}
		if worst == nil || compareEntries(x, worst) > 0 {
			worst = x
		}
	}
	return worst
}

// preempt puts a running request back into the queue of its team.
func (q *Queue) preempt(e *entry) {
	t := q.teamsByID[e.Team]
	e.running, e.preempted = false, true
	delete(q.active, e.Request)
	t.addRunning(q.now, -1)
	t.enqueue(e, q.virtualTime)
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

package queue

import (
	"math"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// onTimeMargin is the fraction of the objective that is kept in reserve, because times to the first event vary around the usual.
	onTimeMargin = 0.1
	// maxHoldFraction is the fraction of the objective after which no request is held any more, so that a refused caller can
	// still be served on time elsewhere.
	maxHoldFraction = 0.5
	// noPathFraction is the fraction of the objective for which a request without a path is held: a gap in the reports ends
	// within it, and a lost path takes seconds to come back.
	noPathFraction = 0.125
	// minHold is the shortest time worth a hold: less than that passes on the way to a server.
	minHold = 5 * time.Millisecond
	// recheckInterval is the time between two looks for room, a quarter of the shortest common objective of 200 ms.
	recheckInterval = 50 * time.Millisecond
	// orderInterval is the time that a request with room leaves to the one ahead of it, which is asked at once.
	orderInterval = 10 * time.Millisecond
	// noObjective is the time in which a request without an objective counts as on time, and noObjectiveHold the time for which it is
	// held: a refusal would keep its caller away for as long.
	noObjective     = time.Hour
	noObjectiveHold = minRetryAfter
	// maxBackoff is the number of times that the interval doubles after refusals by servers, which show that the load is out of date.
	maxBackoff = 5
	// leastExcess is the load above 1 of a server that has refused a request of unknown part.
	leastExcess = 0.01
)

// setLoad replaces the load by that of a new path.
func (e *entry) setLoad(load, part float64) {
	if math.IsNaN(load) {
		load = 1
	}
	if !(part > 0) {
		part = 0
	}
	e.Load, e.Part = load, part
}

// setTimes sets until when e is on time and how long it may be held.
func (e *entry) setTimes() {
	e.onTimeBy, e.holdUntil = e.arrivedAt.Add(noObjective), e.arrivedAt.Add(noObjectiveHold)
	if e.Objective > 0 {
		spare := e.Objective - e.Usual - fraction(e.Objective, onTimeMargin)
		e.onTimeBy = e.begunAt.Add(spare)
		e.holdUntil = e.begunAt.Add(min(spare, fraction(e.Objective, maxHoldFraction)))
	}
	if end := e.Deadline.Add(-e.Usual); !e.Deadline.IsZero() && end.Before(e.holdUntil) {
		e.holdUntil = end
	}
}

// resumeUntil returns until when a request that resumes may be held: any time before its deadline is of use to its caller.
func (e *entry) resumeUntil() time.Time {
	if e.Deadline.IsZero() {
		return e.holdUntil
	}
	return e.Deadline.Add(-e.Usual)
}

// decide answers the arrival of e, or the end of its hold.
func (q *Queue) decide(now time.Time, e *entry) []teaselstream.Cmd {
	if e.Resumed {
		return q.send(now, e, reasonResumed)
	}
	e.standing = e.service.standing(now, e)
	ahead := e.service.blocker(e)
	if e.halfFree() && (e.stoodBack || q.full(e)) {
		// Those ahead have been asked since and do not wait for this room.
		ahead = nil
	}
	fits := e.service.fits(e) || e.service.mayReplace(now, e)
	e.replaces = false
	if ahead == nil && fits {
		return q.send(now, e, reasonRoom)
	}
	reason := e.reason(ahead)
	hold := q.mayHold(now, e)
	if !hold && e.hasRoom() && !e.deferred {
		if ahead == nil {
			return q.send(now, e, reasonLast)
		}
		hold, reason = !q.full(e) && e.yield(now), reasonOrder
	}
	if !hold {
		return q.refuse(now, e, reason)
	}
	cmds := q.hold(now, e, reason)
	if reason == reasonOrder {
		e.stoodBack = true
		cmds = append(cmds, q.wake(ahead)...)
	}
	return cmds
}

// reason returns why e is not sent now.
func (e *entry) reason(ahead *entry) string {
	switch {
	case e.Load < 0:
		return reasonNoPath
	case e.Load > 1:
		return reasonFull
	case ahead != nil && e.service.fits(e):
		return reasonOrder
	}
	return reasonReserve
}

// yield extends the hold of e once, within maxHoldFraction, so that the request ahead of it can take its room first.
func (e *entry) yield(now time.Time) bool {
	until := now.Add(2 * orderInterval)
	if e.yielded || until.After(e.begunAt.Add(fraction(e.Objective, maxHoldFraction))) || !e.Deadline.IsZero() && until.After(e.Deadline) {
		return false
	}
	e.yielded, e.holdUntil = true, until
	return true
}

// hasRoom reports whether the servers of e's path would probably take it.
func (e *entry) hasRoom() bool { return e.Load >= 0 && e.Load <= 1 }

// halfFree reports whether less than half of the places of e's path are taken.
func (e *entry) halfFree() bool { return e.hasRoom() && e.Load-e.Part < halfLoad }

// full reports whether e would be one held request too many.
func (q *Queue) full(e *entry) bool { return q.held[e.Request] == nil && len(q.held) >= maxHeld }

// mayHold reports whether e has time to wait, and room is expected within it.
func (q *Queue) mayHold(now time.Time, e *entry) bool {
	left := q.holdLeft(now, e)
	return !q.full(e) && left >= minHold && e.service.roomWait(e) <= left
}

// holdLeft returns for how long e may still be held.
func (q *Queue) holdLeft(now time.Time, e *entry) time.Duration {
	left := e.holdUntil.Sub(now)
	if e.Load < 0 {
		left = min(left, e.begunAt.Add(fraction(e.Objective, noPathFraction)).Sub(now))
	}
	return left
}

// holdTime returns the time until e is looked at again, spread so that VMs do not send together.
func (q *Queue) holdTime(now time.Time, e *entry, reason string) time.Duration {
	step := recheckInterval << min(max(e.rejections-1, 0), maxBackoff)
	if reason == reasonOrder {
		step = orderInterval
	}
	return min(fraction(step, 0.5+q.random()), q.holdLeft(now, e))
}

// wake makes e, which may be nil, ask for room now.
func (q *Queue) wake(e *entry) []teaselstream.Cmd {
	if e == nil || e.woken {
		return nil
	}
	e.woken = true
	return []teaselstream.Cmd{Hold{Request: e.Request, Reason: reasonWake}}
}

// random returns a number in [0, 1), or 0.5 without a source.
func (q *Queue) random() float64 {
	if q.Rand == nil {
		return 0.5
	}
	return q.Rand.Float64()
}

func fraction(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

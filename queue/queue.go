package queue

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Queue is the admission state machine of one VM for requests that have not been sent yet; its zero value is ready to use.
	Queue struct {
		// Rand spreads holds and Retry-After; nil spreads nothing.
		Rand teaselstream.Rand

		services map[teaselstream.ServiceID]*service
		held     map[teaselstream.AttemptID]*entry
		sent     map[teaselstream.AttemptID]*entry
		arrivals uint64
	}

	// entry is a request that is held, or that was sent and has not ended.
	entry struct {
		Arrive
		service *service
		// arrival numbers the requests in the order in which they arrived.
		arrival   uint64
		arrivedAt time.Time
		// begunAt is when the caller sent its first attempt.
		begunAt time.Time
		// onTimeBy is the latest time to send the request such that its first event is on time.
		onTimeBy time.Time
		// holdUntil is when the request must be sent or refused.
		holdUntil time.Time
		sentAt    time.Time
		// large reports that the request is among the largest tenth of its rank.
		large bool
		// standing is the position in the order as of the latest decision on the request.
		standing
		// rejections counts the refusals by servers.
		rejections int
		// stoodBack reports that the request has waited for one ahead of it, and yielded that it has done so past holdUntil.
		stoodBack, yielded bool
		// logged reports that the first hold has been logged.
		logged bool
		// woken reports that a Hold of no duration is pending, and replaces that the end of another request of this VM caused it.
		woken, replaces bool
	}
)

const (
	// maxHeld bounds the held requests of a VM; a request beyond it is sent or refused at once. No caller gains from a longer
	// queue, because holds are shorter than a caller's objective.
	maxHeld = 256
	// maxSent bounds the sent requests whose end is awaited, above what one VM has connections for; those beyond it are not followed.
	maxSent = 1 << 14
	// maxRun is how long a sent request without a deadline is kept if its end is never reported.
	maxRun = 10 * time.Minute
)

var _ teaselstream.Core = (*Queue)(nil)

// Update applies one message and returns the Send, Hold, Refuse and LogDecision commands that follow from it.
func (q *Queue) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch m := m.(type) {
	case Arrive:
		return q.arrive(now, m)
	case Again:
		return q.again(now, m)
	case Rejected:
		return q.reject(now, m)
	case Ended:
		return q.end(now, m)
	case Ranks:
		q.serviceOf(now, m.Service).ranks = min(max(m.Count, 1), maxRanks)
	case Teams:
		q.serviceOf(now, m.Service).setShares(now, m.Shares)
	}
	return nil
}

// Held returns the number of requests that are held.
func (q *Queue) Held() int { return len(q.held) }

func (q *Queue) arrive(now time.Time, m Arrive) []teaselstream.Cmd {
	if q.held[m.Request] != nil || q.sent[m.Request] != nil {
		return []teaselstream.Cmd{Refuse{Request: m.Request, RetryAfter: minRetryAfter, Reason: reasonDuplicate}}
	}
	s := q.serviceOf(now, m.Service)
	q.arrivals++
	e := &entry{Arrive: m, service: s, arrival: q.arrivals, arrivedAt: now, begunAt: now.Add(-max(m.Waited, 0))}
	e.Rank = min(max(m.Rank, 0), maxRanks-1)
	e.Usual = max(m.Usual, 0)
	e.setLoad(m.Load, m.Part)
	e.setTimes()
	e.large = s.isLarge(e.Rank, e.Size)
	return q.decide(now, e)
}

func (q *Queue) again(now time.Time, m Again) []teaselstream.Cmd {
	e := q.held[m.Request]
	if e == nil {
		return nil
	}
	e.service.advance(now)
	e.woken = false
	e.setLoad(m.Load, m.Part)
	return q.decide(now, e)
}

func (q *Queue) reject(now time.Time, m Rejected) []teaselstream.Cmd {
	e := q.sent[m.Request]
	if e == nil {
		return []teaselstream.Cmd{Refuse{Request: m.Request, RetryAfter: minRetryAfter, Reason: reasonUnknown}}
	}
	delete(q.sent, m.Request)
	e.service.advance(now)
	e.service.undo(e)
	e.rejections++
	e.standing = e.service.standing(now, e)
	// The load was out of date: the server had no room for the request.
	e.Load = max(e.Load, 1+max(e.Part, leastExcess))
	if e.Resumed {
		e.holdUntil = e.resumeUntil()
	}
	if q.mayHold(now, e) {
		return q.hold(now, e, reasonRejected)
	}
	return q.refuse(now, e, reasonRejected)
}

func (q *Queue) end(now time.Time, m Ended) []teaselstream.Cmd {
	if e := q.held[m.Request]; e != nil {
		q.release(e)
		return nil
	}
	e := q.sent[m.Request]
	if e == nil {
		return nil
	}
	delete(q.sent, m.Request)
	e.service.advance(now)
	e.service.learnRun(now.Sub(e.sentAt))
	next := e.service.firstWaiting()
	if next != nil {
		next.replaces = true
	}
	return q.wake(next)
}

// send counts e as sent and remembers it until it ends.
func (q *Queue) send(now time.Time, e *entry, reason string) []teaselstream.Cmd {
	q.release(e)
	e.sentAt = now
	e.service.count(e, true)
	if len(q.sent) >= maxSent {
		q.forgetEnded(now)
	}
	if q.sent == nil {
		q.sent = make(map[teaselstream.AttemptID]*entry)
	}
	if len(q.sent) < maxSent {
		q.sent[e.Request] = e
	}
	cmds := []teaselstream.Cmd{Send{Request: e.Request, Reason: reason}}
	if e.service.overtakes(e) {
		cmds = append(cmds, e.log(now, reasonAhead))
	}
	return cmds
}

func (q *Queue) hold(now time.Time, e *entry, reason string) []teaselstream.Cmd {
	if q.held[e.Request] == nil {
		if q.held == nil {
			q.held = make(map[teaselstream.AttemptID]*entry)
		}
		q.held[e.Request] = e
		e.service.held = append(e.service.held, e)
	}
	cmds := []teaselstream.Cmd{Hold{Request: e.Request, For: q.holdTime(now, e, reason), Reason: reason}}
	if !e.logged {
		e.logged = true
		cmds = append(cmds, e.log(now, reason))
	}
	return cmds
}

func (q *Queue) refuse(now time.Time, e *entry, reason string) []teaselstream.Cmd {
	q.release(e)
	e.service.count(e, false)
	e.service.refusedAt[e.urgency] = now
	return []teaselstream.Cmd{Refuse{Request: e.Request, RetryAfter: q.retryAfter(now, e), Reason: reason}, e.log(now, reason)}
}

// release removes e from the held requests.
func (q *Queue) release(e *entry) {
	if q.held[e.Request] != e {
		return
	}
	delete(q.held, e.Request)
	i := slices.Index(e.service.held, e)
	e.service.held = slices.Delete(e.service.held, i, i+1)
}

// forgetEnded drops sent requests that must have ended although nobody has reported it.
func (q *Queue) forgetEnded(now time.Time) {
	for id, e := range q.sent {
		end := e.Deadline
		if end.IsZero() {
			end = e.sentAt.Add(maxRun)
		}
		if now.After(end) {
			delete(q.sent, id)
		}
	}
}

func (e *entry) log(now time.Time, reason string) teaselstream.Cmd {
	return LogDecision{Request: e.Request, Rank: e.Rank, Team: e.Team, Load: e.Load, Waited: now.Sub(e.arrivedAt), Reason: reason}
}

package order

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// acceptWithin is how long the preferred VM may take to accept a forwarded order before this VM claims it itself.
	acceptWithin = 250 * time.Millisecond
	// askEvery is the interval of questions about an accepted order, and silentFor the time without an answer after
	// which this VM claims it itself.
	askEvery  = time.Second
	silentFor = 3 * time.Second
	// answerMargin is kept of the deadline for the way back of a forwarded answer.
	answerMargin = 50 * time.Millisecond
	// keepSeen is how long after its deadline a forwarded order is remembered, which bounds clock differences of VMs.
	keepSeen = time.Minute
	// sweepEvery is the interval at which forgotten orders and unused indexes are dropped.
	sweepEvery = 10 * time.Second
)

type seenForward struct {
	from teaselstream.VMID
	run  teaselstream.Incarnation
	id   uint64
}

// pass forwards a new flight to the VM that prefers its shard, if that is another one.
func (l *Log) pass(f *flight) bool {
	to := l.preferred[f.shard.id]
	if to == "" || to == l.config.VM || len(f.call.Body) > MaxForwardBytes {
		return false
	}
	w := f.waiters[0]
	margin := min(answerMargin, w.deadline.Sub(l.now)/4)
	l.id++
	f.forward, f.peer, f.forwardAt, f.passed = l.id, to, l.now, true
	l.forwards[f.forward] = f
	f.enter(forwarded)
	l.emit(Forward{To: to, Call: PeerCall{
		ID: f.forward, From: l.config.VM, Incarnation: l.config.Incarnation, Request: w.request, Team: f.team, Service: f.service.Name,
		Method: f.call.Method, Path: f.call.Path, Header: f.call.Header, Body: f.call.Body, Key: f.call.Key,
		Began: w.began.UnixMilli(), Deadline: w.deadline.Add(-margin).UnixMilli(),
	}})
	return true
}

// checkForward claims a forwarded order on this VM if the other one does not work on it. The log decides who sends.
func (l *Log) checkForward(f *flight) {
	silent := l.now.Sub(f.heardAt)
	switch {
	case !l.alive(f.peer), !f.accepted && l.now.Sub(f.forwardAt) >= acceptWithin, f.accepted && silent >= silentFor:
		l.evaluate(f)
	case f.accepted && silent >= askEvery && l.now.Sub(f.askedAt) >= askEvery:
		f.askedAt = l.now
		l.emit(Forward{To: f.peer, Call: PeerCall{
			ID: f.forward, From: l.config.VM, Incarnation: l.config.Incarnation, Team: f.team, Service: f.service.Name, Key: f.call.Key, Again: true,
		}})
	}
}

// asked answers a question about an order that this VM has accepted, or that an earlier incarnation has.
func (l *Log) asked(o PeerCall) {
	a := PeerAnswer{ID: o.ID, Incarnation: o.Incarnation, Kind: Gone}
	if f, ok := l.flights[KeyOf(o.Team, o.Service, o.Key)]; ok {
		for _, w := range f.waiters {
			if w.peer == o.From && w.id == o.ID && w.run == o.Incarnation {
				a.Kind = Accepted
			}
		}
	}
	l.emit(AnswerForward{To: o.From, Answer: a})
}

func (l *Log) forwardFailed(m ForwardFailed) {
	f, ok := l.forwards[m.ID]
	if !ok {
		return
	}
	delete(l.forwards, m.ID)
	// An accepted order may run there although a question about it was not sent.
	f.passed = f.accepted
	if f.phase == forwarded {
		l.evaluate(f)
	}
}

// forwardReceived takes another VM's order. A copy of an order that was seen, or a late one, is dropped:
// its caller may have been told NotRun already.
func (l *Log) forwardReceived(m ForwardReceived) {
	o := m.Call
	if o.Again {
		l.asked(o)
		return
	}
	k := seenForward{from: o.From, run: o.Incarnation, id: o.ID}
	deadline := time.UnixMilli(o.Deadline)
	if _, ok := l.seen[k]; ok || !deadline.After(l.now) {
		l.Counts.Dropped++
		return
	}
	l.seen[k] = deadline.Add(keepSeen)
	a := PeerAnswer{ID: o.ID, Incarnation: o.Incarnation, Kind: Accepted}
	if !m.Known {
		a.Kind = Refused
	}
	l.emit(AnswerForward{To: o.From, Answer: a})
	if !m.Known {
		return
	}
	c := teaselstream.ServiceCall{Request: o.Request, Method: o.Method, Path: o.Path, Header: o.Header, Body: o.Body, Key: o.Key}
	w := waiter{request: o.Request, deadline: deadline, began: time.UnixMilli(o.Began), peer: o.From, id: o.ID, run: o.Incarnation}
	l.submit(Submit{Request: o.Request, Team: o.Team, Service: m.Service, Call: c, Deadline: deadline}, w)
}

// answerForward answers the VM that forwarded an order.
func (l *Log) answerForward(w waiter, a *teaselstream.ServiceAnswer, e *teaselstream.Error) {
	o := PeerAnswer{ID: w.id, Incarnation: w.run, Kind: Final}
	switch {
	case e != nil:
		o.Kind, o.Code, o.Outcome, o.Message = Failed, e.Code, e.Outcome, e.Message
		o.RetryAfter = teaselstream.Millis(e.RetryAfter.Milliseconds())
	case len(a.Body) > MaxStoredAnswerBytes:
		o.Kind, o.Code, o.Outcome, o.Message = Failed, teaselstream.CodeTooLarge, teaselstream.Ran, "the answer exceeds a peer frame"
	default:
		o.Status, o.Header, o.Body = a.Status, a.Header, a.Body
	}
	l.emit(AnswerForward{To: w.peer, Answer: o})
}

// forwardAnswered handles the answer of the preferred VM.
func (l *Log) forwardAnswered(m ForwardAnswered) {
	a := m.Answer
	f, ok := l.forwards[a.ID]
	if !ok || a.Incarnation != l.config.Incarnation || f.peer != m.From {
		l.Counts.Dropped++
		return
	}
	switch a.Kind {
	case Accepted:
		f.accepted, f.heardAt = true, l.now
		return
	case Gone:
		delete(l.forwards, a.ID)
		if f.phase == forwarded {
			l.evaluate(f)
		}
		return
	case Refused:
		l.forwardFailed(ForwardFailed{ID: a.ID})
		return
	}
	delete(l.forwards, a.ID)
	if a.Kind == Failed && a.Outcome == teaselstream.NotRun {
		f.passed = false
	}
	switch {
	case f.phase == sending || f.phase == resolving || f.phase == ended:
		// This VM holds the claim, so the other one cannot have run the call.
	case a.Kind == Final:
		l.conclude(f, &teaselstream.ServiceAnswer{Status: a.Status, Header: a.Header, Body: a.Body}, nil)
	case f.phase == forwarded:
		f.ran = a.Outcome == teaselstream.Ran
		e := failure(a.Code, a.Outcome, a.Message)
		e.RetryAfter = time.Duration(a.RetryAfter) * time.Millisecond
		switch {
		case a.Outcome != teaselstream.NotRun:
			l.conclude(f, nil, e)
		case l.endUpTo(f, f.forwardAt, e):
			// The other VM did not know of callers that joined later.
			l.evaluate(f)
		default:
			l.remove(f)
		}
	}
}

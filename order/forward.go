package order

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// acceptTimeout is how long the preferred VM may take to accept a forwarded call before this VM claims the key
	// itself.
	acceptTimeout = 250 * time.Millisecond
	// peerQueryInterval is the interval at which the peer is asked about a call that it has accepted. After
	// peerSilenceTimeout without an answer this VM claims the key itself.
	peerQueryInterval  = time.Second
	peerSilenceTimeout = 3 * time.Second
	// answerMargin is the part of the deadline that is reserved for the peer's answer to travel back.
	answerMargin = 50 * time.Millisecond
	// seenRetention is how long after its deadline a forwarded call is remembered, to drop late duplicates. It bounds
	// the clock difference between VMs that is tolerated.
	seenRetention = time.Minute
	// sweepInterval is the interval at which unused indexes and expired entries of Log.seen are dropped.
	sweepInterval = 10 * time.Second
)

// seenForward identifies a forwarded call that this VM has received.
type seenForward struct {
	from        teaselstream.VMID
	incarnation teaselstream.Incarnation
	id          uint64
}

// forwardToPreferred forwards a new flight to the shard's preferred VM, and reports whether it did. Bodies over
// MaxForwardBytes are not forwarded.
func (l *Log) forwardToPreferred(f *flight) bool {
	to := l.preferred[f.shard.id]
	if to == "" || to == l.config.VM || len(f.call.Body) > MaxForwardBytes {
		return false
	}
	w := f.waiters[0]
	margin := min(answerMargin, w.deadline.Sub(l.now)/4)
	l.id++
	f.forwardID, f.peer, f.forwardAt, f.mayRunOnPeer = l.id, to, l.now, true
	l.forwards[f.forwardID] = f
	f.enter(forwarded)
	l.emit(Forward{To: to, Call: PeerCall{
		ID: f.forwardID, From: l.config.VM, Incarnation: l.config.Incarnation, Request: w.request, Team: f.team, Service: f.service.Name,
		Method: f.call.Method, Path: f.call.Path, Header: f.call.Header, Body: f.call.Body, Key: f.call.Key,
		Began: w.submitted.UnixMilli(), Deadline: w.deadline.Add(-margin).UnixMilli(),
	}})
	return true
}

// checkForward evaluates a forwarded call on this VM if the peer is not working on it. The claim in the log still
// decides which VM sends.
func (l *Log) checkForward(f *flight) {
	silent := l.now.Sub(f.peerHeardAt)
	switch {
	case !l.alive(f.peer), !f.accepted && l.now.Sub(f.forwardAt) >= acceptTimeout, f.accepted && silent >= peerSilenceTimeout:
		l.evaluate(f)
	case f.accepted && silent >= peerQueryInterval && l.now.Sub(f.peerQueriedAt) >= peerQueryInterval:
		f.peerQueriedAt = l.now
		l.emit(Forward{To: f.peer, Call: PeerCall{
			ID: f.forwardID, From: l.config.VM, Incarnation: l.config.Incarnation, Team: f.team, Service: f.service.Name, Key: f.call.Key, Again: true,
		}})
	}
}

// answerPeerQuery tells a peer whether this VM still works on a call that it, or an earlier incarnation of it,
// accepted.
func (l *Log) answerPeerQuery(o PeerCall) {
	a := PeerAnswer{ID: o.ID, Incarnation: o.Incarnation, Kind: Gone}
	if f, ok := l.flights[KeyOf(o.Team, o.Service, o.Key)]; ok {
		for _, w := range f.waiters {
			if w.peer == o.From && w.id == o.ID && w.incarnation == o.Incarnation {
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
	// This may be a query about an accepted call that was not sent; the peer may still run the call.
	f.mayRunOnPeer = f.accepted
	if f.phase == forwarded {
		l.evaluate(f)
	}
}

// forwardReceived handles a call that another VM forwarded. Duplicates and calls past their deadline are dropped,
// because their callers may already have been told NotRun.
func (l *Log) forwardReceived(m ForwardReceived) {
	o := m.Call
	if o.Again {
		l.answerPeerQuery(o)
		return
	}
	k := seenForward{from: o.From, incarnation: o.Incarnation, id: o.ID}
	deadline := time.UnixMilli(o.Deadline)
	if _, ok := l.seen[k]; ok || !deadline.After(l.now) {
		l.Counts.Dropped++
		return
	}
	l.seen[k] = deadline.Add(seenRetention)
	a := PeerAnswer{ID: o.ID, Incarnation: o.Incarnation, Kind: Accepted}
	// A leaving VM exits once it has no call in progress, and would lose one that it accepted after that.
	if !m.Known || l.leaving {
		a.Kind = Refused
	}
	l.emit(AnswerForward{To: o.From, Answer: a})
	if a.Kind == Refused {
		return
	}
	c := teaselstream.ServiceCall{Request: o.Request, Method: o.Method, Path: o.Path, Header: o.Header, Body: o.Body, Key: o.Key}
	w := waiter{request: o.Request, deadline: deadline, submitted: time.UnixMilli(o.Began), peer: o.From, id: o.ID, incarnation: o.Incarnation}
	l.submit(Submit{Request: o.Request, Team: o.Team, Service: m.Service, Call: c, Deadline: deadline}, w)
}

// answerForward sends the result of a forwarded call back to the VM that forwarded it.
func (l *Log) answerForward(w waiter, a *teaselstream.ServiceAnswer, e *teaselstream.Error) {
	o := PeerAnswer{ID: w.id, Incarnation: w.incarnation, Kind: Final}
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

// forwardAnswered handles the preferred VM's answer to a forwarded call.
func (l *Log) forwardAnswered(m ForwardAnswered) {
	a := m.Answer
	f, ok := l.forwards[a.ID]
	if !ok || a.Incarnation != l.config.Incarnation || f.peer != m.From {
		l.Counts.Dropped++
		return
	}
	switch a.Kind {
	case Accepted:
		f.accepted, f.peerHeardAt = true, l.now
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
		f.mayRunOnPeer = false
	}
	switch {
	case f.phase == sending || f.phase == resolving || f.phase == storingResult:
		// This VM holds the claim, so the peer cannot have run the call.
	case a.Kind == Final:
		l.replyAndRemove(f, &teaselstream.ServiceAnswer{Status: a.Status, Header: a.Header, Body: a.Body}, nil)
	case f.phase == forwarded:
		f.ran = a.Outcome == teaselstream.Ran
		e := newError(a.Code, a.Outcome, a.Message)
		e.RetryAfter = time.Duration(a.RetryAfter) * time.Millisecond
		switch {
		case a.Outcome != teaselstream.NotRun:
			l.replyAndRemove(f, nil, e)
		case l.replyUpTo(f, f.forwardAt, e):
			// The peer did not know of callers that joined after the forward; they may still claim the key.
			l.evaluate(f)
		default:
			l.remove(f)
		}
	}
}

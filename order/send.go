package order

import (
	"errors"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

// maxTries bounds the replicas that a claimed call is offered to; each earlier one certified that nothing was written.
const maxTries = 3

// maxWaiting bounds the bytes of answers of a shard that wait to be stored.
const maxWaiting = 512 << 10

// waitingAnswers returns the bytes of answers in the queue.
func (sh *shard) waitingAnswers() int {
	n := 0
	for _, it := range sh.queue {
		if a := it.record.Answer; a != nil {
			n += len(a.Body)
		}
	}
	return n
}

// claimed handles a claim that has become durable.
func (l *Log) claimed(f *flight, r *Record, from time.Time) {
	f.number, f.from = r.Claim, from
	s := f.shard.index[f.key]
	if s.claim != r.Claim || s.state != Claimed {
		// The claim was fenced and closed before this VM learned that it was durable.
		if !f.gone {
			f.enter(waiting)
		}
		return
	}
	f.held = true
	switch {
	case f.gone:
		l.release(f)
	case DeadlinePassed(l.now, from.Add(SendWindow)) || !l.awaited(f):
		// The claim is renewed while a caller waits, and released with the last one.
		f.enter(queued)
	default:
		l.send(f)
	}
}

// DeadlinePassed reports whether a time has passed by the monotonic or the wall clock. The first stands still on some
// platforms while a VM is suspended, and the second may be set.
func DeadlinePassed(now, t time.Time) bool {
	return now.After(t) || now.Round(0).After(t.Round(0))
}

// awaited reports whether a caller still waits for the flight.
func (l *Log) awaited(f *flight) bool {
	for _, w := range f.waiters {
		if w.deadline.After(l.now) {
			return true
		}
	}
	return false
}

// release gives up a claim of this VM for which no send is outstanding.
func (l *Log) release(f *flight) {
	l.config.Invariants.Check(!f.sent, invar.AtMostOnce, "claim %d is released after a send command", f.number)
	f.held = false
	l.releaseClaim(f, f.number)
}

// releaseClaim queues the end of a claim that was not sent or is fenced.
func (l *Log) releaseClaim(f *flight, claim teaselstream.Fencing) {
	at := f.latest.Add(MaxClockSkew).UnixMilli()
	l.enqueue(f.shard, &item{urgent: true, record: Record{Key: f.key, Claim: claim, State: Released, At: at, Body: f.body}})
}

// send gives out the command to send a call whose claim is durable.
func (l *Log) send(f *flight) {
	s, ok := f.shard.index[f.key]
	h := holder{l.config.VM, l.config.Incarnation}
	durable := ok && s.state == Claimed && s.claim == f.number && f.shard.holderOf(l, s) == h
	l.config.Invariants.Check(durable && !f.sent, invar.AtMostOnce, "key %x is sent without a durable claim of its own", f.key)
	f.enter(sending)
	f.try++
	f.sent, f.held = true, false
	c := f.call
	c.Fencing = f.number
	l.emit(Send{Request: f.waiters[0].request, Key: f.key, Claim: f.number, Try: f.try, Until: f.from.Add(SendWindow), Avoid: f.avoid, Service: f.service, Call: c})
}

// answered handles the result of a send.
func (l *Log) answered(m Answered) {
	f, ok := l.flights[m.Key]
	if !ok || f.phase != sending || f.number != m.Claim || f.try != m.Try {
		l.Counts.Dropped++
		return
	}
	switch {
	case m.Err == nil:
		f.ran = true
		f.answer = &m.Answer
		l.replyAll(f, f.answer, nil)
		l.store(f)
	case errors.Is(m.Err, teaselstream.ErrUnavailable):
		f.avoid = append(f.avoid, m.Server)
		l.unwritten(f, m.Err)
	default:
		l.lost(f)
	}
}

// unwritten tries another replica, or releases the claim.
func (l *Log) unwritten(f *flight, cause error) {
	f.sent, f.held = false, true
	if f.try < maxTries && l.awaited(f) && !DeadlinePassed(l.now, f.from.Add(SendWindow)) {
		l.send(f)
		return
	}
	e := failure(teaselstream.CodeServerLost, l.outcome(f), "no replica took the call")
	e.Cause = cause
	l.replyAll(f, nil, e)
	l.remove(f)
}

// lost records that the answer of a sent call is lost and asks the service about it.
func (l *Log) lost(f *flight) {
	l.enqueue(f.shard, &item{urgent: true, record: Record{Key: f.key, Claim: f.number, State: Unknown, Body: f.body}})
	l.learn(f, f.number, Unknown)
	if !l.awaited(f) {
		l.replyAll(f, nil, l.lostError(f))
		l.remove(f)
		return
	}
	f.enter(resolving)
	f.lookAt = l.now
	l.advance(f)
}

// store records the answer of a call that ran.
func (l *Log) store(f *flight) {
	r := Record{Key: f.key, Claim: f.number, State: Done, Body: f.body}
	size := len(f.answer.Body)
	for _, h := range f.answer.Header {
		size += len(h[0]) + len(h[1])
	}
	f.enter(ended)
	stored := &Answer{Status: f.answer.Status, Header: f.answer.Header, Body: f.answer.Body}
	switch {
	case f.shard.waitingAnswers() > maxWaiting:
		// The store takes less than the service answers: a resend is told Ran without the answer.
		r.State = Ran
		l.record(f, r)
	case size <= MaxInlineAnswerBytes:
		r.Answer = stored
		l.record(f, r)
	case size <= MaxStoredAnswerBytes:
		r.Large = true
		l.storeLarge(f, r, encode(stored))
	default:
		r.State = Ran
		l.record(f, r)
	}
}

// record queues the last record of a flight and forgets the flight when it is durable.
func (l *Log) record(f *flight, r Record) {
	l.enqueue(f.shard, &item{record: r, durable: func() { l.remove(f) }})
}

// storeLarge writes an answer under its own key until the store has it.
func (l *Log) storeLarge(f *flight, r Record, value []byte) {
	l.write(AnswerKey(f.shard.id, r.Claim), 0, value, func(res result) {
		if res.err == nil || errors.Is(res.err, teaselstream.ErrConflict) {
			// Claim numbers are unique, so a conflict means that an earlier try took effect.
			l.record(f, r)
			return
		}
		f.retry = func() { l.storeLarge(f, r, value) }
		f.lookAt = l.now.Add(maxBackoff)
	})
}

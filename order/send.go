package order

import (
	"errors"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

// maxSendAttempts bounds the sends of a flight's call. Another send under the same claim follows only if the previous
// replica certified that nothing was written.
const maxSendAttempts = 3

// maxQueuedAnswerBytes bounds the answers of a shard that are queued to be stored.
const maxQueuedAnswerBytes = 512 << 10

// queuedAnswerBytes returns the size of the answers in the queue.
func (sh *shard) queuedAnswerBytes() int {
	n := 0
	for _, it := range sh.queue {
		if a := it.record.Answer; a != nil {
			n += len(a.Body)
		}
	}
	return n
}

// claimDurable handles a claim that has become durable.
func (l *Log) claimDurable(f *flight, r *Record, claimWrittenAt time.Time) {
	f.claimNumber, f.claimWrittenAt = r.Claim, claimWrittenAt
	s := f.shard.index[f.key]
	if s.claim != r.Claim || s.state != Claimed {
		// Another VM fenced and closed the claim before this VM learned that it was durable.
		if !f.removed {
			f.enter(awaitingIndex)
		}
		return
	}
	f.holdsClaim = true
	switch {
	case f.removed:
		l.release(f)
	case DeadlinePassed(l.now, claimWrittenAt.Add(SendWindow)) || !l.hasWaiter(f):
		// The claim is too old to send or no caller waits. It is renewed while a caller waits, and released with the
		// last one.
		f.enter(queued)
	default:
		l.send(f)
	}
}

// DeadlinePassed reports whether t has passed by the monotonic or the wall clock. The monotonic clock stops on some
// platforms while a VM is suspended, and the wall clock may be set.
func DeadlinePassed(now, t time.Time) bool {
	return now.After(t) || now.Round(0).After(t.Round(0))
}

// hasWaiter reports whether a caller of the flight waits whose deadline has not passed.
func (l *Log) hasWaiter(f *flight) bool {
	for _, w := range f.waiters {
		if w.deadline.After(l.now) {
			return true
		}
	}
	return false
}

// release ends a claim of this VM for which no send is in progress.
func (l *Log) release(f *flight) {
	l.config.Invariants.Check(!f.sent, invar.AtMostOnce, "claim %d is released after a send command", f.claimNumber)
	f.holdsClaim = false
	l.releaseClaim(f, f.claimNumber)
}

// releaseClaim queues the release of a claim that was not sent or is fenced.
func (l *Log) releaseClaim(f *flight, claim teaselstream.Fencing) {
	at := f.lastSubmitted.Add(MaxClockSkew).UnixMilli()
	l.enqueue(f.shard, &change{urgent: true, record: Record{Key: f.key, Claim: claim, State: Released, At: at, Body: f.body}})
}

// send issues the command to send a call whose claim is durable.
func (l *Log) send(f *flight) {
	s, ok := f.shard.index[f.key]
	h := holder{l.config.VM, l.config.Incarnation}
	durable := ok && s.state == Claimed && s.claim == f.claimNumber && f.shard.holderOf(l, s) == h
	l.config.Invariants.Check(durable && !f.sent, invar.AtMostOnce, "key %x is sent without a durable claim of its own", f.key)
	f.enter(sending)
	f.try++
	f.sent, f.holdsClaim = true, false
	c := f.call
	c.Fencing = f.claimNumber
	l.emit(Send{Request: f.waiters[0].request, Key: f.key, Claim: f.claimNumber, Try: f.try, Until: f.claimWrittenAt.Add(SendWindow), Avoid: f.avoid, Service: f.service, Call: c})
}

// answered handles the result of a send.
func (l *Log) answered(m Answered) {
	f, ok := l.flights[m.Key]
	if !ok || f.phase != sending || f.claimNumber != m.Claim || f.try != m.Try {
		l.Counts.Dropped++
		return
	}
	switch {
	case m.Err == nil:
		f.ran = true
		f.answer = &m.Answer
		l.replyAll(f, f.answer, nil)
		l.storeAnswer(f)
	case errors.Is(m.Err, teaselstream.ErrUnavailable):
		f.avoid = append(f.avoid, m.Server)
		l.sendNotWritten(f, m.Err)
	default:
		l.answerLost(f)
	}
}

// sendNotWritten tries another replica, or answers the callers and releases the claim.
func (l *Log) sendNotWritten(f *flight, cause error) {
	f.sent, f.holdsClaim = false, true
	if f.try < maxSendAttempts && l.hasWaiter(f) && !DeadlinePassed(l.now, f.claimWrittenAt.Add(SendWindow)) {
		l.send(f)
		return
	}
	e := newError(teaselstream.CodeServerLost, l.outcome(f), "no replica took the call")
	e.Cause = cause
	l.replyAll(f, nil, e)
	l.remove(f)
}

// answerLost records that the answer of a sent call is lost, and queries the service about the call.
func (l *Log) answerLost(f *flight) {
	l.enqueue(f.shard, &change{urgent: true, record: Record{Key: f.key, Claim: f.claimNumber, State: Unknown, Body: f.body}})
	l.applyLocal(f, f.claimNumber, Unknown)
	if !l.hasWaiter(f) {
		l.replyAll(f, nil, l.lostError(f))
		l.remove(f)
		return
	}
	f.enter(resolving)
	f.advanceAt = l.now
	l.advance(f)
}

// storeAnswer queues the record of a call that ran, with its answer if that is small enough.
func (l *Log) storeAnswer(f *flight) {
	r := Record{Key: f.key, Claim: f.claimNumber, State: Done, Body: f.body}
	size := len(f.answer.Body)
	for _, h := range f.answer.Header {
		size += len(h[0]) + len(h[1])
	}
	f.enter(storingResult)
	stored := &Answer{Status: f.answer.Status, Header: f.answer.Header, Body: f.answer.Body}
	switch {
	case f.shard.queuedAnswerBytes() > maxQueuedAnswerBytes:
		// The store is slower than the service: this answer is not stored, and a resend is told Ran without it.
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

// record queues the last record of a flight, and removes the flight when the record is durable.
func (l *Log) record(f *flight, r Record) {
	l.enqueue(f.shard, &change{record: r, durable: func() { l.remove(f) }})
}

// storeLarge writes an answer under its own key, and retries until the store has it.
func (l *Log) storeLarge(f *flight, r Record, value []byte) {
	l.write(AnswerKey(f.shard.id, r.Claim), 0, value, func(res result) {
		if res.err == nil || errors.Is(res.err, teaselstream.ErrConflict) {
			// Claim numbers are unique, so a conflict means that an earlier try took effect.
			l.record(f, r)
			return
		}
		f.retry = func() { l.storeLarge(f, r, value) }
		f.advanceAt = l.now.Add(maxBackoff)
	})
}

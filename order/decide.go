package order

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

// evaluate uses the index to decide the next step of a flight that has not been sent.
func (l *Log) evaluate(f *flight) {
	sh := f.shard
	if !sh.ready {
		f.enter(awaitingIndex)
		return
	}
	if older := l.unmerged(f); len(older) > 0 {
		if f.claimChange != nil && f.claimChange.queued {
			sh.dequeue(f.claimChange)
		}
		l.merge(f, older)
		return
	}
	s, ok := sh.index[f.key]
	claimable := !ok || s.state == Released || l.mayRenew(f, s)
	if f.claimChange != nil && f.claimChange.queued && !claimable {
		sh.dequeue(f.claimChange)
	}
	switch {
	case f.hasKeyTime && f.keyTime.Before(time.UnixMilli(sh.cutoff).Add(MaxKeyAhead)):
		l.replyAndRemove(f, nil, keyExpiredError())
	case ok && s.body != f.body:
		e := keyReusedError()
		if f.mayRunOnPeer {
			e.Outcome = l.unknown()
		}
		l.replyAndRemove(f, nil, e)
	case ok && s.state == Released && !l.replyToReleased(f, s):
		l.remove(f)
	case claimable && !l.hasWaiter(f):
		// Every caller's deadline has passed, so the next tick answers them and no claim is written.
		f.enter(queued)
	case claimable:
		l.queueClaim(f)
	case s.state == Done || s.state == Ran:
		f.ran = true
		l.replay(f, s)
	default:
		f.enter(awaitingOtherClaim)
	}
}

// replyToReleased answers the callers that the release of a claim covers, and reports whether any callers remain.
func (l *Log) replyToReleased(f *flight, s keyState) bool {
	// A forwarded copy carries the submission time of the oldest caller. If the release covers that caller, the peer
	// may not claim the key either.
	f.mayRunOnPeer = f.mayRunOnPeer && f.submitted.After(time.UnixMilli(s.at))
	return l.replyUpTo(f, time.UnixMilli(s.at), claimClosedError())
}

// replyUpTo answers the callers that submitted at or before t, and reports whether any callers remain.
//
// A submission at that time was told NotRun, so callers up to it must not run the call either; later ones may.
func (l *Log) replyUpTo(f *flight, t time.Time, e *teaselstream.Error) bool {
	var rest []waiter
	for _, w := range f.waiters {
		if !w.submitted.After(t) {
			l.reply(f, w, nil, e)
			continue
		}
		if len(rest) == 0 || w.submitted.Before(f.submitted) {
			f.submitted = w.submitted
		}
		rest = append(rest, w)
	}
	f.waiters = rest
	return len(rest) > 0
}

// mayRenew reports whether the flight's own claim is still unsent. The flight may then replace it by a new claim,
// because the old one has passed SendWindow.
func (l *Log) mayRenew(f *flight, s keyState) bool {
	return f.holdsClaim && s.state == Claimed && s.claim == f.claimNumber
}

func (l *Log) queueClaim(f *flight) {
	f.enter(queued)
	if l.config.Faults.Has(invar.SkipClaim) {
		f.claimNumber, f.claimWrittenAt = f.shard.next, l.now
		l.send(f)
		return
	}
	if f.claimChange == nil || f.claimChange.done {
		f.claimChange = &change{flight: f, record: Record{Key: f.key, Body: f.body}}
	}
	l.enqueue(f.shard, f.claimChange)
}

// evaluateWaiting evaluates all flights that wait for a change of the log.
func (l *Log) evaluateWaiting(sh *shard) {
	for _, f := range append([]*flight(nil), sh.flights...) {
		switch f.phase {
		case awaitingIndex, awaitingOtherClaim, queued:
			l.evaluate(f)
		}
	}
}

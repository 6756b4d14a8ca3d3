package order

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

// reply answers one caller; f is nil if no flight was started for the call.
func (l *Log) reply(f *flight, w waiter, a *teaselstream.ServiceAnswer, e *teaselstream.Error) {
	if f != nil && e != nil && e.Outcome == teaselstream.NotRun {
		l.config.Invariants.Check(!f.sent && !f.mayRunOnPeer && !f.ran, invar.NotRunIsTrue, "request %s is told NotRun, sent %v, forwarded %v", w.request, f.sent, f.mayRunOnPeer)
	}
	if w.peer != "" {
		l.answerForward(w, a, e)
		return
	}
	r := Reply{Request: w.request, Err: e}
	if a != nil {
		r.Answer = *a
	}
	l.emit(r)
}

// expire answers callers whose deadline has passed. While another caller still waits the call may be sent, so NotRun is
// told only when the last caller is answered.
func (l *Log) expire(f *flight) {
	if f.removed {
		return
	}
	var late, rest []waiter
	for _, w := range f.waiters {
		if w.deadline.After(l.now) {
			rest = append(rest, w)
		} else {
			late = append(late, w)
		}
	}
	if len(late) == 0 {
		return
	}
	f.waiters = rest
	e := l.late(f, len(rest) == 0)
	for _, w := range late {
		l.reply(f, w, nil, e)
	}
	if len(rest) == 0 && f.phase != sending && f.phase != storingResult {
		l.remove(f)
	}
}

// late returns the error for callers whose deadline has passed; last says that no other caller waits.
func (l *Log) late(f *flight, last bool) *teaselstream.Error {
	o := teaselstream.Unknown
	if last || f.ran {
		o = l.outcome(f)
	}
	e := newError(teaselstream.CodeDeadlineExceeded, o, "the deadline passed before the call was answered")
	if !f.sent && !f.holdsClaim && (f.phase == awaitingIndex || f.phase == queued) {
		e.Code, e.Message, e.RetryAfter = teaselstream.CodeStoreUnavailable, "the store could not record the call's claim", time.Second
	}
	return e
}

// outcome returns what is known about a flight that will not be sent any more.
//
// A caller may have submitted the same key to another VM earlier, and that submission may still run. NotRun therefore
// needs either a durable claim of this flight, whose release ends all earlier submissions, or a key that is too young
// for an earlier submission.
func (l *Log) outcome(f *flight) teaselstream.Outcome {
	if f.ran {
		return teaselstream.Ran
	}
	if f.sent {
		return l.unknown()
	}
	if s, ok := f.shard.index[f.key]; ok && s.state != Released {
		if s.state == Done || s.state == Ran {
			return teaselstream.Ran
		}
		if r := f.shard.holderOf(l, s); s.state != Claimed || r.vm != l.config.VM || r.incarnation != l.config.Incarnation {
			return l.unknown()
		}
	}
	if f.holdsClaim {
		// The peer could claim the forwarded copy only after the release, which forbids that.
		f.mayRunOnPeer = false
		return teaselstream.NotRun
	}
	if !f.mayRunOnPeer && f.hasKeyTime && f.lastSubmitted.Sub(f.keyTime).Abs() <= FirstSubmissionWindow {
		return teaselstream.NotRun
	}
	return l.unknown()
}

// unknown returns Unknown, or NotRun if the fault ClaimNotRun is injected.
func (l *Log) unknown() teaselstream.Outcome {
	if l.config.Faults.Has(invar.ClaimNotRun) {
		return teaselstream.NotRun
	}
	return teaselstream.Unknown
}

func (sh *shard) holderOf(l *Log, s keyState) holder { return l.holders.list[s.holder] }

package order

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

// reply answers one caller; f is nil if the call never had a flight.
func (l *Log) reply(f *flight, w waiter, a *teaselstream.ServiceAnswer, e *teaselstream.Error) {
	if f != nil && e != nil && e.Outcome == teaselstream.NotRun {
		l.config.Invariants.Check(!f.sent && !f.passed && !f.ran, invar.NotRunIsTrue, "request %s is told NotRun, sent %v, forwarded %v", w.request, f.sent, f.passed)
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

// expire answers callers whose deadline has passed. A call that may be sent later is told NotRun only with its last caller.
func (l *Log) expire(f *flight) {
	if f.gone {
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
	if len(rest) == 0 && f.phase != sending && f.phase != ended {
		l.remove(f)
	}
}

// late returns the error of a call at its deadline.
func (l *Log) late(f *flight, last bool) *teaselstream.Error {
	o := teaselstream.Unknown
	if last || f.ran {
		o = l.outcome(f)
	}
	e := failure(teaselstream.CodeDeadlineExceeded, o, "the deadline passed before the call was answered")
	if !f.sent && !f.held && (f.phase == waiting || f.phase == queued) {
		e.Code, e.Message, e.RetryAfter = teaselstream.CodeStoreUnavailable, "the store could not record the call's claim", time.Second
	}
	return e
}

// outcome tells what is certain about a flight that will not be sent from now on.
//
// A caller may have submitted the same key to another VM before, and that
// submission may still run. NotRun therefore needs either a durable claim of
// this flight, which ends all earlier submissions when it is released, or a
// key that is too young for an earlier submission.
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
	if f.held {
		// A forwarded copy could claim only after the release, which forbids it.
		f.passed = false
		return teaselstream.NotRun
	}
	if !f.passed && f.timed && f.latest.Sub(f.keyTime).Abs() <= FirstSubmissionWindow {
		return teaselstream.NotRun
	}
	return l.unknown()
}

// unknown returns Unknown, or NotRun under the injected fault.
func (l *Log) unknown() teaselstream.Outcome {
	if l.config.Faults.Has(invar.ClaimNotRun) {
		return teaselstream.NotRun
	}
	return teaselstream.Unknown
}

func (sh *shard) holderOf(l *Log, s slot) holder { return l.holders.list[s.holder] }

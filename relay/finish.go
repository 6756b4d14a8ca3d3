package relay

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

func (r *Relay) handleDone(now time.Time, e teaselstream.DoneEvent) {
	if !r.isCurrent(e.Request, e.Attempt) {
		r.counts.Stale++
		return
	}
	if e.Sequence > r.sequence+1 {
		r.holdBack(now, e)
		return
	}
	if e.Reason == reasonCanceled {
		// The relay did not cancel the stream, so the engine ended it on its own.
		r.replaceServer(now, r.headServer(), Rejected)
		return
	}
	if e.Tokens != len(r.emitted) {
		r.replaceServer(now, r.headServer(), BadOrder)
		return
	}
	for _, h := range r.plan.Chain {
		r.command(ReportServer{Server: h.Server, Event: Completed})
	}
	r.state = ended
	r.command(Finish{Reason: e.Reason, Outcome: teaselstream.Ran, Tokens: len(r.emitted)})
}

// finishWithError cancels the attempt and ends the request with an error and its outcome.
func (r *Relay) finishWithError(c teaselstream.Code, message string, retryAfter time.Duration) {
	r.cancelAttempt()
	r.state = ended
	r.command(Finish{Code: c, Outcome: r.outcome(), Message: message, RetryAfter: retryAfter, Tokens: len(r.emitted)})
}

// outcome returns Ran after the first token, Unknown if a server may have got a byte, and NotRun otherwise.
func (r *Relay) outcome() teaselstream.Outcome {
	switch {
	case len(r.emitted) > 0:
		return teaselstream.Ran
	case r.sentAttempts > 0:
		return teaselstream.Unknown
	default:
		return teaselstream.NotRun
	}
}

// cancelAttempt cancels the current attempt at the first server of its chain, if an attempt is open.
func (r *Relay) cancelAttempt() {
	if r.state != streaming || len(r.plan.Chain) == 0 {
		return
	}
	r.state = idle
	r.command(CancelStream{Attempt: r.attempt, Address: r.plan.Chain[0].Address})
}

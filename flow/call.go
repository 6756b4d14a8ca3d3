package flow

import (
	"net/http"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// maxCallAttempts bounds how often a call is sent; attempts that a replica refused without running count too.
	maxCallAttempts = 4
	// retryAfterBusy is the Retry-After of a call that no replica took. Queues of replicas drain within a few hundred milliseconds.
	retryAfterBusy = 300 * time.Millisecond
)

type (
	// CallOptions describes a call to a plain service.
	CallOptions struct {
		// MayRetry takes one retry from the retry budget and reports whether there was one.
		MayRetry func() bool
		// MayRun reports whether the call may be sent to a replica, as in Options.
		MayRun func() bool
		// Idempotent allows the call to run more than once.
		Idempotent bool
		// MaxServers bounds the replicas on which the call may run; 0 means 1.
		MaxServers int
	}

	// Call is the state machine of one call to a plain service.
	Call struct {
		CallOptions

		attempts int
		// running counts attempts without a result; possiblyRan counts those that ended and ran or may have run.
		running     int
		possiblyRan int
		// failedAttempt is the last attempt that a replica answered with a 5xx status. Its answer is delivered if no other
		// attempt brings a better one; 0 means none.
		failedAttempt int
		// retryAfter is the time until a replica takes calls again, if that is known.
		retryAfter time.Duration
		done       bool
	}

	// CallStart begins the call.
	CallStart struct{}

	// CallAnswered holds the head of a replica's complete answer to an attempt.
	CallAnswered struct {
		AttemptNumber int
		Status        int
		NotRun        bool
	}

	// CallFailed reports that an attempt ended without an answer.
	CallFailed struct {
		AttemptNumber int
		// NotSent reports that no byte of the call was written.
		NotSent bool
		Reason  string
	}

	// CallNoReplica reports that no replica was available for an attempt.
	CallNoReplica struct {
		AttemptNumber int
		// RetryAfter is the time until a replica takes calls again; 0 means that it is not known.
		RetryAfter time.Duration
	}

	// CallHedgeDue reports that the call has lasted longer than the hedging delay.
	CallHedgeDue struct{}

	// CallSend sends the call to a replica to which it was not sent before.
	CallSend struct {
		AttemptNumber int
		Reason        string
	}

	// CallDeliver forwards the answer of an attempt to the caller.
	CallDeliver struct{ AttemptNumber int }

	// CallRefuse ends the call with an error from the router, or without an answer if the caller disconnected.
	CallRefuse struct {
		Refusal *teaselstream.Error
		// Replaced is the attempt whose answer the error replaces; 0 means none.
		Replaced int
	}
)

// Update applies one message and returns the resulting commands.
func (c *Call) Update(m teaselstream.Msg) []teaselstream.Cmd {
	if c.done {
		return nil
	}
	switch m := m.(type) {
	case CallStart:
		return c.send("first")
	case CallAnswered:
		return c.onAnswered(m)
	case CallFailed:
		c.running--
		if !m.NotSent {
			c.possiblyRan++
		}
		return c.retryOrEnd(m.Reason)
	case CallNoReplica:
		c.running--
		if c.running > 0 {
			// Only a second send found no replica; the first one may still be refused and then be sent again.
			c.attempts--
			return nil
		}
		c.attempts, c.retryAfter = maxCallAttempts, min(m.RetryAfter, maxRetryAfter)
		return c.retryOrEnd("no replica available")
	case CallHedgeDue:
		return c.hedge()
	case CallerDisconnected:
		c.done = true
		return []teaselstream.Cmd{CallRefuse{}}
	case TimedOut:
		if c.failedAttempt > 0 {
			return c.deliver(c.failedAttempt)
		}
		return c.refuse(teaselstream.CodeDeadlineExceeded, "time for the answer is up")
	}
	return nil
}

func (c *Call) send(reason string) []teaselstream.Cmd {
	if c.MayRun != nil && !c.MayRun() {
		if c.running > 0 {
			return nil
		}
		return c.refuse(teaselstream.CodeCrashesServers, crashesServers)
	}
	c.attempts++
	c.running++
	return []teaselstream.Cmd{CallSend{c.attempts, reason}}
}

func (c *Call) onAnswered(m CallAnswered) []teaselstream.Cmd {
	c.running--
	if m.NotRun {
		return c.retryOrEnd("refused as not run")
	}
	c.possiblyRan++
	if !c.Idempotent && teaselstream.PromisesNotRun(m.Status) {
		return c.replace(m.AttemptNumber)
	}
	if m.Status < http.StatusInternalServerError {
		return c.deliver(m.AttemptNumber)
	}
	c.failedAttempt = m.AttemptNumber
	return c.retryOrEnd("failure status")
}

func (c *Call) deliver(attempt int) []teaselstream.Cmd {
	c.done = true
	return []teaselstream.Cmd{CallDeliver{attempt}}
}

// replace ends the call without an answer that callers would take for the promise that the call has not run.
func (c *Call) replace(attempt int) []teaselstream.Cmd {
	c.done = true
	return []teaselstream.Cmd{CallRefuse{Refusal: falsePromise(), Replaced: attempt}}
}

// falsePromise returns the error in place of an answer whose status callers take for a promise that its server has not made. A request that
// may not run twice would otherwise be sent again.
func falsePromise() *teaselstream.Error {
	return &teaselstream.Error{
		Code: teaselstream.CodeOutcomeUnknown, Outcome: teaselstream.Unknown, Message: "the server failed without stating that the request did not run",
	}
}

// retryOrEnd retries after an attempt without a usable answer, or ends the call once no attempt is running.
func (c *Call) retryOrEnd(reason string) []teaselstream.Cmd {
	if c.mayRunAgain() && c.attempts < maxCallAttempts && c.MayRetry() {
		return c.send(reason)
	}
	switch {
	case c.running > 0:
		return nil
	case c.failedAttempt > 0:
		return c.deliver(c.failedAttempt)
	case c.possiblyRan > 0:
		// A replica gave no complete answer, and the call may have run.
		return c.refuse(teaselstream.CodeOutcomeUnknown, "the replica's answer is lost")
	default:
		return c.refuse(teaselstream.CodeOverloaded, "no replica of the service takes the call")
	}
}

// mayRunAgain reports whether one more replica may run the call, in addition to those that ran it or may still run it.
func (c *Call) mayRunAgain() bool {
	used := c.possiblyRan + c.running
	if !c.Idempotent {
		return used == 0
	}
	return used < max(c.MaxServers, 1)
}

// hedge sends an idempotent call to a second replica while the first has not answered.
func (c *Call) hedge() []teaselstream.Cmd {
	if !c.Idempotent || c.running != 1 || !c.mayRunAgain() || c.attempts >= maxCallAttempts || !c.MayRetry() {
		return nil
	}
	return c.send("no answer yet")
}

func (c *Call) refuse(code teaselstream.Code, message string) []teaselstream.Cmd {
	c.done = true
	e := &teaselstream.Error{Code: code, Outcome: teaselstream.NotRun, Message: message, RetryAfter: retryAfterBusy}
	if c.retryAfter > 0 {
		e.RetryAfter = c.retryAfter
	}
	if code == teaselstream.CodeCrashesServers {
		e.RetryAfter = 0
	}
	if c.possiblyRan > 0 || c.running > 0 {
		e.Outcome, e.RetryAfter = teaselstream.Unknown, 0
	}
	return []teaselstream.Cmd{CallRefuse{Refusal: e}}
}

package flow

import (
	"net/http"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// maxSends bounds the times a call is sent, refused ones included.
	maxSends = 4
	// retryAfterBusy tells a caller when to come back to full replicas; their queues turn over in some hundred milliseconds.
	retryAfterBusy = 300 * time.Millisecond
)

type (
	// CallOptions describes a call to a plain service.
	CallOptions struct {
		// MayRetry draws on the retry budget.
		MayRetry func() bool
		// Idempotent says that the call may run more than once.
		Idempotent bool
		// MaxServers bounds the replicas on which the call may run; 0 means 1.
		MaxServers int
	}

	// Call is the core of one call to a plain service.
	Call struct {
		CallOptions

		sends int
		// running counts sends without a result, ran those that have run or may have run.
		running int
		ran     int
		// failed is a send whose replica answered with a failure of its own, which is passed on if nothing better comes.
		failed int
		done   bool
	}

	// CallStart begins the call.
	CallStart struct{}

	// CallAnswered brings a replica's whole answer to a send.
	CallAnswered struct {
		Attempt int
		Status  int
		NotRun  bool
	}

	// CallFailed says that a send has no answer.
	CallFailed struct {
		Attempt int
		// NotSent says that no byte of the call was written.
		NotSent bool
		Reason  string
	}

	// CallNoReplica says that no replica was found for a send.
	CallNoReplica struct{ Attempt int }

	// CallHedgeDue says that the call has taken longer than usual.
	CallHedgeDue struct{}

	// CallSend sends the call to a replica that did not have it before.
	CallSend struct {
		Attempt int
		Reason  string
	}

	// CallDeliver passes the answer of a send on.
	CallDeliver struct{ Attempt int }

	// CallRefuse ends the call with the router's own answer, or with none if the caller left.
	CallRefuse struct{ Refusal *teaselstream.Error }
)

// Update applies one message and returns the commands that follow from it.
func (c *Call) Update(m teaselstream.Msg) []teaselstream.Cmd {
	if c.done {
		return nil
	}
	switch m := m.(type) {
	case CallStart:
		return c.send("first")
	case CallAnswered:
		return c.answered(m)
	case CallFailed:
		c.running--
		if !m.NotSent {
			c.ran++
		}
		return c.next(m.Reason)
	case CallNoReplica:
		c.running--
		c.sends = maxSends
		return c.next("no replica answers")
	case CallHedgeDue:
		return c.hedge()
	case CallerDisconnected:
		c.done = true
		return []teaselstream.Cmd{CallRefuse{}}
	case TimedOut:
		return c.refuse(teaselstream.CodeDeadlineExceeded, "time for the answer is up")
	}
	return nil
}

func (c *Call) send(reason string) []teaselstream.Cmd {
	c.sends++
	c.running++
	return []teaselstream.Cmd{CallSend{c.sends, reason}}
}

func (c *Call) answered(m CallAnswered) []teaselstream.Cmd {
	c.running--
	if m.NotRun {
		return c.next("refused as not run")
	}
	c.ran++
	if m.Status < http.StatusInternalServerError {
		return c.deliver(m.Attempt)
	}
	c.failed = m.Attempt
	return c.next("failure status")
}

func (c *Call) deliver(send int) []teaselstream.Cmd {
	c.done = true
	return []teaselstream.Cmd{CallDeliver{send}}
}

// next decides what follows a send that brought no good answer.
func (c *Call) next(reason string) []teaselstream.Cmd {
	if c.mayRun() && c.sends < maxSends && c.MayRetry() {
		return c.send(reason)
	}
	switch {
	case c.running > 0:
		return nil
	case c.failed > 0:
		return c.deliver(c.failed)
	case c.ran > 0:
		return c.refuse(teaselstream.CodeOutcomeUnknown, "the replica's answer is lost")
	default:
		return c.refuse(teaselstream.CodeOverloaded, "no replica of the service takes the call")
	}
}

// mayRun reports whether one more replica may run the call, beside those that ran it or may run it yet.
func (c *Call) mayRun() bool {
	used := c.ran + c.running
	if !c.Idempotent {
		return used == 0
	}
	return used < max(c.MaxServers, 1)
}

// hedge sends an idempotent call to a second replica while the first is silent.
func (c *Call) hedge() []teaselstream.Cmd {
	if !c.Idempotent || c.running != 1 || !c.mayRun() || c.sends >= maxSends || !c.MayRetry() {
		return nil
	}
	return c.send("no answer yet")
}

func (c *Call) refuse(code teaselstream.Code, message string) []teaselstream.Cmd {
	c.done = true
	e := &teaselstream.Error{Code: code, Outcome: teaselstream.NotRun, Message: message, RetryAfter: retryAfterBusy}
	if c.ran > 0 || c.running > 0 {
		e.Outcome, e.RetryAfter = teaselstream.Unknown, 0
	}
	return []teaselstream.Cmd{CallRefuse{e}}
}

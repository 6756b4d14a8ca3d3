package flow

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Start begins the request.
	Start struct{}

	// Opened holds the status and header of an attempt's answer.
	Opened struct {
		Attempt teaselstream.Attempt
		Status  int
		Answer  teaselstream.AnswerHead
		// Whole reports that the answer is one body, which follows as one event without a number, and not a series of events.
		Whole bool
	}

	// Event holds one complete event of an attempt's answer.
	Event struct {
		Attempt teaselstream.Attempt
		// ID is the event's number; 0 means that the event has none.
		ID   uint64
		Data []byte
	}

	// Closed reports that an attempt's connection or answer ended.
	Closed struct {
		Attempt teaselstream.Attempt
		// Complete reports that the answer ended as its HTTP framing announced.
		Complete bool
		// NotSent reports that no byte of the request was written.
		NotSent bool
		Reason  string
	}

	// Probed is the result of a Probe.
	Probed struct {
		Attempt teaselstream.Attempt
		// Unresponsive reports that the first server did not answer the probe.
		Unresponsive bool
		// BlockedOn is the address of the part that the request waits for according to the first server, or empty.
		BlockedOn string
	}

	// Repathed is the result of a Repath.
	Repathed struct {
		Attempt teaselstream.Attempt
		Err     error
		// Fault is the address of the part that refused the request, or empty if it is not known.
		Fault string
	}

	// ServersDown lists servers that have become unreachable.
	ServersDown struct{ Servers []teaselstream.ServerID }

	// Harmful reports that requests like this one crash servers.
	Harmful struct{}

	// TimedOut reports that the deadline for the complete answer has passed.
	TimedOut struct{}

	// CallerDisconnected reports that the caller closed its connection.
	CallerDisconnected struct{}

	// Open starts an attempt: it sends the request to the first server of a path.
	Open struct {
		Attempt   teaselstream.Attempt
		Path      teaselstream.Path
		LastEvent uint64
		Reason    string
	}

	// Abort ends an attempt by closing its connection.
	Abort struct {
		Attempt teaselstream.Attempt
		Reason  string
	}

	// Probe asks the first server of a path which part the request waits for.
	Probe struct {
		Attempt teaselstream.Attempt
		Path    teaselstream.Path
		Waited  time.Duration
	}

	// Repath moves the running attempt to another path with the same first part.
	Repath struct {
		Attempt teaselstream.Attempt
		Path    teaselstream.Path
		Reason  string
	}

	// Deliver forwards one event to the caller; the attempt's header goes before the first event.
	Deliver struct {
		Attempt teaselstream.Attempt
		Data    []byte
	}

	// PassThrough forwards an attempt's whole answer to the caller unchanged.
	PassThrough struct{ Attempt teaselstream.Attempt }

	// Finish ends the request.
	Finish struct {
		// Complete ends the answer normally. Otherwise the caller gets Refusal, or its connection is cut if Refusal is nil
		// because the answer has begun.
		Complete bool
		Refusal  *teaselstream.Error
		// Replaced is the attempt whose answer Refusal replaces; 0 means none.
		Replaced teaselstream.Attempt
		// CallerLeft reports that the caller disconnected, so that no answer can be sent.
		CallerLeft bool
		// Reason says why an answer that has begun is cut; it is empty for all other ends.
		Reason string
	}
)

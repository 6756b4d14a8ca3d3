package flow

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Start begins the request.
	Start struct{}

	// Opened brings the status line and header of an attempt's answer.
	Opened struct {
		Attempt teaselstream.Attempt
		Status  int
		Answer  teaselstream.AnswerHead
	}

	// Event brings one whole event of an attempt's answer.
	Event struct {
		Attempt teaselstream.Attempt
		// ID is the event's number; 0 means that it has none.
		ID   uint64
		Data []byte
	}

	// Closed says that an attempt's answer has ended.
	Closed struct {
		Attempt teaselstream.Attempt
		// Complete says that the answer ended as its framing announced.
		Complete bool
		// NotSent says that no byte of the request was written.
		NotSent bool
		Reason  string
	}

	// Probed brings the results of a Probe.
	Probed struct {
		Attempt teaselstream.Attempt
		// Unresponsive says that the first server did not answer.
		Unresponsive bool
		// WaitsFor is the address of the part that the first server waits for, or empty.
		WaitsFor string
	}

	// Repathed brings the result of a Repath.
	Repathed struct {
		Attempt teaselstream.Attempt
		Err     error
		// RefusedBy is the address of the part that did not take the request, or empty if that is not known.
		RefusedBy string
	}

	// ServersDown names servers that are known not to answer.
	ServersDown struct{ Servers []teaselstream.ServerID }

	// TimedOut says that the time for the final answer is up.
	TimedOut struct{}

	// CallerDisconnected says that the caller has closed its connection.
	CallerDisconnected struct{}

	// Open sends the request to the first server of a path.
	Open struct {
		Attempt   teaselstream.Attempt
		Path      teaselstream.Path
		LastEvent uint64
		Reason    string
	}

	// Abort closes an attempt's connection.
	Abort struct {
		Attempt teaselstream.Attempt
		Reason  string
	}

	// Probe asks the first server of a path what the request waits for.
	Probe struct {
		Attempt teaselstream.Attempt
		Path    teaselstream.Path
		Waited  time.Duration
	}

	// Repath moves the running request to another path with the same first part.
	Repath struct {
		Attempt teaselstream.Attempt
		Path    teaselstream.Path
		Reason  string
	}

	// Deliver hands one event to the caller; the first one is preceded by the attempt's header.
	Deliver struct {
		Attempt teaselstream.Attempt
		Data    []byte
	}

	// PassThrough hands an attempt's whole answer to the caller unchanged.
	PassThrough struct{ Attempt teaselstream.Attempt }

	// Finish ends the request.
	Finish struct {
		// Complete ends the answer as complete; otherwise Refusal says what the caller gets, or the connection is cut if the answer has begun.
		Complete bool
		Refusal  *teaselstream.Error
		// CallerDisconnected says that there is nobody to answer.
		CallerDisconnected bool
	}
)

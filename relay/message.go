package relay

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Start begins the first attempt.
	Start struct {
		// Priority replaces the request's priority at the engines unless it is 0.
		Priority teaselstream.Priority
	}

	// StreamFailed reports that the connection of an attempt failed.
	//
	// Err wraps teaselstream.ErrUnavailable if no byte of the attempt was written.
	StreamFailed struct {
		Attempt teaselstream.Attempt
		Err     error
	}

	// KeepAlive reports that an attempt is alive although it has no new token.
	KeepAlive struct{ Attempt teaselstream.Attempt }

	// CallerDisconnected reports that the caller closed its connection.
	CallerDisconnected struct{}

	// Preempted cancels the current attempt to free its servers; the request then waits for Resume.
	Preempted struct{}

	// Refuse ends the request with an error that the caller of Update chooses.
	Refuse struct {
		Code       teaselstream.Code
		Message    string
		RetryAfter time.Duration
		// NotSent means that no byte of the current attempt was sent.
		NotSent bool
	}

	// Resume continues a preempted request.
	Resume struct{}

	// ServerLeaving reports that a server of the chain is about to stop.
	ServerLeaving struct{ Server teaselstream.ServerID }

	// CacheExported answers ExportCache; Name is empty if the export failed.
	CacheExported struct {
		Server teaselstream.ServerID
		Name   string
		Tokens teaselstream.TokenIndex
	}

	// ProbeResult answers ProbeChain with the servers that did not answer.
	ProbeResult struct {
		Attempt teaselstream.Attempt
		Silent  []teaselstream.ServerID
	}
)

type (
	// OpenStream starts an attempt at the first server of its chain.
	OpenStream struct {
		Request teaselstream.StreamRequest
		Plan    teaselstream.Plan
	}

	// CancelStream cancels an attempt at the first server of its chain and closes its connection.
	CancelStream struct {
		Attempt teaselstream.Attempt
		Address string
	}

	// ExportCache asks a server to export the KV cache of the request.
	ExportCache struct {
		Server  teaselstream.ServerID
		Address string
	}

	// ProbeChain asks which servers of a chain still answer; the reply is ProbeResult.
	ProbeChain struct {
		Attempt teaselstream.Attempt
		Chain   []teaselstream.Hop
	}

	// EmitToken delivers the next token to the caller; it is valid until the next Update.
	EmitToken struct {
		Index teaselstream.TokenIndex
		Text  string
	}

	// Finish ends the request; Code is empty if the answer is complete.
	Finish struct {
		Reason     string
		Code       teaselstream.Code
		Outcome    teaselstream.Outcome
		Message    string
		RetryAfter time.Duration
		Tokens     int
	}

	// ReportServer reports an event of a server to the health checks.
	ReportServer struct {
		Server teaselstream.ServerID
		Event  Event
	}
)

// Event says what happened to an attempt at one of its servers.
type Event string

const (
	// Refused means that a connection was refused before any byte was written.
	Refused Event = "Refused"
	// Unreachable means that no connection was established in time.
	Unreachable Event = "Unreachable"
	// Busy means that the server refused to start a stream, for example for lack of capacity.
	Busy Event = "Busy"
	// Reset means that a connection broke during a stream.
	Reset Event = "Reset"
	// Stalled means that a stream made no progress within the stall limit and the server did not answer a probe.
	Stalled Event = "Stalled"
	// Lost means that another stage reported the server as lost.
	Lost Event = "Lost"
	// Rejected means that the server is up but did not run its stage, or ended the stream itself.
	Rejected Event = "Rejected"
	// Unexplained means that the server was in a chain that stalled although all its servers answer probes.
	Unexplained Event = "Unexplained"
	// BadReceipts means that a token's receipts did not cover all layers.
	BadReceipts Event = "BadReceipts"
	// BadOrder means that a token or the end of a stream was missing or had a wrong number.
	BadOrder Event = "BadOrder"
	// Completed means that the server took part in a completed answer.
	Completed Event = "Completed"
)

// Reasons that engines give when they end a stream although no server is lost.
const (
	reasonCanceled      = "canceled"
	reasonStageCanceled = "Canceled"
	reasonWrongServer   = "WrongServer"
	reasonWrongModel    = "WrongModel"
	reasonLayersNotHeld = "LayersNotHeld"
)

// lossEvent returns the event to report for the server that a LostEvent with the given reason names.
func lossEvent(reason string) Event {
	switch reason {
	case reasonStageCanceled, reasonWrongServer, reasonWrongModel, reasonLayersNotHeld:
		return Rejected
	}
	return Lost
}

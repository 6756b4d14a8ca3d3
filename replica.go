package teaselstream

import (
	"context"
	"net/http"
	"time"
)

type (
	// Replica is a backend server as the platform lists it.
	Replica struct {
		ID          ServerID
		Service     ServiceID
		Address     string
		Domain      DomainID
		Accelerator Accelerator
		Slots       int
		Draining    bool
		// Incarnation rises with each start under the same id.
		Incarnation Incarnation
		// WarmupLeft is how much longer the replica is slow after its start.
		WarmupLeft time.Duration
		// Holds is the range of layers that the replica runs; an empty range means none.
		Holds LayerRange
		// Orders counts the orders that this incarnation has accepted.
		Orders Sequence
		// Models lists the models whose weights are loaded.
		Models []ModelID
	}

	// ReplicaReport is a replica's own account of its state, some hundred milliseconds old.
	ReplicaReport struct {
		Incarnation Incarnation
		Holds       LayerRange
		Orders      Sequence
		// Busy reports whether an order is in progress.
		Busy    bool
		Waiting int
		Running int
		// CacheUsed and CacheTotal count tokens times layers.
		CacheUsed  int64
		CacheTotal int64
		// Pace is the slowdown of the replica; over 1 means slow.
		Pace float64
		// Stalled lists requests that wait for a part that does not answer.
		Stalled []StalledRequest
	}

	// StalledRequest names a request that waits and the part that it waits for.
	StalledRequest struct {
		Attempt AttemptID
		Address string
	}

	// AttemptID identifies one try of a caller; each resend by the caller has its own.
	AttemptID string

	// Part is a range of layers that one replica runs for a request.
	Part struct {
		Server  ServerID
		Address string
		Range   LayerRange
	}

	// Path is the chain of parts that runs all layers of a model once and in order.
	Path []Part

	// RangeOrder tells a replica which layers to hold.
	RangeOrder struct {
		Server  ServerID
		Address string
		Range   LayerRange
		// Expected is the number of orders that the replica must have accepted so far.
		Expected Sequence
		// Cut breaks off requests in the layers that are given up instead of waiting for them.
		Cut bool
	}

	// ReplicaControl reads the state of replicas and gives them orders.
	//
	// Errors wrap ErrUnavailable if nothing can have happened, ErrConflict if
	// the replica's state does not fit, ErrNotFound if the request is not
	// there, and ErrOutcomeUnknown otherwise.
	ReplicaControl interface {
		Report(ctx context.Context, id ServerID, address string) (ReplicaReport, error)
		Hold(ctx context.Context, o RangeOrder) error
		// Repath moves a running request to another path with the same first part. If a part of the path does not take it
		// and the replica names that part, the error is a *RefusedPart.
		Repath(ctx context.Context, a AttemptID, p Path) error
	}

	// PartRefusedError is the error of a move that one part of the new path does not take; it wraps ErrConflict.
	PartRefusedError struct{ Address string }

	// CallHead is what the router needs to know of a caller's request.
	CallHead struct {
		Attempt AttemptID
		Key     string
		// Deadline is how long the caller waits; 0 means that it did not say.
		Deadline time.Duration
		Model    ModelID
		// PromptTokens and MaxTokens are the sizes of a model request.
		PromptTokens int
		MaxTokens    int
		// ExpectedTokens is the caller's estimate of the answer's length; 0 means that it did not say.
		ExpectedTokens int
		// LastEvent is the id of the last event that the caller has, for a resumed stream; 0 means none.
		LastEvent uint64
	}

	// Dispatch is what the router adds to a request that it sends to a replica.
	Dispatch struct {
		Team TeamID
		// Server is the only replica that may run the request.
		Server ServerID
		// TimeLeft is how long the replica may work.
		TimeLeft time.Duration
		Path     Path
		// LastEvent asks a resumed stream to go on after this event; 0 leaves the caller's value.
		LastEvent uint64
	}

	// AnswerHead is what the router needs to know of a replica's answer.
	AnswerHead struct {
		Attempt AttemptID
		// NotRun reports that the replica states that it did not run the request.
		NotRun bool
		// FromReplica reports that the answer comes from a replica's application.
		FromReplica bool
		// Fault is the address of the part that caused a refusal, or empty.
		Fault string
		// Running, Waiting and Slots are the replica's load if HasLoad is set.
		HasLoad bool
		Running int
		Waiting int
		Slots   int
	}

	// Dialect translates the headers of callers and replicas.
	Dialect interface {
		Call(h http.Header) (CallHead, error)
		// Dispatch changes the caller's header into the one that a replica gets.
		Dispatch(h http.Header, d Dispatch)
		Answer(status int, h http.Header) AnswerHead
		// Refusal sets the headers of the router's own answer to a caller.
		Refusal(h http.Header, a AttemptID, retryAfter time.Duration)
	}
)

// Error names the part.
func (e *PartRefusedError) Error() string { return "part " + e.Address + " does not take the request" }

// Unwrap returns ErrConflict.
func (e *PartRefusedError) Unwrap() error { return ErrConflict }

// WaitsFor returns the address of the part that a request waits for, or an empty one.
func (r *ReplicaReport) WaitsFor(a AttemptID) string {
	for _, s := range r.Stalled {
		if s.Attempt == a {
			return s.Address
		}
	}
	return ""
}

// Servers returns the servers of a path in order.
func (p Path) Servers() []ServerID {
	ids := make([]ServerID, len(p))
	for i, x := range p {
		ids[i] = x.Server
	}
	return ids
}

// Covers reports whether the path runs layers [0, n) once and in order.
func (p Path) Covers(n Layer) bool {
	at := Layer(0)
	for _, x := range p {
		if x.Range.From != at || x.Range.To <= x.Range.From {
			return false
		}
		at = x.Range.To
	}
	return at == n
}

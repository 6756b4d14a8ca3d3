package teaselstream

import (
	"context"
	"net/http"
	"time"
)

type (
	// Replica is a backend server in the platform's list.
	Replica struct {
		ID          ServerID
		Service     ServiceID
		Address     string
		Domain      DomainID
		Accelerator Accelerator
		Slots       int
		Draining    bool
		// Incarnation grows with each start under the same id.
		Incarnation Incarnation
		// Heartbeats counts the heartbeats of this incarnation up to the one that wrote the entry; 0 means that it is unknown. Of two
		// entries, it tells the newer one, which their order in the store does not if that came back from an older copy.
		Heartbeats uint64
		// Warming is the remaining time for which the replica is slow after its start.
		Warming time.Duration
		// Holds is the range of layers that the replica runs; an empty range means none.
		Holds LayerRange
		// Orders counts the orders that this incarnation has accepted.
		Orders Sequence
		// Models lists the models whose weights are loaded.
		Models []ModelID
	}

	// ReplicaReport is the state that a replica reports; it is a few hundred milliseconds old.
	ReplicaReport struct {
		Incarnation Incarnation
		Holds       LayerRange
		Orders      Sequence
		// Busy reports whether an order is in progress.
		Busy    bool
		Waiting int
		Running int
		// CacheUsed and CacheTotal are the used and the whole KV cache, in tokens times layers.
		CacheUsed  int64
		CacheTotal int64
		// Pace is the factor by which the replica is slower than specified; 1 means normal speed.
		Pace float64
		// Leaving reports that the replica is shutting down.
		Leaving bool
		// Stalled lists requests that wait for another part of their path that does not answer.
		Stalled []StalledRequest
	}

	// StalledRequest holds a waiting request and the address of the part that it waits for.
	StalledRequest struct {
		Attempt AttemptID
		Address string
	}

	// AttemptID identifies a request as a caller sends it; a request that the caller sends again has a new one.
	AttemptID string

	// Part is one stage of a path: a range of layers that one replica runs for a request.
	Part struct {
		Server  ServerID
		Address string
		Range   LayerRange
	}

	// Path is the chain of parts that runs all layers of a model once and in order.
	Path []Part

	// RangeOrder tells a replica which layers to load and run.
	RangeOrder struct {
		Server  ServerID
		Address string
		Range   LayerRange
		// Expected is the number of orders that the replica must have accepted so far.
		Expected Sequence
		// Cut aborts the requests that use the unloaded layers, instead of waiting until they end.
		Cut bool
	}

	// ReplicaControl reads the state of replicas and sends them orders.
	//
	// Errors wrap ErrUnavailable if the call certainly had no effect, ErrConflict
	// if the replica's state does not allow it, ErrNotFound if the replica has no
	// such request, and ErrOutcomeUnknown otherwise.
	ReplicaControl interface {
		Report(ctx context.Context, id ServerID, address string) (ReplicaReport, error)
		Hold(ctx context.Context, o RangeOrder) error
		// Repath moves a running request to another path with the same first part. If another part refuses the
		// request and the replica names that part, the error is a *PartRefusedError.
		Repath(ctx context.Context, a AttemptID, p Path) error
	}

	// WaitError is the error of a call to a replica that refuses it and wants nothing from this VM for some time; it wraps
	// ErrUnavailable.
	WaitError struct{ Wait time.Duration }

	// PartRefusedError is the error of Repath if a part of the new path refuses the request; it wraps ErrConflict.
	PartRefusedError struct{ Address string }

	// CallHead holds the properties of a caller's request that its headers state.
	CallHead struct {
		Attempt AttemptID
		Key     string
		// Deadline is the time for which the caller waits; 0 means that the caller did not state it.
		Deadline time.Duration
		Model    ModelID
		// PromptTokens and MaxTokens are the sizes of a model request.
		PromptTokens int
		MaxTokens    int
		// ExpectedTokens is the caller's estimate of the answer's length; 0 means that the caller did not state it.
		ExpectedTokens int
		// LastEvent is the id of the last event that the caller received of a stream to resume; 0 means none.
		LastEvent uint64
		// Segments lists the parts of the prompt that other requests may share, in order; the last part of a prompt belongs to the
		// request alone and is not included.
		Segments []SegmentID
	}

	// Dispatch holds what the router states in the headers of a request that it sends to a replica.
	Dispatch struct {
		Team TeamID
		// Server is the only replica that may run the request.
		Server ServerID
		// TimeLeft is the time that the replica has to answer.
		TimeLeft time.Duration
		Path     Path
		// LastEvent is the event after which a stream resumes; 0 keeps the caller's value.
		LastEvent uint64
	}

	// AnswerHead holds the properties of a replica's answer that its status and headers state.
	AnswerHead struct {
		Attempt AttemptID
		// NotRun reports that the replica states that it did not run the request.
		NotRun bool
		// Stamped reports that the application of a replica sent the answer, not a proxy before it.
		Stamped bool
		// Fault is the address of the part that caused a refusal, or empty.
		Fault string
		// Running, Waiting and Slots are the replica's load if HasLoad is set.
		HasLoad bool
		Running int
		Waiting int
		Slots   int
		// Limit is the number of requests that the replica takes from all VMs together, if HasLimit is set.
		HasLimit bool
		Limit    RequestsPerSecond
		// Leaving reports that the replica is shutting down.
		Leaving bool
		// Wait is how long the replica, which turns the request away, wants nothing from this VM; 0 means that it did not say.
		Wait time.Duration
	}

	// Dialect reads and writes the headers that a platform uses between callers, router and replicas.
	Dialect interface {
		Call(h http.Header) (CallHead, error)
		// Dispatch changes the caller's headers into those for a replica.
		Dispatch(h http.Header, d Dispatch)
		// ProbeTarget returns the target of a GET request that any server of a pool answers, at once as far as the platform has such
		// a request. The pool is nil if it is not configured.
		ProbeTarget(p *Pool) string
		Answer(status int, h http.Header) AnswerHead
		// Refusal sets the headers of the router's own answer to a caller.
		Refusal(h http.Header, a AttemptID, retryAfter time.Duration)
	}
)

// Error returns a message with the time.
func (e *WaitError) Error() string { return "replica wants nothing for " + e.Wait.String() }

// Unwrap returns ErrUnavailable.
func (e *WaitError) Unwrap() error { return ErrUnavailable }

// Error returns a message with the address of the part.
func (e *PartRefusedError) Error() string { return "part " + e.Address + " does not take the request" }

// Unwrap returns ErrConflict.
func (e *PartRefusedError) Unwrap() error { return ErrConflict }

// WaitsFor returns the address of the part that a request waits for, or "" if it does not wait.
func (r *ReplicaReport) WaitsFor(a AttemptID) string {
	for _, s := range r.Stalled {
		if s.Attempt == a {
			return s.Address
		}
	}
	return ""
}

// Servers returns the servers of the path in order.
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

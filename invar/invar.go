package invar

import (
	"fmt"
	"log/slog"
	"sync"
)

// Name identifies an invariant.
type Name string

const (
	// LayerCoverage holds if the receipts of each token cover all layers once and in order.
	LayerCoverage Name = "LayerCoverage"
	// AnswerOwnership holds if each caller gets the whole answer to its own request and no other answer.
	AnswerOwnership Name = "AnswerOwnership"
	// NotRunIsTrue holds if no byte of a call reported as not run could have reached a server.
	NotRunIsTrue Name = "NotRunIsTrue"
	// AtMostOnce holds if a non-idempotent call is sent at most once.
	AtMostOnce Name = "AtMostOnce"
	// NoNewWorkToLeaving holds if a leaving server gets no new work after the grace period.
	NoNewWorkToLeaving Name = "NoNewWorkToLeaving"
	// GracefulStop holds if a planned stop cuts no request in flight.
	GracefulStop Name = "GracefulStop"
	// GenerationMonotonic holds if a VM never replaces a document by one of an older generation.
	GenerationMonotonic Name = "GenerationMonotonic"
)

// Names lists all invariants.
var Names = []Name{
	LayerCoverage, AnswerOwnership, NotRunIsTrue, AtMostOnce,
	NoNewWorkToLeaving, GracefulStop, GenerationMonotonic,
}

type (
	// Violation describes one violation of an invariant.
	Violation struct {
		Invariant Name
		Detail    string
	}

	// Recorder logs and collects violations; the zero value is ready to use, and nil only logs.
	Recorder struct {
		// OnViolation is called for each violation if it is not nil, for example to count it or to stop a test.
		OnViolation func(Violation)

		mu    sync.Mutex
		found []Violation
	}
)

// Error describes the violation.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Invariant, v.Detail)
}

// Check records a violation of the invariant unless ok, and returns ok.
func (r *Recorder) Check(ok bool, n Name, format string, args ...any) bool {
	if ok {
		return true
	}
	v := Violation{Invariant: n, Detail: fmt.Sprintf(format, args...)}
	slog.Error("invariant violated", "invariant", n, "detail", v.Detail)
	if r == nil {
		return false
	}
	r.mu.Lock()
	r.found = append(r.found, v)
	f := r.OnViolation
	r.mu.Unlock()
	if f != nil {
		f(v)
	}
	return false
}

// Found returns the violations recorded so far.
func (r *Recorder) Found() []Violation {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.found...)
}

package call

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/order"
	"github.com/teaselstream/teaselstream/wire"
)

// maxAttempts is the most replicas that one idempotent call is sent to.
const maxAttempts = 3

type (
	// Options configures a Handler.
	Options struct {
		// Snapshot returns the current control state; calls get CodeNoRoute while it returns nil.
		Snapshot func() *teaselstream.Snapshot
		// Service sends calls to the replicas.
		Service teaselstream.Service
		// Store holds the claims of non-idempotent calls; if it is nil, such calls are refused before they are sent.
		Store teaselstream.Store
		VM    teaselstream.VMID
		// Incarnation must be higher than in every earlier process of the same VM.
		Incarnation teaselstream.Incarnation
		// SendPeer sends a message to another VM; an error guarantees that the message was not sent. It may be nil.
		SendPeer func(teaselstream.VMID, wire.Message) error
		// Invariants records violations of invariants; Faults injects faults for mutation tests.
		Invariants *invar.Recorder
		Faults     invar.Faults
		// MayRetry takes a retry from the VM's retry budget; nil allows every retry.
		MayRetry func() bool
		// Report receives the result of each call to a server, with a nil error for success. It may be nil.
		Report func(teaselstream.ServerID, error)
		// Rand breaks ties between replicas; nil means a source with a random seed.
		Rand teaselstream.Rand
	}

	// Handler routes calls to plain services; it is safe for concurrent use.
	Handler struct {
		options  Options
		inFlight inFlightCounts
		runner   *runner
	}

	// lockedRand makes a source of random numbers safe for concurrent use.
	lockedRand struct {
		mu  sync.Mutex
		src teaselstream.Rand
	}
)

// New returns a handler; Close releases its resources.
func New(o Options) *Handler {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	o.Rand = &lockedRand{src: o.Rand}
	h := &Handler{options: o}
	if o.Store != nil {
		h.runner = newRunner(h)
	}
	return h
}

// Orders returns the number of callers that wait for non-idempotent calls and of queued messages about such calls, or 1 if
// only writes of their records are unfinished.
func (h *Handler) Orders() int {
	if h.runner == nil {
		return 0
	}
	return h.runner.openOrders()
}

// WaitForOrders waits until all non-idempotent calls have ended and their records are written.
func (h *Handler) WaitForOrders(ctx context.Context) error {
	for h.Orders() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("settle orders: %w", ctx.Err())
		case <-time.After(idleTick):
		}
	}
	return nil
}

// Close stops the handler; waiting calls end with CodeStopping.
func (h *Handler) Close() {
	if h.runner != nil {
		h.runner.stop()
		<-h.runner.done
	}
}

// Handle carries out one call until its deadline. Its errors are of type *teaselstream.Error.
func (h *Handler) Handle(ctx context.Context, c teaselstream.ServiceCall, t teaselstream.TeamID, v teaselstream.ServiceID, deadline time.Time) (teaselstream.ServiceAnswer, error) {
	var none teaselstream.ServiceAnswer
	s := h.options.Snapshot()
	if s == nil || s.Document == nil {
		return none, refusal(teaselstream.CodeNoRoute, "no document is in force yet")
	}
	spec, ok := s.Document.Services[v]
	if !ok {
		return none, refusal(teaselstream.CodeUnknownService, "the document has no such service")
	}
	if order.Idempotent(spec.Idempotent, c) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		return h.callWithRetries(ctx, c, spec)
	}
	// The state machine of package order ends the call at its deadline, because only it knows the outcome then.
	return h.callOnce(ctx, c, t, spec, deadline)
}

// callWithRetries sends an idempotent call to one replica after another until one answers or a limit is reached.
func (h *Handler) callWithRetries(ctx context.Context, c teaselstream.ServiceCall, spec teaselstream.ServiceSpec) (teaselstream.ServiceAnswer, error) {
	outcome := teaselstream.NotRun
	var last error
	tried := make(map[teaselstream.ServerID]bool, maxAttempts)
	for n := 0; n < maxAttempts && ctx.Err() == nil; n++ {
		if n > 0 && h.options.MayRetry != nil && !h.options.MayRetry() {
			break
		}
		w, ok := h.inFlight.pick(h.options.Snapshot(), spec.Name, h.options.Rand, tried)
		if !ok {
			break
		}
		tried[w.Name] = true
		a, err := h.callServer(ctx, w, c, spec.Timeout)
		if err == nil {
			return a, nil
		}
		if !errors.Is(err, teaselstream.ErrUnavailable) {
			outcome = teaselstream.Unknown
		}
		last = err
	}
	return teaselstream.ServiceAnswer{}, noAnswerError(ctx, outcome, last)
}

// callServer sends a call to one server that pick has chosen, and ends its count when the call returns.
func (h *Handler) callServer(ctx context.Context, w teaselstream.ServerView, c teaselstream.ServiceCall, timeout time.Duration) (teaselstream.ServiceAnswer, error) {
	defer h.inFlight.finish(w.Name)
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	a, err := h.options.Service.Call(ctx, w.Address, c)
	if h.options.Report != nil && !errors.Is(err, context.Canceled) {
		h.options.Report(w.Name, err)
	}
	if err != nil {
		slog.Debug("service call failed", "server", w.Name, "request", c.Request, "error", err)
	}
	return a, err
}

// noAnswerError returns the error of a call for which no replica answered.
func noAnswerError(ctx context.Context, o teaselstream.Outcome, cause error) error {
	e := &teaselstream.Error{Code: teaselstream.CodeServerLost, Outcome: o, Message: "no replica answered", Cause: cause}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Code, e.Message = teaselstream.CodeDeadlineExceeded, "the deadline passed before a replica answered"
	case ctx.Err() != nil:
		e.Code, e.Message = teaselstream.CodeCanceled, "the caller went away"
	case cause == nil:
		e.Code, e.Message, e.RetryAfter = teaselstream.CodeNoRoute, "no replica of the service takes new work", time.Second
	}
	return e
}

func refusal(c teaselstream.Code, message string) error {
	return &teaselstream.Error{Code: c, Outcome: teaselstream.NotRun, Message: message}
}

// Float64 returns a number in [0, 1).
func (r *lockedRand) Float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.src.Float64()
}

// IntN returns a number in [0, n).
func (r *lockedRand) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.src.IntN(n)
}

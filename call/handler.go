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

// maxAttempts bounds the replicas that one idempotent call is sent to.
const maxAttempts = 3

type (
	// Options configures a Handler.
	Options struct {
		// Snapshot returns the current view of control state; nil is answered with NoRoute.
		Snapshot func() *teaselstream.Snapshot
		Service  teaselstream.Service
		// Store keeps the claims of non-idempotent calls; without it such calls are refused before they are sent.
		Store teaselstream.Store
		VM    teaselstream.VMID
		// Incarnation must be higher than that of every earlier run under the same name.
		Incarnation teaselstream.Incarnation
		// SendPeer passes a message to another VM; an error means that it was certainly not sent. It may be nil.
		SendPeer func(teaselstream.VMID, wire.Message) error
		// Invariants records violations, and Faults injects faults for mutant runs.
		Invariants *invar.Recorder
		Faults     invar.Faults
		// MayRetry draws on the VM's retry budget; nil allows every retry.
		MayRetry func() bool
		// Report is told of each use of a server, with nil for success; it may be nil.
		Report func(teaselstream.ServerID, error)
		// Rand breaks ties; nil uses a source with a random seed.
		Rand teaselstream.Rand
	}

	// Handler routes calls to plain services; it is safe for concurrent use.
	Handler struct {
		options Options
		load    outstanding
		shell   *shell
	}

	lockedRand struct {
		mu  sync.Mutex
		src teaselstream.Rand
	}
)

// New returns a handler.
func New(o Options) *Handler {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	o.Rand = &lockedRand{src: o.Rand}
	h := &Handler{options: o}
	if o.Store != nil {
		h.shell = newShell(h)
	}
	return h
}

// Orders returns the number of callers that wait for non-idempotent calls, or 1 if only records are unfinished.
func (h *Handler) Orders() int {
	if h.shell == nil {
		return 0
	}
	return h.shell.open()
}

// WaitForOrders waits until no call and no record of a call is unfinished.
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

// Close stops the handler; calls that wait end with CodeStopping.
func (h *Handler) Close() {
	if h.shell != nil {
		h.shell.stop()
		<-h.shell.done
	}
}

// Handle runs one call until the deadline. Its errors are *teaselstream.Error.
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
		return h.retrying(ctx, c, spec)
	}
	// The core ends the call at its deadline, with an outcome that a context could not tell.
	return h.once(ctx, c, t, spec, deadline)
}

// retrying sends an idempotent call to one replica after another until one answers.
func (h *Handler) retrying(ctx context.Context, c teaselstream.ServiceCall, spec teaselstream.ServiceSpec) (teaselstream.ServiceAnswer, error) {
	outcome := teaselstream.NotRun
	var last error
	tried := make(map[teaselstream.ServerID]bool, maxAttempts)
	for n := 0; n < maxAttempts && ctx.Err() == nil; n++ {
		if n > 0 && h.options.MayRetry != nil && !h.options.MayRetry() {
			break
		}
		w, ok := h.load.pick(h.options.Snapshot(), spec.Name, h.options.Rand, tried)
		if !ok {
			break
		}
		tried[w.Name] = true
		a, err := h.use(ctx, w, c, spec.Timeout)
		if err == nil {
			return a, nil
		}
		if !errors.Is(err, teaselstream.ErrUnavailable) {
			outcome = teaselstream.Unknown
		}
		last = err
	}
	return teaselstream.ServiceAnswer{}, failure(ctx, outcome, last)
}

// use sends a call to one server and keeps its count of calls in flight.
func (h *Handler) use(ctx context.Context, w teaselstream.ServerView, c teaselstream.ServiceCall, timeout time.Duration) (teaselstream.ServiceAnswer, error) {
	defer h.load.done(w.Name)
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

// failure returns the error of a call for which no replica answered.
func failure(ctx context.Context, o teaselstream.Outcome, cause error) error {
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

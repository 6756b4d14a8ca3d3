package serve

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/relay"
	"github.com/teaselstream/teaselstream/route"
)

type (
	// Options configures a Service.
	Options struct {
		// Snapshot returns the current control state, or nil before the first is known.
		Snapshot func() *teaselstream.Snapshot
		Engine   teaselstream.Engine
		Planner  teaselstream.Planner
		// Report receives events that show whether a server works; it may be nil.
		Report func(teaselstream.ServerID, relay.Event)
		// Latency receives the mean time between the tokens of each attempt; it may be nil.
		Latency func(Latency)
		// Prefixes receives the cache events of the servers in use; nil disables planning by cached prefixes.
		Prefixes *route.Prefixes
		// Budget limits the retries of the whole VM; nil allows every retry.
		Budget *admit.RetryBudget
		// SendBlameMessage sends commands of package blame to other VMs; nil means that this VM decides alone.
		SendBlameMessage func(teaselstream.Cmd)
		Meter            *meter.Meter
		Invariants       *invar.Recorder
		Faults           invar.Faults
	}

	// Service runs model requests; it is safe for concurrent use.
	Service struct {
		options        Options
		openSessions   atomic.Int64
		admissionQueue admissionQueue
		crashGuard     crashGuard
		stallTracker   stallTracker
		prefixes       prefixPoller
	}

	// Request is a caller's request after authentication.
	Request struct {
		ID      teaselstream.RequestID
		Team    teaselstream.Team
		Arrived time.Time
		// Model is "MODEL" or "MODEL:ADAPTER".
		Model     string
		Prompt    string
		MaxTokens int
		// Priority is used if HasPriority is set; otherwise the team's default applies.
		Priority    teaselstream.Priority
		HasPriority bool
		Worth       teaselstream.Worth
		// Seed is the same for all attempts; 0 selects a random one.
		Seed     uint64
		Deadline time.Time
		// Streamed means that each token is written as it arrives, so that a failed write shows that the caller has
		// disconnected.
		Streamed bool
		// Disconnected reports whether the caller has closed its connection; nil disables the check.
		Disconnected func() bool
	}
)

// ModelRequest returns the part of the request that is checked against a document.
func (r *Request) ModelRequest() admit.ModelRequest {
	return admit.ModelRequest{
		Model: r.Model, PromptBytes: teaselstream.Bytes(len(r.Prompt)), MaxTokens: r.MaxTokens,
		Priority: r.Priority, HasPriority: r.HasPriority,
	}
}

// New returns a service; the caller must also start Run.
func New(o Options) *Service {
	return &Service{options: o, crashGuard: crashGuard{send: o.SendBlameMessage}, stallTracker: stallTracker{report: o.Report}}
}

// Run sends ticks to the admission queue and the crash guard, and polls for cache events, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	if s.options.Prefixes != nil {
		// Calls for cache events can be slow, so they run on a goroutine of their own and do not delay the ticks.
		var wait sync.WaitGroup
		defer wait.Wait()
		wait.Go(func() { s.prefixes.run(ctx, &s.options) })
	}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			snap := s.options.Snapshot()
			s.admissionQueue.tick(now, snap)
			s.crashGuard.tick(now, snap)
		}
	}
}

// InFlight returns the number of open sessions.
func (s *Service) InFlight() int { return int(s.openSessions.Load()) }

// Open starts a request; an error is a *teaselstream.Error. The caller must close the session.
func (s *Service) Open(r Request) (*Session, error) {
	snap := s.options.Snapshot()
	if snap == nil || snap.Document == nil {
		return nil, newRefusal(teaselstream.CodeNoRoute, "no document is in force yet")
	}
	c, err := s.config(r, snap.Document)
	if err != nil {
		return nil, err
	}
	if s.options.Budget != nil {
		s.options.Budget.Request()
	}
	s.openSessions.Add(1)
	n := newSession(s, r, c)
	n.enqueue(time.Now(), snap, c)
	return n, nil
}

func (s *Service) config(r Request, d *teaselstream.Document) (relay.Config, error) {
	var none relay.Config
	t, err := admit.Resolve(d, r.Team, r.ModelRequest())
	if err != nil {
		return none, err
	}
	m := t.Model
	if !r.Deadline.IsZero() && !r.Deadline.After(r.Arrived) {
		return none, newRefusal(teaselstream.CodeDeadlineExceeded, "the deadline passed before the request arrived")
	}
	q := teaselstream.StreamRequest{
		Request: r.ID, Model: m.Name, Version: m.Version, Adapter: t.Adapter, Prompt: r.Prompt,
		MaxTokens: t.MaxTokens, Priority: t.Priority, Seed: r.Seed,
	}
	if q.Seed == 0 {
		q.Seed = rand.Uint64()
	}
	var prefixes []teaselstream.Digest
	if s.options.Prefixes != nil {
		prefixes = prefixesOf(m.Name, r.Prompt)
	}
	return relay.Config{
		Request: q, Prefixes: prefixes, Layers: m.Layers, PromptTokens: admit.PromptTokens(teaselstream.Bytes(len(r.Prompt))), Deadline: deadline(r, d),
		Plan: func(now time.Time, p teaselstream.PlanRequest) (teaselstream.Plan, bool) {
			return s.options.Planner.Plan(now, s.options.Snapshot(), p)
		},
		MayRetry: s.mayRetry, Invariants: s.options.Invariants, Faults: s.options.Faults,
	}, nil
}

func (s *Service) mayRetry(time.Time) bool {
	return s.options.Budget == nil || s.options.Budget.Retry()
}

func deadline(r Request, d *teaselstream.Document) time.Time {
	if r.Deadline.IsZero() && d.Limits.DefaultDeadline > 0 {
		return r.Arrived.Add(d.Limits.DefaultDeadline)
	}
	return r.Deadline
}

func newRefusal(c teaselstream.Code, message string) error {
	return &teaselstream.Error{Code: c, Outcome: teaselstream.NotRun, Message: message}
}

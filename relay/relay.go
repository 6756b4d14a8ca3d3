package relay

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

type (
	// Config is the fixed part of a request; zero durations and counts take defaults.
	Config struct {
		// Request is sent with each attempt; the relay fills in Attempt, Emitted and Chain.
		Request      teaselstream.StreamRequest
		Layers       teaselstream.Layer
		PromptTokens int
		Prefixes     []teaselstream.Digest
		// Deadline ends the request with an error; the zero time means none.
		Deadline time.Time
		// Plan chooses chains; it must be deterministic in tests.
		Plan func(now time.Time, r teaselstream.PlanRequest) (teaselstream.Plan, bool)
		// MayRetry charges the retry budget for an attempt that follows a loss before the first token; nil allows all.
		MayRetry func(now time.Time) bool
		// MaxAttempts bounds the attempts in a row that are lost without a new token.
		MaxAttempts int
		// StallTimeout is the time without progress after which a stage counts as lost.
		StallTimeout time.Duration
		// RouteTimeout bounds the wait for a chain when a resumed stream has none.
		RouteTimeout time.Duration
		// MoveAfter is how long a leaving server keeps a stream before its range is moved by export.
		MoveAfter  time.Duration
		Invariants *invar.Recorder
		Faults     invar.Faults
	}

	// Counts are the frames that were dropped, by reason.
	Counts struct {
		// Stale frames belong to an older attempt, another request or an ended one.
		Stale int
		// Duplicate frames repeat a sequence number or a token.
		Duplicate int
		// Reordered frames came early and were held back.
		Reordered int
	}

	// Relay is the core of one request; use New.
	Relay struct {
		config Config
		counts Counts
		state  state
		cmds   []teaselstream.Cmd
		emit   EmitToken

		emitted []string
		attempt teaselstream.Attempt
		// fruitless counts the attempts lost in a row without a new token.
		fruitless int
		plan      teaselstream.Plan
		avoid     map[teaselstream.ServerID]bool
		// opened counts attempts of which a byte may have reached a server.
		opened   int
		sequence teaselstream.Sequence
		// received counts the tokens of the current attempt.
		received int
		progress time.Time
		probed   bool
		silent   []teaselstream.ServerID
		held     []teaselstream.Msg
		// waitSince is when the wait for a chain began; zero means that there is none.
		waitSince time.Time
		exports   map[teaselstream.ServerID]*export
	}

	export struct {
		since    time.Time
		name     string
		tokens   teaselstream.TokenIndex
		asked    int
		inFlight bool
	}

	state uint8
)

const (
	idle state = iota
	streaming
	// waiting has no chain and plans again on each tick.
	waiting
	paused
	ended
)

const (
	defaultMaxAttempts = 6
	defaultStall       = time.Second
	defaultRouteWait   = 5 * time.Second
	// defaultMoveAfter lets most streams end where they are; a platform gives a leaving server longer than that.
	defaultMoveAfter = 5 * time.Second
	// forgetAfter is the wait for a chain after which lost servers are tried again; by then
	// the control side has judged them, and a server that restarted is back.
	forgetAfter = time.Second
	// probeShare of the stall limit leaves time for the probes' answers before the limit.
	probeShare = 0.7
	// maxHeld bounds the frames that are held back for a missing one.
	maxHeld = 16
	// freshTokens is how far an exported cache may lag behind the answer: a prefill of that
	// many tokens takes about as long as one decoding step.
	freshTokens = 32
)

// New returns a relay that waits for Start.
func New(c Config) *Relay {
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.StallTimeout == 0 {
		c.StallTimeout = defaultStall
	}
	if c.RouteTimeout == 0 {
		c.RouteTimeout = defaultRouteWait
	}
	if c.MoveAfter == 0 {
		c.MoveAfter = defaultMoveAfter
	}
	return &Relay{config: c}
}

// Counts returns the dropped frames so far.
func (r *Relay) Counts() Counts { return r.counts }

// Emitted returns the tokens given to the caller so far.
func (r *Relay) Emitted() []string { return r.emitted }

// Attempt returns the number of the current attempt, 0 before Start.
func (r *Relay) Attempt() teaselstream.Attempt { return r.attempt }

// Chain returns the chain of the current attempt.
func (r *Relay) Chain() []teaselstream.Hop { return r.plan.Chain }

// Update applies one message; the commands are valid until the next call.
//
// Token events are passed as *teaselstream.TokenEvent so that no token allocates.
func (r *Relay) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	r.cmds = r.cmds[:0]
	if r.state == ended {
		r.countLate(m)
		return nil
	}
	switch m := m.(type) {
	case *teaselstream.TokenEvent:
		r.token(now, m)
	case teaselstream.DoneEvent:
		r.done(now, m)
	case teaselstream.LostEvent:
		r.lost(now, m)
	case StreamFailed:
		r.failed(now, m)
	case KeepAlive:
		if r.state == streaming && m.Attempt == r.attempt {
			r.progress = now
		}
	case teaselstream.Tick:
		r.tick(now)
	case CacheExported:
		r.exported(now, m)
	case ServerLeaving:
		r.leaving(now, m.Server)
	case ProbeResult:
		if m.Attempt == r.attempt {
			r.silent = m.Silent
		}
	default:
		r.control(now, m)
	}
	return r.cmds
}

func (r *Relay) control(now time.Time, m teaselstream.Msg) {
	switch m := m.(type) {
	case Start:
		if m.Priority != 0 {
			r.config.Request.Priority = m.Priority
		}
		if r.state == idle {
			r.open(now, nil)
		}
	case CallerDisconnected:
		r.fail(teaselstream.CodeCanceled, "the caller closed the connection", 0)
	case Refuse:
		if m.NotSent && r.state == streaming {
			r.opened--
		}
		r.fail(m.Code, m.Message, m.RetryAfter)
	case Preempted:
		r.cancel()
		r.state = paused
	case Resume:
		if r.state == paused {
			r.open(now, nil)
		}
	}
}

func (r *Relay) tick(now time.Time) {
	if d := r.config.Deadline; !d.IsZero() && !now.Before(d) {
		r.fail(teaselstream.CodeDeadlineExceeded, "the deadline passed", 0)
		return
	}
	switch r.state {
	case streaming:
		r.checkStall(now)
	case waiting:
		r.open(now, nil)
	}
}

func (r *Relay) put(c teaselstream.Cmd) { r.cmds = append(r.cmds, c) }

package relay

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

type (
	// Config describes a request and its limits; zero durations and counts mean defaults.
	Config struct {
		// Request is sent with each attempt; the relay sets Attempt, Emitted and Chain.
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
		// StallTimeout is the time without progress after which servers of the chain are replaced.
		StallTimeout time.Duration
		// RouteTimeout bounds the wait for a chain after the first attempt.
		RouteTimeout time.Duration
		// MoveAfter is the time for which a leaving server keeps a stream before its layers move to another server.
		MoveAfter  time.Duration
		Invariants *invar.Recorder
		Faults     invar.Faults
	}

	// Counts counts the frames that were dropped or came out of order.
	Counts struct {
		// Stale frames belong to an older attempt, to another request or to an ended request.
		Stale int
		// Duplicate frames repeat a sequence number or a token.
		Duplicate int
		// Reordered frames came before an earlier one and were held back.
		Reordered int
	}

	// Relay is the state machine of one request; New returns one.
	Relay struct {
		config   Config
		counts   Counts
		state    state
		cmds     []teaselstream.Cmd
		tokenCmd EmitToken

		emitted []string
		attempt teaselstream.Attempt
		// attemptsWithoutToken counts the attempts that failed in a row without a new token.
		attemptsWithoutToken int
		plan                 teaselstream.Plan
		avoid                map[teaselstream.ServerID]bool
		// sentAttempts counts attempts of which a byte may have reached a server.
		sentAttempts int
		sequence     teaselstream.Sequence
		// received counts the tokens of the current attempt.
		received     int
		lastProgress time.Time
		probed       bool
		silent       []teaselstream.ServerID
		// nextStallCheck is when an attempt that goes on although it has stalled is checked again; zero means that it has not stalled.
		nextStallCheck time.Time
		heldFrames     []teaselstream.Msg
		// waitingSince is when the wait for a chain began; zero means that there is none.
		waitingSince time.Time
		exports      map[teaselstream.ServerID]*export
	}

	// export is the state of the cache exports from one leaving server.
	export struct {
		leavingSince    time.Time
		name            string
		tokens          teaselstream.TokenIndex
		requestedTokens int
		inFlight        bool
	}

	state uint8
)

const (
	idle state = iota
	streaming
	// waiting means that no chain is available; each tick plans again.
	waiting
	paused
	ended
)

const (
	defaultMaxAttempts  = 6
	defaultStallTimeout = time.Second
	defaultRouteTimeout = 5 * time.Second
	// defaultMoveAfter lets most streams end where they are; platforms give a leaving server more time than this.
	defaultMoveAfter = 5 * time.Second
	// retryLostAfter is the wait for a chain after which lost servers may be used again. By then the
	// health checks have marked the dead ones, and a server that restarted is back.
	retryLostAfter = time.Second
	// probeFraction of StallTimeout passes before the chain is probed; before the first token, twice the planned time to it is
	// added. The rest of StallTimeout is time for the answers.
	probeFraction = 0.7
	// maxHeldFrames bounds the frames that are held back until a missing one arrives.
	maxHeldFrames = 16
	// maxExportLag is the number of tokens by which an export may lag behind the answer: a prefill of
	// that many tokens takes about as long as one decoding step.
	maxExportLag = 32
)

// New returns a relay that waits for Start.
func New(c Config) *Relay {
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.StallTimeout == 0 {
		c.StallTimeout = defaultStallTimeout
	}
	if c.RouteTimeout == 0 {
		c.RouteTimeout = defaultRouteTimeout
	}
	if c.MoveAfter == 0 {
		c.MoveAfter = defaultMoveAfter
	}
	return &Relay{config: c}
}

// Counts returns the counts so far.
func (r *Relay) Counts() Counts { return r.counts }

// Emitted returns the tokens that were delivered to the caller so far.
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
		r.countLateFrame(m)
		return nil
	}
	switch m := m.(type) {
	case *teaselstream.TokenEvent:
		r.handleToken(now, m)
	case teaselstream.DoneEvent:
		r.handleDone(now, m)
	case teaselstream.LostEvent:
		r.handleLost(now, m)
	case StreamFailed:
		r.handleStreamFailed(now, m)
	case KeepAlive:
		if r.state == streaming && m.Attempt == r.attempt {
			r.noteProgress(now)
		}
	case teaselstream.Tick:
		r.handleTick(now)
	case CacheExported:
		r.handleExported(now, m)
	case ServerLeaving:
		r.handleLeaving(now, m.Server)
	case ProbeResult:
		// A result that comes after a sign of life is older than that.
		if m.Attempt == r.attempt && r.probed {
			r.silent = m.Silent
		}
	default:
		r.handleControl(now, m)
	}
	return r.cmds
}

func (r *Relay) handleControl(now time.Time, m teaselstream.Msg) {
	switch m := m.(type) {
	case Start:
		if m.Priority != 0 {
			r.config.Request.Priority = m.Priority
		}
		if r.state == idle {
			r.openAttempt(now, nil)
		}
	case CallerDisconnected:
		r.finishWithError(teaselstream.CodeCanceled, "the caller closed the connection", 0)
	case Refuse:
		if m.NotSent && r.state == streaming {
			r.sentAttempts--
		}
		r.finishWithError(m.Code, m.Message, m.RetryAfter)
	case Preempted:
		r.cancelAttempt()
		r.state = paused
	case Resume:
		if r.state == paused {
			r.openAttempt(now, nil)
		}
	}
}

func (r *Relay) handleTick(now time.Time) {
	if d := r.config.Deadline; !d.IsZero() && !now.Before(d) {
		r.finishWithError(teaselstream.CodeDeadlineExceeded, "the deadline passed", 0)
		return
	}
	switch r.state {
	case streaming:
		r.checkStall(now)
	case waiting:
		r.openAttempt(now, nil)
	}
}

// noteProgress records a sign of life of the current attempt, which makes the result of an earlier probe worthless.
func (r *Relay) noteProgress(now time.Time) {
	r.lastProgress = now
	r.probed, r.silent = false, nil
}

func (r *Relay) command(c teaselstream.Cmd) { r.cmds = append(r.cmds, c) }

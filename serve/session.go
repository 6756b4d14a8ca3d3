package serve

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/blame"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/relay"
)

// tickPeriod is the maximum delay with which deadlines and stalls are detected.
const tickPeriod = 100 * time.Millisecond

type (
	// Session is one running request. It belongs to one goroutine; others may use only its mailbox.
	Session struct {
		service         *Service
		request         Request
		relay           *relay.Relay
		class           *meter.Class
		plan            teaselstream.Plan
		planStarted     bool
		lastTick        time.Time
		lastToken       time.Time
		tokenTiming     tokenTiming
		tokens          []string
		next            int
		finish          *relay.Finish
		leavingNotified map[teaselstream.ServerID]bool
		closed          bool

		fingerprint blame.Fingerprint
		admittedAt  time.Time
		// pendingAttempt waits for the crash guard's permission to start. startCheckAt is the time to ask again; it is zero
		// while an answer is outstanding.
		pendingAttempt *relay.OpenStream
		startCheckAt   time.Time
		// reportsProgress means that each token of this request is reported to the crash guard.
		reportsProgress bool

		mailbox mailbox
	}

	// mailbox queues messages from other goroutines and wakes the session.
	mailbox struct {
		mu       sync.Mutex
		messages []teaselstream.Msg
		// stream is the open engine stream, or nil; only the session's goroutine sets it.
		stream teaselstream.EngineStream
		wake   chan struct{}
	}
)

func newSession(s *Service, r Request, c relay.Config) *Session {
	n := &Session{
		service: s, request: r, relay: relay.New(c), lastToken: r.Arrived,
		class:   s.options.Meter.Class(r.Team.Name, c.Request.Priority),
		mailbox: mailbox{wake: make(chan struct{}, 1)},
	}
	n.fingerprint = blame.FingerprintOf(c.Request.Model, c.Request.Prompt, c.Request.Adapter)
	return n
}

// Next returns the next token; ok is false at the end of a complete answer and with an error.
//
// An error is a *teaselstream.Error and ends the session's answer.
func (n *Session) Next() (text string, ok bool, err error) {
	for n.next == len(n.tokens) {
		if n.finish != nil {
			return "", false, n.finishError()
		}
		n.tokens, n.next = n.tokens[:0], 0
		n.step()
	}
	text = n.tokens[n.next]
	n.next++
	return text, true, nil
}

// Buffered reports whether Next can return without waiting for an engine.
func (n *Session) Buffered() bool {
	if n.next < len(n.tokens) || n.finish != nil {
		return true
	}
	return n.mailbox.stream != nil && n.mailbox.stream.Buffered()
}

// Reason returns the engine's reason for the end of a complete answer, such as "stop", or "" before the end.
func (n *Session) Reason() string {
	if n.finish == nil {
		return ""
	}
	return n.finish.Reason
}

// Tokens returns the number of tokens emitted so far.
func (n *Session) Tokens() int { return len(n.relay.Emitted()) }

// Attempts returns the number of attempts made so far.
func (n *Session) Attempts() int { return int(n.relay.Attempt()) }

// Close ends the session; a request that has not ended is canceled as if its caller had disconnected.
func (n *Session) Close() error {
	if n.closed {
		return nil
	}
	n.closed = true
	if n.finish == nil {
		n.apply(time.Now(), relay.CallerDisconnected{})
	}
	n.closeStream()
	n.service.openSessions.Add(-1)
	return nil
}

func (n *Session) finishError() error {
	f := n.finish
	if f.Code == "" {
		return nil
	}
	return &teaselstream.Error{Code: f.Code, Outcome: f.Outcome, Message: f.Message, RetryAfter: f.RetryAfter}
}

// step waits for one message from the mailbox or the engine stream, for at most tickPeriod, and handles it.
func (n *Session) step() {
	if m := n.mailbox.take(); m != nil {
		n.handleMessage(time.Now(), m)
		return
	}
	stream := n.mailbox.stream
	if stream == nil {
		n.mailbox.wait(tickPeriod)
		n.handleIdle(time.Now())
		return
	}
	m, err := stream.Next(tickPeriod)
	now := time.Now()
	switch m.(type) {
	case teaselstream.Tick:
		n.handleIdle(now)
		return
	case teaselstream.StreamKeepAlive:
		m = relay.KeepAlive{Attempt: n.relay.Attempt()}
	}
	if err != nil {
		n.closeStream()
		m = relay.StreamFailed{Attempt: n.relay.Attempt(), Err: err}
	}
	n.apply(now, m)
	if now.Sub(n.lastTick) < tickPeriod || n.finish != nil {
		return
	}
	if n.request.Streamed || !n.endIfDisconnected(now) {
		n.tick(now)
	}
}

// handleIdle runs after a wait that ended without a message.
func (n *Session) handleIdle(now time.Time) {
	if !n.endIfDisconnected(now) {
		n.tick(now)
	}
}

// endIfDisconnected ends the request and returns true if the caller has closed its connection.
func (n *Session) endIfDisconnected(now time.Time) bool {
	if n.request.Disconnected == nil || !n.request.Disconnected() {
		return false
	}
	n.apply(now, relay.CallerDisconnected{})
	return true
}

// tick handles what no message announces: the passage of time and servers that are leaving.
func (n *Session) tick(now time.Time) {
	n.lastTick = now
	n.keepPendingAlive(now)
	n.notifyLeaving(now)
	n.apply(now, teaselstream.Tick{})
}

func (n *Session) notifyLeaving(now time.Time) {
	s := n.service.options.Snapshot()
	for _, h := range n.relay.Chain() {
		if v, ok := s.Servers[h.Server]; !ok || v.State != teaselstream.Leaving || n.leavingNotified[h.Server] {
			continue
		}
		if n.leavingNotified == nil {
			n.leavingNotified = make(map[teaselstream.ServerID]bool)
		}
		n.leavingNotified[h.Server] = true
		n.apply(now, relay.ServerLeaving{Server: h.Server})
	}
}

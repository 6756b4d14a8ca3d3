package serve

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/blame"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/relay"
)

// tickPeriod bounds how late deadlines and stalls are noticed.
const tickPeriod = 100 * time.Millisecond

type (
	// Session is one running request; only its mailbox may be used by other goroutines.
	Session struct {
		service *Service
		request Request
		relay   *relay.Relay
		class   *meter.Class
		plan    teaselstream.Plan
		started bool
		ticked  time.Time
		last    time.Time
		timing  timing
		tokens  []string
		next    int
		finish  *relay.Finish
		told    map[teaselstream.ServerID]bool
		closed  bool

		fingerprint blame.Fingerprint
		admittedAt  time.Time
		// pending is an attempt that waits for permission; askAt is when to ask again, zero if an answer is due.
		pending *relay.OpenStream
		askAt   time.Time
		// alone means that the crash guard wants to know the progress of this request.
		alone bool

		mailbox mailbox
	}

	// mailbox takes messages from other goroutines and wakes the session.
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
		service: s, request: r, relay: relay.New(c), last: r.Arrived,
		class:   s.options.Meter.Class(r.Team.Name, c.Request.Priority),
		mailbox: mailbox{wake: make(chan struct{}, 1)},
	}
	n.fingerprint = blame.FingerprintOf(c.Request.Model, c.Request.Prompt, c.Request.Adapter)
	return n
}

// Next returns the next token; ok is false at the end of a complete answer.
//
// An error is a *teaselstream.Error and final.
func (n *Session) Next() (text string, ok bool, err error) {
	for n.next == len(n.tokens) {
		if n.finish != nil {
			return "", false, n.failure()
		}
		n.tokens, n.next = n.tokens[:0], 0
		n.step()
	}
	text = n.tokens[n.next]
	n.next++
	return text, true, nil
}

// Buffered reports whether Next would return without waiting for an engine.
func (n *Session) Buffered() bool {
	if n.next < len(n.tokens) || n.finish != nil {
		return true
	}
	return n.mailbox.stream != nil && n.mailbox.stream.Buffered()
}

// Reason returns why a complete answer ended.
func (n *Session) Reason() string {
	if n.finish == nil {
		return ""
	}
	return n.finish.Reason
}

// Tokens returns the number of tokens given out so far.
func (n *Session) Tokens() int { return len(n.relay.Emitted()) }

// Attempts returns the number of attempts so far.
func (n *Session) Attempts() int { return int(n.relay.Attempt()) }

// Close ends the session; a request that has not ended counts as given up by its caller.
func (n *Session) Close() error {
	if n.closed {
		return nil
	}
	n.closed = true
	if n.finish == nil {
		n.apply(time.Now(), relay.CallerGone{})
	}
	n.closeStream()
	n.service.open.Add(-1)
	return nil
}

func (n *Session) failure() error {
	f := n.finish
	if f.Code == "" {
		return nil
	}
	return &teaselstream.Error{Code: f.Code, Outcome: f.Outcome, Message: f.Message, RetryAfter: f.RetryAfter}
}

// step waits for one message and applies it.
func (n *Session) step() {
	if m := n.mailbox.take(); m != nil {
		n.receive(time.Now(), m)
		return
	}
	stream := n.mailbox.stream
	if stream == nil {
		n.mailbox.wait(tickPeriod)
		n.idle(time.Now())
		return
	}
	m, err := stream.Next(tickPeriod)
	now := time.Now()
	switch m.(type) {
	case teaselstream.Tick:
		n.idle(now)
		return
	case teaselstream.StreamAlive:
		m = relay.Progress{Attempt: n.relay.Attempt()}
	}
	if err != nil {
		n.closeStream()
		m = relay.StreamFailed{Attempt: n.relay.Attempt(), Err: err}
	}
	n.apply(now, m)
	if now.Sub(n.ticked) < tickPeriod || n.finish != nil {
		return
	}
	if n.request.Streamed || !n.left(now) {
		n.tick(now)
	}
}

// idle handles a wait that ended without a message.
func (n *Session) idle(now time.Time) {
	if !n.left(now) {
		n.tick(now)
	}
}

// left ends the request if its caller has closed its connection.
func (n *Session) left(now time.Time) bool {
	if n.request.Disconnected == nil || !n.request.Disconnected() {
		return false
	}
	n.apply(now, relay.CallerGone{})
	return true
}

// tick applies what no message announces: time and servers that leave.
func (n *Session) tick(now time.Time) {
	n.ticked = now
	n.keepPending(now)
	n.noteLeaving(now)
	n.apply(now, teaselstream.Tick{})
}

func (n *Session) noteLeaving(now time.Time) {
	s := n.service.options.Snapshot()
	for _, h := range n.relay.Chain() {
		if v, ok := s.Servers[h.Server]; !ok || v.State != teaselstream.Leaving || n.told[h.Server] {
			continue
		}
		if n.told == nil {
			n.told = make(map[teaselstream.ServerID]bool)
		}
		n.told[h.Server] = true
		n.apply(now, relay.ServerLeaving{Server: h.Server})
	}
}

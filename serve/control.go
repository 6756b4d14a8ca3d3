package serve

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/blame"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/relay"
)

// prefillTokens is the number of prompt tokens that cost about as much as one token of the answer.
const prefillTokens = 64

// arrive offers the session to admission; nothing is planned before it is admitted.
func (n *Session) arrive(now time.Time, s *teaselstream.Snapshot, c relay.Config) {
	n.service.gate.arrive(now, s, n, admit.Arrive{
		Request: n.request.ID, Team: n.request.Team.Name, Priority: c.Request.Priority, Worth: n.request.Worth,
		Cost: float64(c.Request.MaxTokens) + float64(c.PromptTokens)/prefillTokens, Deadline: c.Deadline,
	})
}

// receive applies a message of the mailbox.
func (n *Session) receive(now time.Time, m teaselstream.Msg) {
	switch m := m.(type) {
	case admit.Admit:
		n.admitted(now, m.Priority)
	case admit.Refuse:
		n.apply(now, relay.Refuse{Code: m.Code, Message: "the VM has no capacity for the request now", RetryAfter: m.RetryAfter})
	case admit.Preempt:
		n.service.options.Meter.Count(meter.Preempted, 1)
		n.apply(now, relay.Preempted{})
	case blame.Run:
		n.alone = m.Alone
		if c := n.pending; c != nil {
			n.pending = nil
			n.openStream(now, *c)
		}
	case blame.Wait:
		n.askAt = now.Add(m.RetryAfter)
	case askAgain:
		if n.pending != nil && !n.askAt.IsZero() {
			n.askToRun(now)
		}
	case blame.Refuse:
		n.apply(now, relay.Refuse{
			Code: m.Code, Message: "requests with this content have crashed servers", NotSent: n.pending != nil,
		})
	default:
		n.apply(now, m)
	}
}

func (n *Session) admitted(now time.Time, p teaselstream.Priority) {
	if !n.admittedAt.IsZero() {
		n.apply(now, relay.Resume{})
		return
	}
	n.admittedAt = now
	n.class.QueueWait(now.Sub(n.request.Arrived))
	n.apply(now, relay.Start{Priority: p})
}

// askToRun asks whether the content of the request may run on the servers of the pending attempt.
func (n *Session) askToRun(now time.Time) {
	n.askAt = time.Time{}
	m := blame.CheckStart{Request: n.request.ID, Fingerprint: n.fingerprint}
	for _, h := range n.pending.Plan.Chain {
		m.Servers = append(m.Servers, h.Server)
	}
	n.service.guard.ask(now, n, m)
}

// keepPending keeps an attempt that waits for permission from counting as stalled, and asks again when it is due.
func (n *Session) keepPending(now time.Time) {
	if n.pending == nil {
		return
	}
	n.apply(now, relay.KeepAlive{Attempt: n.pending.Request.Attempt})
	if !n.askAt.IsZero() && !now.Before(n.askAt) {
		n.askToRun(now)
	}
}

// tellLoss reports the loss of a server under the request to the crash guard.
//
// A stall is no evidence of a crash: in a partition every stream on the cut servers stalls, and their
// content would be refused.
func (n *Session) tellLoss(now time.Time, c relay.ReportServer) {
	if c.Event != relay.Reset && c.Event != relay.Lost {
		return
	}
	v := n.service.options.Snapshot().Servers[c.Server]
	n.service.guard.tell(now, blame.Lost{
		Request: n.request.ID, Server: c.Server, Incarnation: v.Incarnation, Domain: v.Domain,
		Tokens: len(n.relay.Emitted()), Planned: v.State == teaselstream.Leaving,
	})
}

// settle frees what the ended request holds.
func (n *Session) settle(now time.Time, f relay.Finish) {
	var ran time.Duration
	if f.Code == "" {
		ran = now.Sub(n.admittedAt)
		n.service.guard.tell(now, blame.Completed{Request: n.request.ID})
	} else {
		n.service.guard.tell(now, blame.Ended{Request: n.request.ID})
	}
	n.service.gate.finish(now, n.request.ID, ran)
}

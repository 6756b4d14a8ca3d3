package serve

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/blame"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/relay"
)

// promptTokensPerAnswerToken is the number of prompt tokens whose prefill costs about as much as one token of the answer.
const promptTokensPerAnswerToken = 64

// enqueue hands the session to the admission queue; no chain is planned before the request is admitted.
func (n *Session) enqueue(now time.Time, s *teaselstream.Snapshot, c relay.Config) {
	n.service.admissionQueue.enqueue(now, s, n, admit.Arrive{
		Request: n.request.ID, Team: n.request.Team.Name, Priority: c.Request.Priority, Worth: n.request.Worth,
		Cost: float64(c.Request.MaxTokens) + float64(c.PromptTokens)/promptTokensPerAnswerToken, Deadline: c.Deadline,
	})
}

// handleMessage handles a message from the mailbox.
func (n *Session) handleMessage(now time.Time, m teaselstream.Msg) {
	switch m := m.(type) {
	case admit.Admit:
		n.handleAdmit(now, m.Priority)
	case admit.Refuse:
		n.apply(now, relay.Refuse{Code: m.Code, Message: "the VM has no capacity for the request now", RetryAfter: m.RetryAfter})
	case admit.Preempt:
		n.service.options.Meter.Count(meter.Preempted, 1)
		n.apply(now, relay.Preempted{})
	case blame.Run:
		n.reportsProgress = m.Alone
		if c := n.pendingAttempt; c != nil {
			n.pendingAttempt = nil
			n.openStream(now, *c)
		}
	case blame.Wait:
		n.startCheckAt = now.Add(m.RetryAfter)
	case permitFreed:
		if n.pendingAttempt != nil && !n.startCheckAt.IsZero() {
			n.requestStart(now)
		}
	case blame.Refuse:
		n.apply(now, relay.Refuse{
			Code: m.Code, Message: "requests with this content have crashed servers", NotSent: n.pendingAttempt != nil,
		})
	default:
		n.apply(now, m)
	}
}

func (n *Session) handleAdmit(now time.Time, p teaselstream.Priority) {
	if !n.admittedAt.IsZero() {
		n.apply(now, relay.Resume{})
		return
	}
	n.admittedAt = now
	n.class.QueueWait(now.Sub(n.request.Arrived))
	n.apply(now, relay.Start{Priority: p})
}

// requestStart asks the crash guard whether the content of the request may run on the servers of the pending attempt.
func (n *Session) requestStart(now time.Time) {
	n.startCheckAt = time.Time{}
	m := blame.CheckStart{Request: n.request.ID, Fingerprint: n.fingerprint}
	for _, h := range n.pendingAttempt.Plan.Chain {
		m.Servers = append(m.Servers, h.Server)
	}
	n.service.crashGuard.checkStart(now, n, m)
}

// keepPendingAlive prevents an attempt that waits for permission from counting as stalled, and repeats the start request
// when it is due.
func (n *Session) keepPendingAlive(now time.Time) {
	if n.pendingAttempt == nil {
		return
	}
	n.apply(now, relay.KeepAlive{Attempt: n.pendingAttempt.Request.Attempt})
	if !n.startCheckAt.IsZero() && !now.Before(n.startCheckAt) {
		n.requestStart(now)
	}
}

// reportLoss tells the crash guard that the request lost a server.
//
// A stall is not reported, since it is no evidence of a crash: in a network partition every stream on the unreachable
// servers stalls, and the content of all of them would be refused.
func (n *Session) reportLoss(now time.Time, c relay.ReportServer) {
	if c.Event != relay.Reset && c.Event != relay.Lost {
		return
	}
	v := n.service.options.Snapshot().Servers[c.Server]
	n.service.crashGuard.notify(now, blame.Lost{
		Request: n.request.ID, Server: c.Server, Incarnation: v.Incarnation, Domain: v.Domain,
		Tokens: len(n.relay.Emitted()), Planned: v.State == teaselstream.Leaving,
	})
}

// releaseAdmission frees the admission slot of the ended request and tells the crash guard how it ended.
func (n *Session) releaseAdmission(now time.Time, f relay.Finish) {
	var ran time.Duration
	if f.Code == "" {
		ran = now.Sub(n.admittedAt)
		n.service.crashGuard.notify(now, blame.Completed{Request: n.request.ID})
	} else {
		n.service.crashGuard.notify(now, blame.Ended{Request: n.request.ID})
	}
	n.service.admissionQueue.finish(now, n.request.ID, ran)
}

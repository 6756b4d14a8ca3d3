package proxy

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/flow"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/pick"
)

const (
	// hedgeShare is the part of the objective after which an idempotent call is sent to a second replica.
	hedgeShare = 0.5
	// leastHedge bounds that wait for routes with a short objective.
	leastHedge = 30 * time.Millisecond
	// resultRoom holds the results of all sends of a call, so that none waits for the call's end.
	resultRoom = 8
)

type (
	// callRun is the shell of one call to a plain service.
	callRun struct {
		*request
		core    flow.Call
		results chan sent
		answers map[int]sent
		tried   map[teaselstream.ServerID]bool
		cancels []context.CancelFunc
		sends   int
	}

	// sent is the result of one send.
	sent struct {
		number int
		member *fleet.Member
		answer *answer
		body   []byte
		err    error
		took   time.Duration
	}
)

// call forwards a call to a plain service.
func (r *request) call() {
	c := &callRun{
		request: r, results: make(chan sent, resultRoom), answers: make(map[int]sent), tried: make(map[teaselstream.ServerID]bool),
	}
	c.core.CallOptions = flow.CallOptions{
		MayRetry:   func() bool { return r.handler.Budgets.ForService(r.pool.Service).Retry(time.Now()) },
		Idempotent: r.route.Idempotent, MaxServers: r.route.MaxServers,
	}
	defer c.stop()
	deadline := time.NewTimer(time.Until(r.deadline))
	defer deadline.Stop()
	hedge := time.NewTimer(max(leastHedge, time.Duration(hedgeShare*float64(r.route.Objective))))
	defer hedge.Stop()
	cmds := c.core.Update(flow.CallStart{})
	for !c.execute(cmds) {
		select {
		case s := <-c.results:
			cmds = c.core.Update(c.result(s))
		case <-hedge.C:
			cmds = c.core.Update(flow.CallHedgeDue{})
		case <-r.Gone:
			cmds = c.core.Update(flow.CallerDisconnected{})
		case <-deadline.C:
			cmds = c.core.Update(flow.TimedOut{})
		}
	}
}

// stop ends sends whose results are not needed any more.
func (c *callRun) stop() {
	for _, cancel := range c.cancels {
		cancel()
	}
}

// result keeps the result of a send and returns what the core needs of it.
func (c *callRun) result(s sent) teaselstream.Msg {
	switch {
	case s.member == nil:
		return flow.CallNoReplica{AttemptNumber: s.number}
	case s.err != nil:
		c.log("CallFailed", slog.LevelInfo, "server", string(s.member.ID), "error", s.err.Error(), "notSent", notSent(s.err))
		return flow.CallFailed{AttemptNumber: s.number, NotSent: notSent(s.err), Reason: "not answered"}
	default:
		c.answers[s.number] = s
		return flow.CallAnswered{AttemptNumber: s.number, Status: s.answer.status, NotRun: s.answer.head.NotRun}
	}
}

// execute carries out commands and reports whether the call has ended.
func (c *callRun) execute(cmds []teaselstream.Cmd) bool {
	for _, cmd := range cmds {
		switch x := cmd.(type) {
		case flow.CallSend:
			c.send(x)
		case flow.CallDeliver:
			c.deliver(c.answers[x.AttemptNumber])
			return true
		case flow.CallRefuse:
			if x.Refusal != nil {
				c.log("CallUnanswered", slog.LevelInfo, "servers", slices.Sorted(maps.Keys(c.tried)), "sends", c.sends,
					"viewAgeMs", time.Since(c.handler.View().At).Milliseconds())
				c.refuse(statusOf(x.Refusal), x.Refusal)
				return true
			}
			c.log("CallerLeft", slog.LevelInfo, "sends", c.sends)
			c.ended(teaselstream.CodeCanceled, teaselstream.Unknown)
			c.Cut()
			return true
		}
	}
	return false
}

// send starts one send to the replica that suits best.
func (c *callRun) send(x flow.CallSend) {
	h := c.handler
	now := time.Now()
	v := h.View()
	m := h.Balancer.Choose(now, v, c.pool.Service, c.tried)
	if m == nil {
		c.results <- sent{number: x.AttemptNumber}
		return
	}
	c.tried[m.ID] = true
	c.sends++
	if x.AttemptNumber > 1 {
		h.Meter.Count(meter.Retry, 1)
		c.log("CallSentAgain", slog.LevelInfo, "reason", x.Reason, "server", string(m.ID), "viewAgeMs", now.Sub(v.At).Milliseconds())
	}
	header := endToEnd(c.Header)
	h.Dialect.Dispatch(header, teaselstream.Dispatch{Team: c.caller.Team, Server: m.ID, Left: c.left(now)})
	msg := &message{method: c.Method, target: c.Target, host: c.Host, header: header, body: c.Body}
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	c.cancels = append(c.cancels, cancel)
	fresh := !c.route.Idempotent
	m.LoadEstimate.OwnRequests.Add(1)
	go func() {
		defer m.LoadEstimate.OwnRequests.Add(-1)
		s := sent{number: x.AttemptNumber, member: m}
		s.answer, s.err = h.send(ctx, m.Address, fresh, msg, c.head.Attempt)
		if s.err == nil {
			s.body, s.err = s.answer.whole(&h.pool)
		}
		s.took = time.Since(now)
		h.judge(ctx, s)
		c.results <- s
	}()
}

// judge records what a send says about its replica.
func (h *Handler) judge(ctx context.Context, s sent) {
	now := time.Now()
	result := pick.Answered
	switch {
	case s.err != nil && errors.Is(context.Cause(ctx), context.Canceled):
		result = pick.Abandoned
	case s.err != nil:
		result = pick.Failed
	case s.answer.head.NotRun:
		result = pick.Refused
	case s.answer.status >= http.StatusInternalServerError:
		result = pick.Failed
	}
	if h.Balancer.Ended(now, s.member, result, s.took) {
		h.Log.Info("ServerPutAside", "server", string(s.member.ID), "error", errorText(s.err))
	}
	if s.err == nil {
		h.Balancer.Load(now, s.member, s.answer.head)
	}
}

func (c *callRun) deliver(s sent) {
	if err := c.Answer(s.answer.status, s.answer.header, s.body); err != nil {
		c.log("AnswerNotDelivered", slog.LevelInfo, "error", err.Error())
	}
	c.ended("", teaselstream.Ran)
	c.log("RequestEnded", slog.LevelInfo, "status", s.answer.status, "sends", c.sends, "server", string(s.member.ID), "serverMs", s.took.Milliseconds())
}

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
	// hedgeFraction is the fraction of the route's latency objective after which an idempotent call is sent to a second replica too.
	hedgeFraction = 0.5
	// minHedgeDelay is the shortest such wait, for routes with a short objective.
	minHedgeDelay = 30 * time.Millisecond
	// resultBuffer is the capacity for the results of all sends of a call, so that no sender blocks.
	resultBuffer = 8
)

type (
	// callRunner executes the commands of flow.Call for one call to a plain service.
	callRunner struct {
		*request
		core      flow.Call
		results   chan sendResult
		responses map[int]sendResult
		tried     map[teaselstream.ServerID]bool
		cancels   []context.CancelFunc
		sends     int
	}

	// sendResult is the result of one send.
	sendResult struct {
		number           int
		member           *fleet.Member
		upstreamResponse *upstreamResponse
		body             []byte
		err              error
		elapsed          time.Duration
		// retryAfter is the time until a replica takes the call, if there was none.
		retryAfter time.Duration
	}
)

// call forwards a call to a plain service.
func (r *request) call() {
	c := &callRunner{
		request: r, results: make(chan sendResult, resultBuffer), responses: make(map[int]sendResult), tried: make(map[teaselstream.ServerID]bool),
	}
	c.core.CallOptions = flow.CallOptions{
		MayRun:     r.mayRun,
		MayRetry:   func() bool { return r.handler.Budgets.ForService(r.pool.Service).Retry(time.Now()) },
		Idempotent: r.route.Idempotent, MaxServers: r.route.MaxServers,
	}
	defer c.cancelSends()
	deadline := time.NewTimer(time.Until(r.deadline))
	defer deadline.Stop()
	hedge := time.NewTimer(max(minHedgeDelay, time.Duration(hedgeFraction*float64(r.route.Objective))))
	defer hedge.Stop()
	cmds := c.core.Update(flow.CallStart{})
	for !c.execute(cmds) {
		select {
		case s := <-c.results:
			cmds = c.core.Update(c.storeResult(s))
		case <-hedge.C:
			cmds = c.core.Update(flow.CallHedgeDue{})
		case <-r.Disconnected:
			cmds = c.core.Update(flow.CallerDisconnected{})
		case <-deadline.C:
			cmds = c.core.Update(flow.TimedOut{})
		case <-r.stopEnd():
			cmds = c.core.Update(flow.TimedOut{})
		}
	}
}

// cancelSends cancels the sends that still run.
func (c *callRunner) cancelSends() {
	for _, cancel := range c.cancels {
		cancel()
	}
}

// storeResult stores the result of a send and returns the message about it for the core.
func (c *callRunner) storeResult(s sendResult) teaselstream.Msg {
	switch {
	case s.member == nil:
		return flow.CallNoReplica{AttemptNumber: s.number, RetryAfter: s.retryAfter}
	case s.err != nil:
		c.log("CallFailed", slog.LevelInfo, "server", string(s.member.ID), "error", s.err.Error(), "notSent", notSent(s.err))
		if !notSent(s.err) {
			go c.reportLoss(s.member, false)
		}
		return flow.CallFailed{AttemptNumber: s.number, NotSent: notSent(s.err), Reason: "not answered"}
	default:
		c.responses[s.number] = s
		if !s.upstreamResponse.head.NotRun {
			c.reportSound()
		}
		return flow.CallAnswered{AttemptNumber: s.number, Status: s.upstreamResponse.status, NotRun: s.upstreamResponse.head.NotRun}
	}
}

// execute runs commands and reports whether the call has ended.
func (c *callRunner) execute(cmds []teaselstream.Cmd) bool {
	for _, cmd := range cmds {
		switch x := cmd.(type) {
		case flow.CallSend:
			c.send(x)
		case flow.CallDeliver:
			c.deliver(c.responses[x.AttemptNumber])
			return true
		case flow.CallRefuse:
			if x.Replaced > 0 {
				s := c.responses[x.Replaced]
				c.refuseInPlaceOf(x.Refusal, teaselstream.Attempt(x.Replaced), s.member.ID, s.upstreamResponse.status)
				return true
			}
			if x.Refusal != nil {
				c.log("CallUnanswered", slog.LevelInfo, "servers", slices.Sorted(maps.Keys(c.tried)), "sends", c.sends,
					"viewAgeMs", time.Since(c.handler.View().At).Milliseconds())
				c.refuse(statusOf(x.Refusal), x.Refusal)
				return true
			}
			c.log("CallerLeft", slog.LevelInfo, "sends", c.sends)
			c.recordOutcome(teaselstream.CodeCanceled, teaselstream.Unknown)
			c.Abort()
			return true
		}
	}
	return false
}

// send starts one send to the replica that the balancer chooses.
func (c *callRunner) send(x flow.CallSend) {
	h := c.handler
	now := time.Now()
	v := h.View()
	m := h.chooseReplica(now, v, c.pool.Service, c.tried)
	if m == nil {
		c.results <- sendResult{number: x.AttemptNumber, retryAfter: h.soonestReplica(now, v, c.pool.Service)}
		return
	}
	c.tried[m.ID] = true
	c.sends++
	if x.AttemptNumber > 1 {
		h.Meter.Count(meter.Retry, 1)
		c.log("CallSentAgain", slog.LevelInfo, "reason", x.Reason, "server", string(m.ID), "viewAgeMs", now.Sub(v.At).Milliseconds())
	}
	header := endToEndHeader(c.Header)
	h.Dialect.Dispatch(header, teaselstream.Dispatch{Team: c.caller.Team, Server: m.ID, TimeLeft: c.timeLeft(now)})
	msg := &outgoingRequest{method: c.Method, target: c.Target, host: c.Host, header: header, body: c.Body}
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	c.cancels = append(c.cancels, cancel)
	r := reuseFor(c.route.Idempotent, x.AttemptNumber > 1)
	m.LoadEstimate.OwnRequests.Add(1)
	go func() {
		defer m.LoadEstimate.OwnRequests.Add(-1)
		s := sendResult{number: x.AttemptNumber, member: m}
		s.upstreamResponse, s.err = h.send(ctx, m, r, msg, c.head.Attempt)
		if s.err == nil {
			if s.body, s.err = s.upstreamResponse.readAll(&h.pool, maxResponseBytes); s.err != nil {
				h.reportInvalid(m, c.head.Attempt, s.err)
			}
		}
		s.elapsed = time.Since(now)
		h.recordResult(ctx, s)
		if s.err == nil && !s.upstreamResponse.head.NotRun {
			h.reportCallPace(s, c.route)
		}
		c.results <- s
	}()
}

// recordResult reports a send's result and the load in its response to the balancer.
func (h *Handler) recordResult(ctx context.Context, s sendResult) {
	now := time.Now()
	if s.err == nil {
		h.observeLimit(now.Add(-s.elapsed), s.member.ID, s.upstreamResponse.head)
	}
	result := pick.Succeeded
	switch {
	case s.err != nil && (errors.Is(context.Cause(ctx), context.Canceled) || errors.Is(s.err, ErrWithheld)):
		result = pick.Canceled
	case s.err != nil:
		result = pick.Failed
	case s.upstreamResponse.head.NotRun:
		result = pick.Refused
	case s.upstreamResponse.status >= http.StatusInternalServerError:
		result = pick.Failed
	}
	if h.Balancer.RecordResult(now, s.member, result, s.elapsed) {
		h.Log.Info("ServerPutAside", "server", string(s.member.ID), "error", errorText(s.err))
	}
	if s.err == nil {
		h.Balancer.RecordLoad(now, s.member, s.upstreamResponse.head)
	}
}

func (c *callRunner) deliver(s sendResult) {
	if err := c.Respond(s.upstreamResponse.status, s.upstreamResponse.header, s.body); err != nil {
		c.log("AnswerNotDelivered", slog.LevelInfo, "error", err.Error())
	}
	c.recordDuration()
	c.recordOutcome("", teaselstream.Ran)
	c.log("RequestEnded", slog.LevelInfo, "status", s.upstreamResponse.status, "sends", c.sends, "server", string(s.member.ID), "serverMs", s.elapsed.Milliseconds())
}

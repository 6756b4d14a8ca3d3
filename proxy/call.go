package proxy

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/pick"
)

const (
	// hedgeShare is the part of the objective after which an idempotent call is sent to a second replica.
	hedgeShare = 0.5
	// leastHedge bounds that wait for routes with a short objective.
	leastHedge = 30 * time.Millisecond
	// maxSends bounds the times a call is sent, refused ones included.
	maxSends = 4
	// retryAfterBusy tells a caller when to come back to full replicas; their queues turn over in some hundred milliseconds.
	retryAfterBusy = 300 * time.Millisecond
)

type (
	// callRun is a call to a plain service.
	callRun struct {
		*request
		results chan sent
		tried   map[teaselstream.ServerID]bool
		sends   int
		// running counts sends without a result, and ran those that may have run.
		running int
		ran     int
		cancels []context.CancelFunc
	}

	// sent is the result of one send.
	sent struct {
		member *fleet.Member
		answer *answer
		body   []byte
		err    error
		took   time.Duration
	}
)

// call forwards a call to a plain service.
func (r *request) call() {
	c := &callRun{request: r, results: make(chan sent, maxSends), tried: make(map[teaselstream.ServerID]bool)}
	defer c.stop()
	if !c.send("first") {
		r.refuse(http.StatusServiceUnavailable, &teaselstream.Error{
			Code: teaselstream.CodeNoRoute, Outcome: teaselstream.NotRun, Message: "no replica of the service answers", RetryAfter: retryAfterBusy,
		})
		return
	}
	deadline := time.NewTimer(time.Until(r.deadline))
	defer deadline.Stop()
	hedge := time.NewTimer(max(leastHedge, time.Duration(hedgeShare*float64(r.route.Objective))))
	defer hedge.Stop()
	for {
		select {
		case s := <-c.results:
			if c.settle(s) {
				return
			}
		case <-hedge.C:
			c.hedge()
		case <-r.Gone:
			r.log("CallerLeft", slog.LevelInfo, "sends", c.sends)
			r.ended(teaselstream.CodeCanceled, teaselstream.Unknown)
			r.Cut()
			return
		case <-deadline.C:
			c.timeOut()
			return
		}
	}
}

func (c *callRun) stop() {
	for _, cancel := range c.cancels {
		cancel()
	}
}

func (c *callRun) mayRepeat() bool { return c.route.Idempotent }

// send starts one send to the replica that suits best; it returns false if there is none.
func (c *callRun) send(reason string) bool {
	h := c.handler
	now := time.Now()
	v := h.View()
	m := h.Balancer.Choose(now, v, c.pool.Service, c.tried)
	if m == nil {
		return false
	}
	c.tried[m.ID] = true
	c.sends++
	c.running++
	if c.sends > 1 {
		h.Meter.Count(meter.Retry, 1)
		c.log("CallSentAgain", slog.LevelInfo, "reason", reason, "server", string(m.ID), "viewAgeMs", now.Sub(v.At).Milliseconds())
	}
	header := endToEnd(c.Header)
	h.Dialect.Dispatch(header, teaselstream.Dispatch{Team: c.caller.Team, Server: m.ID, Left: c.left(now)})
	msg := &message{method: c.Method, target: c.Target, host: c.Host, header: header, body: c.Body}
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	c.cancels = append(c.cancels, cancel)
	m.Use.Requests.Add(1)
	go func() {
		defer m.Use.Requests.Add(-1)
		s := sent{member: m}
		s.answer, s.err = h.send(ctx, m.Address, !c.mayRepeat(), msg, c.head.Attempt)
		if s.err == nil {
			s.body, s.err = s.answer.whole(&h.pool)
		}
		s.took = time.Since(now)
		h.judge(ctx, s)
		c.results <- s
	}()
	return true
}

// judge records what a send says about its replica.
func (h *Handler) judge(ctx context.Context, s sent) {
	now := time.Now()
	result := pick.Answered
	switch {
	case s.err != nil && ctx.Err() != nil && context.Cause(ctx) == context.Canceled:
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

// settle takes the result of one send and reports whether the call has ended.
func (c *callRun) settle(s sent) bool {
	c.running--
	ran := s.err == nil && !s.answer.head.NotRun || s.err != nil && !notSent(s.err)
	if ran {
		c.ran++
	}
	if s.err == nil && ran && (s.answer.status < http.StatusInternalServerError || !c.again("failure status")) {
		if c.running > 0 && s.answer.status >= http.StatusInternalServerError {
			return false
		}
		c.passOn(s)
		return true
	}
	if s.err == nil && ran {
		return false
	}
	if s.err != nil {
		c.log("CallFailed", slog.LevelInfo, "server", string(s.member.ID), "error", s.err.Error(), "notSent", notSent(s.err))
	}
	if c.running > 0 || c.again("not answered") {
		return false
	}
	e := &teaselstream.Error{Code: teaselstream.CodeOverloaded, Outcome: teaselstream.NotRun, Message: "replicas of the service are full", RetryAfter: retryAfterBusy}
	if c.ran > 0 {
		e = &teaselstream.Error{Code: teaselstream.CodeOutcomeUnknown, Outcome: teaselstream.Unknown, Message: "the replica's answer is lost"}
	}
	c.refuse(statusOf(e), e)
	return true
}

// again sends the call once more if that cannot run it twice or it may run twice, and the budget allows it.
func (c *callRun) again(reason string) bool {
	if c.ran > 0 && (!c.mayRepeat() || c.ran >= max(c.route.MaxServers, 1)) {
		return false
	}
	if c.sends >= maxSends || c.left(time.Now()) <= 0 || !c.handler.Budget.Retry(time.Now()) {
		return false
	}
	return c.send(reason)
}

// hedge sends an idempotent call to a second replica while the first is silent.
func (c *callRun) hedge() {
	if c.mayRepeat() && c.running == 1 && c.ran+c.running < max(c.route.MaxServers, 1) && c.sends < maxSends &&
		c.handler.Budget.Retry(time.Now()) {
		c.send("no answer yet")
	}
}

func (c *callRun) passOn(s sent) {
	if err := c.Answer(s.answer.status, s.answer.header, s.body); err != nil {
		c.log("AnswerNotDelivered", slog.LevelInfo, "error", err.Error())
	}
	c.ended("", teaselstream.Ran)
	c.log("RequestEnded", slog.LevelInfo, "status", s.answer.status, "sends", c.sends, "server", string(s.member.ID), "serverMs", s.took.Milliseconds())
}

func (c *callRun) timeOut() {
	e := &teaselstream.Error{Code: teaselstream.CodeDeadlineExceeded, Outcome: teaselstream.Unknown, Message: "time for the answer is up"}
	if c.ran == 0 && c.running == 0 {
		e.Outcome = teaselstream.NotRun
	}
	c.refuse(statusOf(e), e)
}

package proxy

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/chain"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/pick"
)

const (
	// deadlineMargin is kept for the way of the final answer to the caller, which is some milliseconds away.
	deadlineMargin = 25 * time.Millisecond
	// retryAfterStart tells a caller when to come back to a VM that has no configuration yet.
	retryAfterStart = 500 * time.Millisecond
)

type (
	// Handler answers requests by the routes and servers of the current view.
	Handler struct {
		View     func() *fleet.View
		Dialect  teaselstream.Dialect
		Replicas teaselstream.ReplicaControl
		Planner  *chain.Planner
		Balancer *pick.Balancer
		Budgets  *admit.Budgets
		Rand     teaselstream.Rand
		Meter    *meter.Meter
		Log      *slog.Logger
		// Post hands what was seen of a server to the control side.
		Post func(teaselstream.Msg)

		pool      Pool
		prober    prober
		durations durations
	}

	// request is one caller's request on its way through the handler.
	request struct {
		*Exchange
		handler  *Handler
		head     teaselstream.CallHead
		route    *teaselstream.Route
		pool     *teaselstream.Pool
		caller   *teaselstream.Caller
		view     *fleet.View
		deadline time.Time
		class    *meter.Class
		first    time.Duration
	}
)

// Serve answers one request.
func (h *Handler) Serve(x *Exchange) {
	r := &request{Exchange: x, handler: h, view: h.View()}
	head, err := h.Dialect.Call(x.Header)
	r.head = head
	if err != nil {
		r.refuse(http.StatusBadRequest, &teaselstream.Error{Code: teaselstream.CodeBadRequest, Outcome: teaselstream.NotRun, Message: err.Error()})
		return
	}
	if status, refusal := r.resolve(); refusal != nil {
		r.refuse(status, refusal)
		return
	}
	h.Budgets.Request(time.Now(), r.pool.Service)
	if r.pool.Engine != nil {
		r.stream()
		return
	}
	r.call()
}

// CloseExpired closes idle connections to servers that are past their time.
func (h *Handler) CloseExpired(now time.Time) { h.pool.CloseExpired(now) }

// resolve finds route, team, service and deadline, or says why the request is refused.
func (r *request) resolve() (int, *teaselstream.Error) {
	if r.view == nil || r.view.Routing == nil {
		return http.StatusServiceUnavailable, &teaselstream.Error{
			Code: teaselstream.CodeNoRoute, Outcome: teaselstream.NotRun, Message: "no configuration is known yet", RetryAfter: retryAfterStart,
		}
	}
	routing := r.view.Routing
	r.route = routing.Match(r.Host, r.Target)
	if r.route == nil {
		return http.StatusNotFound, &teaselstream.Error{Code: teaselstream.CodeUnknownService, Outcome: teaselstream.NotRun, Message: "no route matches host and path"}
	}
	r.caller = &teaselstream.Caller{}
	if routing.Keys != nil {
		c := routing.Keys[r.head.Key]
		if c == nil && !r.route.Anonymous {
			return http.StatusUnauthorized, &teaselstream.Error{Code: teaselstream.CodeUnauthorized, Outcome: teaselstream.NotRun, Message: "key matches no team"}
		}
		if c != nil {
			r.caller = c
		}
	}
	service, _ := r.route.Pick(r.handler.Rand.Float64())
	r.pool = routing.Pools[service]
	if r.pool == nil {
		return http.StatusServiceUnavailable, &teaselstream.Error{Code: teaselstream.CodeNoRoute, Outcome: teaselstream.NotRun, Message: "the route's service is not configured", RetryAfter: retryAfterStart}
	}
	r.deadline = r.Arrived.Add(r.allowed())
	r.class = r.handler.Meter.Class(r.caller.Team, r.priority())
	return 0, nil
}

// allowed returns the time to the final answer: the route's timeout or what the caller waits, whichever is less.
func (r *request) allowed() time.Duration {
	d := r.route.Timeout
	if d <= 0 {
		d = defaultTimeout
	}
	if left := r.head.Deadline; left > 0 {
		d = min(d, max(left-deadlineMargin, left/2))
	}
	return d
}

// defaultTimeout bounds requests of routes without a timeout.
const defaultTimeout = 60 * time.Second

func (r *request) priority() teaselstream.Priority {
	if r.caller.Ranked {
		return r.caller.Priority
	}
	return r.route.Priority
}

// left returns how long a server may work on the request.
func (r *request) left(now time.Time) time.Duration { return r.deadline.Sub(now) }

// refuse answers on the router's own account.
func (r *request) refuse(status int, e *teaselstream.Error) {
	header := http.Header{"Content-Type": {"text/plain"}}
	r.handler.Dialect.Refusal(header, r.head.Attempt, e.RetryAfter)
	if err := r.Respond(status, header, []byte(e.Message+"\n")); err != nil {
		r.log("AnswerNotDelivered", slog.LevelInfo, "error", err.Error())
	}
	r.log("RequestRefused", slog.LevelInfo, "status", status, "code", string(e.Code), "outcome", e.Outcome.String(),
		"message", e.Message, "retryAfterMs", e.RetryAfter.Milliseconds())
	r.ended(e.Code, e.Outcome)
}

func (r *request) ended(code teaselstream.Code, o teaselstream.Outcome) {
	r.class.Ended(time.Since(r.Arrived), code, o)
}

// statusOf returns the status of the router's own answer: 503 promises that the request has not run and never will.
func statusOf(e *teaselstream.Error) int {
	switch {
	case e.Outcome == teaselstream.NotRun:
		return http.StatusServiceUnavailable
	case e.Code == teaselstream.CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// log writes a line about the request with what identifies it and the version of the configuration that it was judged by.
func (r *request) log(event string, level slog.Level, args ...any) {
	l := r.handler.Log
	if !l.Enabled(nil, level) { //nolint:staticcheck // The handler does not use the context.
		return
	}
	args = append([]any{"request", string(r.head.Attempt), "ms", time.Since(r.Arrived).Milliseconds()}, args...)
	if r.route != nil {
		args = append(args, "route", string(r.route.Name), "team", string(r.caller.Team))
	}
	if r.view != nil && r.view.Routing != nil {
		args = append(args, "generation", uint64(r.view.Routing.Generation))
	}
	l.Log(nil, level, event, args...) //nolint:staticcheck // The handler does not use the context.
}

package proxy

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/chain"
	"github.com/teaselstream/teaselstream/crash"
	"github.com/teaselstream/teaselstream/detour"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/memory"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/notice"
	"github.com/teaselstream/teaselstream/pick"
	"github.com/teaselstream/teaselstream/quota"
	"github.com/teaselstream/teaselstream/sock"
)

const (
	// deadlineMargin is reserved for the final response's way to the caller, which takes some milliseconds.
	deadlineMargin = 25 * time.Millisecond
	// retryAfterNoConfig is the Retry-After of a VM that has no configuration yet, or none for the route's service.
	retryAfterNoConfig = 500 * time.Millisecond
)

type (
	// Handler serves requests with the routes and servers of the current view.
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
		// Post sends observations of a server to the control loop; nil drops those of its connections and answers.
		Post func(teaselstream.Msg)
		// Dial opens connections to servers; nil means net.Dialer.
		Dial sock.DialFunc
		// Detour chooses the VM through which requests go while this VM reaches no server; nil sends all requests directly.
		Detour *detour.Chooser
		// Quarantine returns what requests that crash servers have in common; nil refuses none.
		Quarantine func() *crash.Quarantine
		// Limits holds the requests that servers take, as far as they have named limits.
		Limits quota.Limits
		// Notices holds what servers have said about themselves.
		Notices notice.Notices
		// Answers bounds the bytes of servers' answers that are kept; its zero value has a limit.
		Answers memory.Budget
		// Admission orders model requests that have not been sent; nil sends each at once.
		Admission *Admission
		// Observer is the exchange with other VMs of the failure domain about servers; nil means that there is none.
		Observer Observer

		pool    Pool
		prober  prober
		endings endings
		carried atomic.Int64
		// receivedAt is when the last byte arrived from a server, in Unix nanoseconds, or 0.
		receivedAt      atomic.Int64
		streamDurations streamDurations
		firstEvents     streamDurations
		// firstEventAt is when the last first event of a stream came, in Unix nanoseconds, or 0.
		firstEventAt atomic.Int64
		durations    routeDurations
		stopping     stopState
		downs        downSignal
		ranks        rankIndex
		departures   departures
	}

	// request is the state of one request in the handler.
	request struct {
		*Exchange
		handler         *Handler
		head            teaselstream.CallHead
		route           *teaselstream.Route
		pool            *teaselstream.Pool
		caller          *teaselstream.Caller
		view            *fleet.View
		deadline        time.Time
		class           *meter.Class
		firstEventDelay time.Duration
		// traits identify the request among those that crash servers.
		traits []crash.Trait
		// onTrial means that the request was sent although it has a signature of such requests.
		onTrial bool
	}
)

// Serve handles one request.
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
	if refusal := r.checkStop(); refusal != nil {
		r.refuse(http.StatusServiceUnavailable, refusal)
		return
	}
	h.Budgets.Request(time.Now(), r.pool.Service)
	r.traits = r.crashTraits()
	if r.pool.Engine != nil {
		r.stream()
		return
	}
	r.call()
}

// post sends an observation of a connection or an answer to the control loop, if there is one.
func (h *Handler) post(m teaselstream.Msg) {
	if h.Post != nil {
		h.Post(m)
	}
}

// CloseExpired closes connections to servers whose keep-alive time has expired.
func (h *Handler) CloseExpired(now time.Time) { h.pool.CloseExpired(now) }

// resolve determines route, team, service and deadline, or returns the status and error of a refusal.
func (r *request) resolve() (int, *teaselstream.Error) {
	if r.view == nil || r.view.Routing == nil {
		return http.StatusServiceUnavailable, &teaselstream.Error{
			Code: teaselstream.CodeNoRoute, Outcome: teaselstream.NotRun, Message: "no configuration is known yet", RetryAfter: retryAfterNoConfig,
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
		return http.StatusServiceUnavailable, &teaselstream.Error{Code: teaselstream.CodeNoRoute, Outcome: teaselstream.NotRun, Message: "the route's service is not configured", RetryAfter: retryAfterNoConfig}
	}
	r.deadline = r.Arrived.Add(r.timeout())
	r.class = r.handler.Meter.Class(r.caller.Team, r.priority())
	return 0, nil
}

// timeout returns the time from arrival until the final response is due: the lesser of the route's timeout and the time that
// the caller waits, which is reduced by deadlineMargin but not below half.
func (r *request) timeout() time.Duration {
	d := r.route.Timeout
	if d <= 0 {
		d = defaultTimeout
	}
	if left := r.head.Deadline; left > 0 {
		d = min(d, max(left-deadlineMargin, left/2))
	}
	return d
}

// defaultTimeout limits requests of routes without a timeout.
const defaultTimeout = 60 * time.Second

func (r *request) priority() teaselstream.Priority {
	if r.caller.Ranked {
		return r.caller.Priority
	}
	return r.route.Priority
}

// timeLeft returns the time until the request's deadline.
func (r *request) timeLeft(now time.Time) time.Duration { return r.deadline.Sub(now) }

// refuse responds with an error of the router itself.
func (r *request) refuse(status int, e *teaselstream.Error) {
	header := http.Header{"Content-Type": {"text/plain"}}
	r.handler.Dialect.Refusal(header, r.head.Attempt, e.RetryAfter)
	if err := r.Respond(status, header, []byte(e.Message+"\n")); err != nil {
		r.log("AnswerNotDelivered", slog.LevelInfo, "error", err.Error())
	}
	r.log("RequestRefused", slog.LevelInfo, "status", status, "code", string(e.Code), "outcome", e.Outcome.String(),
		"message", e.Message, "retryAfterMs", e.RetryAfter.Milliseconds())
	r.recordOutcome(e.Code, e.Outcome)
}

// refuseInPlaceOf responds with an error of the router itself instead of a server's answer with the given status.
func (r *request) refuseInPlaceOf(e *teaselstream.Error, n teaselstream.Attempt, server teaselstream.ServerID, serverStatus int) {
	status := statusOf(e)
	r.log("AnswerReplaced", slog.LevelInfo, "attempt", n, "server", string(server), "serverStatus", serverStatus, "status", status, "reason", e.Message)
	r.refuse(status, e)
}

func (r *request) recordOutcome(code teaselstream.Code, o teaselstream.Outcome) {
	r.class.Ended(time.Since(r.Arrived), code, o)
}

// statusOf returns the HTTP status of a router error: 503 promises that the request has not run and never will.
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

// log writes a log line with the request's attempt, age, route and team and the configuration's generation.
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

package proxy

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/drain"
	"github.com/teaselstream/teaselstream/flow"
)

const (
	// firstRequestTime is how long an accepted connection without a request stays open in a stop: its request is on the way. Callers
	// send the first request as soon as the connection is open.
	firstRequestTime = 200 * time.Millisecond
	// retryAfterStopping is the Retry-After of a VM that is shutting down. Callers come back on another connection, to another VM.
	retryAfterStopping = 50 * time.Millisecond
	// retryAfterUnread is the same for a request that could not be read before the end, in seconds.
	retryAfterUnread = "0.05"
)

// stopState holds what a stop of the VM changes for its requests; the zero value is that of a running VM.
type stopState struct {
	// lastAnswer is when requests that still can get a final answer get it, in nanoseconds since 1970; 0 means never.
	lastAnswer atomic.Int64
	once       sync.Once
	ended      chan struct{}
}

// end returns the channel that is closed at the time of the last answers.
func (s *stopState) end() chan struct{} {
	s.once.Do(func() { s.ended = make(chan struct{}) })
	return s.ended
}

// Stop makes the handler refuse requests that probably last beyond lastAnswer, the time at which EndRequests will be called.
func (h *Handler) Stop(lastAnswer time.Time) { h.stopping.lastAnswer.Store(lastAnswer.UnixNano()) }

// EndRequests ends all requests whose answer has not begun with a final answer. It must be called once at most.
func (h *Handler) EndRequests() { close(h.stopping.end()) }

// checkStop returns a refusal if the VM is shutting down and the request probably does not end before its exit. The deadline of a call
// that is taken is not after the last answers.
func (r *request) checkStop() *teaselstream.Error {
	nanos := r.handler.stopping.lastAnswer.Load()
	if nanos == 0 {
		return nil
	}
	now, lastAnswer := time.Now(), time.Unix(0, nanos)
	left := lastAnswer.Sub(now)
	mean, deviation := r.handler.durations.of(r.route)
	w := drain.Work{Repeatable: r.route.Idempotent || r.route.Resumable, Limit: r.timeLeft(now), Mean: mean, Deviation: deviation}
	if !drain.Takes(left, w) {
		r.log("LateRequest", slog.LevelInfo, "leftMs", left.Milliseconds(), "meanMs", mean.Milliseconds(), "deviationMs", deviation.Milliseconds())
		return stopRefusal()
	}
	if r.pool.Engine == nil && lastAnswer.Before(r.deadline) {
		r.deadline = lastAnswer
	}
	return nil
}

func stopRefusal() *teaselstream.Error {
	return &teaselstream.Error{
		Code: teaselstream.CodeStopping, Outcome: teaselstream.NotRun, Message: "this VM is shutting down", RetryAfter: retryAfterStopping,
	}
}

// endForStop ends a stream whose answer has not begun. It has not run if no attempt was opened.
func (s *streamRunner) endForStop(now time.Time) []teaselstream.Cmd {
	if len(s.attempts) == 0 {
		return []teaselstream.Cmd{flow.Finish{Refusal: stopRefusal()}}
	}
	return s.core.Update(now, flow.TimedOut{})
}

// stopEnd returns a channel that is closed at the time of the last answers, or nil if the answer has begun: that can be cut only, and
// goes on until the exit.
func (r *request) stopEnd() <-chan struct{} {
	if r.ResponseStarted() {
		return nil
	}
	return r.handler.stopping.end()
}

// recordDuration adds a request that has been answered to the durations of its route.
func (r *request) recordDuration() { r.handler.durations.add(r.route, time.Since(r.Arrived)) }

// EndReading sets the time at which requests that are still being read are refused.
func (s *Server) EndReading(at time.Time) { s.readEnd.Store(at.UnixNano()) }

// CloseIdle closes connections that have no request in progress, except those that were accepted just now. A request that has begun to
// arrive is still read and served.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if time.Since(c.opened) >= firstRequestTime {
			c.closeIdle()
		}
	}
}

// OpenConnections returns the number of callers' connections, each of which may have a request in progress.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// capRead returns the time at which a read ends that otherwise ends at the given one.
func (s *Server) capRead(at time.Time) time.Time {
	if end := s.readEnd.Load(); end > 0 && at.UnixNano() > end {
		return time.Unix(0, end)
	}
	return at
}

// lateStatus returns the status for a request that was not read in time: it is the caller that was too slow unless the VM stops.
func (s *Server) lateStatus() int {
	if end := s.readEnd.Load(); end > 0 && time.Now().UnixNano() >= end {
		return http.StatusServiceUnavailable
	}
	return http.StatusRequestTimeout
}

package proxy

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/chain"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/flow"
	"github.com/teaselstream/teaselstream/memory"
	"github.com/teaselstream/teaselstream/moves"
)

const (
	// drainMoveFirst and drainMoveLast are the fractions of the drain time between which running streams leave a draining
	// server, each at its own time, since the new server has to process all tokens of each stream.
	drainMoveFirst = 0.2
	drainMoveLast  = 0.85
	// repathTimeout limits the request that moves a stream to another path; servers respond within some milliseconds.
	repathTimeout = 150 * time.Millisecond
	// inboxSize is the number of events that are read ahead of what the caller has received.
	inboxSize = 8
	// downCheckPeriod is the time between two looks at the view by a stream with a server that is down. The view shows when that server,
	// or another one that the stream may use, can go on, and callers disconnect 2 s after the last event.
	downCheckPeriod = 50 * time.Millisecond
)

type (
	// streamRunner executes the commands of flow.Stream for one model request.
	streamRunner struct {
		*request
		core           flow.Stream
		inbox          chan teaselstream.Msg
		done           chan struct{}
		attempts       map[teaselstream.Attempt]*attempt
		reservedTokens int64
		lastView       *fleet.View
		// hasDown means that a server of the path is down in lastView.
		hasDown     bool
		events      int
		lastEventAt time.Time
		longestGap  time.Duration
		moves       int
		// queued means that the queue knows the request.
		queued bool
		// askSlowAt is when the stream may next ask whether it leaves a slow server.
		askSlowAt time.Time
		// drainJitter in [0, 1) spreads the times at which streams leave the same draining server.
		drainJitter float64
	}

	// openedResponse carries the start of an attempt's response to the request's goroutine.
	openedResponse struct {
		flow.Opened
		head savedResponse
		// held counts the bytes of the response that are kept.
		held *memory.Holder
	}

	// streamPlanner implements flow.Planner for one request.
	streamPlanner struct {
		request     *request
		pathRequest chain.PathRequest
	}
)

// stream forwards a model request.
func (r *request) stream() {
	h := r.handler
	expectedTokens := r.expectedTokens()
	s := &streamRunner{
		request: r, inbox: make(chan teaselstream.Msg, inboxSize), done: make(chan struct{}),
		attempts: make(map[teaselstream.Attempt]*attempt), reservedTokens: int64(r.head.PromptTokens + expectedTokens), lastEventAt: r.Arrived, drainJitter: h.Rand.Float64(),
	}
	s.core.Options = flow.Options{
		Planner: &streamPlanner{r, chain.PathRequest{
			Service: r.pool.Service, Engine: r.pool.Engine, PromptTokens: r.head.PromptTokens, AnswerTokens: expectedTokens,
		}},
		MayRetry:  r.mayRetry,
		MayRun:    r.mayRun,
		Resumable: r.route.Resumable || r.route.Idempotent, MaxServers: max(r.route.MaxServers, 1), LastEvent: r.head.LastEvent,
		Objective: r.route.Objective, StallDelay: h.stallDelay(r.route),
	}
	if h.observed() {
		s.core.Departure = s.departure
	}
	defer s.stop()
	if !s.awaitTurn() {
		return
	}
	if h.Admission != nil {
		h.Admission.count(r.pool.Service, r.caller.Team, 1)
		defer h.Admission.count(r.pool.Service, r.caller.Team, -1)
	}
	cmds := s.core.Update(time.Now(), flow.Start{})
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !s.execute(cmds) {
		cmds = s.nextCommands(timer)
	}
}

// mayRetry takes a retry from the budget of the service.
func (r *request) mayRetry(begun bool) bool {
	b := r.handler.Budgets.ForService(r.pool.Service)
	if begun {
		return b.Retry(time.Now())
	}
	return b.RetryNew(time.Now())
}

func (r *request) expectedTokens() int {
	expected := r.head.ExpectedTokens
	if expected == 0 {
		expected = r.pool.Engine.UsualAnswer
	}
	if r.head.MaxTokens > 0 {
		expected = min(expected, r.head.MaxTokens)
	}
	return max(expected, 1)
}

func (s *streamRunner) stop() {
	close(s.done)
	s.leaveQueue()
	if s.core.Departure != nil {
		s.handler.departures.update(time.Now(), moves.Ended{Request: s.head.Attempt})
	}
	s.abortAll()
}

// nextCommands waits for the next message, timer or view change and returns the core's commands.
func (s *streamRunner) nextCommands(timer *time.Timer) []teaselstream.Cmd {
	now := time.Now()
	if cmds := s.checkView(now); len(cmds) > 0 {
		return cmds
	}
	due := s.core.NextTick()
	if s.deadline.Before(due) {
		due = s.deadline
	}
	if check := now.Add(downCheckPeriod); s.hasDown && check.Before(due) {
		due = check
	}
	timer.Reset(max(due.Sub(now), 0))
	var down <-chan struct{}
	if s.handler.Observer != nil {
		down = s.handler.downs.wait()
		if s.handler.View() != s.lastView {
			// The view has changed since it was checked.
			return nil
		}
	}
	select {
	case <-down:
		return nil
	case m := <-s.inbox:
		now = time.Now()
		if a, ok := m.(openedResponse); ok {
			s.recordResponse(now, a)
			return s.core.Update(now, a.Opened)
		}
		s.recordProgress(m)
		cmds := s.core.Update(now, m)
		if moved, ok := m.(flow.Repathed); ok && moved.Err != nil && moved.Attempt == s.core.Attempt {
			// The servers that refused the move do not have this request.
			s.reserve(s.current(), s.core.Path)
		}
		return cmds
	case <-s.Disconnected:
		return s.core.Update(time.Now(), flow.CallerDisconnected{})
	case <-s.stopEnd():
		return s.endForStop(time.Now())
	case <-timer.C:
		now = time.Now()
		if !now.Before(s.deadline) {
			return s.core.Update(now, flow.TimedOut{})
		}
		return s.core.Update(now, teaselstream.Tick{})
	}
}

// checkView reports servers of the path that are down or draining in the current view to the core.
func (s *streamRunner) checkView(now time.Time) []teaselstream.Cmd {
	v, current := s.handler.View(), s.current()
	drain := time.Duration((drainMoveFirst + (drainMoveLast-drainMoveFirst)*s.drainJitter) * float64(s.handler.Planner.DrainTime))
	var lost []teaselstream.ServerID
	var cmds []teaselstream.Cmd
	s.hasDown = false
	for _, p := range s.core.Parts() {
		m := v.Members[p.Server]
		switch {
		case m == nil:
		case m.State == fleet.Down:
			s.hasDown = true
			if v != s.lastView {
				lost = append(lost, p.Server)
			}
		case m.State == fleet.Leaving && now.Sub(m.LeavingSince) > drain && s.handler.Notices.Wait(now, current.first.ID, current.first.Incarnation) <= 0 && s.outlastsDrain(now, m):
			cmds = append(cmds, s.core.MoveOff(now, p.Server, "part is leaving")...)
		}
	}
	s.lastView = v
	if s.core.Departure != nil {
		cmds = append(cmds, s.leaveSlow(now, v)...)
	}
	if current.events == 0 && s.isHarmful() {
		return append(cmds, s.core.Update(now, flow.Harmful{})...)
	}
	if len(lost) > 0 {
		cmds = append(cmds, s.core.Update(now, flow.ServersDown{Servers: lost})...)
	}
	return cmds
}

// outlastsDrain reports whether the stream probably lasts beyond a leaving server's drain time.
func (s *streamRunner) outlastsDrain(now time.Time, m *fleet.Member) bool {
	left := s.handler.Planner.DrainTime - now.Sub(m.LeavingSince)
	expected := s.expectedTokens() / max(s.pool.Engine.Stride, 1)
	return flow.Outlasts(expected, s.events, now.Sub(s.Arrived.Add(s.firstEventDelay)), left)
}

// execute runs commands and reports whether the request has ended.
func (s *streamRunner) execute(cmds []teaselstream.Cmd) bool {
	for _, c := range cmds {
		switch c := c.(type) {
		case flow.Open:
			s.open(c)
		case flow.Abort:
			s.abort(c.Attempt)
			s.log("AttemptAborted", slog.LevelInfo, "attempt", c.Attempt, "reason", c.Reason)
		case flow.Probe:
			go s.probe(c)
		case flow.StreamStalled:
			s.reportStall(c)
		case flow.Repath:
			s.moves++
			s.reserve(s.current(), c.Path)
			go s.repath(c, s.current().first.Incarnation)
		case flow.Deliver:
			if !s.deliver(c) {
				return s.execute(s.core.Update(time.Now(), flow.CallerDisconnected{}))
			}
		case flow.PassThrough:
			s.passThrough(c)
			return true
		case flow.Finish:
			s.finish(c)
			return true
		}
	}
	return false
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// deliver writes an event to the caller and returns false if that fails.
func (s *streamRunner) deliver(c flow.Deliver) bool {
	now := time.Now()
	if !s.ResponseStarted() {
		a := s.attempts[c.Attempt]
		if a == nil || a.response == nil || s.StartResponse(a.response.status, a.response.header) != nil {
			return false
		}
		s.firstEventDelay = now.Sub(s.Arrived)
		s.class.FirstToken(s.firstEventDelay)
		s.reportPace(now)
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
		s.class.TokenGap(now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.events++
	return s.Write(c.Data) == nil
}

func (s *streamRunner) passThrough(c flow.PassThrough) {
	a := s.attempts[c.Attempt]
	if a == nil || a.response == nil {
		s.refuse(http.StatusBadGateway, &teaselstream.Error{Code: teaselstream.CodeServerLost, Message: "answer is lost"})
		return
	}
	if err := s.Respond(a.response.status, a.response.header, a.response.body); err != nil {
		s.log("AnswerNotDelivered", slog.LevelInfo, "error", err.Error())
	}
	s.recordEnd("PassedOn", teaselstream.Ran, "")
}

func (s *streamRunner) finish(c flow.Finish) {
	a := s.attempts[c.Replaced]
	switch {
	case c.Refusal != nil && a != nil && a.response != nil:
		s.refuseInPlaceOf(c.Refusal, c.Replaced, a.first.ID, a.response.status)
	case c.Refusal != nil:
		if c.Refusal.Code == teaselstream.CodeNoRoute {
			s.logUncovered()
		}
		s.refuse(statusOf(c.Refusal), c.Refusal)
	case c.Complete && !s.ResponseStarted():
		s.passThrough(flow.PassThrough{Attempt: s.core.Attempt})
	case c.Complete:
		if err := s.EndResponse(); err != nil {
			s.Abort()
			s.log("AnswerNotDelivered", slog.LevelInfo, "error", err.Error())
		}
		s.handler.streamDurations.add(time.Since(s.Arrived))
		s.recordDuration()
		s.recordEnd("", teaselstream.Ran, "")
	case c.CallerLeft:
		s.Abort()
		s.recordEnd(teaselstream.CodeCanceled, teaselstream.Unknown, "caller left")
	default:
		s.Abort()
		s.recordEnd(teaselstream.CodeServerLost, teaselstream.Unknown, c.Reason)
	}
}

// logUncovered logs the layers that no server holds for a request without a path, and the links considered cut.
func (s *streamRunner) logUncovered() {
	now, v := time.Now(), s.handler.View()
	var uncovered, cut []string
	for _, r := range s.handler.Planner.Uncovered(now, v, chain.PathRequest{Service: s.pool.Service, Engine: s.pool.Engine}) {
		uncovered = append(uncovered, r.String())
	}
	for link, until := range v.CutLinks {
		if now.Before(until) {
			cut = append(cut, string(link.From)+" to "+string(link.To))
		}
	}
	s.log("PathNotFound", slog.LevelInfo, "uncovered", uncovered, "cut", cut, "viewAgeMs", now.Sub(v.At).Milliseconds(), "storeLost", v.StoreLost)
}

func (s *streamRunner) recordEnd(code teaselstream.Code, o teaselstream.Outcome, reason string) {
	s.recordOutcome(code, o)
	s.log("RequestEnded", slog.LevelInfo, "code", string(code), "reason", reason, "firstMs", s.firstEventDelay.Milliseconds(), "events", s.events,
		"longestPauseMs", s.longestGap.Milliseconds(), "attempts", s.core.Attempt, "moves", s.moves, "path", s.core.Path.Servers())
}

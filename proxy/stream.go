package proxy

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/chain"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/flow"
	"github.com/teaselstream/teaselstream/meter"
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
)

type (
	// streamRunner executes the commands of flow.Stream for one model request.
	streamRunner struct {
		*request
		core           flow.Stream
		inbox          chan teaselstream.Msg
		done           chan struct{}
		cancel         context.CancelFunc
		responses      map[teaselstream.Attempt]*savedResponse
		reserved       []*fleet.LoadEstimate
		reservedTokens int64
		lastView       *fleet.View
		events         int
		// attemptEvents counts the events of the current attempt.
		attemptEvents int
		// attemptAt is when the current attempt was opened.
		attemptAt time.Time
		// first is the first server of the current attempt, as it was known when the attempt was opened.
		first       fleet.Member
		lastEventAt time.Time
		longestGap  time.Duration
		moves       int
		// drainJitter in [0, 1) spreads the times at which streams leave the same draining server.
		drainJitter float64
	}

	// savedResponse is the part of an attempt's response that is forwarded later; body is set for responses that are not streamed.
	savedResponse struct {
		status int
		header http.Header
		body   []byte
	}

	// openedResponse carries the start of an attempt's response to the request's goroutine.
	openedResponse struct {
		flow.Opened
		head savedResponse
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
		request: r, inbox: make(chan teaselstream.Msg, inboxSize), done: make(chan struct{}), cancel: func() {},
		responses: make(map[teaselstream.Attempt]*savedResponse), reservedTokens: int64(r.head.PromptTokens + expectedTokens), lastEventAt: r.Arrived, drainJitter: h.Rand.Float64(),
	}
	s.core.Options = flow.Options{
		Planner: &streamPlanner{r, chain.PathRequest{
			Service: r.pool.Service, PromptTokens: r.head.PromptTokens, AnswerTokens: expectedTokens,
		}},
		MayRetry:  r.mayRetry,
		MayRun:    r.mayRun,
		Resumable: r.route.Resumable || r.route.Idempotent, MaxServers: max(r.route.MaxServers, 1), LastEvent: r.head.LastEvent,
		Objective: r.route.Objective,
	}
	defer s.stop()
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
	s.cancel()
	s.reserve(nil)
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
	timer.Reset(max(due.Sub(now), 0))
	select {
	case m := <-s.inbox:
		now = time.Now()
		if a, ok := m.(openedResponse); ok {
			s.responses[a.Attempt] = &a.head
			s.recordLoad(now, a.Opened)
			return s.core.Update(now, a.Opened)
		}
		s.recordProgress(m)
		return s.core.Update(now, m)
	case <-s.Disconnected:
		return s.core.Update(time.Now(), flow.CallerDisconnected{})
	case <-timer.C:
		now = time.Now()
		if !now.Before(s.deadline) {
			return s.core.Update(now, flow.TimedOut{})
		}
		return s.core.Update(now, teaselstream.Tick{})
	}
}

// recordProgress counts the events of the current attempt and logs its end if the server broke it off.
func (s *streamRunner) recordProgress(m teaselstream.Msg) {
	switch m := m.(type) {
	case flow.Event:
		if m.Attempt != s.core.Attempt {
			return
		}
		s.attemptEvents++
		if s.attemptEvents == soundEvents {
			s.reportSound()
		}
	case flow.Closed:
		switch {
		case m.Attempt != s.core.Attempt || m.NotSent:
		case m.Complete && s.attemptEvents < soundEvents:
			s.reportSound()
		case !m.Complete:
			s.recordBroken(m)
		}
	}
}

// recordBroken logs what ran on a server that broke off an answer, and reports the request if the server has ended before it
// wrote an answer.
func (s *streamRunner) recordBroken(m flow.Closed) {
	begun := s.responses[m.Attempt] != nil
	s.log("AttemptBroken", slog.LevelInfo, "attempt", m.Attempt, "server", string(s.core.Path[0].Server), "incarnation", uint64(s.first.Incarnation),
		"begun", begun, "events", s.attemptEvents, "segments", s.head.Segments, "error", m.Reason)
	if s.attemptEvents < soundEvents && s.first.Service != "" {
		first := s.first
		go s.reportLoss(&first, begun)
	}
}

// recordLoad records the load that the first server of the path states in its response.
func (s *streamRunner) recordLoad(now time.Time, o flow.Opened) {
	if o.Answer.NotRun {
		s.log("AttemptRefused", slog.LevelInfo, "attempt", o.Attempt, "status", o.Status, "server", string(s.core.Path[0].Server),
			"fault", o.Answer.Fault, "running", o.Answer.Running, "waiting", o.Answer.Waiting)
	}
	if o.Attempt == s.core.Attempt {
		s.handler.observeLimit(s.attemptAt, s.core.Path[0].Server, o.Answer)
	}
	if !o.Answer.HasLoad || o.Attempt != s.core.Attempt {
		return
	}
	if m := s.handler.View().Members[s.core.Path[0].Server]; m != nil {
		m.LoadEstimate.RecordReport(now, o.Answer.Running, o.Answer.Waiting, -1)
	}
}

// checkView reports servers of the path that are down or draining in the current view to the core.
func (s *streamRunner) checkView(now time.Time) []teaselstream.Cmd {
	v := s.handler.View()
	drain := time.Duration((drainMoveFirst + (drainMoveLast-drainMoveFirst)*s.drainJitter) * float64(s.handler.Planner.DrainTime))
	var lost []teaselstream.ServerID
	var cmds []teaselstream.Cmd
	for _, p := range s.core.Path {
		m := v.Members[p.Server]
		switch {
		case m == nil:
		case v != s.lastView && m.State == fleet.Down:
			lost = append(lost, p.Server)
		case m.State == fleet.Leaving && now.Sub(m.LeavingSince) > drain && s.handler.Notices.Wait(now, s.first.ID, s.first.Incarnation) <= 0 && s.outlastsDrain(now, m):
			cmds = append(cmds, s.core.MoveOff(now, p.Server)...)
		}
	}
	s.lastView = v
	if s.attemptEvents == 0 && !s.mayRun() {
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
			s.cancel()
			s.reserve(nil)
			s.log("AttemptAborted", slog.LevelInfo, "attempt", c.Attempt, "reason", c.Reason)
		case flow.Probe:
			go s.probe(c)
		case flow.Repath:
			s.moves++
			s.reserve(c.Path)
			go s.repath(c, s.first.Incarnation)
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

// reserve moves this request's counts of tokens and requests in use to the servers of another path.
func (s *streamRunner) reserve(path teaselstream.Path) {
	for _, u := range s.reserved {
		u.OwnTokens.Add(-s.reservedTokens)
		u.OwnRequests.Add(-1)
	}
	s.reserved = s.reserved[:0]
	v := s.handler.View()
	for _, p := range path {
		if m := v.Members[p.Server]; m != nil {
			m.LoadEstimate.OwnTokens.Add(s.reservedTokens)
			m.LoadEstimate.OwnRequests.Add(1)
			s.reserved = append(s.reserved, m.LoadEstimate)
		}
	}
}

func (s *streamRunner) open(c flow.Open) {
	s.cancel()
	s.reserve(c.Path)
	ctx, cancel := context.WithDeadline(context.Background(), s.deadline)
	s.cancel, s.attemptEvents, s.attemptAt = cancel, 0, time.Now()
	// A server that has left the view since the path was planned is known by its place in the path only.
	s.first = fleet.Member{Replica: teaselstream.Replica{ID: c.Path[0].Server, Address: c.Path[0].Address}}
	if m := s.handler.View().Members[c.Path[0].Server]; m != nil {
		s.first = *m
	}
	if c.Attempt > 1 {
		s.handler.Meter.Count(meter.Retry, 1)
		s.log("RequestSentAgain", slog.LevelInfo, "attempt", c.Attempt, "reason", c.Reason, "server", string(c.Path[0].Server),
			"lastEvent", c.LastEvent, "viewAgeMs", time.Since(s.handler.View().At).Milliseconds())
	}
	header := endToEndHeader(s.Header)
	s.handler.Dialect.Dispatch(header, teaselstream.Dispatch{
		Team: s.caller.Team, Server: c.Path[0].Server, TimeLeft: s.timeLeft(time.Now()), Path: c.Path, LastEvent: c.LastEvent,
	})
	m := &outgoingRequest{method: s.Method, target: s.Target, host: s.Host, header: header, body: s.Body}
	first := s.first
	go s.runAttempt(ctx, c, &first, m)
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
		a := s.responses[c.Attempt]
		if a == nil || s.StartResponse(a.status, a.header) != nil {
			return false
		}
		s.firstEventDelay = now.Sub(s.Arrived)
		s.class.FirstToken(s.firstEventDelay)
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
		s.class.TokenGap(now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.events++
	return s.Write(c.Data) == nil
}

func (s *streamRunner) passThrough(c flow.PassThrough) {
	a := s.responses[c.Attempt]
	if a == nil {
		s.refuse(http.StatusBadGateway, &teaselstream.Error{Code: teaselstream.CodeServerLost, Message: "answer is lost"})
		return
	}
	if err := s.Respond(a.status, a.header, a.body); err != nil {
		s.log("AnswerNotDelivered", slog.LevelInfo, "error", err.Error())
	}
	s.recordEnd("PassedOn", teaselstream.Ran, "")
}

func (s *streamRunner) finish(c flow.Finish) {
	switch {
	case c.Refusal != nil:
		if c.Refusal.Code == teaselstream.CodeNoRoute {
			s.logUncovered()
		}
		s.refuse(statusOf(c.Refusal), c.Refusal)
	case c.Complete:
		if err := s.EndResponse(); err != nil {
			s.Abort()
			s.log("AnswerNotDelivered", slog.LevelInfo, "error", err.Error())
		}
		s.handler.streamDurations.add(time.Since(s.Arrived))
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
	for _, r := range s.handler.Planner.Uncovered(now, v, chain.PathRequest{Service: s.pool.Service}) {
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

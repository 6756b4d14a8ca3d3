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
	// vacateFirst and vacateLast are the shares of the drain time between which running streams leave a draining part,
	// each at a time of its own, since the new part has to read all tokens of each.
	vacateFirst = 0.2
	vacateLast  = 0.85
	// orderWait bounds a move's order; replicas answer orders in some milliseconds.
	orderWait = 150 * time.Millisecond
	// messageRoom lets the reader of an answer run ahead of the caller by some events.
	messageRoom = 8
)

type (
	// streamRun is the shell of one model request.
	streamRun struct {
		*request
		core    flow.Stream
		inbox   chan teaselstream.Msg
		done    chan struct{}
		cancel  context.CancelFunc
		answers map[teaselstream.Attempt]*answerHead
		held    []*fleet.LoadEstimate
		tokens  int64
		seen    *fleet.View
		events  int
		lastAt  time.Time
		pauses  time.Duration
		moves   int
		// draw in [0, 1) spreads what many streams do at the same event.
		draw float64
	}

	// answerHead is what is kept of an attempt's answer; body is set for answers that are passed on whole.
	answerHead struct {
		status int
		header http.Header
		body   []byte
	}

	// answered carries an attempt's head to the core and keeps it.
	answered struct {
		flow.Opened
		head answerHead
	}

	// streamPlanner finds paths for one request.
	streamPlanner struct {
		request *request
		ask     chain.PathRequest
	}
)

// stream forwards a model request.
func (r *request) stream() {
	h := r.handler
	answerTokens := r.answerTokens()
	s := &streamRun{
		request: r, inbox: make(chan teaselstream.Msg, messageRoom), done: make(chan struct{}), cancel: func() {},
		answers: make(map[teaselstream.Attempt]*answerHead), tokens: int64(r.head.PromptTokens + answerTokens), lastAt: r.Arrived, draw: h.Rand.Float64(),
	}
	s.core.Options = flow.Options{
		Planner: &streamPlanner{r, chain.PathRequest{
			Service: r.pool.Service, PromptTokens: r.head.PromptTokens, AnswerTokens: answerTokens,
		}},
		MayRetry:  r.mayRetry,
		Resumable: r.route.Resumable || r.route.Idempotent, MaxServers: max(r.route.MaxServers, 1), LastEvent: r.head.LastEvent,
		Objective: r.route.Objective,
	}
	defer s.end()
	cmds := s.core.Update(time.Now(), flow.Start{})
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !s.execute(cmds) {
		cmds = s.next(timer)
	}
}

// mayRetry draws on the retry budget of the service.
func (r *request) mayRetry(begun bool) bool {
	b := r.handler.Budgets.ForService(r.pool.Service)
	if begun {
		return b.Retry(time.Now())
	}
	return b.RetryNew(time.Now())
}

func (r *request) answerTokens() int {
	expected := r.head.ExpectedTokens
	if expected == 0 {
		expected = r.pool.Engine.UsualAnswer
	}
	if r.head.MaxTokens > 0 {
		expected = min(expected, r.head.MaxTokens)
	}
	return max(expected, 1)
}

func (s *streamRun) end() {
	close(s.done)
	s.cancel()
	s.hold(nil)
}

// next waits for the next message and returns what the core makes of it.
func (s *streamRun) next(timer *time.Timer) []teaselstream.Cmd {
	now := time.Now()
	if cmds := s.watch(now); len(cmds) > 0 {
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
		if a, ok := m.(answered); ok {
			s.answers[a.Attempt] = &a.head
			s.observe(now, a.Opened)
			return s.core.Update(now, a.Opened)
		}
		return s.core.Update(now, m)
	case <-s.Gone:
		return s.core.Update(time.Now(), flow.CallerDisconnected{})
	case <-timer.C:
		now = time.Now()
		if !now.Before(s.deadline) {
			return s.core.Update(now, flow.TimedOut{})
		}
		return s.core.Update(now, teaselstream.Tick{})
	}
}

// observe records the load that the first server of the path states in its answer.
func (s *streamRun) observe(now time.Time, o flow.Opened) {
	if o.Answer.NotRun {
		s.log("AttemptRefused", slog.LevelInfo, "attempt", o.Attempt, "status", o.Status, "server", string(s.core.Path[0].Server),
			"fault", o.Answer.Fault, "running", o.Answer.Running, "waiting", o.Answer.Waiting)
	}
	if !o.Answer.HasLoad || o.Attempt != s.core.Attempt {
		return
	}
	if m := s.handler.View().Members[s.core.Path[0].Server]; m != nil {
		m.LoadEstimate.RecordReport(now, o.Answer.Running, o.Answer.Waiting, -1)
	}
}

// watch tells the core what a new view says of the servers on its path.
func (s *streamRun) watch(now time.Time) []teaselstream.Cmd {
	v := s.handler.View()
	drain := time.Duration((vacateFirst + (vacateLast-vacateFirst)*s.draw) * float64(s.handler.Planner.DrainTime))
	var lost []teaselstream.ServerID
	var cmds []teaselstream.Cmd
	for _, p := range s.core.Path {
		m := v.Members[p.Server]
		switch {
		case m == nil:
		case v != s.seen && m.State == fleet.Down:
			lost = append(lost, p.Server)
		case m.State == fleet.Leaving && now.Sub(m.LeavingSince) > drain && s.outlasts(now, m):
			cmds = append(cmds, s.core.MoveOff(now, p.Server)...)
		}
	}
	s.seen = v
	if len(lost) > 0 {
		cmds = append(cmds, s.core.Update(now, flow.ServersDown{Servers: lost})...)
	}
	return cmds
}

// outlasts reports whether the stream probably goes on after a leaving server has ended.
func (s *streamRun) outlasts(now time.Time, m *fleet.Member) bool {
	left := s.handler.Planner.DrainTime - now.Sub(m.LeavingSince)
	expected := s.answerTokens() / max(s.pool.Engine.Stride, 1)
	return flow.Outlasts(expected, s.events, now.Sub(s.Arrived.Add(s.first)), left)
}

// execute carries out commands and reports whether the request has ended.
func (s *streamRun) execute(cmds []teaselstream.Cmd) bool {
	for _, c := range cmds {
		switch c := c.(type) {
		case flow.Open:
			s.open(c)
		case flow.Abort:
			s.cancel()
			s.hold(nil)
			s.log("AttemptAborted", slog.LevelInfo, "attempt", c.Attempt, "reason", c.Reason)
		case flow.Probe:
			go s.probe(c)
		case flow.Repath:
			s.moves++
			s.hold(c.Path)
			go s.repath(c)
		case flow.Deliver:
			if !s.deliver(c) {
				return s.execute(s.core.Update(time.Now(), flow.CallerDisconnected{}))
			}
		case flow.PassThrough:
			s.passOn(c)
			return true
		case flow.Finish:
			s.finish(c)
			return true
		}
	}
	return false
}

// hold moves this request's share of the servers' memory to another path.
func (s *streamRun) hold(path teaselstream.Path) {
	for _, u := range s.held {
		u.OwnTokens.Add(-s.tokens)
		u.OwnRequests.Add(-1)
	}
	s.held = s.held[:0]
	v := s.handler.View()
	for _, p := range path {
		if m := v.Members[p.Server]; m != nil {
			m.LoadEstimate.OwnTokens.Add(s.tokens)
			m.LoadEstimate.OwnRequests.Add(1)
			s.held = append(s.held, m.LoadEstimate)
		}
	}
}

func (s *streamRun) open(c flow.Open) {
	s.cancel()
	s.hold(c.Path)
	ctx, cancel := context.WithDeadline(context.Background(), s.deadline)
	s.cancel = cancel
	if c.Attempt > 1 {
		s.handler.Meter.Count(meter.Retry, 1)
		s.log("RequestSentAgain", slog.LevelInfo, "attempt", c.Attempt, "reason", c.Reason, "server", string(c.Path[0].Server),
			"lastEvent", c.LastEvent, "viewAgeMs", time.Since(s.handler.View().At).Milliseconds())
	}
	header := endToEnd(s.Header)
	s.handler.Dialect.Dispatch(header, teaselstream.Dispatch{
		Team: s.caller.Team, Server: c.Path[0].Server, Left: s.left(time.Now()), Path: c.Path, LastEvent: c.LastEvent,
	})
	m := &message{method: s.Method, target: s.Target, host: s.Host, header: header, body: s.Body}
	go s.read(ctx, c, m)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// deliver hands an event to the caller; it returns false if the caller cannot be reached.
func (s *streamRun) deliver(c flow.Deliver) bool {
	now := time.Now()
	if !s.Begun() {
		a := s.answers[c.Attempt]
		if a == nil || s.Begin(a.status, a.header) != nil {
			return false
		}
		s.first = now.Sub(s.Arrived)
		s.class.FirstToken(s.first)
	} else {
		s.pauses = max(s.pauses, now.Sub(s.lastAt))
		s.class.TokenGap(now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.events++
	return s.Write(c.Data) == nil
}

func (s *streamRun) passOn(c flow.PassThrough) {
	a := s.answers[c.Attempt]
	if a == nil {
		s.refuse(http.StatusBadGateway, &teaselstream.Error{Code: teaselstream.CodeServerLost, Message: "answer is lost"})
		return
	}
	if err := s.Answer(a.status, a.header, a.body); err != nil {
		s.log("AnswerNotDelivered", slog.LevelInfo, "error", err.Error())
	}
	s.finished("PassedOn", teaselstream.Ran)
}

func (s *streamRun) finish(c flow.Finish) {
	switch {
	case c.Refusal != nil:
		if c.Refusal.Code == teaselstream.CodeNoRoute {
			s.logUncovered()
		}
		s.refuse(statusOf(c.Refusal), c.Refusal)
	case c.Complete:
		if err := s.End(); err != nil {
			s.Cut()
			s.log("AnswerNotDelivered", slog.LevelInfo, "error", err.Error())
		}
		s.handler.durations.add(time.Since(s.Arrived))
		s.finished("", teaselstream.Ran)
	case c.CallerLeft:
		s.Cut()
		s.finished(teaselstream.CodeCanceled, teaselstream.Unknown)
	default:
		s.Cut()
		s.finished(teaselstream.CodeServerLost, teaselstream.Unknown)
	}
}

// logUncovered says which layers no server holds for a request without a path, and which links count as cut.
func (s *streamRun) logUncovered() {
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

func (s *streamRun) finished(code teaselstream.Code, o teaselstream.Outcome) {
	s.ended(code, o)
	s.log("RequestEnded", slog.LevelInfo, "code", string(code), "firstMs", s.first.Milliseconds(), "events", s.events,
		"longestPauseMs", s.pauses.Milliseconds(), "attempts", s.core.Attempt, "moves", s.moves, "path", s.core.Path.Servers())
}

package status

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/ramp"
)

// Handlers returns the handlers of the paths that other VMs call.
func (s *Service) Handlers() map[string]fasthttp.RequestHandler {
	return map[string]fasthttp.RequestHandler{askPath: s.handleAsk, stallPath: s.handleStall, reportPath: s.handleReport}
}

// Publish passes a record of the observing VM on to the others.
func (s *Service) Publish(p Publish) { s.journal.add(time.Now(), p.Record, p.News, false) }

// handleAsk answers with the records that a VM does not have, and holds the call until there is news.
func (s *Service) handleAsk(c *fasthttp.RequestCtx) {
	q, err := decodeAsk(c.PostBody())
	if err != nil {
		s.reject(c)
		return
	}
	if !s.observes() {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	foreign := q.Domain != "" && q.Domain != s.Self.Domain
	if !foreign {
		s.journal.setTeams(time.Now(), q.VM, q.Teams)
		if len(q.Samples) > 0 {
			s.Post(ramp.Samples{From: q.VM, Counts: q.Samples})
		}
	}
	news := s.journal.nextNews()
	if a := s.journal.since(time.Now(), q.Boot, q.After, foreign); a.Boot == q.Boot && !hasNews(a.Records) {
		limit := time.NewTimer(holdTime)
		select {
		case <-news:
		case <-limit.C:
		}
		limit.Stop()
	}
	if !s.observes() {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	now := time.Now()
	a := s.journal.since(now, q.Boot, q.After, foreign)
	if !foreign {
		a.Teams, a.Shares = s.journal.teamLoads(now), s.Shares()
	}
	s.respond(c, a)
}

// hasNews reports whether a record tells of a server that is not reached; a VM that was not asking at that moment learns it at once.
func hasNews(records []Record) bool {
	for _, r := range records {
		if r.State != 0 && r.Age < holdTime {
			return true
		}
	}
	return false
}

func (s *Service) handleStall(c *fasthttp.RequestCtx) {
	q, err := decodeStall(c.PostBody())
	if err != nil {
		s.reject(c)
		return
	}
	if !s.observes() {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.takeStalls(q)
}

func (s *Service) handleReport(c *fasthttp.RequestCtx) {
	if !s.observes() {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	id := teaselstream.ServerID(c.QueryArgs().Peek(serverParameter))
	report, err := s.ReadReport(id)
	if err != nil && !s.Unanswered(err) {
		// This VM has not asked the server, which says nothing about it.
		s.Log.Info("ReportNotRead", "server", string(id), "error", err.Error())
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.respond(c, ReportAnswer{Unanswered: err != nil, Report: report})
}

// observes reports whether this VM observes and reaches servers itself.
func (s *Service) observes() bool { return s.observing.Load() && !s.Isolated() }

func (s *Service) reject(c *fasthttp.RequestCtx) {
	s.rejected.Add(1)
	c.SetStatusCode(fasthttp.StatusBadRequest)
}

func (s *Service) respond(c *fasthttp.RequestCtx, x any) {
	body, err := encode(x)
	if err != nil {
		s.Log.Error("AnswerNotEncoded", "error", err)
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetBody(body)
}

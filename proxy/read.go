package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/flow"
)

// post queues a message for the core unless the request or ctx has ended.
func (s *streamRunner) post(ctx context.Context, m teaselstream.Msg) bool {
	select {
	case s.inbox <- m:
		return true
	case <-s.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// runAttempt sends one attempt and posts its response to the core.
func (s *streamRunner) runAttempt(ctx context.Context, c flow.Open, first *fleet.Member, m *outgoingRequest) {
	h := s.handler
	a, err := h.send(ctx, first, reuseFor(s.core.Resumable, c.Attempt > 1), m, s.head.Attempt)
	if err != nil {
		if ctx.Err() == nil && dialFailed(err) {
			h.reportUnreachable(c.Path[0].Server)
		}
		s.post(ctx, flow.Closed{Attempt: c.Attempt, NotSent: notSent(err), Reason: err.Error()})
		return
	}
	opened := openedResponse{flow.Opened{Attempt: c.Attempt, Status: a.status, Answer: a.head}, savedResponse{status: a.status, header: a.header}, a.held}
	if a.status/100 != 2 || !a.isEventStream() {
		opened.Whole = true
		body, err := a.readAll(&h.pool, maxTextBytes)
		if err != nil {
			h.reportInvalid(first, s.head.Attempt, err)
			s.post(ctx, flow.Closed{Attempt: c.Attempt, Reason: err.Error()})
			return
		}
		opened.head.body = body
		h.reportRefusal(a, c.Path)
		if s.post(ctx, opened) && a.status/100 == 2 && s.post(ctx, flow.Event{Attempt: c.Attempt, Data: body}) {
			s.post(ctx, flow.Closed{Attempt: c.Attempt, Complete: true})
		}
		return
	}
	if s.post(ctx, opened) {
		s.readEvents(ctx, c.Attempt, first, a)
		return
	}
	a.conn.discard()
}

func (s *streamRunner) readEvents(ctx context.Context, n teaselstream.Attempt, first *fleet.Member, a *upstreamResponse) {
	r := bufio.NewReaderSize(a.held.Reader(a.body), readBufferBytes)
	for {
		data, id, err := readEvent(r)
		if err == nil {
			if !s.post(ctx, flow.Event{Attempt: n, ID: id, Data: data}) {
				a.conn.discard()
				return
			}
			continue
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			a.release(&s.handler.pool)
			s.post(ctx, flow.Closed{Attempt: n, Complete: true})
			return
		}
		a.conn.discard()
		s.handler.reportInvalid(first, s.head.Attempt, err)
		s.post(ctx, flow.Closed{Attempt: n, Reason: err.Error()})
		return
	}
}

// reportUnreachable makes the control loop probe a server that could not be connected to, so that other requests avoid it if it is down.
func (h *Handler) reportUnreachable(id teaselstream.ServerID) {
	m := h.View().Members[id]
	if m == nil || m.State == fleet.Down {
		return
	}
	h.Post(fleet.Unreachable{Server: id, Incarnation: m.Incarnation, Reason: "connection not established"})
}

// reportRefusal reports to the control loop which server on the path refused a request without running it.
func (h *Handler) reportRefusal(a *upstreamResponse, path teaselstream.Path) {
	if !a.head.NotRun {
		return
	}
	id := path[0].Server
	if m := h.View().ByAddress(a.head.Fault); a.head.Fault != "" && m != nil {
		id = m.ID
	}
	m := fleet.WorkRefused{Server: id, ReportedBy: path[0].Server, WrongLayers: a.status == http.StatusMisdirectedRequest}
	if id == path[0].Server {
		m.Wait = a.head.Wait
	}
	h.Post(m)
}

func (s *streamRunner) probe(c flow.Probe) {
	h := s.handler
	v := h.View()
	head := v.Members[c.Path[0].Server]
	if head == nil {
		s.post(context.Background(), flow.Probed{Attempt: c.Attempt, Unresponsive: true})
		return
	}
	report, err := h.prober.readReport(h, head, c.Waited >= directProbeAfter)
	stalled := report.WaitsFor(s.head.Attempt)
	s.log("PathProbed", slog.LevelInfo, "attempt", c.Attempt, "server", string(head.ID), "waitedMs", c.Waited.Milliseconds(),
		"stalled", stalled, "running", report.Running, "waiting", report.Waiting, "error", errorText(err))
	s.post(context.Background(), flow.Probed{Attempt: c.Attempt, Unresponsive: err != nil && !errors.Is(err, ErrWithheld), BlockedOn: stalled})
	if m := v.ByAddress(stalled); stalled != "" && m != nil {
		// The stalled server is probed itself. If it does not respond, other streams leave it once the next view marks it.
		if _, err := h.prober.readReport(h, m, c.Waited >= directProbeAfter); err != nil && !errors.Is(err, ErrWithheld) {
			s.log("PartSilent", slog.LevelInfo, "server", string(m.ID), "error", err.Error())
		}
	}
}

// repath asks the first server of a path, of the given incarnation, to move the request to another path.
func (s *streamRunner) repath(c flow.Repath, incarnation teaselstream.Incarnation) {
	ctx, cancel := context.WithTimeout(context.Background(), repathTimeout)
	defer cancel()
	err := s.handler.CheckWait(c.Path[0].Server, incarnation)
	if err == nil {
		err = s.handler.Replicas.Repath(ctx, s.head.Attempt, c.Path)
		s.handler.ObserveWait(c.Path[0].Server, incarnation, err)
	}
	s.log("RequestMoved", slog.LevelInfo, "attempt", c.Attempt, "reason", c.Reason, "error", errorText(err))
	moved := flow.Repathed{Attempt: c.Attempt, Err: err}
	var refused *teaselstream.PartRefusedError
	if errors.As(err, &refused) {
		moved.Fault = refused.Address
		if m := s.handler.View().ByAddress(refused.Address); m != nil {
			s.handler.Post(fleet.WorkRefused{Server: m.ID, ReportedBy: c.Path[0].Server})
		}
	}
	s.post(context.Background(), moved)
}

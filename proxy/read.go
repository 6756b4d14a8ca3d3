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

// tell hands a message to the core unless the request has ended.
func (s *streamRun) tell(ctx context.Context, m teaselstream.Msg) bool {
	select {
	case s.inbox <- m:
		return true
	case <-s.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// read sends one attempt and reports its answer to the core.
func (s *streamRun) read(ctx context.Context, c flow.Open, m *message) {
	h := s.handler
	fresh := !s.core.Resumable
	a, err := h.send(ctx, c.Path[0].Address, fresh, m, s.head.Attempt)
	if err != nil {
		if ctx.Err() == nil && refusedConnection(err) {
			h.suspect(c.Path[0].Server)
		}
		s.tell(ctx, flow.Closed{Attempt: c.Attempt, NotSent: notSent(err), Reason: err.Error()})
		return
	}
	opened := answered{flow.Opened{Attempt: c.Attempt, Status: a.status, Answer: a.head}, answerHead{status: a.status, header: a.header}}
	if a.status/100 != 2 || !a.isEvents() {
		body, err := a.whole(&h.pool)
		if err != nil {
			s.tell(ctx, flow.Closed{Attempt: c.Attempt, Reason: err.Error()})
			return
		}
		opened.head.body = body
		h.refusal(a, c.Path)
		if s.tell(ctx, opened) && a.status/100 == 2 && s.tell(ctx, flow.Event{Attempt: c.Attempt, Data: body}) {
			s.tell(ctx, flow.Closed{Attempt: c.Attempt, Complete: true})
		}
		return
	}
	if s.tell(ctx, opened) {
		s.readEvents(ctx, c.Attempt, a)
		return
	}
	a.conn.discard()
}

func (s *streamRun) readEvents(ctx context.Context, n teaselstream.Attempt, a *answer) {
	r := bufio.NewReaderSize(a.body, readBuffer)
	for {
		data, id, err := readEvent(r)
		if err == nil {
			if !s.tell(ctx, flow.Event{Attempt: n, ID: id, Data: data}) {
				a.conn.discard()
				return
			}
			continue
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			a.release(&s.handler.pool)
			s.tell(ctx, flow.Closed{Attempt: n, Complete: true})
			return
		}
		a.conn.discard()
		s.tell(ctx, flow.Closed{Attempt: n, Reason: err.Error()})
		return
	}
}

// suspect has a server that refused a connection probed, so that other requests avoid it if it is gone.
func (h *Handler) suspect(id teaselstream.ServerID) {
	m := h.View().Members[id]
	if m == nil || m.State == fleet.Down {
		return
	}
	h.Post(fleet.Unreachable{Server: id, Incarnation: m.Incarnation, Reason: "connection not established"})
}

// refusal tells the control side which server refused work as not run.
func (h *Handler) refusal(a *answer, path teaselstream.Path) {
	if !a.head.NotRun {
		return
	}
	id := path[0].Server
	if m := h.View().ByAddress(a.head.Fault); a.head.Fault != "" && m != nil {
		id = m.ID
	}
	h.Post(fleet.WorkRefused{Server: id, ReportedBy: path[0].Server, WrongLayers: a.status == http.StatusMisdirectedRequest})
}

func (s *streamRun) probe(c flow.Probe) {
	h := s.handler
	v := h.View()
	head := v.Members[c.Path[0].Server]
	if head == nil {
		s.tell(context.Background(), flow.Probed{Attempt: c.Attempt, Unresponsive: true})
		return
	}
	report, err := h.prober.read(h, head)
	stalled := report.WaitsFor(s.head.Attempt)
	s.log("PathProbed", slog.LevelInfo, "attempt", c.Attempt, "server", string(head.ID), "waitedMs", c.Waited.Milliseconds(),
		"stalled", stalled, "running", report.Running, "waiting", report.Waiting, "error", errorText(err))
	s.tell(context.Background(), flow.Probed{Attempt: c.Attempt, Unresponsive: err != nil, BlockedOn: stalled})
	if m := v.ByAddress(stalled); stalled != "" && m != nil {
		// Other streams leave the part too if it does not answer itself. The result reaches them with the next view.
		if _, err := h.prober.read(h, m); err != nil {
			s.log("PartSilent", slog.LevelInfo, "server", string(m.ID), "error", err.Error())
		}
	}
}

func (s *streamRun) repath(c flow.Repath) {
	ctx, cancel := context.WithTimeout(context.Background(), orderWait)
	defer cancel()
	err := s.handler.Replicas.Repath(ctx, s.head.Attempt, c.Path)
	s.log("RequestMoved", slog.LevelInfo, "attempt", c.Attempt, "reason", c.Reason, "error", errorText(err))
	moved := flow.Repathed{Attempt: c.Attempt, Err: err}
	var refused *teaselstream.RefusedPart
	if errors.As(err, &refused) {
		moved.Fault = refused.Address
		if m := s.handler.View().ByAddress(refused.Address); m != nil {
			s.handler.Post(fleet.WorkRefused{Server: m.ID, ReportedBy: c.Path[0].Server})
		}
	}
	s.tell(context.Background(), moved)
}

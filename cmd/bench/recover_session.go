package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/relay"
)

type (
	// recoverSession is one request on a VM. It runs the real relay core and simulates the I/O around it.
	recoverSession struct {
		vm     *recoverVM
		relay  *relay.Relay
		stream *fakeStream
		plan   teaselstream.Plan
		// planned means that the planner counts the current plan as running.
		planned  bool
		sequence teaselstream.Sequence
		finished bool
		// tokens holds the times at which the caller received its tokens.
		tokens []time.Duration
	}
)

const sessionTick = 100 * time.Millisecond

var errReset = errors.New("connection reset")

// startSession starts a request on the VM.
func (v *recoverVM) startSession() {
	w := v.sim
	w.next++
	q := teaselstream.StreamRequest{Request: teaselstream.RequestID(fmt.Sprintf("r%d", w.next)), Model: layoutModel, MaxTokens: recoverAnswerTokens}
	s := &recoverSession{vm: v}
	s.relay = relay.New(relay.Config{
		Request: q, Layers: w.doc.Models[layoutModel].Layers, PromptTokens: recoverPromptTokens,
		Plan: func(now time.Time, r teaselstream.PlanRequest) (teaselstream.Plan, bool) {
			if v.control.Snapshot == nil {
				return teaselstream.Plan{}, false
			}
			return v.planner.Plan(now, v.control.Snapshot, r)
		},
		Deadline: w.control.Queue.Now().Add(30 * time.Second),
	})
	v.sessions[s] = true
	s.update(relay.Start{})
	s.tick()
}

func (s *recoverSession) tick() {
	s.vm.sim.after(sessionTick, func() {
		if s.finished || !s.vm.alive {
			return
		}
		if !s.vm.paused {
			s.update(teaselstream.Tick{})
		}
		s.tick()
	})
}

// post delivers a message from the network to the relay after a delay.
func (s *recoverSession) post(d time.Duration, m teaselstream.Msg) {
	s.vm.sim.after(d, func() { s.vm.deliver(func() { s.update(m) }) })
}

func (s *recoverSession) update(m teaselstream.Msg) {
	if s.finished {
		return
	}
	for _, c := range s.relay.Update(s.vm.sim.control.Queue.Now(), m) {
		switch c := c.(type) {
		case *relay.EmitToken:
			s.tokens = append(s.tokens, s.vm.sim.control.Elapsed())
		case relay.OpenStream:
			s.openStream(c)
		case relay.CancelStream:
			s.closeStream()
		case relay.ProbeChain:
			s.probe(c)
		case relay.ExportCache:
			s.post(2*oneWayDelay, relay.CacheExported{Server: c.Server})
		case relay.ReportServer:
			s.vm.report(c)
		case relay.Finish:
			s.finish(c)
		}
	}
}

func (s *recoverSession) openStream(c relay.OpenStream) {
	v, w, q := s.vm, s.vm.sim, c.Request
	s.closeStream()
	s.plan, s.planned, s.sequence = c.Plan, true, 0
	v.planner.Started(w.control.Queue.Now(), c.Plan)
	head := q.Chain[0].Server
	switch {
	case w.silent[head] || !v.reaches(head):
		return
	case w.engines.servers[head].down:
		s.post(2*oneWayDelay, relay.StreamFailed{Attempt: q.Attempt, Err: fmt.Errorf("refused: %w", teaselstream.ErrUnavailable)})
		return
	}
	f := &fakeStream{chain: q.Chain, tokens: q.MaxTokens - len(q.Emitted), prompt: recoverPromptTokens + len(q.Emitted)}
	s.stream = f
	f.token = func(_ *fakeStream, n int) { s.token(q, len(q.Emitted)+n-1) }
	f.done = func(*fakeStream) {
		s.sequence++
		s.receive(head, teaselstream.DoneEvent{Request: q.Request, Attempt: q.Attempt, Sequence: s.sequence, Reason: "length", Tokens: q.MaxTokens})
	}
	f.lost = func(_ *fakeStream, id teaselstream.ServerID) { s.lost(q, id) }
	w.after(oneWayDelay, func() {
		if !f.ended {
			w.engines.start(f)
		}
	})
}

func (s *recoverSession) token(q teaselstream.StreamRequest, index int) {
	s.sequence++
	e := &teaselstream.TokenEvent{Request: q.Request, Attempt: q.Attempt, Sequence: s.sequence, Index: teaselstream.TokenIndex(index), Text: "x"}
	for _, h := range q.Chain {
		e.Receipts = append(e.Receipts, teaselstream.Receipt{Server: h.Server, From: h.From, To: h.To})
	}
	s.receive(q.Chain[0].Server, e)
}

// receive delivers an event from the head of a chain unless the network between it and the VM is cut.
func (s *recoverSession) receive(head teaselstream.ServerID, m teaselstream.Msg) {
	if s.vm.reaches(head) {
		s.post(oneWayDelay, m)
	}
}

// lost reports a lost stage to the relay. The loss of a silent or unreachable server is reported to no one.
func (s *recoverSession) lost(q teaselstream.StreamRequest, id teaselstream.ServerID) {
	w := s.vm.sim
	head := q.Chain[0].Server
	switch {
	case w.silent[id] || w.engines.cut(w.doc.Servers[head].Domain, w.doc.Servers[id].Domain):
	case id == head:
		s.receive(head, relay.StreamFailed{Attempt: q.Attempt, Err: errReset})
	default:
		for i, h := range q.Chain {
			if h.Server == id {
				s.receive(head, teaselstream.LostEvent{Request: q.Request, Attempt: q.Attempt, Stage: teaselstream.StageIndex(i), Server: id})
			}
		}
	}
}

func (s *recoverSession) probe(c relay.ProbeChain) {
	m := relay.ProbeResult{Attempt: c.Attempt}
	for _, h := range c.Chain {
		if s.vm.sim.engines.servers[h.Server].down || !s.vm.reaches(h.Server) {
			m.Silent = append(m.Silent, h.Server)
		}
	}
	s.post(probeTimeout, m)
}

// probeTimeout is how long the process around the relay waits for the answers of a chain before it reports servers as
// silent.
const probeTimeout = 200 * time.Millisecond

// closeStream ends the current attempt at the engines and removes it from the planner's counts.
func (s *recoverSession) closeStream() {
	if s.planned {
		s.planned = false
		s.vm.planner.Finished(s.vm.sim.control.Queue.Now(), s.plan)
	}
	if f := s.stream; f != nil {
		s.stream = nil
		s.vm.sim.engines.cancel(f)
	}
}

func (s *recoverSession) finish(c relay.Finish) {
	w := s.vm.sim
	s.discard()
	if c.Code == "" {
		w.delivered = append(w.delivered, s.tokens...)
		return
	}
	w.after(max(c.RetryAfter, 2*oneWayDelay), w.sendRequest)
}

// discard ends the session without an answer.
func (s *recoverSession) discard() {
	s.finished = true
	delete(s.vm.sessions, s)
	s.closeStream()
}

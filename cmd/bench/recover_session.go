package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/relay"
)

type (
	// recoverSession is one request on a VM: its relay with the shell replaced.
	recoverSession struct {
		vm     *recoverVM
		relay  *relay.Relay
		stream *fakeStream
		plan   teaselstream.Plan
		// planned means that the planner counts the plan as running.
		planned  bool
		sequence teaselstream.Sequence
		over     bool
		// tokens holds the times at which the caller got its tokens.
		tokens []time.Duration
	}
)

const sessionTick = 100 * time.Millisecond

var errReset = errors.New("connection reset")

// open starts a request on the VM.
func (v *recoverVM) open() {
	w := v.world
	w.next++
	q := teaselstream.StreamRequest{Request: teaselstream.RequestID(fmt.Sprintf("r%d", w.next)), Model: layoutModel, MaxTokens: recoverTokens}
	s := &recoverSession{vm: v}
	s.relay = relay.New(relay.Config{
		Request: q, Layers: w.doc.Models[layoutModel].Layers, PromptTokens: recoverPrompt,
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
	s.vm.world.after(sessionTick, func() {
		if s.over || !s.vm.alive {
			return
		}
		if !s.vm.paused {
			s.update(teaselstream.Tick{})
		}
		s.tick()
	})
}

// post gives the relay a message from the network.
func (s *recoverSession) post(d time.Duration, m teaselstream.Msg) {
	s.vm.world.after(d, func() { s.vm.deliver(func() { s.update(m) }) })
}

func (s *recoverSession) update(m teaselstream.Msg) {
	if s.over {
		return
	}
	for _, c := range s.relay.Update(s.vm.world.control.Queue.Now(), m) {
		switch c := c.(type) {
		case *relay.EmitToken:
			s.tokens = append(s.tokens, s.vm.world.control.Elapsed())
		case relay.OpenStream:
			s.openStream(c)
		case relay.CancelStream:
			s.closeStream()
		case relay.ProbeChain:
			s.probe(c)
		case relay.ExportCache:
			s.post(2*oneWay, relay.CacheExported{Server: c.Server})
		case relay.ReportServer:
			s.vm.report(c)
		case relay.Finish:
			s.finish(c)
		}
	}
}

func (s *recoverSession) openStream(c relay.OpenStream) {
	v, w, q := s.vm, s.vm.world, c.Request
	s.closeStream()
	s.plan, s.planned, s.sequence = c.Plan, true, 0
	v.planner.Started(w.control.Queue.Now(), c.Plan)
	head := q.Chain[0].Server
	switch {
	case w.silent[head] || !v.reaches(head):
		return
	case w.engines.servers[head].down:
		s.post(2*oneWay, relay.StreamFailed{Attempt: q.Attempt, Err: fmt.Errorf("refused: %w", teaselstream.ErrUnavailable)})
		return
	}
	f := &fakeStream{chain: q.Chain, tokens: q.MaxTokens - len(q.Emitted), prompt: recoverPrompt + len(q.Emitted)}
	s.stream = f
	f.token = func(_ *fakeStream, n int) { s.token(q, len(q.Emitted)+n-1) }
	f.done = func(*fakeStream) {
		s.sequence++
		s.arrive(head, teaselstream.DoneEvent{Request: q.Request, Attempt: q.Attempt, Sequence: s.sequence, Reason: "length", Tokens: q.MaxTokens})
	}
	f.lost = func(_ *fakeStream, id teaselstream.ServerID) { s.lost(q, id) }
	w.after(oneWay, func() {
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
	s.arrive(q.Chain[0].Server, e)
}

// arrive carries an event from the head of a chain, unless the network is cut.
func (s *recoverSession) arrive(head teaselstream.ServerID, m teaselstream.Msg) {
	if s.vm.reaches(head) {
		s.post(oneWay, m)
	}
}

// lost tells the relay of a lost stage; nobody learns of a silent one.
func (s *recoverSession) lost(q teaselstream.StreamRequest, id teaselstream.ServerID) {
	w := s.vm.world
	head := q.Chain[0].Server
	switch {
	case w.silent[id] || w.engines.cut(w.doc.Servers[head].Domain, w.doc.Servers[id].Domain):
	case id == head:
		s.arrive(head, relay.StreamFailed{Attempt: q.Attempt, Err: errReset})
	default:
		for i, h := range q.Chain {
			if h.Server == id {
				s.arrive(head, teaselstream.LostEvent{Request: q.Request, Attempt: q.Attempt, Stage: teaselstream.StageIndex(i), Server: id})
			}
		}
	}
}

func (s *recoverSession) probe(c relay.ProbeChain) {
	m := relay.ProbeResult{Attempt: c.Attempt}
	for _, h := range c.Chain {
		if s.vm.world.engines.servers[h.Server].down || !s.vm.reaches(h.Server) {
			m.Silent = append(m.Silent, h.Server)
		}
	}
	s.post(probeTime, m)
}

// probeTime is how long the shell waits for the answers of a chain before it calls a server silent.
const probeTime = 200 * time.Millisecond

// closeStream ends the current attempt at the engines and in the planner's counts.
func (s *recoverSession) closeStream() {
	if s.planned {
		s.planned = false
		s.vm.planner.Finished(s.vm.world.control.Queue.Now(), s.plan)
	}
	if f := s.stream; f != nil {
		s.stream = nil
		s.vm.world.engines.cancel(f)
	}
}

func (s *recoverSession) finish(c relay.Finish) {
	w := s.vm.world
	s.drop()
	if c.Code == "" {
		w.delivered = append(w.delivered, s.tokens...)
		return
	}
	w.after(max(c.RetryAfter, 2*oneWay), w.arrive)
}

// drop ends the session without an answer.
func (s *recoverSession) drop() {
	s.over = true
	delete(s.vm.sessions, s)
	s.closeStream()
}

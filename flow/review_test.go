package flow

import (
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// Guards against a stream that waits for ever because the server of its replacement does not answer either. Both servers are silent, as
// servers are that pause at the same time, and a third one has room.
func TestReviewSilentReplacementIsReplaced(t *testing.T) {
	p := &scriptPlanner{down: map[teaselstream.ServerID]bool{}, paths: []teaselstream.Path{pathOf("a,b"), pathOf("c,d"), pathOf("e,f")}}
	s := &Stream{Options: Options{Planner: p, MaxServers: 3, Resumable: true, MayRetry: func(bool) bool { return true }}}
	start := time.Unix(1000, 0)
	now := start
	s.Update(now, Start{})
	s.Update(now, Opened{Attempt: 1, Status: 200})
	s.Update(now, Event{Attempt: 1, ID: 1})
	for now.Sub(start) < 2*time.Second {
		now = now.Add(10 * time.Millisecond)
		for _, c := range s.Update(now, teaselstream.Tick{}) {
			if c, ok := c.(Probe); ok {
				now = now.Add(180 * time.Millisecond)
				s.Update(now, Probed{Attempt: c.Attempt, Unresponsive: true})
			}
		}
		if s.Attempt >= 3 || s.replacement.attempt >= 3 {
			return
		}
	}
	t.Errorf("2 s after the last event the request was sent %d times, and never to e", s.attempts)
}

// Guards against a hedge that finds no replica and so uses up the attempts of a call that its first replica then refuses as not run.
func TestReviewHedgeWithoutReplica(t *testing.T) {
	c := &Call{CallOptions: CallOptions{Idempotent: true, MaxServers: 2, MayRetry: func() bool { return true }}}
	c.Update(CallStart{})
	c.Update(CallHedgeDue{})
	c.Update(CallNoReplica{AttemptNumber: 2})
	for _, cmd := range c.Update(CallAnswered{AttemptNumber: 1, Status: 503, NotRun: true}) {
		if _, ok := cmd.(CallSend); ok {
			return
		}
	}
	t.Error("the call is not sent again after a refusal, although it was sent once")
}

// Guards against a replica's own answer that is replaced by a 504 because a second send is still under way at the deadline.
func TestReviewFailureAnswerAtDeadline(t *testing.T) {
	c := &Call{CallOptions: CallOptions{Idempotent: true, MaxServers: 2, MayRetry: func() bool { return true }}}
	c.Update(CallStart{})
	c.Update(CallAnswered{AttemptNumber: 1, Status: 500})
	if cmds := c.Update(TimedOut{}); len(cmds) != 1 || cmds[0] != (CallDeliver{1}) {
		t.Errorf("got %v, want the answer of attempt 1", cmds)
	}
}

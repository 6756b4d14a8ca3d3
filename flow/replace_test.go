package flow

import (
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// Guards against a stream that waits for ever because the server of its replacement does not answer either. Both servers are silent, as
// servers are that pause at the same time, and a third one has room.
func TestSilentReplacementIsReplaced(t *testing.T) {
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

// Guards against a stream whose servers answer probes but make no events, and that is opened elsewhere only after its caller has left:
// callers disconnect after 2 s without an event.
func TestHungStreamIsReplacedInTime(t *testing.T) {
	p := &scriptPlanner{down: map[teaselstream.ServerID]bool{}, paths: []teaselstream.Path{pathOf("a,b"), pathOf("c,d")}}
	s := &Stream{Options: Options{Planner: p, MaxServers: 2, Resumable: true, MayRetry: func(bool) bool { return true }}}
	start := time.Unix(1000, 0)
	s.Update(start, Start{})
	s.Update(start, Opened{Attempt: 1, Status: 200})
	s.Update(start, Event{Attempt: 1, ID: 1})
	for now := start; now.Sub(start) < 2*hungTimeout; {
		now = s.NextTick()
		for _, c := range s.Update(now, teaselstream.Tick{}) {
			switch c.(type) {
			case Probe:
				s.Update(now.Add(5*time.Millisecond), Probed{Attempt: 1})
			case Open:
				if waited := now.Sub(start); waited > hungTimeout+100*time.Millisecond {
					t.Errorf("the request was opened elsewhere after %s, want %s", waited, hungTimeout)
				}
				return
			}
		}
	}
	t.Error("the request was not opened elsewhere")
}

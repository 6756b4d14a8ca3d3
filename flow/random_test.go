package flow

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// randomRun drives a stream with random messages in virtual time and executes its commands as proxy.streamRunner does.
type randomRun struct {
	*rand.Rand
	s       *Stream
	p       *scriptPlanner
	now     time.Time
	log     strings.Builder
	live    map[teaselstream.Attempt]teaselstream.Path
	opened  map[teaselstream.Attempt]bool
	used    map[teaselstream.Attempt]bool
	next    map[teaselstream.Attempt]uint64
	probes  []teaselstream.Attempt
	moves   []teaselstream.Attempt
	budget  int
	problem string
}

func (r *randomRun) update(what string, m teaselstream.Msg) { r.run(what, r.s.Update(r.now, m)) }

func (r *randomRun) run(what string, cmds []teaselstream.Cmd) {
	fmt.Fprintf(&r.log, "%s %s\n", r.now.Sub(time.Unix(1000, 0)), what)
	for _, c := range cmds {
		fmt.Fprintf(&r.log, "  %s\n", describe(c))
		switch c := c.(type) {
		case Open:
			if r.used[c.Attempt] {
				r.problem = "attempt number used twice"
			}
			r.used[c.Attempt] = true
			if c.Attempt == r.s.Attempt {
				clear(r.live)
			}
			for _, p := range r.live {
				if p[0].Server == c.Path[0].Server {
					r.problem = "two attempts at one first server"
				}
			}
			r.live[c.Attempt], r.next[c.Attempt] = c.Path, c.LastEvent+1
		case Abort:
			delete(r.live, c.Attempt)
		case Probe:
			r.probes = append(r.probes, c.Attempt)
		case Repath:
			if len(r.moves) > 0 && r.moves[len(r.moves)-1] == c.Attempt {
				r.problem = "two moves of an attempt at a time"
			}
			if _, ok := r.live[c.Attempt]; !ok {
				r.problem = "a move of an attempt that has ended"
			}
			r.moves = append(r.moves, c.Attempt)
		}
	}
	r.check()
}

func (r *randomRun) check() {
	if r.s.done || r.problem != "" {
		return
	}
	if n := r.s.replacement.attempt; n != 0 && r.live[n] == nil {
		r.problem = "the replacement has ended and is still pending"
	}
	if r.s.reopenAt.IsZero() && r.live[r.s.Attempt] == nil {
		r.problem = "the running attempt has ended and nothing follows"
	}
	if len(r.live) > 2 {
		r.problem = "three attempts at a time"
	}
}

func (r *randomRun) pickLive() teaselstream.Attempt {
	for n := range r.live {
		return n
	}
	return 0
}

func (r *randomRun) step() {
	switch k := r.IntN(20); {
	case k < 6:
		if len(r.probes)+len(r.moves) > 0 {
			// Probes and moves end within 180 ms.
			r.now = r.now.Add(time.Millisecond)
		} else if at := r.s.NextTick(); at.After(r.now) {
			r.now = at
		}
		r.update("tick", teaselstream.Tick{})
		if at := r.s.NextTick(); !r.s.done && !at.After(r.now) {
			r.problem = "the next tick is due at once"
		}
	case k < 7:
		r.now = r.now.Add(time.Duration(r.IntN(60)) * time.Millisecond)
	case k < 9 && len(r.probes) > 0:
		n := r.probes[0]
		r.probes = r.probes[1:]
		m := Probed{Attempt: n, Unresponsive: r.IntN(3) == 0}
		if r.IntN(3) == 0 {
			m.BlockedOn = string("abcdefgh"[r.IntN(8)])
		}
		r.update(fmt.Sprintf("probed %+v", m), m)
	case k < 11 && len(r.moves) > 0:
		n := r.moves[0]
		r.moves = r.moves[1:]
		m := Repathed{Attempt: n}
		switch r.IntN(3) {
		case 0:
			m.Err = teaselstream.ErrConflict
		case 1:
			m.Err = teaselstream.ErrOutcomeUnknown
		}
		r.update(fmt.Sprintf("moved %+v", m), m)
	case k < 12:
		r.run("vacate", r.s.MoveOff(r.now, teaselstream.ServerID("abcdefgh"[r.IntN(8):][:1]), "part is leaving"))
	case k < 13 && len(r.s.Path) > 0:
		id := r.s.Path[r.IntN(len(r.s.Path))].Server
		r.update("lost "+string(id), ServersDown{[]teaselstream.ServerID{id}})
	case k < 14:
		r.budget = r.IntN(4)
	default:
		r.answer()
	}
}

func (r *randomRun) answer() {
	n := r.pickLive()
	if n == 0 {
		return
	}
	switch k := r.IntN(10); {
	case !r.opened[n] && k < 2:
		r.update(fmt.Sprintf("refused %d", n), Opened{Attempt: n, Status: 503, Answer: teaselstream.AnswerHead{NotRun: true}})
		delete(r.live, n)
	case !r.opened[n] && k < 8:
		r.opened[n] = true
		r.update(fmt.Sprintf("opened %d", n), Opened{Attempt: n, Status: 200})
	case k < 1:
		delete(r.live, n)
		r.update(fmt.Sprintf("closed %d", n), Closed{Attempt: n, Reason: "reset", NotSent: !r.opened[n]})
	case r.opened[n]:
		id := r.next[n]
		r.next[n]++
		r.update(fmt.Sprintf("event %d %d", n, id), Event{Attempt: n, ID: id, Data: []byte("data: x\n\n")})
	}
}

// Guards against faults that only some orders of messages show: attempts that end and are waited for, two at one server, two moves at a
// time, ticks without pause.
func TestRandomStreams(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(3000) {
		r := &randomRun{
			Rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), live: map[teaselstream.Attempt]teaselstream.Path{},
			opened: map[teaselstream.Attempt]bool{}, used: map[teaselstream.Attempt]bool{}, next: map[teaselstream.Attempt]uint64{}, budget: 2,
		}
		r.p = &scriptPlanner{down: map[teaselstream.ServerID]bool{}}
		for _, x := range []string{"a,b", "a,c", "d,b", "e,f", "g,h"} {
			r.p.paths = append(r.p.paths, pathOf(x))
		}
		r.s = &Stream{Options: Options{Planner: r.p, MaxServers: 4, Resumable: true, MayRetry: func(bool) bool { r.budget--; return r.budget >= 0 }}}
		r.update("start", Start{})
		for i := 0; i < 120 && !r.s.done && r.problem == ""; i++ {
			r.step()
		}
		if r.problem != "" {
			if seen[r.problem]++; seen[r.problem] == 1 {
				t.Errorf("seed %d: %s\n%s", seed, r.problem, r.log.String())
			}
		}
	}
}

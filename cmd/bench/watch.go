package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/health"
	"github.com/teaselstream/teaselstream/route"
)

// watch runs one health monitor per VM over a drive.
type watch struct {
	drive    *drive
	monitors []*health.Monitor
	// states holds the published states per VM; first holds the time of each VM's first probation of a server.
	states  []map[teaselstream.ServerID]health.SetState
	first   []map[teaselstream.ServerID]time.Time
	ejected int
}

// newWatch starts monitors that publish to the VMs' snapshots; detect false gives the baseline without them.
func newWatch(d *teaselstream.Document, seed uint64, detect bool) *watch {
	w := &watch{}
	w.drive = newDrive(d, seed, reportLag, streamSlots(d), cheapest, route.Options{})
	var list []health.Known
	for _, id := range slices.Sorted(maps.Keys(d.Servers)) {
		list = append(list, health.Known{Server: d.Servers[id], SendCanaries: true})
	}
	for i := range liveVMs {
		w.monitors = append(w.monitors, &health.Monitor{})
		w.states = append(w.states, map[teaselstream.ServerID]health.SetState{})
		w.first = append(w.first, map[teaselstream.ServerID]time.Time{})
		w.tell(i, health.Servers{List: list})
		w.drive.fleet.clock.After(time.Duration(i)*time.Second/liveVMs, func() { w.tick(i) })
	}
	if detect {
		w.drive.view = func(vm *fakeVM, v *teaselstream.ServerView) {
			if s, ok := w.states[vm.index][v.Name]; ok {
				v.State, v.Weight, v.Slowdown = s.State, s.Weight, s.Slowdown
			}
		}
	}
	return w
}

func (w *watch) tick(vm int) {
	w.tell(vm, health.Tick{})
	n := 0
	for _, s := range w.states[vm] {
		if s.State == teaselstream.Probation {
			n++
		}
	}
	w.ejected = max(w.ejected, n)
	w.drive.fleet.clock.After(time.Second, func() { w.tick(vm) })
}

func (w *watch) tell(vm int, m teaselstream.Msg) {
	now := w.drive.fleet.clock.Now()
	for _, c := range w.monitors[vm].Update(now, m) {
		switch c := c.(type) {
		case health.SetState:
			w.set(vm, c)
		case health.Canary:
			w.canary(vm, c)
		}
	}
}

func (w *watch) set(vm int, c health.SetState) {
	old := w.states[vm][c.Server]
	w.states[vm][c.Server] = c
	if old.State == c.State {
		return
	}
	r := health.PeerReport{VM: teaselstream.VMID(fmt.Sprint(vm)), Server: c.Server}
	if c.State == teaselstream.Probation {
		r.Cause = c.Cause
		if _, ok := w.first[vm][c.Server]; !ok {
			w.first[vm][c.Server] = w.drive.fleet.clock.Now()
		}
	}
	for i := range w.monitors {
		if i != vm {
			w.drive.fleet.clock.After(10*time.Millisecond, func() { w.tell(i, r) })
		}
	}
}

// canary runs the canary prompt on a chain through the server.
func (w *watch) canary(vm int, c health.Canary) {
	v, f := w.drive.vms[vm], w.drive.fleet
	spec := f.servers[c.Server].spec
	r := teaselstream.PlanRequest{
		Model: c.Model, PromptTokens: 16, MaxTokens: 8, Avoid: map[teaselstream.ServerID]bool{},
		Keep: []teaselstream.Hop{{Server: c.Server, From: spec.Layers.From, To: spec.Layers.To}},
	}
	for _, id := range c.Avoid {
		r.Avoid[id] = true
	}
	p, ok := v.planner.Plan(f.clock.Now(), v.snapshot, r)
	if !ok {
		return
	}
	s := &fakeStream{chain: p.Chain, prompt: 16, tokens: 8}
	s.done = func(s *fakeStream) {
		a := health.CanaryAnswer{Model: c.Model, Answer: "right"}
		if s.wrong {
			a.Answer = "wrong"
		}
		for _, h := range s.chain {
			a.Chain = append(a.Chain, h.Server)
		}
		w.tell(vm, a)
		w.tell(vm, w.latency(s, s.first, s.tokens-1))
	}
	f.start(s)
}

// latency returns the mean time between the latest tokens of a stream, and the part that idle links take.
func (w *watch) latency(s *fakeStream, since time.Time, tokens int) health.Latency {
	f := w.drive.fleet
	l := health.Latency{Chain: s.chain, PerToken: f.clock.Now().Sub(since) / time.Duration(max(tokens, 1))}
	for i := 1; i < len(s.chain); i++ {
		a, b := f.servers[s.chain[i-1].Server].spec, f.servers[s.chain[i].Server].spec
		if k := f.links[[2]teaselstream.DomainID{a.Domain, b.Domain}]; k != nil {
			l.Transfer += k.spec.Latency + time.Duration(activationBytes/float64(k.spec.Rate)*float64(time.Second))
		}
	}
	return l
}

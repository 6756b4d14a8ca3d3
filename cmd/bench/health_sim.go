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

// healthSim runs one health monitor per VM on top of a router simulation.
type healthSim struct {
	routerSim *routerSim
	monitors  []*health.Monitor
	// states holds the server states that each VM publishes; firstProbation holds the time at which each VM first put a
	// server on probation; mostOnProbation is the largest number of servers that one VM had on probation.
	states          []map[teaselstream.ServerID]health.SetState
	firstProbation  []map[teaselstream.ServerID]time.Time
	mostOnProbation int
}

// newHealthSim starts the monitors. With detect, VMs route by the published states; without it they ignore them, as the
// baseline.
func newHealthSim(d *teaselstream.Document, seed uint64, detect bool) *healthSim {
	w := &healthSim{}
	w.routerSim = newRouterSim(d, seed, reportLag, streamSlots(d), newCheapest, route.Options{})
	var list []health.Known
	for _, id := range slices.Sorted(maps.Keys(d.Servers)) {
		list = append(list, health.Known{Server: d.Servers[id], SendCanaries: true})
	}
	for i := range liveVMs {
		w.monitors = append(w.monitors, &health.Monitor{})
		w.states = append(w.states, map[teaselstream.ServerID]health.SetState{})
		w.firstProbation = append(w.firstProbation, map[teaselstream.ServerID]time.Time{})
		w.update(i, health.Servers{List: list})
		w.routerSim.fleet.clock.After(time.Duration(i)*time.Second/liveVMs, func() { w.tick(i) })
	}
	if detect {
		w.routerSim.adjustView = func(vm *fakeVM, v *teaselstream.ServerView) {
			if s, ok := w.states[vm.index][v.Name]; ok {
				v.State, v.Weight, v.Slowdown = s.State, s.Weight, s.Slowdown
			}
		}
	}
	return w
}

func (w *healthSim) tick(vm int) {
	w.update(vm, health.Tick{})
	n := 0
	for _, s := range w.states[vm] {
		if s.State == teaselstream.Probation {
			n++
		}
	}
	w.mostOnProbation = max(w.mostOnProbation, n)
	w.routerSim.fleet.clock.After(time.Second, func() { w.tick(vm) })
}

func (w *healthSim) update(vm int, m teaselstream.Msg) {
	now := w.routerSim.fleet.clock.Now()
	for _, c := range w.monitors[vm].Update(now, m) {
		switch c := c.(type) {
		case health.SetState:
			w.set(vm, c)
		case health.Canary:
			w.canary(vm, c)
		}
	}
}

func (w *healthSim) set(vm int, c health.SetState) {
	old := w.states[vm][c.Server]
	w.states[vm][c.Server] = c
	if old.State == c.State {
		return
	}
	r := health.PeerReport{VM: teaselstream.VMID(fmt.Sprint(vm)), Server: c.Server}
	if c.State == teaselstream.Probation {
		r.Cause = c.Cause
		if _, ok := w.firstProbation[vm][c.Server]; !ok {
			w.firstProbation[vm][c.Server] = w.routerSim.fleet.clock.Now()
		}
	}
	for i := range w.monitors {
		if i != vm {
			w.routerSim.fleet.clock.After(10*time.Millisecond, func() { w.update(i, r) })
		}
	}
}

// canary runs the canary prompt on a chain that includes the server.
func (w *healthSim) canary(vm int, c health.Canary) {
	v, f := w.routerSim.vms[vm], w.routerSim.fleet
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
		w.update(vm, a)
		w.update(vm, w.latency(s, s.first, s.tokens-1))
	}
	f.start(s)
}

// latency returns the mean time per token of a stream since a time, and the share of it that transfers over idle links
// take.
func (w *healthSim) latency(s *fakeStream, since time.Time, tokens int) health.Latency {
	f := w.routerSim.fleet
	l := health.Latency{Chain: s.chain, PerToken: f.clock.Now().Sub(since) / time.Duration(max(tokens, 1))}
	for i := 1; i < len(s.chain); i++ {
		a, b := f.servers[s.chain[i-1].Server].spec, f.servers[s.chain[i].Server].spec
		if k := f.links[[2]teaselstream.DomainID{a.Domain, b.Domain}]; k != nil {
			l.Transfer += k.spec.Latency + time.Duration(activationBytes/float64(k.spec.Rate)*float64(time.Second))
		}
	}
	return l
}

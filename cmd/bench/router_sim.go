package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/route"
)

type (
	// routerSim simulates VMs that admit requests and plan their chains with delayed load reports.
	routerSim struct {
		fleet  *fakeFleet
		random *rand.Rand
		vms    []*fakeVM
		next   int
		// lag is the age of a load report on arrival; reports arrive once a second.
		lag time.Duration
		// adjustView changes a VM's view of a server; with nil all servers count as serving.
		adjustView func(vm *fakeVM, v *teaselstream.ServerView)
		// onCompleted is called for each request that was admitted and completed, onRefused for each refused one.
		onCompleted func(r *fakeRequest)
		token       func(r *fakeRequest, index int)
		onRefused   func(r *fakeRequest, retryAfter time.Duration)
	}

	fakeVM struct {
		index    int
		planner  teaselstream.Planner
		queue    *admit.Queue
		snapshot *teaselstream.Snapshot
		requests map[teaselstream.RequestID]*fakeRequest
	}

	fakeRequest struct {
		admit.Arrive
		vm          *fakeVM
		arrived     time.Time
		admitted    time.Time
		prompt      int
		tokens      int
		prefixes    []teaselstream.Digest
		stream      *fakeStream
		plan        teaselstream.Plan
		sampleStart time.Time
	}

	plannerFunc func(o route.Options) teaselstream.Planner
)

const liveVMs = 8

// newRouterSim returns VMs over a simulated fleet; slots is the number of requests that all VMs together may run.
func newRouterSim(d *teaselstream.Document, seed uint64, lag time.Duration, slots int, newPlanner plannerFunc, o route.Options) *routerSim {
	v := &routerSim{fleet: newFakeFleet(d), random: rand.New(rand.NewPCG(seed, 1)), lag: lag}
	for i := range liveVMs {
		o.Rand, o.ReportLag = rand.New(rand.NewPCG(seed, uint64(i)+100)), lag
		vm := &fakeVM{index: i, planner: newPlanner(o), queue: &admit.Queue{}, requests: map[teaselstream.RequestID]*fakeRequest{}}
		v.vms = append(v.vms, vm)
		vm.snapshot = v.snapshot(vm, nil)
		v.updateQueue(vm, admit.Capacity{Slots: slots, LiveVMs: liveVMs})
		v.updateQueue(vm, admit.Shares{QueueTime: 10 * time.Second})
		v.fleet.clock.After(time.Duration(i)*time.Second/liveVMs, func() { v.pollLoads(vm) })
	}
	return v
}

// pollLoads reads all loads and delivers them to the VM after the lag, once a second.
func (v *routerSim) pollLoads(vm *fakeVM) {
	loads := map[teaselstream.ServerID]int{}
	for id, s := range v.fleet.servers {
		loads[id] = s.resident
	}
	v.fleet.clock.After(v.lag, func() { vm.snapshot = v.snapshot(vm, loads) })
	v.updateQueue(vm, admit.Tick{})
	v.fleet.clock.After(time.Second, func() { v.pollLoads(vm) })
}

func (v *routerSim) snapshot(vm *fakeVM, loads map[teaselstream.ServerID]int) *teaselstream.Snapshot {
	now := v.fleet.clock.Now()
	s := &teaselstream.Snapshot{
		At: now, Document: v.fleet.doc, Domain: teaselstream.DomainID(fmt.Sprintf("d%d", vm.index%3)), LiveVMs: liveVMs,
		Servers: make(map[teaselstream.ServerID]teaselstream.ServerView, len(v.fleet.servers)),
	}
	for id, x := range v.fleet.doc.Servers {
		w := teaselstream.ServerView{Server: x, Weight: 1, Slowdown: 1, Load: teaselstream.Load{Running: loads[id], At: now}}
		if v.adjustView != nil {
			v.adjustView(vm, &w)
		}
		s.Servers[id] = w
	}
	return s
}

// arrive sends a request to a random VM, as the platform's balancer does.
func (v *routerSim) arrive(r *fakeRequest) {
	vm := v.vms[v.random.IntN(liveVMs)]
	v.next++
	r.vm, r.arrived = vm, v.fleet.clock.Now()
	r.Request = teaselstream.RequestID(fmt.Sprintf("r%d", v.next))
	r.Cost = float64(r.tokens)
	if r.Worth == 0 {
		r.Worth = 1
	}
	vm.requests[r.Request] = r
	v.updateQueue(vm, r.Arrive)
}

func (v *routerSim) updateQueue(vm *fakeVM, m teaselstream.Msg) {
	for _, c := range vm.queue.Update(v.fleet.clock.Now(), m) {
		switch c := c.(type) {
		case admit.Admit:
			v.dispatch(vm, vm.requests[c.Request], c.Priority)
		case admit.Refuse:
			r := vm.requests[c.Request]
			delete(vm.requests, c.Request)
			if v.onRefused != nil {
				v.onRefused(r, c.RetryAfter)
			}
		}
	}
}

func (v *routerSim) dispatch(vm *fakeVM, r *fakeRequest, priority teaselstream.Priority) {
	now := v.fleet.clock.Now()
	r.admitted = now
	p, ok := vm.planner.Plan(now, vm.snapshot, teaselstream.PlanRequest{
		Model: layoutModel, PromptTokens: r.prompt, MaxTokens: r.tokens, Prefixes: r.prefixes,
	})
	if !ok {
		panic("planner found no chain although the layout covers all layers")
	}
	r.plan = p
	vm.planner.Started(now, p)
	if r.stream == nil {
		r.stream = &fakeStream{}
	}
	s := r.stream
	s.chain, s.tokens, s.priority = p.Chain, r.tokens, priority
	s.prompt = r.prompt - v.fleet.useCache(r)
	if v.token != nil {
		s.token = func(_ *fakeStream, index int) { v.token(r, index) }
	}
	s.done = func(*fakeStream) {
		end := v.fleet.clock.Now()
		vm.planner.Finished(end, p)
		delete(vm.requests, r.Request)
		if v.onCompleted != nil {
			v.onCompleted(r)
		}
		v.updateQueue(vm, admit.Finished{Request: r.Request, Duration: end.Sub(now)})
	}
	v.fleet.start(s)
}

// poissonArrivals calls f in a Poisson process with the given mean rate per second until the end.
func (v *routerSim) poissonArrivals(rate float64, end time.Time, f func()) {
	d := time.Duration(v.random.ExpFloat64() / rate * float64(time.Second))
	v.fleet.clock.After(d, func() {
		if v.fleet.clock.Now().After(end) {
			return
		}
		f()
		v.poissonArrivals(rate, end, f)
	})
}

package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/member"
	"github.com/teaselstream/teaselstream/relay"
	"github.com/teaselstream/teaselstream/route"
	"github.com/teaselstream/teaselstream/runs"
)

type (
	// recoverySim runs the control cores, planners and relays of several VMs with simulated engines, callers and balancer.
	recoverySim struct {
		doc     *teaselstream.Document
		control *runs.Fleet
		engines *fakeFleet
		vms     []*recoverVM
		random  *rand.Rand
		// silent holds servers that are down and do not refuse connections, so that connections time out.
		silent   map[teaselstream.ServerID]bool
		isolated teaselstream.DomainID
		// rate is the number of requests per second that callers send; delivered holds the times of the tokens of completed
		// answers.
		rate      float64
		delivered []time.Duration
		next      int
	}

	recoverVM struct {
		sim     *recoverySim
		control *runs.VM
		planner teaselstream.Planner
		alive   bool
		// silent means that the VM is down and does not refuse connections.
		silent   bool
		paused   bool
		deferred []func()
		// ready is the balancer's view of the VM; failedChecks counts its consecutive failed checks.
		ready        bool
		failedChecks int
		sessions     map[*recoverSession]bool
	}

	// recoverFormat parses documents of package runs and adds the servers' details, models and links of a layout.
	recoverFormat struct {
		runs.Format
		doc *teaselstream.Document
	}
)

const (
	recoverDomains = 3
	// The platform's balancer sets its own health checks; these are common settings.
	balancerPeriod = time.Second
	balancerMisses = 2
	// connectTime is the time after which a caller gives up an unanswered connection.
	connectTime = time.Second
	oneWayDelay = 500 * time.Microsecond
)

// Parse returns the parsed document with the details of the layout.
func (f recoverFormat) Parse(b []byte) (*teaselstream.Document, error) {
	d, err := f.Format.Parse(b)
	if err != nil {
		return nil, err
	}
	for id := range d.Servers {
		s := f.doc.Servers[id]
		s.Address = string(id)
		d.Servers[id] = s
	}
	d.Models, d.Links = f.doc.Models, f.doc.Links
	return d, nil
}

func newRecoverySim(d *teaselstream.Document, seed uint64) *recoverySim {
	w := &recoverySim{doc: d, engines: newFakeFleet(d), random: rand.New(rand.NewPCG(seed, 3)), silent: map[teaselstream.ServerID]bool{}}
	c := runs.Config{Seed: seed, Domains: recoverDomains, VMs: liveVMs, Format: recoverFormat{doc: d}, PartitionServers: true}
	for id, s := range d.Servers {
		c.Document = append(c.Document, fmt.Sprintf("%s %s %s %d-%d", id, s.Domain, s.Model, s.Layers.From, s.Layers.To))
	}
	w.control = runs.NewFleet(c)
	w.engines.clock, w.engines.cut = w.control.Queue, w.control.IsPartitioned
	for id := range d.Servers {
		w.control.Server(id).Running = func() int { return w.engines.servers[id].resident }
	}
	for i, v := range w.control.VMs() {
		vm := &recoverVM{
			sim: w, control: v, alive: true, ready: true, sessions: map[*recoverSession]bool{},
			planner: route.NewCheapest(route.Options{Rand: rand.New(rand.NewPCG(seed, uint64(i)+100)), ReportLag: reportLag}),
		}
		w.vms = append(w.vms, vm)
		vm.check()
	}
	w.control.StartAll()
	return w
}

// load sends requests at even intervals after 5 s, when the control cores have reached a steady state.
func (w *recoverySim) load(rate float64) {
	w.rate = rate
	var send func()
	send = func() {
		w.sendRequest()
		w.after(time.Duration(float64(time.Second)/rate), send)
	}
	w.after(5*time.Second, send)
}

// sendRequest sends or resends a request to a random VM that the balancer considers ready.
func (w *recoverySim) sendRequest() {
	var ready []*recoverVM
	for _, v := range w.vms {
		if v.ready {
			ready = append(ready, v)
		}
	}
	if len(ready) == 0 {
		w.after(connectTime, w.sendRequest)
		return
	}
	v := ready[w.random.IntN(len(ready))]
	switch {
	case v.silent:
		w.after(connectTime, w.sendRequest)
	case !v.alive:
		w.after(2*oneWayDelay, w.sendRequest)
	default:
		v.deliver(func() { v.startSession() })
	}
}

// kill takes a server down; with silent it does not refuse connections.
func (w *recoverySim) kill(id teaselstream.ServerID, silent bool) {
	w.silent[id] = silent
	w.control.Server(id).Dead, w.control.Server(id).Unresponsive = true, silent
	w.engines.fail(w.engines.servers[id])
}

func (w *recoverySim) killDomain(d teaselstream.DomainID) {
	for _, id := range w.control.Servers() {
		if w.doc.Servers[id].Domain == d {
			w.kill(id, true)
		}
	}
	for _, v := range w.vms {
		if v.control.Domain == d {
			v.silent = true
			v.kill()
		}
	}
}

// kill ends a VM. Its callers resend their requests, after a round trip if they see a reset and after connectTime if not.
func (v *recoverVM) kill() {
	v.alive = false
	v.control.Kill()
	wait := 2 * oneWayDelay
	if v.silent {
		wait = connectTime
	}
	for s := range v.sessions {
		s.discard()
		v.sim.after(wait, v.sim.sendRequest)
	}
}

// pause suspends a VM's process for a time.
func (v *recoverVM) pause(d time.Duration) {
	v.paused = true
	v.control.Pause(d)
	v.sim.after(d, func() {
		v.paused = false
		todo := v.deferred
		v.deferred = nil
		for _, f := range todo {
			f()
		}
	})
}

// deliver runs f in the VM's process, or after the pause if the process is suspended.
func (v *recoverVM) deliver(f func()) {
	switch {
	case !v.alive:
	case v.paused:
		v.deferred = append(v.deferred, f)
	default:
		f()
	}
}

// check is the balancer's health check.
func (v *recoverVM) check() {
	if v.failedChecks++; v.alive && !v.paused {
		v.failedChecks = 0
	}
	v.ready = v.failedChecks < balancerMisses
	v.sim.after(balancerPeriod, v.check)
}

// reaches reports whether the VM's network reaches a server's domain.
func (v *recoverVM) reaches(id teaselstream.ServerID) bool {
	return !v.sim.control.IsPartitioned(v.control.Domain, v.sim.doc.Servers[id].Domain)
}

// report passes the result of a request at a server to the control core, as the entry process does.
func (v *recoverVM) report(c relay.ReportServer) {
	m := member.RequestResult{Server: c.Server}
	switch c.Event {
	case relay.Completed:
		m.OK = true
	case relay.Refused, relay.Reset:
		m.Refused = true
	case relay.Lost, relay.Stalled:
	default:
		return
	}
	v.control.Post(m)
}

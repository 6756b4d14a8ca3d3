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
	// recoverWorld joins the control cores of several VMs with planners, relays, fake engines, callers and a balancer.
	recoverWorld struct {
		doc     *teaselstream.Document
		control *runs.Fleet
		engines *fakeFleet
		vms     []*recoverVM
		random  *rand.Rand
		// silent holds servers that are down and do not even refuse connections.
		silent   map[teaselstream.ServerID]bool
		isolated teaselstream.DomainID
		// rate is the requests per second that callers send, and delivered the times of the tokens of completed answers.
		rate      float64
		delivered []time.Duration
		next      int
	}

	recoverVM struct {
		world   *recoverWorld
		control *runs.VM
		planner teaselstream.Planner
		alive   bool
		// silent VMs do not even refuse connections.
		silent  bool
		paused  bool
		waiting []func()
		// ready is the balancer's view, and missed its failed checks in a row.
		ready    bool
		missed   int
		sessions map[*recoverSession]bool
	}

	// recoverFormat gives the servers of the runs' documents the speed and links of a layout.
	recoverFormat struct {
		runs.Format
		doc *teaselstream.Document
	}
)

const (
	recoverDomains = 3
	// The balancer's checks belong to the platform; these are common settings.
	balancerPeriod = time.Second
	balancerMisses = 2
	// connectTime is when a caller gives up a connection that nobody answers.
	connectTime = time.Second
	oneWay      = 500 * time.Microsecond
)

// Parse returns the document with the details of the layout.
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

func newRecoverWorld(d *teaselstream.Document, seed uint64) *recoverWorld {
	w := &recoverWorld{doc: d, engines: newFakeFleet(d), random: rand.New(rand.NewPCG(seed, 3)), silent: map[teaselstream.ServerID]bool{}}
	c := runs.Config{Seed: seed, Domains: recoverDomains, VMs: liveVMs, Format: recoverFormat{doc: d}, CutServers: true}
	for id, s := range d.Servers {
		c.Document = append(c.Document, fmt.Sprintf("%s %s %s %d-%d", id, s.Domain, s.Model, s.Layers.From, s.Layers.To))
	}
	w.control = runs.NewFleet(c)
	w.engines.clock, w.engines.cut = w.control.Queue, w.control.IsCut
	for id := range d.Servers {
		w.control.Server(id).Running = func() int { return w.engines.servers[id].resident }
	}
	for i, v := range w.control.VMs() {
		vm := &recoverVM{
			world: w, control: v, alive: true, ready: true, sessions: map[*recoverSession]bool{},
			planner: route.NewCheapest(route.Options{Rand: rand.New(rand.NewPCG(seed, uint64(i)+100)), ReportLag: reportLag}),
		}
		w.vms = append(w.vms, vm)
		vm.check()
	}
	w.control.StartAll()
	return w
}

// load sends requests in even steps once the control side has settled.
func (w *recoverWorld) load(rate float64) {
	w.rate = rate
	var send func()
	send = func() {
		w.arrive()
		w.after(time.Duration(float64(time.Second)/rate), send)
	}
	w.after(5*time.Second, send)
}

// arrive sends a request, or sends it again, to a VM that the balancer takes for ready.
func (w *recoverWorld) arrive() {
	var ready []*recoverVM
	for _, v := range w.vms {
		if v.ready {
			ready = append(ready, v)
		}
	}
	if len(ready) == 0 {
		w.after(connectTime, w.arrive)
		return
	}
	v := ready[w.random.IntN(len(ready))]
	switch {
	case v.silent:
		w.after(connectTime, w.arrive)
	case !v.alive:
		w.after(2*oneWay, w.arrive)
	default:
		v.deliver(func() { v.open() })
	}
}

// kill takes a server down; a silent one does not refuse connections.
func (w *recoverWorld) kill(id teaselstream.ServerID, silent bool) {
	w.silent[id] = silent
	w.control.Server(id).Dead, w.control.Server(id).Mute = true, silent
	w.engines.fail(w.engines.servers[id])
}

func (w *recoverWorld) killDomain(d teaselstream.DomainID) {
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

// kill ends a VM; its callers send their requests again, at once if they see their connections break.
func (v *recoverVM) kill() {
	v.alive = false
	v.control.Kill()
	wait := 2 * oneWay
	if v.silent {
		wait = connectTime
	}
	for s := range v.sessions {
		s.drop()
		v.world.after(wait, v.world.arrive)
	}
}

// pause stops a VM's process for a time.
func (v *recoverVM) pause(d time.Duration) {
	v.paused = true
	v.control.Pause(d)
	v.world.after(d, func() {
		v.paused = false
		todo := v.waiting
		v.waiting = nil
		for _, f := range todo {
			f()
		}
	})
}

// deliver runs f in the VM's process, after a pause if there is one.
func (v *recoverVM) deliver(f func()) {
	switch {
	case !v.alive:
	case v.paused:
		v.waiting = append(v.waiting, f)
	default:
		f()
	}
}

// check is the balancer's health check.
func (v *recoverVM) check() {
	if v.missed++; v.alive && !v.paused {
		v.missed = 0
	}
	v.ready = v.missed < balancerMisses
	v.world.after(balancerPeriod, v.check)
}

// reaches reports whether the VM's network reaches a server's domain.
func (v *recoverVM) reaches(id teaselstream.ServerID) bool {
	return !v.world.control.IsCut(v.control.Domain, v.world.doc.Servers[id].Domain)
}

// report passes evidence about a server to the control side, as the process does.
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
	v.control.Tell(m)
}

package runs

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/teaselstream/teaselstream/invar"
)

type (
	// Scenario is a fleet configuration and a schedule of events.
	Scenario struct {
		Config Config
		Events []Event
		// Length is the time in which events happen; RunScenario uses at least 45 s.
		Length time.Duration
	}

	// Event is an operator's action or an injected fault. Faults that end by themselves last for ActiveFor.
	Event struct {
		At   time.Duration
		Kind string
		// Target and Other are indices of a VM, server or domain, taken modulo their number;
		// some kinds use Other as a parameter.
		Target, Other int
		ActiveFor     time.Duration
	}

	// Result is the outcome of a scenario.
	Result struct {
		Violations []invar.Violation
		// Unrecovered lists what has not returned to normal in the time after the faults, and orders that removed the last copy of a layer.
		Unrecovered []string
	}
)

// Kinds of events.
const (
	evPromote           = "promote"
	evTrial             = "trial"
	evStoreDown         = "store down"
	evStoreSlow         = "store slow"
	evLoseResponses     = "store loses responses"
	evIsolate           = "isolate domain"
	evPartition         = "partition two domains"
	evPause             = "pause VM"
	evKill              = "kill VM"
	evStart             = "start VM"
	evStop              = "stop VM"
	evLeave             = "server leaves"
	evCrash             = "server crashes"
	evRestart           = "server restarts"
	evUnresponsive      = "server does not respond"
	evWrongList         = "list is wrong"
	evDelayOrders       = "VM sends orders late"
	evUnreliableNetwork = "links reorder, duplicate and drop"
)

// kinds lists the events that Draw picks from; promotions appear several times because most invariants need them.
var kinds = []string{
	evPromote, evPromote, evPromote, evTrial, evStoreDown, evStoreSlow, evLoseResponses, evIsolate, evPartition, evPause, evPause,
	evKill, evStart, evStop, evLeave, evLeave, evCrash, evRestart, evUnresponsive, evWrongList, evUnreliableNetwork, evDelayOrders, evDelayOrders,
}

// settleTime covers the longest backoff (16 s), fault detection and slow start after the faults end.
const settleTime = 60 * time.Second

// Draw generates a scenario from random choices: pick returns a number in [0, n).
func Draw(pick func(n int) int) Scenario {
	s := Scenario{Config: Config{
		Seed: uint64(pick(1 << 16)), VMs: 2 + pick(4), Domains: 1 + pick(3), TrafficPeriod: 50 * time.Millisecond,
	}}
	for i := range 4 + pick(4) {
		l := fmt.Sprintf("s%d d%d m %d-%d", i, i%3, i%2*4, i%2*4+4)
		if pick(2) == 1 {
			l += " fencing"
		}
		s.Config.Document = append(s.Config.Document, l)
	}
	for range 2 + pick(10) {
		s.Events = append(s.Events, Event{
			At: time.Duration(pick(30000)) * time.Millisecond, Kind: kinds[pick(len(kinds))],
			Target: pick(12), Other: pick(12), ActiveFor: time.Duration(100+pick(12000)) * time.Millisecond,
		})
	}
	return s
}

// DrawPlacement generates a longer scenario about placement: servers crash and restart, deciders
// are paused, and orders arrive after the deciders' leases have expired.
func DrawPlacement(pick func(n int) int) Scenario {
	kinds := []string{evCrash, evCrash, evRestart, evPause, evKill, evStart, evDelayOrders, evDelayOrders, evStoreDown, evLoseResponses}
	s := Scenario{Length: 5 * time.Minute, Config: Config{Seed: uint64(pick(1 << 16)), VMs: 4, Domains: 2}}
	for i := range 6 + pick(4) {
		at := pick(3) * 4
		if i < 3 {
			at = i * 4
		}
		l := fmt.Sprintf("s%d d%d m %d-%d", i, i%2, at, at+4)
		if pick(3) == 0 {
			l += " fencing"
		}
		s.Config.Document = append(s.Config.Document, l)
	}
	for range 4 + pick(10) {
		e := Event{
			At: time.Duration(pick(270)) * time.Second, Kind: kinds[pick(len(kinds))],
			Target: pick(12), Other: pick(12), ActiveFor: time.Duration(1+pick(120)) * time.Second,
		}
		// Recovery is checked after the scenario, so each fault ends within it.
		e.ActiveFor = min(e.ActiveFor, s.Length-e.At)
		s.Events = append(s.Events, e)
	}
	return s
}

// RunScenario runs a scenario and the settle time after it, in which the fleet must recover.
func RunScenario(s Scenario) Result {
	f := NewFleet(s.Config)
	vms := f.VMs()
	// The last VM starts only by an evStart event, so that a VM joins a running fleet.
	for _, v := range vms[:len(vms)-1] {
		v.Start()
	}
	for _, e := range s.Events {
		f.Queue.After(e.At, func() { f.applyEvent(e) })
	}
	f.Run(max(s.Length, 45*time.Second))
	running := 0
	for _, v := range vms {
		if v.Running() {
			running++
		}
	}
	if running == 0 {
		vms[0].Start()
	}
	f.Run(settleTime)
	return Result{Violations: f.Recorder.Found(), Unrecovered: append(f.unrecovered(), f.LayerLosses...)}
}

func (f *Fleet) applyEvent(e Event) {
	vms, ids := f.VMs(), f.Servers()
	v, s := vms[e.Target%len(vms)], f.servers[ids[e.Target%len(ids)]]
	domain := DomainName(e.Target % max(f.c.Domains, 1))
	atEnd := func(end func()) { f.Queue.After(e.ActiveFor, end) }
	switch e.Kind {
	case evPromote, evTrial:
		extra := fmt.Sprintf("x%d d%d m 0-8", e.Target, e.Other%3)
		f.Promote(Canonical(append([]string{extra}, f.c.Document...)), e.Kind == evTrial)
	case evStoreDown:
		f.Store.SetDown(true)
		atEnd(func() { f.Store.SetDown(false) })
	case evStoreSlow:
		f.Store.Delay = time.Duration(e.Other) * 300 * time.Millisecond
		atEnd(func() { f.Store.Delay = 0 })
	case evLoseResponses:
		f.Store.LostResponseRate = 0.5
		atEnd(func() { f.Store.LostResponseRate = 0 })
	case evIsolate:
		f.SetIsolated(domain, true)
		atEnd(func() { f.SetIsolated(domain, false) })
	case evPartition:
		other := DomainName(e.Other % max(f.c.Domains, 1))
		f.SetPartitioned(domain, other, domain != other)
		atEnd(func() { f.SetPartitioned(domain, other, false) })
	case evUnreliableNetwork:
		f.Network.Jitter, f.Network.DuplicateRate, f.Network.DropRate = 50*time.Millisecond, 0.2, 0.1
		atEnd(func() { f.Network.Jitter, f.Network.DuplicateRate, f.Network.DropRate = 0, 0, 0 })
	case evWrongList:
		f.SetListMode([]ListMode{ListEmpty, ListStale, ListAllLeaving, ListUnavailable}[e.Other%4])
		atEnd(func() { f.SetListMode(ListAccurate) })
	default:
		f.applyTargetEvent(v, s, e)
	}
}

// applyTargetEvent applies an event that concerns one VM or server.
func (f *Fleet) applyTargetEvent(v *VM, s *Server, e Event) {
	switch e.Kind {
	case evPause:
		v.Pause(e.ActiveFor)
	case evDelayOrders:
		v.orderDelay = e.ActiveFor
		f.Queue.After(e.ActiveFor, func() { v.orderDelay = 0 })
	case evKill:
		v.Kill()
	case evStart:
		v.Start()
	case evStop:
		v.Stop()
	case evLeave:
		s.Leave()
	case evCrash:
		s.Crash()
	case evRestart:
		s.Restart()
	case evUnresponsive:
		s.Unresponsive, s.lostAt = true, f.Queue.Now()
		f.Queue.After(e.ActiveFor, func() { s.Unresponsive = false })
	}
}

// unrecovered lists the differences between each VM's view and the state of the fleet.
func (f *Fleet) unrecovered() []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	running := 0
	for _, v := range f.vms {
		if v.Running() {
			running++
		}
	}
	for _, v := range f.VMs() {
		if !v.Running() {
			continue
		}
		s := v.Snapshot
		if s == nil {
			add("%s has no document", v.Name)
			continue
		}
		if g := f.generations[0]; s.Document.Generation != g {
			add("%s has generation %d of %d", v.Name, s.Document.Generation, g)
		}
		if g := f.generations[1]; s.Trial != nil && s.Trial.Generation != g {
			add("%s has trial %d of %d", v.Name, s.Trial.Generation, g)
		}
		if s.LiveVMs != running {
			add("%s sees %d VMs of %d", v.Name, s.LiveVMs, running)
		}
		for id := range s.Document.Servers {
			if shouldServe, got := f.servers[id].shouldServe(), s.Servers[id].State; got.TakesNewWork() != shouldServe {
				add("%s has server %s as %s, want new work = %t", v.Name, id, got, shouldServe)
			}
		}
	}
	return out
}

// shouldServe reports whether VMs must give a server new work.
func (s *Server) shouldServe() bool { return !s.Dead && !s.Unresponsive && !s.Draining }

// detectingInvariant names the invariant that detects each injected fault.
var detectingInvariant = map[invar.Faults]invar.Name{
	invar.InvertGeneration: invar.GenerationMonotonic,
	invar.IgnoreLeaving:    invar.NoNewWorkToLeaving,
	invar.CutDrain:         invar.GracefulStop,
}

// DetectFault runs random scenarios with an injected fault until the invariant that detects it is
// violated, and returns the number of runs and the violation; runs is 0 if limit runs show none.
// The fault is InvertGeneration, IgnoreLeaving or CutDrain.
func DetectFault(fault invar.Faults, seed uint64, limit int) (runs int, v invar.Violation) {
	for i := range limit {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		s := Draw(r.IntN)
		s.Config.Faults = fault
		for _, v := range RunScenario(s).Violations {
			if v.Invariant == detectingInvariant[fault] {
				return i + 1, v
			}
		}
	}
	return 0, invar.Violation{}
}

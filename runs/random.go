package runs

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/teaselstream/teaselstream/invar"
)

type (
	// Scenario is a fleet with events at stated times.
	Scenario struct {
		Config Config
		Events []Event
		// Length is the time in which events happen; 0 means 45 s.
		Length time.Duration
	}

	// Event is an act of operators or a fault; faults end after For.
	Event struct {
		At   time.Duration
		Kind string
		// Target and Other select a VM, server or domain, modulo their number.
		Target, Other int
		ActiveFor     time.Duration
	}

	// Result is what a scenario led to.
	Result struct {
		Violations []invar.Violation
		// Unrecovered lists promises of progress that did not hold after the faults ended.
		Unrecovered []string
	}
)

// Kinds of events.
const (
	evPromote     = "promote"
	evTrial       = "trial"
	evStoreDown   = "store down"
	evStoreSlow   = "store slow"
	evLoseAnswers = "store loses answers"
	evIsolate     = "isolate domain"
	evCut         = "cut two domains"
	evPause       = "pause VM"
	evKill        = "kill VM"
	evStart       = "start VM"
	evStop        = "stop VM"
	evLeave       = "server leaves"
	evDie         = "server dies"
	evRestart     = "server restarts"
	evMute        = "server is mute"
	evList        = "list is wrong"
	evDelay       = "VM's orders are late"
	evNetwork     = "links reorder, duplicate and drop"
)

// promotions are listed several times because most invariants need them.
var kinds = []string{
	evPromote, evPromote, evPromote, evTrial, evStoreDown, evStoreSlow, evLoseAnswers, evIsolate, evCut, evPause, evPause,
	evKill, evStart, evStop, evLeave, evLeave, evDie, evRestart, evMute, evList, evNetwork, evDelay, evDelay,
}

// settleTime is ample for the longest backoff (16 s), detection and slow start after faults end.
const settleTime = 60 * time.Second

// Draw makes a scenario from choices in [0, n).
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

// DrawPlacement makes a longer scenario about placement: servers come and go, deciders are
// paused, and their orders are late by more than their leases.
func DrawPlacement(pick func(n int) int) Scenario {
	kinds := []string{evDie, evDie, evRestart, evPause, evKill, evStart, evDelay, evDelay, evStoreDown, evLoseAnswers}
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
		// Progress is checked after faults end, so each must end within the scenario.
		e.ActiveFor = min(e.ActiveFor, s.Length-e.At)
		s.Events = append(s.Events, e)
	}
	return s
}

// RunScenario runs a scenario and the time after it in which the fleet must recover.
func RunScenario(s Scenario) Result {
	f := NewFleet(s.Config)
	vms := f.VMs()
	// One VM joins later, by evStart.
	for _, v := range vms[:len(vms)-1] {
		v.Start()
	}
	for _, e := range s.Events {
		f.Queue.After(e.At, func() { f.apply(e) })
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
	return Result{Violations: f.Recorder.Found(), Unrecovered: append(f.stuck(), f.LayerLosses...)}
}

func (f *Fleet) apply(e Event) {
	vms, ids := f.VMs(), f.Servers()
	v, s := vms[e.Target%len(vms)], f.servers[ids[e.Target%len(ids)]]
	domain := DomainName(e.Target % max(f.c.Domains, 1))
	until := func(end func()) { f.Queue.After(e.ActiveFor, end) }
	switch e.Kind {
	case evPromote, evTrial:
		extra := fmt.Sprintf("x%d d%d m 0-8", e.Target, e.Other%3)
		f.Promote(Canonical(append([]string{extra}, f.c.Document...)), e.Kind == evTrial)
	case evStoreDown:
		f.Store.SetDown(true)
		until(func() { f.Store.SetDown(false) })
	case evStoreSlow:
		f.Store.Delay = time.Duration(e.Other) * 300 * time.Millisecond
		until(func() { f.Store.Delay = 0 })
	case evLoseAnswers:
		f.Store.LostResponseRate = 0.5
		until(func() { f.Store.LostResponseRate = 0 })
	case evIsolate:
		f.SetIsolated(domain, true)
		until(func() { f.SetIsolated(domain, false) })
	case evCut:
		other := DomainName(e.Other % max(f.c.Domains, 1))
		f.SetPartitioned(domain, other, domain != other)
		until(func() { f.SetPartitioned(domain, other, false) })
	case evNetwork:
		f.Network.Jitter, f.Network.DuplicateRate, f.Network.DropRate = 50*time.Millisecond, 0.2, 0.1
		until(func() { f.Network.Jitter, f.Network.DuplicateRate, f.Network.DropRate = 0, 0, 0 })
	case evList:
		f.SetListMode([]ListMode{ListEmpty, ListStale, ListAllLeaving, ListUnavailable}[e.Other%4])
		until(func() { f.SetListMode(ListAccurate) })
	default:
		f.applyTo(v, s, e)
	}
}

// applyTo performs an event at one VM or server.
func (f *Fleet) applyTo(v *VM, s *Server, e Event) {
	switch e.Kind {
	case evPause:
		v.Pause(e.ActiveFor)
	case evDelay:
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
	case evDie:
		s.Crash()
	case evRestart:
		s.Restart()
	case evMute:
		s.Unresponsive, s.lostAt = true, f.Queue.Now()
		f.Queue.After(e.ActiveFor, func() { s.Unresponsive = false })
	}
}

// stuck lists what has not recovered.
func (f *Fleet) stuck() []string {
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
		if g := f.generation[0]; s.Document.Generation != g {
			add("%s has generation %d of %d", v.Name, s.Document.Generation, g)
		}
		if g := f.generation[1]; s.Trial != nil && s.Trial.Generation != g {
			add("%s has trial %d of %d", v.Name, s.Trial.Generation, g)
		}
		if s.LiveVMs != running {
			add("%s sees %d VMs of %d", v.Name, s.LiveVMs, running)
		}
		for id := range s.Document.Servers {
			if want, got := f.servers[id].want(), s.Servers[id].State; got.TakesNewWork() != want {
				add("%s has server %s as %s, want new work = %t", v.Name, id, got, want)
			}
		}
	}
	return out
}

// want reports whether a server must get new work.
func (s *Server) want() bool { return !s.Dead && !s.Unresponsive && !s.Draining }

// guards names the invariant that must notice each injected fault.
var guards = map[invar.Faults]invar.Name{
	invar.InvertGeneration: invar.GenerationMonotonic,
	invar.IgnoreLeaving:    invar.NoNewWorkToLeaving,
	invar.CutDrain:         invar.GracefulStop,
}

// DetectFault returns the number of random runs until the invariant that guards against the injected
// fault was violated, and the violation; runs is 0 if none of the given number of runs found it.
// The fault is InvertGeneration, IgnoreLeaving or CutDrain.
func DetectFault(fault invar.Faults, seed uint64, limit int) (runs int, v invar.Violation) {
	for i := range limit {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		s := Draw(r.IntN)
		s.Config.Faults = fault
		for _, v := range RunScenario(s).Violations {
			if v.Invariant == guards[fault] {
				return i + 1, v
			}
		}
	}
	return 0, invar.Violation{}
}

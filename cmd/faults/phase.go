package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

const (
	// phaseStream separates the random numbers of the phases from those of the faults before them, so that phases change no plan.
	phaseStream = 1 << 32
	// silenceRounds is the number of times that replicas fall silent, each for minSilence to maxSilence.
	silenceRounds = 4
	minSilence    = 800 * time.Millisecond
	maxSilence    = 1200 * time.Millisecond
	// fewSlots is less than the streams that move to a replica when others fall silent.
	fewSlots = 4
	// silenceEnd is the time after the last silence in which the requests that met it end.
	silenceEnd = 3 * time.Second
	// minCut and maxCut bound the time for which VMs are partitioned from all replicas.
	minCut = 5 * time.Second
	maxCut = 8 * time.Second
	// contactTime is the time after the beginning of a partition from which requests count, the platform's ContactMs.
	contactTime = 3 * time.Second
	// maxCutFailures, and one in cutFailureShare of all, is the number of requests that may fail at the VMs of a partition.
	maxCutFailures  = 10
	cutFailureShare = 50
)

// domain returns the failure domain of a VM. Only runs with partitions have a second one, which holds a third of the VMs.
func (o options) domain(vm, count int) string {
	for _, p := range o.Phases {
		if p != "silence" && 3*vm >= 2*count {
			return "zone-b"
		}
	}
	return "zone-a"
}

// runPhases runs the phases of a run one after the other. Nothing else disturbs the VMs meanwhile.
func (w *testRun) runPhases(seed uint64, o options) error {
	r := rand.New(rand.NewPCG(seed, phaseStream))
	forms := map[string]cutForm{"cut": cutForm(r.IntN(int(cutRefuse) + 1)), "hang": cutHang, "reset": cutReset, "refuse": cutRefuse}
	for _, p := range o.Phases {
		form, ok := forms[p]
		switch {
		case p == "silence":
			if err := w.silencePhase(seed, r, o); err != nil {
				return err
			}
		case !ok:
			return fmt.Errorf("unknown phase %q", p)
		default:
			w.cutPhase(r, o, form)
		}
	}
	return nil
}

// silencePhase lets replicas fall silent, one or more at once, beside changes of the configuration: their links keep all bytes and pass
// them on later. Then it lets silences overlap. It records a violation if a request ends without a complete answer meanwhile, or if
// requests run on more replicas than their routes allow.
func (w *testRun) silencePhase(seed uint64, r *rand.Rand, o options) error {
	began := time.Now()
	w.callers.mu.Lock()
	before := len(w.callers.unanswered)
	w.callers.mu.Unlock()
	for range silenceRounds {
		var names []string
		for i, n := range r.Perm(modelCount + plainCount) {
			if i == 0 || r.IntN(2) == 0 {
				names = append(names, fmt.Sprintf("m%d", n))
			}
		}
		slots, lasts := fewSlots*r.IntN(2), randomDuration(r, minSilence, maxSilence)
		if o.Verbose {
			fmt.Printf("%s replicas silent: %v for %s, %d slots\n", time.Now().UTC().Format("15:04:05.000"), names, lasts, slots)
		}
		w.eachReplica(func(x *plat.Replica, _ *link) { x.SetSlots(slots) })
		for _, n := range names {
			w.link(n).set(modeHold)
		}
		time.Sleep(lasts / 4)
		w.mu.Lock()
		w.version++
		w.configure()
		w.mu.Unlock()
		time.Sleep(lasts - lasts/4)
		for _, n := range names {
			w.link(n).set(modePass)
		}
		time.Sleep(lasts)
	}
	w.eachReplica(func(x *plat.Replica, _ *link) { x.SetSlots(0) })
	if err := w.overlapSilences(seed, o); err != nil {
		return err
	}
	time.Sleep(silenceEnd)
	w.callers.checkRanOn(w.fleet.RanOn(), began)
	w.callers.mu.Lock()
	defer w.callers.mu.Unlock()
	if lost := w.callers.unanswered[before:]; len(lost) > 0 {
		w.callers.violations = append(w.callers.violations, fmt.Sprintf("%d requests had no complete answer while replicas were silent: %v", len(lost), lost))
	}
	return nil
}

func (w *testRun) eachReplica(f func(*plat.Replica, *link)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, x := range w.replicas {
		f(x, w.links[name])
	}
}

// cutPhase partitions some VMs, or all of a failure domain, from all replicas. It records a violation if callers of these VMs are
// served far worse than those of the others (RECOVER), or if the VMs do not serve afterwards.
func (w *testRun) cutPhase(r *rand.Rand, o options, form cutForm) {
	victims := make(map[*vm]bool)
	if r.IntN(2) == 0 {
		domain := w.vms[r.IntN(len(w.vms))].domain
		for _, v := range w.vms {
			victims[v] = v.domain == domain
		}
	} else {
		for i, n := range r.Perm(len(w.vms)) {
			victims[w.vms[n]] = i == 0 || i < len(w.vms)-1 && r.IntN(2) == 0
		}
	}
	x := &cut{form: form}
	var names []string
	for _, v := range w.vms {
		if victims[v] {
			x.pids, names = append(x.pids, v.processID()), append(names, v.name)
		}
	}
	lasts := randomDuration(r, minCut, maxCut)
	if o.Verbose {
		fmt.Printf("%s VMs cut off: %v, %s, for %s\n", time.Now().UTC().Format("15:04:05.000"), names, form, lasts)
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, v := range w.vms {
		own := rand.New(rand.NewPCG(r.Uint64(), phaseStream))
		wait.Go(func() { w.callers.runSteadily(v, own, stop) })
	}
	began := time.Now()
	w.eachReplica(func(_ *plat.Replica, k *link) { k.begin(x) })
	time.Sleep(lasts)
	w.eachReplica(func(_ *plat.Replica, k *link) { k.end() })
	ended := time.Now()
	close(stop)
	wait.Wait()
	w.checkServing()
	w.checkCut(victims, form, began.Add(contactTime), ended)
}

// checkCut compares the requests that callers sent between two times to VMs of a partition with those to other VMs.
func (w *testRun) checkCut(victims map[*vm]bool, form cutForm, from, to time.Time) {
	w.callers.mu.Lock()
	defer w.callers.mu.Unlock()
	var tried, served [2]int
	for _, t := range w.callers.tries {
		if t.at.Before(from) || !t.at.Before(to) {
			continue
		}
		side := 0
		if victims[t.vm] {
			side = 1
		}
		tried[side]++
		if t.served {
			served[side]++
		}
	}
	failed := tried[1] - served[1]
	// Two thirds, without a division.
	worse := 3*served[1]*tried[0] < 2*served[0]*tried[1]
	if tried[0] == 0 || tried[1] == 0 || worse && failed > maxCutFailures+tried[1]/cutFailureShare {
		w.callers.violations = append(w.callers.violations, fmt.Sprintf("VMs that were cut off from all replicas (%s) served %d of %d requests, the others %d of %d",
			form, served[1], tried[1], served[0], tried[0]))
	}
}

package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// minGap and maxGap bound the time between the beginnings of two faults. Faults mostly last longer, so that they overlap.
	minGap = 100 * time.Millisecond
	maxGap = 900 * time.Millisecond
	// minFaultTime and maxFaultTime bound the duration of a fault.
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 3 * time.Second
	// leaveTime is how long a replica that leaves goes on serving after the end of the fault; the platform's replicas leave after the
	// drain time and a little more.
	leaveTime = 2500 * time.Millisecond
	// minWait and maxWait bound the Retry-After of a replica that turns requests away.
	minWait = time.Second
	maxWait = 4 * time.Second
	// minUndisturbed is the least number of the model's replicas without a fault.
	minUndisturbed = 3
)

// fault is one kind of fault. Its begin function injects it and returns a description and a function that ends it, or nil
// if another fault already affects the target.
type fault struct {
	name  string
	begin func(w *testRun, r *rand.Rand) (what string, end func() error)
}

// faults lists all kinds of fault, which are equally likely.
var faults = []fault{
	{"VM killed", func(w *testRun, r *rand.Rand) (string, func() error) { return w.stopVM(r, syscall.SIGKILL) }},
	{"VM stopped", func(w *testRun, r *rand.Rand) (string, func() error) { return w.stopVM(r, syscall.SIGTERM) }},
	{"VM paused", pauseVM},
	{"settings read again", func(w *testRun, r *rand.Rand) (string, func() error) {
		v := w.claimVM(r)
		if v == nil {
			return "", nil
		}
		v.signal(syscall.SIGHUP, false)
		return v.name, func() error { w.release(v.name); return nil }
	}},
	{"link to the store", func(w *testRun, r *rand.Rand) (string, func() error) {
		v := w.vms[r.IntN(len(w.vms))]
		return w.disturbLink("store of "+v.name, v.store, r)
	}},
	{"link to a replica", func(w *testRun, r *rand.Rand) (string, func() error) {
		name := w.replicaName(r)
		return w.disturbLink(name, w.link(name), r)
	}},
	{"answers lost", func(w *testRun, r *rand.Rand) (string, func() error) {
		name := fmt.Sprintf("m%d", modelCount+r.IntN(plainCount))
		if !w.claim("link " + name) {
			return "", nil
		}
		// Calls reach the replica, and their answers are lost when the connections are reset.
		k := w.link(name)
		k.set(modeHoldReplies)
		return name, func() error {
			k.reset()
			k.set(modePass)
			w.release("link " + name)
			return nil
		}
	}},
	{"store down", func(w *testRun, _ *rand.Rand) (string, func() error) {
		if !w.claim("store") {
			return "", nil
		}
		w.store.SetDown(true)
		return "store", func() error { w.store.SetDown(false); w.release("store"); return nil }
	}},
	{"history lost", func(w *testRun, _ *rand.Rand) (string, func() error) {
		w.store.Compact()
		return "store", func() error { return nil }
	}},
	{"store restored", func(w *testRun, r *rand.Rand) (string, func() error) {
		if !w.claim("store") {
			return "", nil
		}
		// What VMs write from here on is lost; the operator and the replicas write theirs again.
		copied := w.store.Copy()
		away := time.AfterFunc(randomDuration(r, minFaultTime, maxFaultTime), func() { w.store.SetDown(true) })
		return "store", func() error {
			away.Stop()
			w.store.SetDown(true)
			w.store.Restore(copied)
			w.writeAgain()
			w.store.SetDown(false)
			w.release("store")
			return nil
		}
	}},
	{"replica silent", func(w *testRun, r *rand.Rand) (string, func() error) {
		name := w.replicaName(r)
		if !w.claimReplica(name) {
			return "", nil
		}
		w.replica(name).SetUnresponsive(true)
		return name, func() error { w.replica(name).SetUnresponsive(false); w.release(name); return nil }
	}},
	{"replica crashed", func(w *testRun, r *rand.Rand) (string, func() error) {
		name := w.replicaName(r)
		if !w.claimReplica(name) {
			return "", nil
		}
		if err := w.replica(name).Kill(); err != nil {
			w.callers.recordViolation("%v", err)
		}
		return name, func() error { return w.replace(name) }
	}},
	{"replica leaves", func(w *testRun, r *rand.Rand) (string, func() error) {
		name := w.replicaName(r)
		if !w.claimReplica(name) {
			return "", nil
		}
		// Whether or not the list shows it, the replica says so itself. It goes on serving until the fault ends.
		if r.IntN(2) == 0 {
			w.replica(name).Drain()
		} else {
			w.replica(name).DrainUnlisted()
		}
		return name, func() error {
			time.Sleep(leaveTime)
			if err := w.replica(name).Kill(); err != nil {
				return err
			}
			return w.replace(name)
		}
	}},
	{"replica turns away", func(w *testRun, r *rand.Rand) (string, func() error) {
		// A link that is disturbed delivers requests late, which does not show when they were sent.
		name := w.replicaName(r)
		if !w.claim("link " + name) {
			return "", nil
		}
		if !w.claimReplica(name) {
			w.release("link " + name)
			return "", nil
		}
		wait := randomDuration(r, minWait, maxWait)
		w.replica(name).TurnAway(wait, maxFaultTime)
		return name, func() error {
			time.Sleep(wait)
			w.release(name)
			w.release("link " + name)
			return nil
		}
	}},
	{"configuration", func(w *testRun, r *rand.Rand) (string, func() error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.version += 1 + r.IntN(3)
		w.configure()
		return fmt.Sprint("version ", w.version), func() error { return nil }
	}},
}

func pauseVM(w *testRun, r *rand.Rand) (string, func() error) {
	v := w.claimVM(r)
	if v == nil {
		return "", nil
	}
	v.signal(syscall.SIGSTOP, false)
	return v.name, func() error {
		v.signal(syscall.SIGCONT, false)
		w.release(v.name)
		return nil
	}
}

// stopVM ends a VM with a signal; the end of the fault starts it again.
func (w *testRun) stopVM(r *rand.Rand, s syscall.Signal) (string, func() error) {
	v := w.claimVM(r)
	if v == nil {
		return "", nil
	}
	v.signal(s, true)
	return v.name, func() error {
		if err := v.wait(); err != nil {
			return err
		}
		// Another fault must not reach the VM before it runs again.
		defer w.release(v.name)
		return v.start()
	}
}

// disturbLink sets a link to a random mode or resets its connections.
func (w *testRun) disturbLink(name string, k *link, r *rand.Rand) (string, func() error) {
	if !w.claim("link " + name) {
		return "", nil
	}
	m := mode(r.IntN(4))
	if m == modePass {
		k.reset()
		return name + " reset", func() error { w.release("link " + name); return nil }
	}
	k.set(m)
	// When the fault ends, kept bytes are either delivered or lost with a reset of their connections.
	lost := r.IntN(2) == 0
	return name + " " + m.String(), func() error {
		if lost {
			k.reset()
		}
		k.set(modePass)
		w.release("link " + name)
		return nil
	}
}

func randomDuration(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

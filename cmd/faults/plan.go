package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// leastGap and mostGap bound the time between two faults; a fault lasts longer, so that they overlap.
	leastGap = 100 * time.Millisecond
	mostGap  = 900 * time.Millisecond
	// leastFault and mostFault bound how long a fault lasts.
	leastFault = 300 * time.Millisecond
	mostFault  = 3 * time.Second
	// leastHolders is the number of replicas of the model that are left alone at least.
	leastHolders = 3
)

// fault is one kind of disturbance: begin returns what ends it, or nil if it does not fit now.
type fault struct {
	name  string
	begin func(w *world, r *rand.Rand) (what string, end func() error)
}

// faults are all kinds; each is drawn as often as the others.
var faults = []fault{
	{"VM killed", func(w *world, r *rand.Rand) (string, func() error) { return w.stopVM(r, syscall.SIGKILL) }},
	{"VM stopped", func(w *world, r *rand.Rand) (string, func() error) { return w.stopVM(r, syscall.SIGTERM) }},
	{"VM paused", pauseVM},
	{"settings read again", func(w *world, r *rand.Rand) (string, func() error) {
		v := w.freeVM(r)
		if v == nil {
			return "", nil
		}
		v.signal(syscall.SIGHUP, false)
		return v.name, func() error { w.release(v.name); return nil }
	}},
	{"link to the store", func(w *world, r *rand.Rand) (string, func() error) {
		v := w.vms[r.IntN(len(w.vms))]
		return w.disturb("store of "+v.name, v.store, r)
	}},
	{"link to a replica", func(w *world, r *rand.Rand) (string, func() error) {
		name := w.replicaName(r)
		return w.disturb(name, w.links[name], r)
	}},
	{"answers lost", func(w *world, r *rand.Rand) (string, func() error) {
		name := fmt.Sprintf("m%d", modelCount+r.IntN(plainCount))
		if !w.claim("link " + name) {
			return "", nil
		}
		// Calls run, and their answers are lost with the connections.
		k := w.links[name]
		k.set(deaf)
		return name, func() error {
			k.reset()
			k.set(pass)
			w.release("link " + name)
			return nil
		}
	}},
	{"store down", func(w *world, _ *rand.Rand) (string, func() error) {
		if !w.claim("store") {
			return "", nil
		}
		w.store.SetDown(true)
		return "store", func() error { w.store.SetDown(false); w.release("store"); return nil }
	}},
	{"history lost", func(w *world, _ *rand.Rand) (string, func() error) {
		w.store.Compact()
		return "store", func() error { return nil }
	}},
	{"replica silent", func(w *world, r *rand.Rand) (string, func() error) {
		name := w.replicaName(r)
		if !w.claimReplica(name) {
			return "", nil
		}
		w.replicas[name].SetUnresponsive(true)
		return name, func() error { w.replicas[name].SetUnresponsive(false); w.release(name); return nil }
	}},
	{"replica crashed", func(w *world, r *rand.Rand) (string, func() error) {
		name := w.replicaName(r)
		if !w.claimReplica(name) {
			return "", nil
		}
		if err := w.replicas[name].Kill(); err != nil {
			w.callers.violate("%v", err)
		}
		return name, func() error { return w.replace(name) }
	}},
	{"configuration", func(w *world, r *rand.Rand) (string, func() error) {
		w.version += 1 + r.IntN(3)
		w.fleet.Configure(w.version, testKey, fmt.Sprintf("key-%d", w.version))
		return fmt.Sprint("version ", w.version), func() error { return nil }
	}},
}

func pauseVM(w *world, r *rand.Rand) (string, func() error) {
	v := w.freeVM(r)
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

// stopVM ends a VM with a signal and starts it again later.
func (w *world) stopVM(r *rand.Rand, s syscall.Signal) (string, func() error) {
	v := w.freeVM(r)
	if v == nil {
		return "", nil
	}
	v.signal(s, true)
	return v.name, func() error {
		if err := v.wait(); err != nil {
			return err
		}
		w.release(v.name)
		return v.start()
	}
}

// disturb sets a link to a mode, or resets its connections.
func (w *world) disturb(name string, k *link, r *rand.Rand) (string, func() error) {
	if !w.claim("link " + name) {
		return "", nil
	}
	m := mode(r.IntN(4))
	if m == pass {
		k.reset()
		return name + " reset", func() error { w.release("link " + name); return nil }
	}
	k.set(m)
	// Bytes that are held go on when the link heals, or are lost with their connections.
	lost := r.IntN(2) == 0
	return name + " " + m.String(), func() error {
		if lost {
			k.reset()
		}
		k.set(pass)
		w.release("link " + name)
		return nil
	}
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

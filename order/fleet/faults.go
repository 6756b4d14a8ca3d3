package fleet

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// maxPause is the longest pause of a VM that continues afterwards.
const maxPause = 6 * time.Second

const (
	storeDown faultKind = iota
	storeSlow
	storeLossy
	storeCut
	serviceLossy
	linkLossy
	partition
	pause
	crash
	// pauseAtWrite and crashAtWrite take effect just after the VM has issued a write to the store.
	pauseAtWrite
	crashAtWrite
	faultKinds
)

type (
	faultKind int

	// faultInjector tracks the active faults of a run.
	faultInjector struct {
		active      [faultKinds]int
		cut         map[teaselstream.VMID]int
		onNextWrite map[teaselstream.VMID]func()
	}
)

// schedule schedules random faults, all of which end by faultTime.
func (i *faultInjector) schedule(s *scenario) {
	f := s.fleet
	i.cut = make(map[teaselstream.VMID]int)
	i.onNextWrite = make(map[teaselstream.VMID]func())
	f.StoreFault = i.store(s)
	f.SendFault = i.send(s)
	f.LinkFault = i.link(s)
	// A run has few kinds of faults but many of each, so that several affect the same call.
	kinds := make([]faultKind, 1+s.rand.IntN(4))
	for n := range kinds {
		kinds[n] = faultKind(s.rand.IntN(int(faultKinds)))
	}
	if s.rand.IntN(4) == 0 {
		// Claim holders that crash, and VMs that cannot reach each other or the store, make submissions on several VMs
		// wait for one claim.
		kinds = []faultKind{crashAtWrite, crashAtWrite, storeCut, partition, serviceLossy}
	}
	for range s.rand.IntN(13) {
		kind := kinds[s.rand.IntN(len(kinds))]
		at := s.millis(0, int(faultTime/time.Millisecond)-500)
		d := min(s.millis(50, 6000), faultTime-at)
		v := f.VMs[s.rand.IntN(len(f.VMs))]
		f.Queue.After(at, func() { i.startFault(s, kind, v, d) })
	}
	f.Queue.After(faultTime, func() {
		for _, v := range f.VMs {
			if !v.alive {
				v.Start()
			}
		}
		f.SetViews(nil)
	})
}

func (i *faultInjector) startFault(s *scenario, k faultKind, v *VM, d time.Duration) {
	f := s.fleet
	i.active[k]++
	end := func() { i.active[k]-- }
	switch k {
	case storeCut, partition:
		i.cut[v.Name]++
		end = func() { i.active[k]--; i.cut[v.Name]--; i.updateViews(f) }
		// Other VMs notice after the heartbeat timeout.
		f.Queue.After(min(3*time.Second, d), func() { i.updateViews(f) })
	case pause:
		v.Pause(min(d, maxPause))
	case crash:
		i.kill(s, v, d)
	case pauseAtWrite:
		i.onNextWrite[v.Name] = func() { v.Pause(min(d, Start.Add(faultTime).Sub(f.Queue.Now()))) }
	case crashAtWrite:
		i.onNextWrite[v.Name] = func() { i.kill(s, v, d) }
	}
	f.Queue.After(d, end)
}

// kill stops a VM and restarts it after d, at the latest when the faults end.
func (i *faultInjector) kill(s *scenario, v *VM, d time.Duration) {
	f := s.fleet
	v.Kill()
	s.markCallersLost(v)
	f.Queue.After(min(3*time.Second, d), func() { i.updateViews(f) })
	f.Queue.After(d, func() {
		if !v.alive {
			v.Start()
			i.updateViews(f)
		}
	})
}

// updateViews tells each VM which other VMs it can reach.
func (i *faultInjector) updateViews(f *Fleet) {
	f.SetViews(func(v, w *VM) bool { return i.active[partition] == 0 || i.cut[v.Name] == 0 && i.cut[w.Name] == 0 })
}

// markCallersLost marks the open calls of a VM that crashes, whose callers lose their connections.
func (s *scenario) markCallersLost(v *VM) {
	for _, c := range s.result.Calls {
		if c.VM == v.Number && c.Replied.IsZero() {
			c.CallerLost = true
		}
	}
}

func (i *faultInjector) store(s *scenario) func(*VM, bool) StoreOpFault {
	r := s.fleet.rand
	return func(v *VM, write bool) StoreOpFault {
		if fault := i.onNextWrite[v.Name]; write && fault != nil && s.fleet.Queue.Now().Before(Start.Add(faultTime)) {
			delete(i.onNextWrite, v.Name)
			s.fleet.Queue.After(0, fault)
		}
		switch {
		case i.active[storeDown] > 0 || i.cut[v.Name] > 0 && i.active[storeCut] > 0:
			return StoreOpFault{Refuse: r.IntN(2) == 0, Hang: true}
		case i.active[storeLossy] > 0:
			e := StoreOpFault{Refuse: r.IntN(6) == 0, Hang: r.IntN(6) == 0, Lose: r.IntN(3) == 0}
			if r.IntN(3) == 0 {
				e.Delay = s.fleet.randomDuration(4 * time.Second)
			}
			return e
		case i.active[storeSlow] > 0:
			return StoreOpFault{Delay: s.fleet.randomDuration(600 * time.Millisecond)}
		}
		return StoreOpFault{}
	}
}

func (i *faultInjector) send(s *scenario) func(*VM) SendFault {
	r := s.fleet.rand
	return func(*VM) SendFault {
		if i.active[serviceLossy] == 0 {
			return SendFault{}
		}
		e := SendFault{Refuse: r.IntN(4) == 0, Lose: r.IntN(3) == 0, Drop: r.IntN(6) == 0}
		if r.IntN(3) == 0 {
			e.Delay = s.fleet.randomDuration(5 * time.Second)
		}
		return e
	}
}

func (i *faultInjector) link(s *scenario) func(from, to *VM) LinkFault {
	r := s.fleet.rand
	return func(from, to *VM) LinkFault {
		if to != nil && i.active[partition] > 0 && (i.cut[from.Name] > 0 || i.cut[to.Name] > 0) {
			return LinkFault{Down: true}
		}
		if i.active[linkLossy] == 0 {
			return LinkFault{}
		}
		return LinkFault{Drop: r.IntN(4) == 0, Duplicate: r.IntN(3) == 0, Delay: s.fleet.randomDuration(time.Second)}
	}
}

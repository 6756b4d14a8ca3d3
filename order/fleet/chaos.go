package fleet

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// maxPause is the longest time in which a VM does not run and then goes on.
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
	death
	// pauseAtWrite and deathAtWrite strike just after the VM has given a write to the store.
	pauseAtWrite
	deathAtWrite
	faultKinds
)

type (
	faultKind int

	// chaos keeps the faults that are in force.
	chaos struct {
		active [faultKinds]int
		cut    map[teaselstream.VMID]int
		armed  map[teaselstream.VMID]func()
	}
)

// schedule plans faults, all of which end by faultTime.
func (c *chaos) schedule(s *scenario) {
	f := s.fleet
	c.cut = make(map[teaselstream.VMID]int)
	c.armed = make(map[teaselstream.VMID]func())
	f.StoreFault = c.store(s)
	f.SendFault = c.send(s)
	f.LinkFault = c.link(s)
	// A run has few kinds of faults but many of each, so that they meet in the same calls.
	kinds := make([]faultKind, 1+s.rand.IntN(4))
	for n := range kinds {
		kinds[n] = faultKind(s.rand.IntN(int(faultKinds)))
	}
	if s.rand.IntN(4) == 0 {
		// Dead holders and VMs that cannot see each other or the store make submissions on several VMs wait for one claim.
		kinds = []faultKind{deathAtWrite, deathAtWrite, storeCut, partition, serviceLossy}
	}
	for range s.rand.IntN(13) {
		kind := kinds[s.rand.IntN(len(kinds))]
		at := s.millis(0, int(faultTime/time.Millisecond)-500)
		d := min(s.millis(50, 6000), faultTime-at)
		v := f.VMs[s.rand.IntN(len(f.VMs))]
		f.Queue.After(at, func() { c.begin(s, kind, v, d) })
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

func (c *chaos) begin(s *scenario, k faultKind, v *VM, d time.Duration) {
	f := s.fleet
	c.active[k]++
	end := func() { c.active[k]-- }
	switch k {
	case storeCut, partition:
		c.cut[v.Name]++
		end = func() { c.active[k]--; c.cut[v.Name]--; c.views(f) }
		// Other VMs notice after the heartbeat timeout.
		f.Queue.After(min(3*time.Second, d), func() { c.views(f) })
	case pause:
		v.Pause(min(d, maxPause))
	case death:
		c.kill(s, v, d)
	case pauseAtWrite:
		c.armed[v.Name] = func() { v.Pause(min(d, Start.Add(faultTime).Sub(f.Queue.Now()))) }
	case deathAtWrite:
		c.armed[v.Name] = func() { c.kill(s, v, d) }
	}
	f.Queue.After(d, end)
}

// kill stops a VM and starts it again after some time, at the latest when the faults end.
func (c *chaos) kill(s *scenario, v *VM, d time.Duration) {
	f := s.fleet
	v.Kill()
	s.lose(v)
	f.Queue.After(min(3*time.Second, d), func() { c.views(f) })
	f.Queue.After(d, func() {
		if !v.alive {
			v.Start()
			c.views(f)
		}
	})
}

// views tells each VM who it can reach.
func (c *chaos) views(f *Fleet) {
	f.SetViews(func(v, w *VM) bool { return c.active[partition] == 0 || c.cut[v.Name] == 0 && c.cut[w.Name] == 0 })
}

// lose marks the calls whose caller loses its connection by the death of a VM.
func (s *scenario) lose(v *VM) {
	for _, c := range s.result.Calls {
		if c.VM == v.Number && c.Replied.IsZero() {
			c.CallerLost = true
		}
	}
}

func (c *chaos) store(s *scenario) func(*VM, bool) StoreFault {
	r := s.fleet.rand
	return func(v *VM, write bool) StoreFault {
		if strike := c.armed[v.Name]; write && strike != nil && s.fleet.Queue.Now().Before(Start.Add(faultTime)) {
			delete(c.armed, v.Name)
			s.fleet.Queue.After(0, strike)
		}
		switch {
		case c.active[storeDown] > 0 || c.cut[v.Name] > 0 && c.active[storeCut] > 0:
			return StoreFault{Refuse: r.IntN(2) == 0, Hang: true}
		case c.active[storeLossy] > 0:
			e := StoreFault{Refuse: r.IntN(6) == 0, Hang: r.IntN(6) == 0, Lose: r.IntN(3) == 0}
			if r.IntN(3) == 0 {
				e.Delay = s.fleet.rand64(4 * time.Second)
			}
			return e
		case c.active[storeSlow] > 0:
			return StoreFault{Delay: s.fleet.rand64(600 * time.Millisecond)}
		}
		return StoreFault{}
	}
}

func (c *chaos) send(s *scenario) func(*VM) SendFault {
	r := s.fleet.rand
	return func(*VM) SendFault {
		if c.active[serviceLossy] == 0 {
			return SendFault{}
		}
		e := SendFault{Refuse: r.IntN(4) == 0, Lose: r.IntN(3) == 0, Drop: r.IntN(6) == 0}
		if r.IntN(3) == 0 {
			e.Delay = s.fleet.rand64(5 * time.Second)
		}
		return e
	}
}

func (c *chaos) link(s *scenario) func(from, to *VM) LinkFault {
	r := s.fleet.rand
	return func(from, to *VM) LinkFault {
		if to != nil && c.active[partition] > 0 && (c.cut[from.Name] > 0 || c.cut[to.Name] > 0) {
			return LinkFault{Down: true}
		}
		if c.active[linkLossy] == 0 {
			return LinkFault{}
		}
		return LinkFault{Drop: r.IntN(4) == 0, Duplicate: r.IntN(3) == 0, Delay: s.fleet.rand64(time.Second)}
	}
}

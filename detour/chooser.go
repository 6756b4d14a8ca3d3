package detour

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// asideTime is how long a VM that refused an exchange or did not answer is not asked. A cut lasts for seconds.
const asideTime = time.Second

// Chooser chooses the VM through which exchanges go while this VM is isolated. A nil Chooser always sends directly.
type Chooser struct {
	Self teaselstream.VMID
	// Isolated reports whether this VM reaches no server, and Peers returns the registered VMs.
	Isolated func() bool
	Peers    func() []fleet.Peer
	Rand     teaselstream.Rand

	mu         sync.Mutex
	asideUntil map[teaselstream.VMID]time.Time
}

// IsIsolated reports whether this VM reaches no server.
func (c *Chooser) IsIsolated() bool { return c != nil && c.Isolated() }

// Active reports whether exchanges go through another VM: this VM is isolated, and another one serves exchanges.
func (c *Chooser) Active() bool {
	if !c.IsIsolated() {
		return false
	}
	for _, p := range c.Peers() {
		if p.Name != c.Self && p.Relay != "" {
			return true
		}
	}
	return false
}

// Choose returns a VM of this VM's failure domain, or of another one if none of its own takes exchanges, at random. It returns false
// if all VMs have been put aside.
func (c *Chooser) Choose(now time.Time) (fleet.Peer, bool) {
	peers := c.Peers()
	var domain teaselstream.DomainID
	for _, p := range peers {
		if p.Name == c.Self {
			domain = p.Domain
		}
	}
	var near, far []fleet.Peer
	c.mu.Lock()
	for _, p := range peers {
		switch {
		case p.Name == c.Self || p.Relay == "" || now.Before(c.asideUntil[p.Name]):
		case p.Domain == domain:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	c.mu.Unlock()
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return fleet.Peer{}, false
	}
	return near[c.Rand.IntN(len(near))], true
}

// PutAside keeps a VM from being chosen for a short time.
func (c *Chooser) PutAside(now time.Time, vm teaselstream.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asideUntil == nil {
		c.asideUntil = make(map[teaselstream.VMID]time.Time)
	}
	c.asideUntil[vm] = now.Add(asideTime)
}

package detour

import (
	"slices"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

type (
	// Chooser chooses the VM through which exchanges go while this VM is isolated. A nil Chooser always sends directly.
	Chooser struct {
		Self teaselstream.VMID
		// Isolated reports whether this VM reaches no server, and Peers returns the registered VMs.
		Isolated func() bool
		Peers    func() []fleet.Peer
		Rand     teaselstream.Rand
		// OnPutAside is called for each time that a VM is put aside, once until it may be chosen again; nil calls nothing.
		OnPutAside func(PutAside)

		mu      sync.Mutex
		records map[teaselstream.VMID]record
	}

	// Search chooses VMs for one exchange until one of them sends it.
	Search struct {
		chooser *Chooser
		asked   []teaselstream.VMID
		ended   bool
	}
)

// IsIsolated reports whether this VM reaches no server.
func (c *Chooser) IsIsolated() bool { return c != nil && c.Isolated() }

// Active reports whether exchanges go through another VM: this VM is isolated, and another one serves exchanges.
func (c *Chooser) Active() bool {
	return c.IsIsolated() && slices.ContainsFunc(c.Peers(), c.carries)
}

// carries reports whether a VM carries exchanges for this one.
func (c *Chooser) carries(p fleet.Peer) bool { return p.Name != c.Self && p.Relay != "" }

// Search returns a search for the VM that sends an exchange.
func (c *Chooser) Search() *Search { return &Search{chooser: c} }

// Next returns a VM at random that is not put aside and was not asked before, of this VM's failure domain or else of another one. If there
// is none, it returns once the VM that failed longest ago; one that was asked and is put aside is never returned. It returns false if
// there is no VM left.
func (s *Search) Next(now time.Time) (fleet.Peer, bool) {
	c := s.chooser
	peers := c.Peers()
	domain := c.domain(peers)
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, far, last []fleet.Peer
	for _, p := range peers {
		aside, asked := now.Before(c.records[p.Name].asideUntil), slices.Contains(s.asked, p.Name)
		switch {
		case !c.carries(p) || aside && asked:
		case aside || asked:
			last = append(last, p)
		case p.Domain == domain:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		// An exchange tries one VM of those that may be unable to carry it, so that it is refused soon if none can.
		if s.ended || len(last) == 0 {
			return fleet.Peer{}, false
		}
		s.ended = true
		near = []fleet.Peer{c.failedFirst(last)}
	}
	p := near[c.Rand.IntN(len(near))]
	s.asked = append(s.asked, p.Name)
	return p, true
}

// domain returns this VM's failure domain.
func (c *Chooser) domain(peers []fleet.Peer) teaselstream.DomainID {
	for _, p := range peers {
		if p.Name == c.Self {
			return p.Domain
		}
	}
	return ""
}

// failedFirst returns the VM whose last failure is the longest ago.
func (c *Chooser) failedFirst(peers []fleet.Peer) fleet.Peer {
	return slices.MinFunc(peers, func(a, b fleet.Peer) int { return c.records[a.Name].failedAt.Compare(c.records[b.Name].failedAt) })
}

package fleet

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// State says whether a backend server may get work.
	State uint8

	// Member is a backend server with the state that request handlers use.
	Member struct {
		teaselstream.Replica
		State State
		// LeavingSince is the earliest time at which the server may have begun to drain, derived from the age of its entry.
		LeavingSince time.Time
		// PausedUntil is the time until which the server gets no new work after it refused some or sent no valid answer.
		PausedUntil time.Time
		// Slowdown is the step time factor of the server's last report; over 1 means slower than nominal.
		Slowdown float64
		// Pending is the layer range that the server is loading on an order of this VM.
		Pending teaselstream.LayerRange
		// DownSince is when the server was found down; Ended means that its address has refused a connection since.
		DownSince time.Time
		Ended     bool
		// CutOff means that the server has been silent without a break for longer than a sound one is.
		CutOff bool
		// Share is the share of new work that the server gets where others can do it, below 1 while its pace is being found; 0 means 1.
		Share        float64
		LoadEstimate *LoadEstimate
	}

	// Peer is a registered VM.
	Peer struct {
		Name   teaselstream.VMID
		Domain teaselstream.DomainID
		// Address is the "host:port" at which the VM serves other VMs, or empty.
		Address string
		// Relay is the "host:port" at which the VM carries exchanges with servers for other VMs, or empty.
		Relay string `json:",omitempty"`
		// MemoryMB is the memory of the VM's process, or 0 if it is not known. VMs with more of it have more processor time too.
		MemoryMB int `json:",omitempty"`
	}

	// View is an immutable snapshot of routing, backend servers and VMs.
	View struct {
		At      time.Time
		Domain  teaselstream.DomainID
		Routing *teaselstream.Routing
		Members map[teaselstream.ServerID]*Member
		// Pools lists the members of each service, sorted by id.
		Pools map[teaselstream.ServiceID][]*Member
		// Peers lists the VMs of all failure domains, this one included.
		Peers []Peer
		// StoreLost means that the store does not answer; StoreChangedAt is when StoreLost last changed.
		StoreLost      bool
		StoreChangedAt time.Time
		// CutLinks holds the time until which each cut link is not used.
		CutLinks map[Link]time.Time
	}

	// Link is the network connection from the servers of one failure domain to those of another.
	Link struct {
		From teaselstream.DomainID
		To   teaselstream.DomainID
	}
)

const (
	// Serving means that the server takes new work.
	Serving State = iota
	// Leaving means that the server finishes its work and takes no more.
	Leaving
	// Down means that the server does not answer.
	Down
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Serving:
		return "Serving"
	case Leaving:
		return "Leaving"
	default:
		return "Down"
	}
}

// DownSince reports whether a server is down that was not in an earlier view, or has ended since.
func (v *View) DownSince(earlier *View) bool {
	for id, m := range v.Members {
		if m.State != Down {
			continue
		}
		if e := earlier.Members[id]; e == nil || e.State != Down || m.Ended && !e.Ended {
			return true
		}
	}
	return false
}

// Draws reports whether a server takes part in a choice, for a random number in [0, 1).
func (m *Member) Draws(draw float64) bool { return m.Share == 0 || draw < m.Share }

// DomainVMs returns the number of VMs in a failure domain, at least 1.
func (v *View) DomainVMs(d teaselstream.DomainID) int {
	n := 0
	for _, p := range v.Peers {
		if p.Domain == d {
			n++
		}
	}
	return max(n, 1)
}

// ByAddress returns the member with the given address, or nil.
func (v *View) ByAddress(address string) *Member {
	for _, m := range v.Members {
		if m.Address == address {
			return m
		}
	}
	return nil
}

package fleet

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// State is the judgement of a backend server.
	State uint8

	// Member is a backend server as traffic sees it.
	Member struct {
		teaselstream.Replica
		State State
		// LeavingSince is the earliest time at which the server may have begun to leave, by what this VM has read.
		LeavingSince time.Time
		// PausedUntil keeps new work away after a refusal that will pass.
		PausedUntil time.Time
		// Slowdown is the pace of the server's last report; over 1 means slow.
		Slowdown float64
		// Pending is the range that an order of this VM is loading.
		Pending teaselstream.LayerRange
		// DownSince is when the server stopped answering, and Ended whether its address refuses connections since then.
		DownSince    time.Time
		Ended        bool
		LoadEstimate *LoadEstimate
	}

	// Peer is another VM.
	Peer struct {
		Name   teaselstream.VMID
		Domain teaselstream.DomainID
		// Address is where the VM answers other VMs, or empty.
		Address string
	}

	// View is an immutable picture of routing, backend servers and VMs.
	View struct {
		At      time.Time
		Domain  teaselstream.DomainID
		Routing *teaselstream.Routing
		Members map[teaselstream.ServerID]*Member
		// Pools lists the members of each service, sorted by id.
		Pools map[teaselstream.ServiceID][]*Member
		// Peers lists the VMs of all failure domains, this one included.
		Peers []Peer
		// StoreSince is when the store was last lost or regained, and StoreLost whether it is lost.
		StoreLost      bool
		StoreChangedAt time.Time
		// CutLinks holds until when servers of one failure domain are taken to be out of reach of those of another.
		CutLinks map[Link]time.Time
	}

	// Link is the way from servers of one failure domain to those of another.
	Link struct {
		From teaselstream.DomainID
		To   teaselstream.DomainID
	}
)

const (
	// Serving takes new work.
	Serving State = iota
	// Leaving finishes its work and takes no more.
	Leaving
	// Down does not answer.
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

// ByAddress returns the member that has an address, or nil.
func (v *View) ByAddress(address string) *Member {
	for _, m := range v.Members {
		if m.Address == address {
			return m
		}
	}
	return nil
}

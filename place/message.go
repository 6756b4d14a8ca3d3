package place

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// View gives the placer the servers as request routing sees them and the VMs of this failure domain.
	View struct {
		Document *teaselstream.Document
		Servers  map[teaselstream.ServerID]teaselstream.ServerView
		// VMs are the active VMs of this failure domain. This VM is one of them unless it is stopping.
		VMs []teaselstream.VMID
		// Domains are the failure domains that have VMs.
		Domains []teaselstream.DomainID
	}

	// Granted answers Grant.
	Granted struct {
		Decider DeciderID
		Lease   teaselstream.LeaseID
		Err     error
	}

	// KeptAlive answers KeepAlive.
	KeptAlive struct {
		Decider DeciderID
		Lease   teaselstream.LeaseID
		Err     error
	}

	// KeyRead answers ReadKey.
	KeyRead struct {
		Decider DeciderID
		Key     string
		Record  teaselstream.Record
		Err     error
	}

	// KeyWritten answers WriteKey.
	KeyWritten struct {
		Decider  DeciderID
		Key      string
		Revision teaselstream.Revision
		Err      error
	}

	// OrderSent answers SendOrder.
	OrderSent struct {
		Decider DeciderID
		Server  teaselstream.ServerID
		Fencing teaselstream.Fencing
		Err     error
	}

	// OrdersRead answers ReadOrders.
	OrdersRead struct {
		Decider DeciderID
		Server  teaselstream.ServerID
		Order   teaselstream.PlacementOrder
		Err     error
	}

	// DeciderID identifies the decider of a model in a failure domain.
	DeciderID struct {
		Model  teaselstream.ModelID
		Domain teaselstream.DomainID
	}

	// Grant asks the store for a lease.
	Grant struct {
		Decider DeciderID
		TTL     time.Duration
	}

	// KeepAlive renews a lease.
	KeepAlive struct {
		Decider DeciderID
		Lease   teaselstream.LeaseID
	}

	// ReadKey reads a key of the store.
	ReadKey struct {
		Decider DeciderID
		Key     string
	}

	// WriteKey changes a key by compare-and-swap.
	WriteKey struct {
		Decider  DeciderID
		Key      string
		Expected teaselstream.Revision
		Value    []byte
		Lease    teaselstream.LeaseID
	}

	// SendOrder sends a placement order to an engine.
	SendOrder struct {
		Decider DeciderID
		Server  teaselstream.ServerID
		Address string
		Order   teaselstream.PlacementOrder
	}

	// ReadOrders reads the last placement order that an engine accepted.
	ReadOrders struct {
		Decider DeciderID
		Server  teaselstream.ServerID
		Address string
	}

	// PlacementChanged reports the entries of a model's record, which override the document's layer ranges.
	PlacementChanged struct {
		Model    teaselstream.ModelID
		Revision teaselstream.Revision
		Entries  []Entry
	}
)

package fleet

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// RoutingRead brings a configuration from the store.
	RoutingRead struct{ Routing *teaselstream.Routing }

	// Listed brings the whole list of replicas.
	Listed struct {
		Replicas []teaselstream.Replica
		// Age is how long ago the list may have changed at most.
		Age time.Duration
	}

	// Changed brings one replica's new entry.
	Changed struct {
		Replica teaselstream.Replica
		// Age is how long ago the entry may have changed at most.
		Age time.Duration
	}

	// Removed says that the list has no entry of a replica any more.
	Removed struct {
		Server teaselstream.ServerID
		// Age is how long ago the entry may have been removed at most.
		Age time.Duration
	}

	// PeersListed brings all VMs that are registered.
	PeersListed struct{ Peers []Peer }

	// StoreLost says that the store does not answer this VM.
	StoreLost struct{}

	// StoreRegained says that the store answers again.
	StoreRegained struct{}

	// Reported brings a replica's own report.
	Reported struct {
		Server teaselstream.ServerID
		Report teaselstream.ReplicaReport
	}

	// Silent says that a replica refused a connection or did not answer a probe.
	Silent struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		// Ended says that its address refuses connections, so that its process does not run.
		Ended bool
		// Reason says what was seen, for the log.
		Reason string
	}

	// Refused says that a replica refused work as not run.
	Refused struct {
		Server teaselstream.ServerID
		// By is the first server of the path, which reported the refusal.
		By teaselstream.ServerID
		// Misplaced says that the replica does not hold the range that was asked of it.
		Misplaced bool
	}

	// Ordered says that this VM has ordered a replica to hold a range; an empty range ends the order.
	Ordered struct {
		Server teaselstream.ServerID
		Range  teaselstream.LayerRange
	}

	// Publish hands a new view to traffic.
	Publish struct{ View *View }

	// ReadReport asks for a replica's report, which Reported or Silent answers.
	ReadReport struct {
		Server  teaselstream.ServerID
		Address string
		Reason  string
	}

	// Note is a change of belief for the log.
	Note struct {
		Event  string
		Server teaselstream.ServerID
		Reason string
		Age    time.Duration
	}
)

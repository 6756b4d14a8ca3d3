package fleet

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// RoutingRead brings a configuration from the store.
	RoutingRead struct{ Routing *teaselstream.Routing }

	// ReplicasListed brings the whole list of replicas.
	ReplicasListed struct {
		Replicas []teaselstream.Replica
		// Age is how long ago the list may have changed at most.
		Age time.Duration
	}

	// ReplicaChanged brings one replica's new entry.
	ReplicaChanged struct {
		Replica teaselstream.Replica
		// Age is how long ago the entry may have changed at most.
		Age time.Duration
	}

	// ReplicaRemoved says that the list has no entry of a replica any more.
	ReplicaRemoved struct {
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

	// ReportReceived brings a replica's own report.
	ReportReceived struct {
		Server teaselstream.ServerID
		Report teaselstream.ReplicaReport
	}

	// Unreachable says that a replica refused a connection or did not answer a probe.
	Unreachable struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		// Ended says that its address refuses connections, so that its process does not run.
		Ended bool
		// Reason says what was seen, for the log.
		Reason string
	}

	// WorkRefused says that a replica refused work as not run.
	WorkRefused struct {
		Server teaselstream.ServerID
		// ReportedBy is the first server of the path, which reported the refusal.
		ReportedBy teaselstream.ServerID
		// WrongLayers says that the replica does not hold the range that was asked of it.
		WrongLayers bool
	}

	// LayersOrdered says that this VM has ordered a replica to hold a range; an empty range ends the order.
	LayersOrdered struct {
		Server teaselstream.ServerID
		Range  teaselstream.LayerRange
	}

	// PublishView hands a new view to traffic.
	PublishView struct{ View *View }

	// ReadReport asks for a replica's report, which Reported or Silent answers.
	ReadReport struct {
		Server  teaselstream.ServerID
		Address string
		Reason  string
	}

	// LogEvent is a change of belief for the log.
	LogEvent struct {
		Event  string
		Server teaselstream.ServerID
		Reason string
		Age    time.Duration
	}
)

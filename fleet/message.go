package fleet

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// RoutingRead carries a configuration read from the store.
	RoutingRead struct{ Routing *teaselstream.Routing }

	// ReplicasListed carries the complete list of replicas.
	ReplicasListed struct {
		Replicas []teaselstream.Replica
		// Age bounds how long ago the list may have changed.
		Age time.Duration
	}

	// ReplicaChanged carries one replica's new store entry.
	ReplicaChanged struct {
		Replica teaselstream.Replica
		// Age bounds how long ago the entry may have changed.
		Age time.Duration
	}

	// ReplicaRemoved reports that a replica's store entry was removed.
	ReplicaRemoved struct {
		Server teaselstream.ServerID
		// Age bounds how long ago the entry may have been removed.
		Age time.Duration
	}

	// PeersListed carries all registered VMs.
	PeersListed struct{ Peers []Peer }

	// StoreLost reports that the store does not answer this VM.
	StoreLost struct{}

	// StoreRegained reports that the store answers again.
	StoreRegained struct{}

	// StoreRestored reports that the store has come back from an older copy. Entries that are missing from it may be written again.
	StoreRestored struct{}

	// ReportReceived carries a replica's own report.
	ReportReceived struct {
		Server teaselstream.ServerID
		Report teaselstream.ReplicaReport
	}

	// LeavingStated reports that an answer of a server to this VM has said that the server is shutting down.
	LeavingStated struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
	}

	// Unreachable reports that a replica refused a connection or did not answer a probe.
	Unreachable struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		// Ended means that the replica's address refuses connections, so its process is not running.
		Ended bool
		// Unanswered is how long the replica was asked in a row without a byte in return; 0 means that it, or the network, broke the
		// exchange off, which says nothing about whether it is silent.
		Unanswered time.Duration
		// Reason describes the failure for the log.
		Reason string
	}

	// NotAsked reports that a probe of a server that is down was not sent.
	NotAsked struct{ Server teaselstream.ServerID }

	// MessagesDropped reports that messages to the core were dropped, answers of servers possibly among them.
	MessagesDropped struct{}

	// ServersIsolated reports that this VM reaches no server itself, but others through another VM. What it has found about servers
	// since Since says nothing about them.
	ServersIsolated struct{ Since time.Time }

	// WorkRefused reports that a replica refused a request without running it.
	WorkRefused struct {
		Server teaselstream.ServerID
		// ReportedBy is the first server of the request's path, which passed the refusal on.
		ReportedBy teaselstream.ServerID
		// WrongLayers means that the replica does not hold the requested layer range.
		WrongLayers bool
		// Wait is how long the replica wants no more work, if it said so.
		Wait time.Duration
	}

	// AnswerInvalid reports that a replica answered a request with bytes that are no answer, or with more than this VM can hold.
	AnswerInvalid struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
	}

	// LayersOrdered reports that this VM has ordered a replica to load a layer range; an empty range ends the order.
	LayersOrdered struct {
		Server teaselstream.ServerID
		Range  teaselstream.LayerRange
	}

	// ShareFound sets the share of new work that a server gets while its pace is being found; 1 ends that.
	ShareFound struct {
		Server teaselstream.ServerID
		Share  float64
	}

	// Returned reports that a server takes work that did not before: it has started, answers again or holds other layers.
	Returned struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Cause       ReturnCause
	}

	// PublishView replaces the view that request handlers read.
	PublishView struct{ View *View }

	// ReadReport requests a replica's report; the result arrives as ReportReceived, Unreachable or NotAsked.
	ReadReport struct {
		Server  teaselstream.ServerID
		Address string
		Reason  string
		// Timeout is how long the replica may take to answer; 0 means the usual time.
		Timeout time.Duration
	}

	// LogEvent is a change of the tracked state to write to the log.
	LogEvent struct {
		Event  string
		Server teaselstream.ServerID
		Reason string
		Age    time.Duration
	}
)

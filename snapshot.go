package teaselstream

import "time"

type (
	// ServerState says how much new work a backend server may get.
	ServerState uint8

	// ServerView is a server with the state by which requests are routed.
	ServerView struct {
		Server
		State ServerState
		// Weight in (0, 1] scales the traffic of a server in slow start or on probation.
		Weight      float64
		Incarnation Incarnation
		Load        Load
		// Slowdown is the measured time per layer divided by the document's, or 1 if it is unknown.
		Slowdown float64
		// Local reports whether the server is in this VM's failure domain.
		Local bool
	}

	// Load is the load that a server reports.
	Load struct {
		Running         int
		Waiting         int
		TokensPerSecond TokensPerSecond
		CacheFree       float64
		Draining        bool
		Incarnation     Incarnation
		// At is the time at which this VM received the report.
		At time.Time
	}

	// PeerView is another VM with the state by which requests are routed.
	PeerView struct {
		VM      VMID
		Domain  DomainID
		Address string
		Alive   bool
		// Leaving reports that the VM is shutting down; it is alive until it exits.
		Leaving bool
	}

	// Snapshot is an immutable copy of the control state, by which requests are routed.
	Snapshot struct {
		At       time.Time
		VM       VMID
		Domain   DomainID
		Document *Document
		Trial    *Document
		Servers  map[ServerID]ServerView
		Peers    []PeerView
		LiveVMs  int
		Stopping bool
	}
)

const (
	// Serving takes new work.
	Serving ServerState = iota
	// SlowStart takes new work with a weight that grows after the start.
	SlowStart
	// Probation takes a small part of the new work, because the server's speed or output was suspicious.
	Probation
	// Leaving takes no new work and finishes the work that it has.
	Leaving
	// Dead takes no work until a probe succeeds.
	Dead
)

// String returns the name of the state.
func (s ServerState) String() string {
	switch s {
	case Serving:
		return "Serving"
	case SlowStart:
		return "SlowStart"
	case Probation:
		return "Probation"
	case Leaving:
		return "Leaving"
	default:
		return "Dead"
	}
}

// TakesNewWork reports whether new work may be sent to a server in this state.
func (s ServerState) TakesNewWork() bool { return s <= Probation }

// TakesCalls reports whether the server is a replica of a plain service to which new calls may be sent.
func (v ServerView) TakesCalls(s ServiceID) bool {
	return v.Kind == KindService && v.Service == s && v.State.TakesNewWork() && !v.Load.Draining
}

package health

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Servers lists all known servers; it is sent after each change of the document or the membership.
	Servers struct {
		List []Known
	}

	// Known is a backend server with its current incarnation.
	Known struct {
		teaselstream.Server
		Incarnation teaselstream.Incarnation
		// SendCanaries makes this VM send canary prompts through the server; the VMs of a large fleet divide the servers.
		SendCanaries bool
	}

	// CallResult reports the result of one call to a server.
	CallResult struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Result      CallStatus
	}

	// CallStatus says how a call to a server ended.
	CallStatus uint8

	// ProbeResult reports the result of a Probe.
	ProbeResult struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		OK          bool
	}

	// ServerLeaving says that a server is shutting down; it applies until a higher incarnation appears.
	ServerLeaving struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
	}

	// Latency reports the mean time between the tokens of a stream or canary that a chain of servers produced.
	Latency struct {
		Chain    []teaselstream.Hop
		PerToken time.Duration
		// Transfer is the part of PerToken that the network links are expected to take.
		Transfer time.Duration
	}

	// CanaryAnswer is the answer of a whole chain of servers to a Canary.
	CanaryAnswer struct {
		Model  teaselstream.ModelID
		Chain  []teaselstream.ServerID
		Answer teaselstream.Digest
	}

	// PeerReport says that another VM has put a server on probation; CauseNone withdraws the report.
	PeerReport struct {
		VM          teaselstream.VMID
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Cause       Cause
	}

	// Tick advances slow start, probes and canaries; it is sent once a second.
	Tick = teaselstream.Tick

	// SetState publishes the state of a server.
	SetState struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		State       teaselstream.ServerState
		// Weight scales the server's traffic; it is in (0, 1].
		Weight float64
		// Slowdown is the ratio of the measured time per layer to that of comparable servers, 1 if unknown.
		Slowdown float64
		Cause    Cause
	}

	// Probe asks for a cheap call that shows whether a dead server is back.
	Probe struct {
		Server teaselstream.ServerID
	}

	// Canary asks to run the model's canary prompt on a chain that includes the server.
	Canary struct {
		Model  teaselstream.ModelID
		Server teaselstream.ServerID
		// Avoid lists the other servers of a chain that gave a wrong answer, so that the wrong server can be identified.
		Avoid []teaselstream.ServerID
	}

	// Cause says why a server is in its state.
	Cause string
)

const (
	// CallOK means that the server answered.
	CallOK CallStatus = iota
	// CallFailed means that the server did not answer in time or closed the connection during the call.
	CallFailed
	// CallRefused means that the connection was refused or reset.
	CallRefused
)

const (
	// CauseNone means that no fault is known.
	CauseNone Cause = ""
	// CauseSlow means that the server is slower than comparable servers or than its own long-term mean.
	CauseSlow Cause = "Slow"
	// CauseWrong means that canaries through the server gave wrong answers.
	CauseWrong Cause = "Wrong"
	// CauseFailed means that calls to the server failed.
	CauseFailed Cause = "Failed"
	// CauseLeft means that the server announced its shutdown.
	CauseLeft Cause = "Left"
)

package health

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Servers gives all known servers; it follows each change of the document or the membership.
	Servers struct {
		List []Known
	}

	// Known is a server with its current incarnation.
	Known struct {
		teaselstream.Server
		Incarnation teaselstream.Incarnation
		// SendCanaries asks this VM to send canaries through the server; VMs divide the servers of a large fleet.
		SendCanaries bool
	}

	// CallResult is the result of one use of a server.
	CallResult struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Result      CallStatus
	}

	// CallStatus says how a use of a server ended.
	CallStatus uint8

	// ProbeResult is the answer to Probe.
	ProbeResult struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		OK          bool
	}

	// ServerLeaving says that a server is leaving; it holds until a higher incarnation appears.
	ServerLeaving struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
	}

	// Latency is a mean time between tokens of a stream or canary over its chain.
	Latency struct {
		Chain    []teaselstream.Hop
		PerToken time.Duration
		// Transfer is the part of PerToken that the links are expected to take.
		Transfer time.Duration
	}

	// CanaryAnswer is the answer to Canary, from a whole chain of servers.
	CanaryAnswer struct {
		Model  teaselstream.ModelID
		Chain  []teaselstream.ServerID
		Answer teaselstream.Digest
	}

	// PeerReport says that another VM has a server on probation.
	PeerReport struct {
		VM          teaselstream.VMID
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Cause       Cause
	}

	// Tick advances slow start, probes and canaries; it is due once a second.
	Tick = teaselstream.Tick

	// SetState publishes the judgement of a server.
	SetState struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		State       teaselstream.ServerState
		// Weight in (0, 1] scales the server's traffic.
		Weight float64
		// Slowdown is the measured time per layer over that of like servers, 1 if unknown.
		Slowdown float64
		Cause    Cause
	}

	// Probe asks for a cheap call that shows whether a dead server answers again.
	Probe struct {
		Server teaselstream.ServerID
	}

	// Canary asks for the model's canary prompt on a chain through the server.
	Canary struct {
		Model  teaselstream.ModelID
		Server teaselstream.ServerID
		// Avoid holds the partners of a chain with a wrong answer, so that the wrong server is told apart.
		Avoid []teaselstream.ServerID
	}

	// Cause says why a server is in its state.
	Cause string
)

const (
	// CallOK means that the server answered.
	CallOK CallStatus = iota
	// CallFailed means that the server did not answer in time or closed the connection late.
	CallFailed
	// CallRefused means that the connection was refused or reset.
	CallRefused
)

const (
	// CauseNone means that nothing is wrong.
	CauseNone Cause = ""
	// CauseSlow means that the server is slower than like servers or than before.
	CauseSlow Cause = "Slow"
	// CauseWrong means that canaries through the server gave wrong answers.
	CauseWrong Cause = "Wrong"
	// CauseFailed means that uses of the server failed.
	CauseFailed Cause = "Failed"
	// CauseLeft means that the server is leaving.
	CauseLeft Cause = "Left"
)

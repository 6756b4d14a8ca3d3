package ramp

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// Reasons of Started.
const (
	ReasonStarted   = "started"
	ReasonRecovered = "recovered"
	ReasonNewLayers = "new layers"
)

// Messages to Tracker, beside teaselstream.Tick. Messages about a server that has no share or about another incarnation of it
// are ignored.
type (
	// Started reports that a server began to take work and is not known to do so at full speed; it is sent once per event, and
	// not for the servers that a VM finds when it starts itself.
	Started struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		// Reason is one of the constants ReasonStarted, ReasonRecovered and ReasonNewLayers.
		Reason string
	}

	// Answered reports an answer to a request of this VM.
	Answered struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		// Took is the time to the first event of a stream or to the end of any other answer, and Expected is that time by the
		// server's specification or the recent answers of its peers.
		Took     time.Duration
		Expected time.Duration
	}

	// Refused reports that a server had no room for a request of this VM.
	Refused struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
	}

	// Reported holds a server's own report.
	Reported struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Running     int
		Waiting     int
		Slots       int
		// Pace is the factor by which the server is slower than specified; 0 means that it is unknown.
		Pace float64
		// At is when the server was in this state, by this VM's clock.
		At time.Time
	}

	// Samples holds what another VM has counted since its last message.
	Samples struct {
		From   teaselstream.VMID
		Counts []Sample
	}

	// Sample counts the answers of one server to one VM.
	Sample struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		OnTime      int
		Late        int
		Refused     int
		// Share is the share that the VM applied, or 0 if it is unknown.
		Share float64
	}

	// Shared holds the share that the domain's observing VM found; it is not sent to that VM itself.
	Shared struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Share       float64
		// At is when the observing VM sent it.
		At time.Time
	}

	// Gone reports that a server has left or is down.
	Gone struct{ Server teaselstream.ServerID }
)

// Commands of Tracker.
type (
	// SetShare gives the share in (0, 1] of its normal capacity that a server takes now; 1 ends the limit.
	SetShare struct {
		Server teaselstream.ServerID
		Share  float64
	}

	// LogChange asks for a log line about a changed share.
	LogChange struct {
		Server teaselstream.ServerID
		Share  float64
		Reason string
	}
)

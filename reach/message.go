package reach

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// NotConnected means that the connection was refused or did not come about in time.
	NotConnected Cause = iota
	// BrokenOff means that the connection came about and ended before the first byte of an answer.
	BrokenOff
	// Silent means that the connection came about, or may have, and no byte of an answer arrived in time.
	Silent
)

type (
	// Answered reports the first byte of an answer on a connection. Bytes on a connection that has carried an answer before say
	// nothing, since open connections may live on while new ones fail, and neither does a connection that only comes about, since
	// a partition may break it off or hold all its bytes.
	Answered struct {
		Address string
		// OpenedAt is when the connection came about.
		OpenedAt time.Time
	}

	// Failed reports that a connection to a server brought no answer.
	Failed struct {
		Address string
		Cause   Cause
		// ReceivedAt is when the last byte arrived on any connection to a server, or the zero time.
		ReceivedAt time.Time
	}

	// Cause is the reason why a connection brought no answer.
	Cause uint8

	// ViewChanged carries the servers that are known.
	ViewChanged struct{ View *fleet.View }

	// Probe requests an exchange on a new connection to each of some servers; the results arrive as Answered or Failed.
	Probe struct{ Addresses []string }

	// SetIsolated says whether this VM reaches no server. Since is the time of the first failure if it does not.
	SetIsolated struct {
		Isolated bool
		Since    time.Time
		// Servers is the number of servers whose connections failed, or brought an answer.
		Servers int
		// Cause is the strongest cause for which enough connections failed, if the VM is isolated.
		Cause Cause
	}

	// known is a server that this VM may connect to.
	known struct {
		domain teaselstream.DomainID
		down   bool
		// leaving means that the server stops soon or has stopped, so that a failure of its connections shows nothing.
		leaving bool
	}
)

// String returns the name of a cause.
func (c Cause) String() string { return [...]string{"not connected", "broken off", "silent"}[c] }

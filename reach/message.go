package reach

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

type (
	// Connected reports that a new connection to a server came about. A success on a connection that is already open says
	// nothing, since open connections may live on while new ones are refused.
	Connected struct{ Address string }

	// Failed reports that a new connection to a server did not come about, or that the server did not answer a probe.
	Failed struct{ Address string }

	// ViewChanged carries the servers that are known.
	ViewChanged struct{ View *fleet.View }

	// Probe requests a new connection to each of some servers; the results arrive as Connected or Failed.
	Probe struct{ Addresses []string }

	// SetIsolated says whether this VM reaches no server. Since is the time of the first failure if it does not.
	SetIsolated struct {
		Isolated bool
		Since    time.Time
		// Servers is the number of servers to which connections failed, or came about.
		Servers int
	}

	// known is a server that this VM may connect to.
	known struct {
		domain teaselstream.DomainID
		down   bool
	}
)

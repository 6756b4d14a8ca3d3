package quota

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

type (
	// Named carries the limit in an answer to a request of this VM, or that the answer names none.
	Named struct {
		Server   teaselstream.ServerID
		HasLimit bool
		Limit    teaselstream.RequestsPerSecond
		// SentAt is when the request was sent.
		SentAt time.Time
	}

	// ReportRead carries the report of another VM.
	ReportRead struct{ Report Report }

	// ViewChanged carries the servers and VMs that are known.
	ViewChanged struct{ View *fleet.View }

	// Report holds the limits that one VM has heard from servers lately; it is stored under the VM's lease.
	Report struct {
		Limits []ReportedLimit
		// WrittenAt is when the report was written, in Unix seconds; a VM that starts may read an old one.
		WrittenAt int64
	}

	// ReportedLimit is the limit of a server; without HasLimit the server has ceased to name one.
	ReportedLimit struct {
		Server   teaselstream.ServerID
		HasLimit bool
		Limit    teaselstream.RequestsPerSecond
		// Age is the time from the server's answer to the report.
		Age time.Duration
	}

	// SetParts replaces the parts of the limits that request handlers keep to.
	SetParts struct {
		Parts map[teaselstream.ServerID]Part
	}

	// PublishReport replaces this VM's report in the store.
	PublishReport struct{ Report Report }

	// LogLimit is a limit that is new, has changed or has ended, to write to the log.
	LogLimit struct {
		Server   teaselstream.ServerID
		HasLimit bool
		Part     Part
	}
)

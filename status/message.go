package status

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/ramp"
)

type (
	// ViewChanged carries a new view of the observing VM.
	ViewChanged struct{ View *fleet.View }

	// Activated tells an Observer whether this VM observes for its failure domain.
	Activated struct{ Active bool }

	// Looked carries a report that the observing VM has read from a server.
	Looked struct {
		Server teaselstream.ServerID
		Report teaselstream.ReplicaReport
	}

	// ConnectionEnded reports that a server has ended a connection of the observing VM.
	ConnectionEnded struct{ Address string }

	// StreamStalled reports that a stream has had no event for longer than usual; Servers is its path.
	StreamStalled struct{ Servers []teaselstream.ServerID }

	// Look requests a server's report. Timeout is 0 for the usual one.
	Look struct {
		Server      teaselstream.ServerID
		Address     string
		Incarnation teaselstream.Incarnation
		Timeout     time.Duration
		Reason      string
	}

	// Publish passes a record on to the other VMs, at once if it is news.
	Publish struct {
		Record Record
		News   bool
	}

	// Record is what the observing VM last found out about a server.
	Record struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		State       fleet.Reachability `cbor:",omitempty"`
		// Age is the time since then, and SilentFor for how long the server had been silent without a break.
		Age       time.Duration
		SilentFor time.Duration `cbor:",omitempty"`
		CutOff    bool          `cbor:",omitempty"`
		Holds     teaselstream.LayerRange
		Orders    teaselstream.Sequence
		Running   int `cbor:",omitempty"`
		Waiting   int `cbor:",omitempty"`
		// CacheUsed and CacheTotal are in tokens times layers; CacheTotal is 0 if there was no report.
		CacheUsed  int64
		CacheTotal int64
		Pace       float64
	}

	// Ask is the request of a VM to the observing one.
	Ask struct {
		VM teaselstream.VMID
		// Domain is the VM's failure domain; empty means that of the VM that is asked.
		Domain teaselstream.DomainID `cbor:",omitempty"`
		// Boot and After identify the newest answer that the VM has.
		Boot  uint64
		After uint64
		// Teams holds the VM's running requests by team and service.
		Teams []TeamLoad `cbor:",omitempty"`
		// Samples counts the answers of servers whose pace is being found.
		Samples []ramp.Sample `cbor:",omitempty"`
	}

	// Share is the share of new work that a server gets while its pace is being found.
	Share struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Share       float64
	}

	// TeamLoad counts the running requests of one team to one service.
	TeamLoad struct {
		Service teaselstream.ServiceID
		Team    teaselstream.TeamID
		Running int
	}

	// Answer is the observing VM's answer to Ask.
	Answer struct {
		Boot    uint64
		Seq     uint64
		Records []Record
		// Teams holds the running requests by team and service of all VMs that ask.
		Teams []TeamLoad `cbor:",omitempty"`
		// Shares holds the shares that the observing VM has found.
		Shares []Share `cbor:",omitempty"`
	}

	// Stall is the body of a report about streams that stand still; each path is one stream's.
	Stall struct {
		Paths [][]teaselstream.ServerID
		// Forwarded means that the observer of another failure domain passes the report on.
		Forwarded bool `cbor:",omitempty"`
	}

	// ReportAnswer is the observing VM's answer to a request for a server's report.
	ReportAnswer struct {
		// Unanswered means that the server did not answer; Report is empty then.
		Unanswered bool
		Report     teaselstream.ReplicaReport
	}
)

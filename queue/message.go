package queue

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Arrive submits a request, which the queue answers with Send, Hold or Refuse.
	Arrive struct {
		Request teaselstream.AttemptID
		Service teaselstream.ServiceID
		// Rank is the urgency of the request among those of its service; 0 is the most urgent.
		Rank int
		Team teaselstream.TeamID
		// Size is the number of prompt tokens plus expected answer tokens; 0 if unknown.
		Size int
		// Objective is the target for the time from arrival to the first event; 0 means none.
		Objective time.Duration
		// Usual is the usual time from sending to the first event.
		Usual time.Duration
		// Waited is the time since the caller's first attempt, as far as it is known; Objective counts from there.
		Waited time.Duration
		// Deadline is when the caller gives up; zero means never.
		Deadline time.Time
		// Resumed reports that the caller already has a part of the answer.
		Resumed bool
		// Load is the share in use of the fullest server on the cheapest path, this request included. Above 1 a server would probably
		// refuse; negative means that there is no path, and NaN counts as 1.
		Load float64
		// Part is the share of Load that this request adds; 0 if unknown.
		Part float64
	}

	// Again asks anew for a request whose hold is over, with the load of a new path; the queue answers it like Arrive.
	Again struct {
		Request teaselstream.AttemptID
		Load    float64
		// Part is the share of Load that this request adds; 0 if unknown.
		Part float64
	}

	// Rejected reports that a server refused a request after Send without running it; the queue answers with Hold or Refuse.
	Rejected struct {
		Request teaselstream.AttemptID
	}

	// Ended reports that a request that was sent has ended, or that the caller of any request has disconnected.
	Ended struct {
		Request teaselstream.AttemptID
	}

	// Ranks sets the number of distinct ranks of a service's routes and teams; it is 1 until then.
	Ranks struct {
		Service teaselstream.ServiceID
		Count   int
	}

	// Teams sets each team's share, from 0 to 1, of a service's running requests in the failure domain, as other VMs report them.
	Teams struct {
		Service teaselstream.ServiceID
		Shares  map[teaselstream.TeamID]float64
	}

	// Send sends a request to a server now.
	Send struct {
		Request teaselstream.AttemptID
		Reason  string
	}

	// Hold keeps a request until Again, which is due after For; it replaces an earlier Hold of the request.
	Hold struct {
		Request teaselstream.AttemptID
		For     time.Duration
		Reason  string
	}

	// Refuse refuses a request that has not run.
	Refuse struct {
		Request    teaselstream.AttemptID
		RetryAfter time.Duration
		Reason     string
	}

	// LogDecision reports the first hold of a request, a refusal, or a send ahead of a request that waits for longer.
	LogDecision struct {
		Request teaselstream.AttemptID
		Rank    int
		Team    teaselstream.TeamID
		Load    float64
		Waited  time.Duration
		Reason  string
	}
)

// Reasons of decisions.
const (
	reasonRoom      = "servers have room"
	reasonResumed   = "caller has a part of the answer"
	reasonLast      = "last time at which it can be on time"
	reasonAhead     = "sent ahead of a request that waits"
	reasonOrder     = "an earlier request in the order waits for room"
	reasonReserve   = "room is left for more urgent requests"
	reasonFull      = "servers are full"
	reasonNoPath    = "no path"
	reasonRejected  = "a server refused it"
	reasonWake      = "room may be there"
	reasonDuplicate = "request id is in use"
	reasonUnknown   = "request is not known"
)

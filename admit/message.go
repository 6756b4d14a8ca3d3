package admit

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Arrive submits a request; the queue answers with Admit or Refuse, at once or later.
	Arrive struct {
		Request  teaselstream.RequestID
		Team     teaselstream.TeamID
		Priority teaselstream.Priority
		Worth    teaselstream.Worth
		// Cost is the estimated work, for example in tokens; values below 1 count as 1.
		Cost float64
		// Deadline is the time at which the caller gives up; zero means none.
		Deadline time.Time
	}

	// Finished reports that a request ended or that its caller disconnected, whether or not the request was admitted.
	Finished struct {
		Request teaselstream.RequestID
		// Duration is the time from Admit to the end, or 0 if it is no sample of the service time.
		Duration time.Duration
	}

	// Capacity sets the total slots of the usable servers and the number of live VMs that divide them evenly.
	Capacity struct {
		Slots   int
		LiveVMs int
	}

	// Shares sets the teams' shares and the longest time in the queue; it is sent after each change of the document.
	Shares struct {
		Teams     map[teaselstream.TeamID]teaselstream.Share
		QueueTime time.Duration
	}

	// Tick makes the queue refuse waiting requests that can no longer meet their deadline.
	Tick = teaselstream.Tick

	// Admit starts a request, or resumes it after Preempt.
	Admit struct {
		Request teaselstream.RequestID
		// Priority is the priority passed to the engine: twice the class, plus one if the team is within its share.
		Priority teaselstream.Priority
	}

	// Refuse rejects a request that waits for its first Admit, or for another one after Preempt.
	Refuse struct {
		Request    teaselstream.RequestID
		Code       teaselstream.Code
		RetryAfter time.Duration
	}

	// Preempt asks for a running request to be stopped; the request waits in the queue and resumes with its next Admit.
	Preempt struct {
		Request teaselstream.RequestID
	}
)

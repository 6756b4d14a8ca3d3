package moves

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Lost reports that a server of running paths has ended or is cut off.
	Lost struct {
		Server teaselstream.ServerID
		// Ahead holds the tokens that ran there by rank over all VMs of the failure domain, as far as known; rank 0 is the most urgent.
		// With nil, this VM's own streams stand for those of the others.
		Ahead map[int]int64
		// Streams holds the number of streams that Ahead counts, by rank; nil means unknown.
		Streams map[int]int64
		// VMs is the number of VMs in the failure domain.
		VMs int
		// ReadRate is the number of tokens a second that the other holders of its layers read together; 0 means unknown.
		ReadRate float64
		// Holders is the number of those holders; 0 counts as one.
		Holders int
		// Range holds the layers that it ran. Servers whose ranges overlap share their holders; an empty range shares with none.
		Range teaselstream.LayerRange
	}

	// Ask asks when a stream leaves a server that was lost.
	Ask struct {
		Request teaselstream.AttemptID
		// Server is the lost server; of several in one path, the one whose layers are read most slowly.
		Server teaselstream.ServerID
		Rank   int
		// Tokens is the number of tokens to read again: prompt and events so far.
		Tokens int
		// Left is the number of events that are probably still to come; 0 means unknown.
		Left int
		// Silent is the time since the last event.
		Silent time.Duration
		// Gap is the objective for a pause between events; 0 means none.
		Gap time.Duration
		// Patience is the time since the last event after which the caller leaves; 0 means unknown.
		Patience time.Duration
	}

	// Slowed reports the speed of a server that still answers.
	Slowed struct {
		Server teaselstream.ServerID
		// Factor is its step time as a multiple of its specification; 1 ends the slowness.
		Factor float64
		// Ahead, Streams, VMs, ReadRate, Holders and Range have the same meaning as in Lost.
		Ahead    map[int]int64
		Streams  map[int]int64
		VMs      int
		ReadRate float64
		Holders  int
		Range    teaselstream.LayerRange
	}

	// AskSlow asks whether a stream leaves a slow server.
	AskSlow struct {
		Request teaselstream.AttemptID
		Server  teaselstream.ServerID
		Rank    int
		// Tokens is the number of tokens that a move reads again.
		Tokens int
		// Left is the number of events that are probably still to come; 0 means unknown.
		Left int
		// Gap is the objective for a pause between events; 0 means none.
		Gap time.Duration
		// Pause is the longest pause of the last events.
		Pause time.Duration
		// Pace is the mean time between events now, and NormalPace the same without slow servers.
		Pace, NormalPace time.Duration
		// ReadTime is the time to read Tokens elsewhere when nobody else does.
		ReadTime time.Duration
	}

	// Ended reports that a stream was moved or has ended, or that its caller left.
	Ended struct{ Request teaselstream.AttemptID }

	// Move sends a stream to another path at a time that may be now.
	Move struct {
		Request teaselstream.AttemptID
		At      time.Time
		// Avoid lists the slow servers that the stream left recently; it does not return to them.
		Avoid  []teaselstream.ServerID
		Reason string
	}

	// Stay keeps a stream where it is and says when to ask again.
	Stay struct {
		Request teaselstream.AttemptID
		Until   time.Time
		Reason  string
	}

	// LogDecision reports a stream that waits or stays.
	LogDecision struct {
		Request teaselstream.AttemptID
		Server  teaselstream.ServerID
		Rank    int
		Waits   time.Duration
		Reason  string
	}
)

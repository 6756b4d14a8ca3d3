package drain

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

type (
	// Stop starts the shutdown; it is sent on SIGTERM.
	Stop struct{}

	// InFlight reports the work that this VM has in flight.
	InFlight struct {
		Streams int
		Calls   int
		// Orders is the number of non-idempotent calls whose outcome is not recorded in the store yet.
		Orders int
	}

	// CountInFlight asks for an InFlight message.
	CountInFlight struct{}

	// FailReadiness makes the readiness endpoint fail.
	FailReadiness struct{}

	// AnnounceLeaving announces to the other VMs that this one is shutting down.
	AnnounceLeaving struct{}

	// CloseListeners stops accepting new requests.
	CloseListeners struct{}

	// EndRequests asks to give a final answer to all requests that can still get one.
	EndRequests struct{}

	// SettleOrders asks to record the outcome of every open order.
	SettleOrders struct{}

	// SendGoodbye tells the other VMs that this one exits.
	SendGoodbye struct{}

	// Exit ends the process with code 0.
	Exit struct{}

	// Config configures the shutdown of one VM.
	Config struct {
		VM teaselstream.VMID
		// Delay is the time after failed readiness during which load balancers may still send new requests.
		Delay time.Duration
		// Timeout bounds the wait for work in flight, from Stop on; 0 means no bound.
		Timeout time.Duration
		// AnswerTime is the time before Timeout at which EndRequests is returned; 0 means that it is not.
		AnswerTime time.Duration
		Recorder   *invar.Recorder
		Faults     invar.Faults
	}

	// Drain is the state machine of a graceful shutdown.
	Drain struct {
		config    Config
		step      step
		stepSince time.Time
		stopBegan time.Time
		// requestsEnded is set once EndRequests was returned.
		requestsEnded bool
		// inFlight is the latest count, taken at countedAt.
		inFlight  InFlight
		countedAt time.Time
	}

	// step is a stage of the shutdown; the stages follow each other in the order of their constants.
	step uint8
)

const (
	running step = iota
	// announced waits until load balancers have stopped sending requests.
	announced
	finishingWork
	finishingOrders
	sendingGoodbye
	exited
)

// goodbyeFlushTime is the time for the goodbye message to leave the send buffers before the process exits.
const goodbyeFlushTime = 200 * time.Millisecond

// New returns the state machine of a running VM.
func New(config Config) *Drain { return &Drain{config: config} }

// Stopping reports whether the shutdown has started.
func (d *Drain) Stopping() bool { return d.step > running }

// Update applies one message and returns the commands of the steps that follow.
func (d *Drain) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch x := m.(type) {
	case Stop:
		if d.step != running {
			return nil
		}
		d.enter(now, announced)
		d.stopBegan = now
		return []teaselstream.Cmd{FailReadiness{}, AnnounceLeaving{}}
	case InFlight:
		d.inFlight, d.countedAt = x, now
		return d.advance(now)
	case teaselstream.Tick:
		out := append(d.endRequests(now), d.advance(now)...)
		if d.step == finishingWork || d.step == finishingOrders {
			out = append(out, CountInFlight{})
		}
		return out
	}
	return nil
}

// LastAnswer returns the time of EndRequests in a shutdown that lasts until its timeout; it is zero before Stop.
func (d *Drain) LastAnswer() time.Time {
	if d.step == running {
		return time.Time{}
	}
	return d.stopBegan.Add(d.config.Timeout - d.config.AnswerTime)
}

// endRequests returns EndRequests once it is due.
func (d *Drain) endRequests(now time.Time) []teaselstream.Cmd {
	if d.config.AnswerTime <= 0 || d.step == running || d.requestsEnded || now.Before(d.LastAnswer()) {
		return nil
	}
	d.requestsEnded = true
	return []teaselstream.Cmd{EndRequests{}}
}

func (d *Drain) enter(now time.Time, s step) { d.step, d.stepSince = s, now }

// advance moves to the next step if the current one is complete, or ends its wait for work after the timeout.
func (d *Drain) advance(now time.Time) []teaselstream.Cmd {
	timedOut := d.config.Faults.Has(invar.CutDrain) || d.config.Timeout > 0 && now.Sub(d.stopBegan) >= d.config.Timeout
	switch d.step {
	case announced:
		if now.Sub(d.stepSince) >= d.config.Delay {
			d.enter(now, finishingWork)
			return []teaselstream.Cmd{CloseListeners{}}
		}
	case finishingWork:
		// Only a count taken after the listeners were closed proves that nothing is in flight.
		if timedOut || d.countedAt.After(d.stepSince) && d.inFlight.Streams == 0 && d.inFlight.Calls == 0 {
			d.enter(now, finishingOrders)
			return []teaselstream.Cmd{SettleOrders{}}
		}
	case finishingOrders:
		if timedOut || d.countedAt.After(d.stepSince) && d.inFlight.Orders == 0 {
			d.enter(now, sendingGoodbye)
			return []teaselstream.Cmd{SendGoodbye{}}
		}
	case sendingGoodbye:
		if now.Sub(d.stepSince) >= goodbyeFlushTime {
			d.enter(now, exited)
			d.config.Recorder.Check(d.inFlight == InFlight{}, invar.GracefulStop,
				"VM %s exits with %d streams, %d calls and %d orders in flight", d.config.VM, d.inFlight.Streams, d.inFlight.Calls, d.inFlight.Orders)
			return []teaselstream.Cmd{Exit{}}
		}
	}
	return nil
}

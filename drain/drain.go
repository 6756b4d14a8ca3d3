package drain

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

type (
	// Stop begins the sequence, as SIGTERM does.
	Stop struct{}

	// InFlight reports the work that this VM still has.
	InFlight struct {
		Streams int
		Calls   int
		// Orders is the number of non-idempotent calls whose outcome is not recorded yet.
		Orders int
	}

	// CountInFlight asks for InFlight.
	CountInFlight struct{}

	// FailReadiness makes the readiness endpoint fail.
	FailReadiness struct{}

	// AnnounceLeaving announces to the other VMs that this one leaves.
	AnnounceLeaving struct{}

	// CloseListeners ends the acceptance of new requests.
	CloseListeners struct{}

	// SettleOrders asks for the outcome of every open order to be recorded.
	SettleOrders struct{}

	// SendGoodbye tells the other VMs that this one is gone.
	SendGoodbye struct{}

	// Exit ends the process with code 0.
	Exit struct{}

	// Config describes the stop of one VM.
	Config struct {
		VM teaselstream.VMID
		// Delay is the time for which the platform's balancer still sends new streams.
		Delay time.Duration
		// Timeout bounds the wait for work in flight; 0 means that there is no bound.
		Timeout  time.Duration
		Recorder *invar.Recorder
		Faults   invar.Faults
	}

	// Drain is the state machine of a planned stop.
	Drain struct {
		c      Config
		step   step
		since  time.Time
		begun  time.Time
		flight InFlight
		known  time.Time
	}

	step uint8
)

const (
	running step = iota
	announced
	finishing
	settling
	leaving
	gone
)

// goodbyeTime lets the goodbye leave the send buffers.
const goodbyeTime = 200 * time.Millisecond

// New returns the machine of a VM that runs.
func New(c Config) *Drain { return &Drain{c: c} }

// Stopping reports whether a stop has begun.
func (d *Drain) Stopping() bool { return d.step > running }

// Update applies one message.
func (d *Drain) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch x := m.(type) {
	case Stop:
		if d.step != running {
			return nil
		}
		d.enter(now, announced)
		d.begun = now
		return []teaselstream.Cmd{FailReadiness{}, AnnounceLeaving{}}
	case InFlight:
		d.flight, d.known = x, now
		return d.advance(now)
	case teaselstream.Tick:
		out := d.advance(now)
		if d.step == finishing || d.step == settling {
			out = append(out, CountInFlight{})
		}
		return out
	}
	return nil
}

func (d *Drain) enter(now time.Time, s step) { d.step, d.since = s, now }

func (d *Drain) advance(now time.Time) []teaselstream.Cmd {
	cut := d.c.Faults.Has(invar.CutDrain) || d.c.Timeout > 0 && now.Sub(d.begun) >= d.c.Timeout
	switch d.step {
	case announced:
		if now.Sub(d.since) >= d.c.Delay {
			d.enter(now, finishing)
			return []teaselstream.Cmd{CloseListeners{}}
		}
	case finishing:
		// Only a count taken after the listeners closed shows that nothing is in flight.
		if cut || d.known.After(d.since) && d.flight.Streams == 0 && d.flight.Calls == 0 {
			d.enter(now, settling)
			return []teaselstream.Cmd{SettleOrders{}}
		}
	case settling:
		if cut || d.known.After(d.since) && d.flight.Orders == 0 {
			d.enter(now, leaving)
			return []teaselstream.Cmd{SendGoodbye{}}
		}
	case leaving:
		if now.Sub(d.since) >= goodbyeTime {
			d.enter(now, gone)
			d.c.Recorder.Check(d.flight == InFlight{}, invar.GracefulStop,
				"VM %s exits with %d streams, %d calls and %d orders in flight", d.c.VM, d.flight.Streams, d.flight.Calls, d.flight.Orders)
			return []teaselstream.Cmd{Exit{}}
		}
	}
	return nil
}

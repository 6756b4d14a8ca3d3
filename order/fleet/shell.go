package fleet

import (
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/order"
)

// serviceTimeout is the timeout of calls to the fake service.
const serviceTimeout = 2 * time.Second

// execute executes one command of a VM's core.
func (v *VM) execute(c teaselstream.Cmd) {
	f, incarnation := v.fleet, v.incarnation
	post := func(m teaselstream.Msg) { v.deliver(incarnation, func() { v.Update(m) }) }
	switch c := c.(type) {
	case order.Reply:
		if f.OnReply != nil {
			f.OnReply(v.Number, c)
		}
	case order.Read:
		f.Store.read(c.Key, f.storeFault(v, false), func(r teaselstream.Record, err error) {
			post(order.StoreResult{ID: c.ID, Record: r, Err: err})
		})
	case order.Write:
		f.Store.write(c.Key, c.Expected, c.Value, f.storeFault(v, true), func(r teaselstream.Record, err error) {
			post(order.StoreResult{ID: c.ID, Record: r, Err: err})
		})
	case order.Send:
		v.send(c, post)
	case order.LookUp:
		f.Queue.After(f.config.ServiceTime, func() {
			found, err := f.service.lookUp(c.Call)
			post(order.LookedUp{ID: c.ID, Found: found, Err: err})
		})
	case order.Forward:
		v.forward(c, post)
	case order.AnswerForward:
		w := f.byName(c.To)
		f.link(v, w, func() { w.Update(order.ForwardAnswered{From: v.Name, Answer: c.Answer}) })
	}
}

func (f *Fleet) storeFault(v *VM, write bool) StoreOpFault {
	if f.StoreFault == nil {
		return StoreOpFault{}
	}
	return f.StoreFault(v, write)
}

func (f *Fleet) byName(n teaselstream.VMID) *VM {
	for _, v := range f.VMs {
		if v.Name == n {
			return v
		}
	}
	return nil
}

// send calls the service as the shell does: the clock is checked once, so the call itself may arrive late.
func (v *VM) send(c order.Send, post func(teaselstream.Msg)) {
	f := v.fleet
	var e SendFault
	if f.SendFault != nil {
		e = f.SendFault(v)
	}
	c.Call.Request = c.Request
	answered := false
	answer := func(a teaselstream.ServiceAnswer, err error) {
		if answered {
			return
		}
		answered = true
		post(order.Answered{Key: c.Key, Claim: c.Claim, Try: c.Try, Answer: a, Err: err})
		if f.LinkFault != nil && f.rand.IntN(8) == 0 {
			post(order.Answered{Key: c.Key, Claim: c.Claim, Try: c.Try, Answer: a, Err: err})
		}
	}
	none := teaselstream.ServiceAnswer{}
	if e.Refuse || f.Queue.Now().After(c.Until) {
		f.Queue.After(0, func() { answer(none, fmt.Errorf("fake service: %w", teaselstream.ErrUnavailable)) })
		return
	}
	lost := fmt.Errorf("fake service: %w", teaselstream.ErrOutcomeUnknown)
	f.Queue.After(serviceTimeout, func() { answer(none, lost) })
	if e.Drop {
		f.Queue.After(f.config.ServiceTime, func() { answer(none, lost) })
		return
	}
	f.Queue.After(f.config.ServiceTime/2+e.Delay, func() {
		a, err := f.service.call(c.Call)
		f.Queue.After(f.config.ServiceTime/2, func() {
			if e.Lose {
				a, err = none, lost
			}
			answer(a, err)
		})
	})
}

func (v *VM) forward(c order.Forward, post func(teaselstream.Msg)) {
	w := v.fleet.byName(c.To)
	if w == nil || !w.alive {
		v.fleet.Queue.After(0, func() { post(order.ForwardFailed{ID: c.Call.ID}) })
		return
	}
	v.fleet.link(v, w, func() {
		w.Update(order.ForwardReceived{Call: c.Call, Service: v.fleet.config.Spec, Known: true})
	})
}

// link delivers a message to the current incarnation of a VM; a restart before it arrives loses it.
func (f *Fleet) link(from, to *VM, arrive func()) {
	var e LinkFault
	if f.LinkFault != nil {
		e = f.LinkFault(from, to)
	}
	if to == nil || e.Down || e.Drop {
		return
	}
	incarnation := to.incarnation
	f.Queue.After(500*time.Microsecond+e.Delay, func() { to.deliver(incarnation, arrive) })
	if e.Duplicate {
		f.Queue.After(500*time.Microsecond+3*e.Delay+f.randomDuration(3*time.Second), func() { to.deliver(incarnation, arrive) })
	}
}

func (f *Fleet) randomDuration(d time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(d)))
}

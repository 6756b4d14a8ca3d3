package runs

import (
	"fmt"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/place"
)

// place executes a command of a placement decider and posts its result.
func (v *VM) place(c teaselstream.Cmd, post func(teaselstream.Msg)) {
	f := v.fleet
	switch x := c.(type) {
	case place.Grant:
		fail := func(err error) { post(place.Granted{Decider: x.Decider, Err: err}) }
		v.callPlatform(fail, func() {
			f.Store.Grant(x.TTL, func(id teaselstream.LeaseID, err error) { post(place.Granted{Decider: x.Decider, Lease: id, Err: err}) })
		})
	case place.KeepAlive:
		done := func(err error) { post(place.KeptAlive{Decider: x.Decider, Lease: x.Lease, Err: err}) }
		v.callPlatform(done, func() { f.Store.KeepAlive(x.Lease, done) })
	case place.ReadKey:
		done := func(r teaselstream.Record, err error) {
			post(place.KeyRead{Decider: x.Decider, Key: x.Key, Record: r, Err: err})
		}
		v.callPlatform(func(err error) { done(teaselstream.Record{}, err) }, func() { f.Store.Get(x.Key, done) })
	case place.WriteKey:
		done := func(r teaselstream.Revision, err error) {
			post(place.KeyWritten{Decider: x.Decider, Key: x.Key, Revision: r, Err: err})
		}
		v.callPlatform(func(err error) { done(0, err) }, func() { f.Store.CompareAndSwap(x.Key, x.Expected, x.Value, x.Lease, done) })
	case place.SendOrder:
		s := f.servers[x.Server]
		issuedAt := f.Queue.Now()
		f.Queue.After(f.Network.Latency+v.orderDelay, func() {
			err := s.applyOrder(x.Order, issuedAt)
			f.Queue.After(f.Network.Latency, func() {
				post(place.OrderSent{Decider: x.Decider, Server: x.Server, Fencing: x.Order.Fencing, Err: err})
			})
		})
	case place.ReadOrders:
		s := f.servers[x.Server]
		f.Queue.After(2*f.Network.Latency, func() {
			m := place.OrdersRead{Decider: x.Decider, Server: x.Server, Order: s.LastOrder}
			if s.Dead || s.Unresponsive {
				m.Err = teaselstream.ErrUnavailable
			}
			post(m)
		})
	}
}

// applyOrder applies a placement order as an engine does, and records it if it removes the last copy of a layer.
func (s *Server) applyOrder(o teaselstream.PlacementOrder, issuedAt time.Time) error {
	switch {
	case s.Dead || s.Unresponsive:
		return teaselstream.ErrUnavailable
	case s.ChecksFencing && o.Fencing < s.highestFencing:
		return teaselstream.ErrFenced
	}
	s.highestFencing = max(s.highestFencing, o.Fencing)
	old := s.LastOrder
	s.LastOrder = o
	s.AppliedOrders++
	for l := old.From; l < old.To; l++ {
		if !s.fleet.layerHeld(old.Model, l, issuedAt) {
			s.fleet.LayerLosses = append(s.fleet.LayerLosses, fmt.Sprintf("an order to %s removed the last copy of layer %d", s.Name, l))
			break
		}
	}
	return nil
}

// lossDetectionTime is the time in which deciders learn that a server was lost.
const lossDetectionTime = 5 * time.Second

// layerHeld reports whether a server that takes new work holds a layer. A holder that was lost after
// the order was issued, or too shortly before for the decider to know, counts as well: its loss is a
// second fault and not an effect of the order.
func (f *Fleet) layerHeld(m teaselstream.ModelID, l teaselstream.Layer, issuedAt time.Time) bool {
	for _, s := range f.servers {
		r := teaselstream.LayerRange{From: s.LastOrder.From, To: s.LastOrder.To}
		counted := s.shouldServe() || s.lostAt.After(issuedAt.Add(-lossDetectionTime))
		if counted && s.LastOrder.Model == m && r.Contains(l) {
			return true
		}
	}
	return false
}

// Placement describes the layers of each engine and the orders that removed the last copy of a layer.
func (f *Fleet) Placement() string {
	var b strings.Builder
	for _, id := range f.Servers() {
		s := f.servers[id]
		fmt.Fprintf(&b, "%s %d-%d", id, s.LastOrder.From, s.LastOrder.To)
		if s.AppliedOrders > 0 {
			fmt.Fprintf(&b, " after %d orders, fencing number %d", s.AppliedOrders, s.LastOrder.Fencing)
		}
		if !s.shouldServe() {
			b.WriteString(" (lost)")
		}
		b.WriteByte('\n')
	}
	for _, u := range f.LayerLosses {
		b.WriteString(u + "\n")
	}
	return b.String()
}

package runs

import (
	"fmt"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/place"
)

// place performs a call of a placement decider.
func (v *VM) place(c teaselstream.Cmd, post func(teaselstream.Msg)) {
	f := v.fleet
	switch x := c.(type) {
	case place.Grant:
		fail := func(err error) { post(place.Granted{Decider: x.Decider, Err: err}) }
		v.reach(fail, func() {
			f.Store.Grant(x.TTL, func(id teaselstream.LeaseID, err error) { post(place.Granted{Decider: x.Decider, Lease: id, Err: err}) })
		})
	case place.KeepAlive:
		done := func(err error) { post(place.KeptAlive{Decider: x.Decider, Lease: x.Lease, Err: err}) }
		v.reach(done, func() { f.Store.KeepAlive(x.Lease, done) })
	case place.ReadKey:
		done := func(r teaselstream.Record, err error) {
			post(place.KeyRead{Decider: x.Decider, Key: x.Key, Record: r, Err: err})
		}
		v.reach(func(err error) { done(teaselstream.Record{}, err) }, func() { f.Store.Get(x.Key, done) })
	case place.WriteKey:
		done := func(r teaselstream.Revision, err error) {
			post(place.KeyWritten{Decider: x.Decider, Key: x.Key, Revision: r, Err: err})
		}
		v.reach(func(err error) { done(0, err) }, func() { f.Store.CompareAndSwap(x.Key, x.Expected, x.Value, x.Lease, done) })
	case place.SendOrder:
		s := f.servers[x.Server]
		issued := f.Queue.Now()
		f.Queue.After(f.Net.Latency+v.orderDelay, func() {
			err := s.take(x.Order, issued)
			f.Queue.After(f.Net.Latency, func() {
				post(place.OrderSent{Decider: x.Decider, Server: x.Server, Fencing: x.Order.Fencing, Err: err})
			})
		})
	case place.ReadOrders:
		s := f.servers[x.Server]
		f.Queue.After(2*f.Net.Latency, func() {
			m := place.OrdersRead{Decider: x.Decider, Server: x.Server, Order: s.Placed}
			if s.Dead || s.Mute {
				m.Err = teaselstream.ErrUnavailable
			}
			post(m)
		})
	}
}

// take applies a placement order as an engine does.
func (s *Server) take(o teaselstream.PlacementOrder, issued time.Time) error {
	switch {
	case s.Dead || s.Mute:
		return teaselstream.ErrUnavailable
	case s.ChecksFencing && o.Fencing < s.fenced:
		return teaselstream.ErrFenced
	}
	s.fenced = max(s.fenced, o.Fencing)
	old := s.Placed
	s.Placed = o
	s.Orders++
	for l := old.From; l < old.To; l++ {
		if !s.fleet.holds(old.Model, l, issued) {
			s.fleet.Uncovered = append(s.fleet.Uncovered, fmt.Sprintf("an order to %s took away the last copy of layer %d", s.Name, l))
			break
		}
	}
	return nil
}

// lossTime is the time in which deciders learn that a server was lost.
const lossTime = 5 * time.Second

// holds reports whether a server holds a layer that runs and stays. A holder that was lost after
// the order was issued is a second fault, not an order that uncovered a layer.
func (f *Fleet) holds(m teaselstream.ModelID, l teaselstream.Layer, issued time.Time) bool {
	for _, s := range f.servers {
		r := teaselstream.LayerRange{From: s.Placed.From, To: s.Placed.To}
		fit := s.want() || s.lostAt.After(issued.Add(-lossTime))
		if fit && s.Placed.Model == m && r.Contains(l) {
			return true
		}
	}
	return false
}

// Placement describes what each engine holds, and orders that uncovered a layer.
func (f *Fleet) Placement() string {
	var b strings.Builder
	for _, id := range f.Servers() {
		s := f.servers[id]
		fmt.Fprintf(&b, "%s %d-%d", id, s.Placed.From, s.Placed.To)
		if s.Orders > 0 {
			fmt.Fprintf(&b, " after %d orders, fencing number %d", s.Orders, s.Placed.Fencing)
		}
		if !s.want() {
			b.WriteString(" (lost)")
		}
		b.WriteByte('\n')
	}
	for _, u := range f.Uncovered {
		b.WriteString(u + "\n")
	}
	return b.String()
}

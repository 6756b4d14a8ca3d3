package place

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// move is a change of one server that is under way.
type move struct {
	server teaselstream.ServerID
	to     Entry
	// asked are the servers that must confirm the cover of what the server gives up.
	asked     map[teaselstream.ServerID]bool
	confirmed []teaselstream.LayerRange
	// holds is what the server said that it holds, if its entry is pending: the order of the intent may have arrived.
	holds teaselstream.LayerRange
}

const (
	// settleTime is the least time between two moves of one server.
	settleTime = time.Minute
	// uncertainTime exceeds any pause or retransmission after which a connection still delivers an order.
	uncertainTime = 10 * time.Minute
	// confirmLimit bounds the questions before one move.
	confirmLimit = 16
)

func (r Record) clone() Record {
	r.Deciders = append([]Decider(nil), r.Deciders...)
	r.Entries = append([]Entry(nil), r.Entries...)
	return r
}

// start begins a move with a fresh look at the lease.
func (d *decision) start(now time.Time, e Entry) []teaselstream.Cmd {
	d.move = move{server: e.Server, to: e, asked: map[teaselstream.ServerID]bool{}}
	d.enter(now, checkingLease)
	return []teaselstream.Cmd{ReadKey{Decider: d.id, Key: d.p.leaseKey(d.id)}}
}

// confirm asks the other holders of what the server gives up, unless it gives up nothing.
//
// The server of a pending entry is asked first: the order may or may not have arrived, and the
// cover that was confirmed when the intent was written may be lost by now.
func (d *decision) confirm(now time.Time) []teaselstream.Cmd {
	if d.record.decider(d.id.Domain).Fencing != d.fencing {
		return d.fail(now)
	}
	if d.repeated() {
		d.enter(now, asking)
		id := d.move.server
		return []teaselstream.Cmd{ReadOrders{Decider: d.id, Server: id, Address: d.p.view.Servers[id].Address}}
	}
	return d.confirmOthers(now)
}

// repeated reports whether the move orders a pending entry again.
func (d *decision) repeated() bool {
	e := d.record.entry(d.move.server)
	return e != nil && e.Pending
}

// holdsRead goes on with a pending entry once its server has said what it holds.
func (d *decision) holdsRead(now time.Time, x OrdersRead) []teaselstream.Cmd {
	if x.Server != d.move.server {
		return nil
	}
	if x.Err != nil {
		return d.giveUp(now)
	}
	d.move.holds = teaselstream.LayerRange{From: x.Order.From, To: x.Order.To}
	if x.Order.Model == "" {
		// An engine that was never ordered anything holds what it was started with.
		d.move.holds = d.p.view.Document.Servers[x.Server].Layers
	}
	return d.confirmOthers(now)
}

func (d *decision) giveUp(now time.Time) []teaselstream.Cmd {
	d.move = move{}
	d.enter(now, holdingLease)
	return nil
}

// uncovered ends a move whose cover nobody confirms. A pending entry returns to what its server holds,
// so that another server can be moved; its earlier order may still arrive.
func (d *decision) uncovered(now time.Time) []teaselstream.Cmd {
	if !d.repeated() {
		return d.giveUp(now)
	}
	r := d.record.clone()
	e := r.entry(d.move.server)
	e.From, e.To, e.Pending, e.Moved = d.move.holds.From, d.move.holds.To, false, now
	e.Uncertain = now.Add(uncertainTime)
	return d.write(now, r, finishing)
}

func (d *decision) confirmOthers(now time.Time) []teaselstream.Cmd {
	given := d.given()
	if given.Len() <= 0 {
		return d.intend(now)
	}
	d.enter(now, confirming)
	var out []teaselstream.Cmd
	for _, id := range d.p.servers(d.id.Model) {
		s := d.p.view.Servers[id]
		r := d.layers(id)
		if id == d.move.server || !counts(s.State) || !d.certain(now, id) || r.To <= given.From || r.From >= given.To || len(out) >= confirmLimit {
			continue
		}
		d.move.asked[id] = true
		out = append(out, ReadOrders{Decider: d.id, Server: id, Address: s.Address})
	}
	if len(out) == 0 {
		return d.uncovered(now)
	}
	return out
}

// given returns the layers that the server holds now and would not serve during the move.
func (d *decision) given() teaselstream.LayerRange {
	if !d.repeated() {
		return d.layers(d.move.server)
	}
	if d.move.holds == d.move.to.layers() {
		// The order has arrived, and the same order again changes nothing.
		return teaselstream.LayerRange{}
	}
	return d.move.holds
}

// certain reports whether no order of an earlier decider can still change the server.
func (d *decision) certain(now time.Time, id teaselstream.ServerID) bool {
	e := d.record.entry(id)
	return e == nil || !e.Pending && now.After(e.Uncertain)
}

func (d *decision) ordersRead(now time.Time, x OrdersRead) []teaselstream.Cmd {
	if d.stage == holdingLease {
		return d.scanned(now, x)
	}
	if d.stage == asking {
		return d.holdsRead(now, x)
	}
	if d.stage != confirming || !d.move.asked[x.Server] {
		return nil
	}
	delete(d.move.asked, x.Server)
	if x.Err == nil && x.Order.Model == d.id.Model {
		want, got := d.layers(x.Server), teaselstream.LayerRange{From: x.Order.From, To: x.Order.To}
		if got == want {
			d.move.confirmed = append(d.move.confirmed, got)
		}
	}
	if covers(d.move.confirmed, d.given()) {
		return d.intend(now)
	}
	if len(d.move.asked) == 0 {
		return d.uncovered(now)
	}
	return nil
}

// intend writes the move into the record, which makes other deciders stop counting on the server.
func (d *decision) intend(now time.Time) []teaselstream.Cmd {
	r := d.record.clone()
	e := d.move.to
	e.Fencing, e.Pending, e.Moved = d.fencing, true, now
	if old := r.entry(e.Server); old != nil {
		e.Uncertain = old.Uncertain
	}
	d.move.to = e
	r.put(e)
	return d.write(now, r, intending)
}

// order sends the order unless too much time has passed since the intent was written.
func (d *decision) order(now time.Time) []teaselstream.Cmd {
	if !d.holds(now) || now.Sub(d.since) > sendWindow {
		d.move = move{}
		d.enter(now, holdingLease)
		return nil
	}
	e := d.move.to
	d.enter(now, ordering)
	size := float64(d.p.view.Document.Models[d.id.Model].BytesPerLayer) * float64(e.layers().Len())
	d.nextLoad = now.Add(time.Duration(size / float64(d.p.c.LoadRate) * float64(time.Second)))
	return []teaselstream.Cmd{SendOrder{Decider: d.id, Server: e.Server, Address: d.p.view.Servers[e.Server].Address, Order: teaselstream.PlacementOrder{
		Fencing: d.fencing, Model: d.id.Model, Version: e.Version, From: e.From, To: e.To,
	}}}
}

func (d *decision) ordered(now time.Time, x OrderSent) []teaselstream.Cmd {
	if d.stage != ordering || x.Server != d.move.server || x.Fencing != d.fencing {
		return nil
	}
	if x.Err != nil {
		// The entry stays pending and is ordered again by a later plan.
		d.move = move{}
		d.enter(now, holdingLease)
		return nil
	}
	r := d.record.clone()
	if e := r.entry(x.Server); e != nil {
		e.Pending = false
	}
	return d.write(now, r, finishing)
}

func covers(held []teaselstream.LayerRange, r teaselstream.LayerRange) bool {
	for l := r.From; l < r.To; l++ {
		ok := false
		for _, h := range held {
			ok = ok || h.Contains(l)
		}
		if !ok {
			return false
		}
	}
	return true
}

package place

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// move is a change in progress of the layers or version that one server holds.
type move struct {
	server teaselstream.ServerID
	to     Entry
	// unanswered are the servers that were asked to confirm their copies of the removed layers and have not answered.
	unanswered map[teaselstream.ServerID]bool
	confirmed  []teaselstream.LayerRange
	// actual is the range that the server reports to hold. It is read only for a pending entry, whose order may have arrived.
	actual teaselstream.LayerRange
}

const (
	// minMoveInterval is the least time between two moves of one server.
	minMoveInterval = time.Minute
	// lateOrderTime exceeds any pause or retransmission after which a connection still delivers an order.
	lateOrderTime = 10 * time.Minute
	// maxConfirmQueries bounds the servers that are asked to confirm their copies before one move.
	maxConfirmQueries = 16
)

func (r Record) clone() Record {
	r.Deciders = append([]Decider(nil), r.Deciders...)
	r.Entries = append([]Entry(nil), r.Entries...)
	return r
}

// start begins a move by reading the lease key again.
func (d *deciderState) start(now time.Time, e Entry) []teaselstream.Cmd {
	d.move = move{server: e.Server, to: e, unanswered: map[teaselstream.ServerID]bool{}}
	d.setStage(now, checkingLease)
	return []teaselstream.Cmd{ReadKey{Decider: d.id, Key: d.p.leaseKey(d.id)}}
}

// confirmMove checks that the move is still safe, after the lease and the record were read again.
//
// The server of a pending entry is asked first what it holds: the order may or may not have arrived,
// and the other copies that were confirmed when the intent was written may have been lost since.
func (d *deciderState) confirmMove(now time.Time) []teaselstream.Cmd {
	if d.record.decider(d.id.Domain).Fencing != d.fencing {
		return d.abandonLease(now)
	}
	if d.isRetry() {
		d.setStage(now, queryingServer)
		id := d.move.server
		return []teaselstream.Cmd{ReadOrders{Decider: d.id, Server: id, Address: d.p.view.Servers[id].Address}}
	}
	return d.confirmCopies(now)
}

// isRetry reports whether the move sends the order of a pending entry again.
func (d *deciderState) isRetry() bool {
	e := d.record.entry(d.move.server)
	return e != nil && e.Pending
}

// pendingServerRead continues the move of a pending entry once its server has reported what it holds.
func (d *deciderState) pendingServerRead(now time.Time, x OrdersRead) []teaselstream.Cmd {
	if x.Server != d.move.server {
		return nil
	}
	if x.Err != nil {
		return d.cancelMove(now)
	}
	d.move.actual = teaselstream.LayerRange{From: x.Order.From, To: x.Order.To}
	if x.Order.Model == "" {
		// An engine that never accepted an order holds the range of the document, with which it was started.
		d.move.actual = d.p.view.Document.Servers[x.Server].Layers
	}
	return d.confirmCopies(now)
}

func (d *deciderState) cancelMove(now time.Time) []teaselstream.Cmd {
	d.move = move{}
	d.setStage(now, holdingLease)
	return nil
}

// endUnconfirmed ends a move if no other server confirms its copy of some removed layer. A pending entry
// is set back to the range that its server holds, so that another server can be moved. The entry becomes
// uncertain, because its earlier order may still arrive.
func (d *deciderState) endUnconfirmed(now time.Time) []teaselstream.Cmd {
	if !d.isRetry() {
		return d.cancelMove(now)
	}
	r := d.record.clone()
	e := r.entry(d.move.server)
	e.From, e.To, e.Pending, e.Moved = d.move.actual.From, d.move.actual.To, false, now
	e.Uncertain = now.Add(lateOrderTime)
	return d.writeRecord(now, r, writingResult)
}

// confirmCopies asks other servers that hold some of the removed layers to confirm what they hold. If no layers are
// removed, it writes the intent at once.
func (d *deciderState) confirmCopies(now time.Time) []teaselstream.Cmd {
	removedLayers := d.removedLayers()
	if removedLayers.Len() <= 0 {
		return d.writeIntent(now)
	}
	d.setStage(now, confirmingCopies)
	var out []teaselstream.Cmd
	for _, id := range d.p.servers(d.id.Model) {
		s := d.p.view.Servers[id]
		r := d.layers(id)
		if id == d.move.server || !providesLayers(s.State) || !d.orderSettled(now, id) || r.To <= removedLayers.From || r.From >= removedLayers.To || len(out) >= maxConfirmQueries {
			continue
		}
		d.move.unanswered[id] = true
		out = append(out, ReadOrders{Decider: d.id, Server: id, Address: s.Address})
	}
	if len(out) == 0 {
		return d.endUnconfirmed(now)
	}
	return out
}

// removedLayers returns the layers that the server holds now and would not serve during the move.
func (d *deciderState) removedLayers() teaselstream.LayerRange {
	if !d.isRetry() {
		return d.layers(d.move.server)
	}
	if d.move.actual == d.move.to.layers() {
		// The order has arrived, so sending it again changes nothing.
		return teaselstream.LayerRange{}
	}
	return d.move.actual
}

// orderSettled reports whether no order can still change the server: its entry is not pending, and a late order of an
// earlier decider cannot arrive any more.
func (d *deciderState) orderSettled(now time.Time, id teaselstream.ServerID) bool {
	e := d.record.entry(id)
	return e == nil || !e.Pending && now.After(e.Uncertain)
}

func (d *deciderState) ordersRead(now time.Time, x OrdersRead) []teaselstream.Cmd {
	if d.stage == holdingLease {
		return d.serverScanned(now, x)
	}
	if d.stage == queryingServer {
		return d.pendingServerRead(now, x)
	}
	if d.stage != confirmingCopies || !d.move.unanswered[x.Server] {
		return nil
	}
	delete(d.move.unanswered, x.Server)
	if x.Err == nil && x.Order.Model == d.id.Model {
		want, got := d.layers(x.Server), teaselstream.LayerRange{From: x.Order.From, To: x.Order.To}
		if got == want {
			d.move.confirmed = append(d.move.confirmed, got)
		}
	}
	if covers(d.move.confirmed, d.removedLayers()) {
		return d.writeIntent(now)
	}
	if len(d.move.unanswered) == 0 {
		return d.endUnconfirmed(now)
	}
	return nil
}

// writeIntent writes the move into the record as pending, so that other deciders no longer count the server as a copy.
func (d *deciderState) writeIntent(now time.Time) []teaselstream.Cmd {
	r := d.record.clone()
	e := d.move.to
	e.Fencing, e.Pending, e.Moved = d.fencing, true, now
	if old := r.entry(e.Server); old != nil {
		e.Uncertain = old.Uncertain
	}
	d.move.to = e
	r.put(e)
	return d.writeRecord(now, r, writingIntent)
}

// sendOrder sends the order unless more than orderWindow has passed since the write of the intent began.
func (d *deciderState) sendOrder(now time.Time) []teaselstream.Cmd {
	if !d.leaseValid(now) || now.Sub(d.stageSince) > orderWindow {
		d.move = move{}
		d.setStage(now, holdingLease)
		return nil
	}
	e := d.move.to
	d.setStage(now, sendingOrder)
	size := float64(d.p.view.Document.Models[d.id.Model].BytesPerLayer) * float64(e.layers().Len())
	d.nextLoad = now.Add(time.Duration(size / float64(d.p.config.LoadRate) * float64(time.Second)))
	return []teaselstream.Cmd{SendOrder{Decider: d.id, Server: e.Server, Address: d.p.view.Servers[e.Server].Address, Order: teaselstream.PlacementOrder{
		Fencing: d.fencing, Model: d.id.Model, Version: e.Version, From: e.From, To: e.To,
	}}}
}

func (d *deciderState) orderSent(now time.Time, x OrderSent) []teaselstream.Cmd {
	if d.stage != sendingOrder || x.Server != d.move.server || x.Fencing != d.fencing {
		return nil
	}
	if x.Err != nil {
		// The entry stays pending, and a later plan sends its order again.
		d.move = move{}
		d.setStage(now, holdingLease)
		return nil
	}
	r := d.record.clone()
	if e := r.entry(x.Server); e != nil {
		e.Pending = false
	}
	return d.writeRecord(now, r, writingResult)
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

package place

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// minGain is the least gain of the model's capacity for which a server is moved.
	minGain       = 1.2
	balancePeriod = 10 * time.Second
	// domainDelay lets the deciders of the domains act on one gap in turn.
	domainDelay = 2 * time.Second
)

// counts reports whether a server in this state covers its layers.
func counts(s teaselstream.ServerState) bool { return s <= teaselstream.Probation }

// servers returns the servers of a model in order of their names.
func (p *Placer) servers(m teaselstream.ModelID) []teaselstream.ServerID { return p.byModel[m] }

// layers returns the layers that a server is to hold.
func (d *decision) layers(id teaselstream.ServerID) teaselstream.LayerRange {
	doc := d.p.view.Document.Servers[id].Layers
	if e := d.record.entry(id); e != nil && e.BaseFrom == doc.From && e.BaseTo == doc.To {
		return e.layers()
	}
	return doc
}

// decide starts at most one move; lost cover comes first, then pending orders, then balance.
func (d *decision) decide(now time.Time) []teaselstream.Cmd {
	if now.Before(d.nextPlan) {
		return nil
	}
	d.nextPlan = now.Add(decidePeriod)
	if now.Before(d.nextLoad) {
		return nil
	}
	if e, ok := d.pending(now); ok {
		return d.start(now, e)
	}
	if e, ok := d.fillGap(now); ok {
		return d.start(now, e)
	}
	if now.Sub(d.balanced) >= balancePeriod {
		d.balanced = now
		if e, ok := d.balance(now); ok {
			return d.start(now, e)
		}
	}
	return d.scan()
}

// pending returns an entry of this domain whose order was not confirmed.
func (d *decision) pending(now time.Time) (Entry, bool) {
	for _, e := range d.record.Entries {
		v, ok := d.p.view.Servers[e.Server]
		if ok && e.Pending && v.Domain == d.id.Domain && counts(v.State) && now.Sub(e.Moved) >= stepTimeout {
			return e, true
		}
	}
	return Entry{}, false
}

// held returns the capacity per layer, without one server.
func (d *decision) held(without teaselstream.ServerID) []float64 {
	out := make([]float64, d.p.view.Document.Models[d.id.Model].Layers)
	for _, id := range d.p.servers(d.id.Model) {
		v := d.p.view.Servers[id]
		if id == without || !counts(v.State) {
			continue
		}
		r := d.layers(id)
		for l := max(r.From, 0); l < r.To && int(l) < len(out); l++ {
			out[l] += rate(v)
		}
	}
	return out
}

// rate is a server's capacity in arbitrary units that are comparable within a model.
func rate(v teaselstream.ServerView) float64 {
	c := float64(max(v.MaxConcurrent, 1))
	if v.TimePerLayer > 0 {
		c /= v.TimePerLayer.Seconds()
	}
	return c
}

// fillGap moves a spare server of this domain to layers that nobody holds.
func (d *decision) fillGap(now time.Time) (Entry, bool) {
	all := d.held("")
	if d.gaps == nil {
		d.gaps = map[teaselstream.Layer]time.Time{}
	}
	var gap teaselstream.LayerRange
	for i, c := range all {
		l := teaselstream.Layer(i)
		switch {
		case c > 0:
			delete(d.gaps, l)
		case d.gaps[l].IsZero():
			d.gaps[l] = now
		}
		if c == 0 && (gap.Len() == 0 && gap.To == 0 || gap.To == l) {
			if gap.Len() == 0 {
				gap.From = l
			}
			gap.To = l + 1
		}
	}
	order := teaselstream.RendezvousOrder(string(d.id.Model)+"/"+gap.String(), d.p.view.Domains)
	wait := time.Duration(max(slices.Index(order, d.id.Domain), 0)) * domainDelay
	if gap.Len() <= 0 || now.Sub(d.gaps[gap.From]) < wait {
		return Entry{}, false
	}
	var best Entry
	var spare float64
	for _, id := range d.movable(now) {
		r := d.fit(id, gap)
		rest := lowest(d.held(id), d.layers(id))
		if r.Len() > 0 && rest > spare {
			best, spare = d.entry(id, r), rest
		}
	}
	return best, spare > 0
}

// movable returns the servers of this domain that may be moved now.
func (d *decision) movable(now time.Time) []teaselstream.ServerID {
	var out []teaselstream.ServerID
	for _, id := range d.p.servers(d.id.Model) {
		v := d.p.view.Servers[id]
		e := d.record.entry(id)
		// A late order could move an uncertain server again, so it is not relied on either.
		settled := d.certain(now, id) && (e == nil || now.Sub(e.Moved) >= settleTime)
		if v.Domain == d.id.Domain && counts(v.State) && settled {
			out = append(out, id)
		}
	}
	return out
}

// fit returns the part of a range that fits the server's memory.
func (d *decision) fit(id teaselstream.ServerID, r teaselstream.LayerRange) teaselstream.LayerRange {
	v, m := d.p.view.Servers[id], d.p.view.Document.Models[d.id.Model]
	if m.BytesPerLayer > 0 && v.Memory > 0 {
		r.To = min(r.To, r.From+teaselstream.Layer(v.Memory/m.BytesPerLayer))
	}
	return r
}

func (d *decision) entry(id teaselstream.ServerID, r teaselstream.LayerRange) Entry {
	doc := d.p.view.Document
	base := doc.Servers[id].Layers
	return Entry{
		Server: id, From: r.From, To: r.To, Version: doc.Models[d.id.Model].Version, BaseFrom: base.From, BaseTo: base.To,
	}
}

// balance moves a server to the scarcest layers if that raises the model's capacity by minGain.
func (d *decision) balance(now time.Time) (Entry, bool) {
	all := d.held("")
	whole := teaselstream.LayerRange{To: teaselstream.Layer(len(all))}
	least := lowest(all, whole)
	if least == 0 {
		return Entry{}, false
	}
	scarce := teaselstream.Layer(slices.Index(all, least))
	ranges := map[teaselstream.LayerRange]bool{}
	for _, id := range d.p.servers(d.id.Model) {
		if r := d.layers(id); r.Contains(scarce) {
			ranges[r] = true
		}
	}
	order := slices.SortedFunc(maps.Keys(ranges), func(a, b teaselstream.LayerRange) int {
		if a.From != b.From {
			return int(a.From - b.From)
		}
		return int(a.To - b.To)
	})
	var best Entry
	gain := least * minGain
	for _, id := range d.movable(now) {
		for _, r := range order {
			if d.layers(id).Contains(scarce) || d.fit(id, r) != r {
				continue
			}
			after := d.held(id)
			for l := r.From; l < r.To; l++ {
				after[l] += rate(d.p.view.Servers[id])
			}
			if c := lowest(after, whole); c >= gain {
				best, gain = d.entry(id, r), c
			}
		}
	}
	return best, best.Server != ""
}

func lowest(c []float64, r teaselstream.LayerRange) float64 {
	if r.Len() <= 0 || int(r.To) > len(c) {
		return 0
	}
	return slices.Min(c[r.From:r.To])
}

// scan asks one server of this domain what it holds, to find engines that differ from the record.
func (d *decision) scan() []teaselstream.Cmd {
	var own []teaselstream.ServerID
	for _, id := range d.p.servers(d.id.Model) {
		if v := d.p.view.Servers[id]; v.Domain == d.id.Domain && counts(v.State) {
			own = append(own, id)
		}
	}
	if len(own) == 0 {
		return nil
	}
	id := own[d.nextScan%len(own)]
	d.nextScan++
	return []teaselstream.Cmd{ReadOrders{Decider: d.id, Server: id, Address: d.p.view.Servers[id].Address}}
}

// scanned orders again what an engine does not hold, and a new version of the document.
func (d *decision) scanned(now time.Time, x OrdersRead) []teaselstream.Cmd {
	// An engine that was never ordered anything holds what it was started with.
	if x.Err != nil || x.Order.Model != d.id.Model || now.Before(d.nextLoad) {
		return nil
	}
	want := d.entry(x.Server, d.layers(x.Server))
	if want.layers() == (teaselstream.LayerRange{From: x.Order.From, To: x.Order.To}) && (want.Version == "" || want.Version == x.Order.Version) {
		return nil
	}
	if e := d.record.entry(x.Server); e != nil && now.Sub(e.Moved) < settleTime && want.Version == e.Version {
		return nil
	}
	return d.start(now, want)
}

package place

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// minGain is the least factor by which a balancing move must raise the model's capacity.
	minGain       = 1.2
	balancePeriod = 10 * time.Second
	// domainDelay separates the turns of the failure domains' deciders, so that they don't act on one uncovered range at the same time.
	domainDelay = 2 * time.Second
)

// providesLayers reports whether a server in this state counts as a copy of its layers.
func providesLayers(s teaselstream.ServerState) bool { return s <= teaselstream.Probation }

// servers returns the servers of a model, sorted by name.
func (p *Placer) servers(m teaselstream.ModelID) []teaselstream.ServerID { return p.serversByModel[m] }

// layers returns the layers that a server is to hold: those of its entry, or of the document if there is none or the document has changed.
func (d *deciderState) layers(id teaselstream.ServerID) teaselstream.LayerRange {
	doc := d.p.view.Document.Servers[id].Layers
	if e := d.record.entry(id); e != nil && e.BaseFrom == doc.From && e.BaseTo == doc.To {
		return e.layers()
	}
	return doc
}

// plan starts at most one move: it tries pending entries first, then uncovered layers, then balance.
// If it starts none, it asks one server what it holds, to compare that with the record.
func (d *deciderState) plan(now time.Time) []teaselstream.Cmd {
	if now.Before(d.nextPlan) {
		return nil
	}
	d.nextPlan = now.Add(planPeriod)
	if now.Before(d.nextLoad) {
		return nil
	}
	if e, ok := d.pendingEntry(now); ok {
		return d.start(now, e)
	}
	if e, ok := d.fillGap(now); ok {
		return d.start(now, e)
	}
	if now.Sub(d.lastBalance) >= balancePeriod {
		d.lastBalance = now
		if e, ok := d.balance(now); ok {
			return d.start(now, e)
		}
	}
	return d.scan()
}

// pendingEntry returns an entry of this failure domain whose order was not confirmed.
func (d *deciderState) pendingEntry(now time.Time) (Entry, bool) {
	for _, e := range d.record.Entries {
		v, ok := d.p.view.Servers[e.Server]
		if ok && e.Pending && v.Domain == d.id.Domain && providesLayers(v.State) && now.Sub(e.Moved) >= stageTimeout {
			return e, true
		}
	}
	return Entry{}, false
}

// capacityPerLayer returns the model's capacity per layer, leaving out one server.
func (d *deciderState) capacityPerLayer(without teaselstream.ServerID) []float64 {
	out := make([]float64, d.p.view.Document.Models[d.id.Model].Layers)
	for _, id := range d.p.servers(d.id.Model) {
		v := d.p.view.Servers[id]
		if id == without || !providesLayers(v.State) {
			continue
		}
		r := d.layers(id)
		for l := max(r.From, 0); l < r.To && int(l) < len(out); l++ {
			out[l] += capacity(v)
		}
	}
	return out
}

// capacity returns a server's capacity in arbitrary units that are comparable within a model.
func capacity(v teaselstream.ServerView) float64 {
	c := float64(max(v.MaxConcurrent, 1))
	if v.TimePerLayer > 0 {
		c /= v.TimePerLayer.Seconds()
	}
	return c
}

// fillGap moves a server of this failure domain, whose own layers have other copies, to layers that no server holds.
func (d *deciderState) fillGap(now time.Time) (Entry, bool) {
	all := d.capacityPerLayer("")
	if d.uncoveredSince == nil {
		d.uncoveredSince = map[teaselstream.Layer]time.Time{}
	}
	var gap teaselstream.LayerRange
	for i, c := range all {
		l := teaselstream.Layer(i)
		switch {
		case c > 0:
			delete(d.uncoveredSince, l)
		case d.uncoveredSince[l].IsZero():
			d.uncoveredSince[l] = now
		}
		if c == 0 && (gap.Len() == 0 && gap.To == 0 || gap.To == l) {
			if gap.Len() == 0 {
				gap.From = l
			}
			gap.To = l + 1
		}
	}
	ranking := teaselstream.RendezvousOrder(string(d.id.Model)+"/"+gap.String(), d.p.view.Domains)
	wait := time.Duration(max(slices.Index(ranking, d.id.Domain), 0)) * domainDelay
	if gap.Len() <= 0 || now.Sub(d.uncoveredSince[gap.From]) < wait {
		return Entry{}, false
	}
	var best Entry
	var spare float64
	for _, id := range d.movable(now) {
		r := d.fit(id, gap)
		rest := lowest(d.capacityPerLayer(id), d.layers(id))
		if r.Len() > 0 && rest > spare {
			best, spare = d.entry(id, r), rest
		}
	}
	return best, spare > 0
}

// movable returns the servers of this failure domain that may be moved now.
func (d *deciderState) movable(now time.Time) []teaselstream.ServerID {
	var out []teaselstream.ServerID
	for _, id := range d.p.servers(d.id.Model) {
		v := d.p.view.Servers[id]
		e := d.record.entry(id)
		// A late order could still change an uncertain server, so the server is not moved.
		settled := d.orderSettled(now, id) && (e == nil || now.Sub(e.Moved) >= minMoveInterval)
		if v.Domain == d.id.Domain && providesLayers(v.State) && settled {
			out = append(out, id)
		}
	}
	return out
}

// fit returns the first part of a range that fits the server's memory.
func (d *deciderState) fit(id teaselstream.ServerID, r teaselstream.LayerRange) teaselstream.LayerRange {
	v, m := d.p.view.Servers[id], d.p.view.Document.Models[d.id.Model]
	if m.BytesPerLayer > 0 && v.Memory > 0 {
		r.To = min(r.To, r.From+teaselstream.Layer(v.Memory/m.BytesPerLayer))
	}
	return r
}

func (d *deciderState) entry(id teaselstream.ServerID, r teaselstream.LayerRange) Entry {
	doc := d.p.view.Document
	base := doc.Servers[id].Layers
	return Entry{
		Server: id, From: r.From, To: r.To, Version: doc.Models[d.id.Model].Version, BaseFrom: base.From, BaseTo: base.To,
	}
}

// balance moves a server to the layers with the least capacity if that raises the model's capacity by the factor minGain.
func (d *deciderState) balance(now time.Time) (Entry, bool) {
	all := d.capacityPerLayer("")
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
	candidates := slices.SortedFunc(maps.Keys(ranges), func(a, b teaselstream.LayerRange) int {
		if a.From != b.From {
			return int(a.From - b.From)
		}
		return int(a.To - b.To)
	})
	var best Entry
	gain := least * minGain
	for _, id := range d.movable(now) {
		for _, r := range candidates {
			if d.layers(id).Contains(scarce) || d.fit(id, r) != r {
				continue
			}
			after := d.capacityPerLayer(id)
			for l := r.From; l < r.To; l++ {
				after[l] += capacity(d.p.view.Servers[id])
			}
			if c := lowest(after, whole); c >= gain {
				best, gain = d.entry(id, r), c
			}
		}
	}
	return best, best.Server != ""
}

// lowest returns the least capacity in a range, or 0 if the range is empty or exceeds the model.
func lowest(c []float64, r teaselstream.LayerRange) float64 {
	if r.Len() <= 0 || int(r.To) > len(c) {
		return 0
	}
	return slices.Min(c[r.From:r.To])
}

// scan asks the servers of this failure domain in turn what they hold, to find engines that differ from the record.
func (d *deciderState) scan() []teaselstream.Cmd {
	var own []teaselstream.ServerID
	for _, id := range d.p.servers(d.id.Model) {
		if v := d.p.view.Servers[id]; v.Domain == d.id.Domain && providesLayers(v.State) {
			own = append(own, id)
		}
	}
	if len(own) == 0 {
		return nil
	}
	id := own[d.scanIndex%len(own)]
	d.scanIndex++
	return []teaselstream.Cmd{ReadOrders{Decider: d.id, Server: id, Address: d.p.view.Servers[id].Address}}
}

// serverScanned starts a move if an engine does not hold the range of the record or the version of the document.
func (d *deciderState) serverScanned(now time.Time, x OrdersRead) []teaselstream.Cmd {
	// An engine that never accepted an order holds the range of the document, with which it was started.
	if x.Err != nil || x.Order.Model != d.id.Model || now.Before(d.nextLoad) {
		return nil
	}
	want := d.entry(x.Server, d.layers(x.Server))
	if want.layers() == (teaselstream.LayerRange{From: x.Order.From, To: x.Order.To}) && (want.Version == "" || want.Version == x.Order.Version) {
		return nil
	}
	if e := d.record.entry(x.Server); e != nil && now.Sub(e.Moved) < minMoveInterval && want.Version == e.Version {
		return nil
	}
	return d.start(now, want)
}

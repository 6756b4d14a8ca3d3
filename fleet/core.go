package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// restoreWindow is how long entries that lapsed while the store was away may take to return; the platform states about 2 s.
	restoreWindow = 2 * time.Second
	// lapseWindow is how long after the store's return a removal may be a lapse; a lapse is seen with the first changes read.
	lapseWindow = 2500 * time.Millisecond
	// forgetAfter removes a server that left the list; it exceeds the longest drain time of the platform.
	forgetAfter = 15 * time.Second
	// probePeriod is the time between probes of a server that does not answer.
	probePeriod = 700 * time.Millisecond
	// refusalPause keeps new work away from a server that was full; its queue drains in some hundred milliseconds.
	refusalPause = 300 * time.Millisecond
	// cutWindow is the time in which refusals for two servers of a domain show that the link to it is cut.
	cutWindow = time.Second
	// cutTime is how long such a link is not used; a request that tries it again costs one retry.
	cutTime = 1500 * time.Millisecond
	// reportEvery spaces the reports that refusals ask for.
	reportEvery = 600 * time.Millisecond
	// reportTrust is how long a report's layer range goes before the list's, which is up to two heartbeats old.
	reportTrust = 2500 * time.Millisecond
)

type (
	// Core is the state machine; VM and Domain must be set.
	Core struct {
		Domain teaselstream.DomainID

		routing    *teaselstream.Routing
		members    map[teaselstream.ServerID]*record
		peers      []Peer
		storeLost  bool
		storeSince time.Time
		regained   bool
		dirty      bool
		// refusals holds the last refusal over each link, and cut until when a link counts as cut.
		refusals map[Link]refusal
		cut      map[Link]time.Time
	}

	refusal struct {
		server teaselstream.ServerID
		at     time.Time
	}

	record struct {
		Member
		// listedHolds is the range in the newest entry.
		listedHolds teaselstream.LayerRange
		reportedAt  time.Time
		// lapsedAt is set while a removal may be a lapse.
		lapsedAt time.Time
		probeAt  time.Time
		// askedAt is when a refusal last had the load read.
		askedAt time.Time
		leftAt  time.Time
	}
)

// Update applies one message and returns the commands that follow from it.
func (c *Core) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	if c.members == nil {
		c.members = make(map[teaselstream.ServerID]*record)
	}
	var cmds []teaselstream.Cmd
	switch m := m.(type) {
	case RoutingRead:
		cmds = c.readRouting(m)
	case ReplicasListed:
		cmds = c.list(now, m)
	case ReplicaChanged:
		cmds = c.change(now, m.Replica, m.Age)
	case ReplicaRemoved:
		cmds = c.remove(now, m.Server, m.Age)
	case PeersListed:
		if !slices.Equal(c.peers, m.Peers) {
			c.peers, c.dirty = m.Peers, true
		}
	case StoreLost:
		c.storeLost, c.storeSince, c.dirty = true, now, true
	case StoreRegained:
		c.storeLost, c.storeSince, c.regained, c.dirty = false, now, true, true
	case ReportReceived:
		cmds = c.report(now, m)
	case Unreachable:
		cmds = c.silence(now, m)
	case WorkRefused:
		cmds = c.refuse(now, m)
	case LayersOrdered:
		if r := c.members[m.Server]; r != nil {
			r.Pending, c.dirty = m.Range, true
		}
	case teaselstream.Tick:
		cmds = c.tick(now)
	}
	return c.publish(now, cmds)
}

func (c *Core) publish(now time.Time, cmds []teaselstream.Cmd) []teaselstream.Cmd {
	if !c.dirty {
		return cmds
	}
	c.dirty = false
	v := &View{
		At: now, Domain: c.Domain, Routing: c.routing, Peers: c.peers, StoreLost: c.storeLost, StoreChangedAt: c.storeSince,
		CutLinks: maps.Clone(c.cut),
		Members:  make(map[teaselstream.ServerID]*Member, len(c.members)),
		Pools:    make(map[teaselstream.ServiceID][]*Member),
	}
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[id].Member
		v.Members[id] = &m
		v.Pools[m.Service] = append(v.Pools[m.Service], &m)
	}
	return append(cmds, PublishView{v})
}

func (c *Core) readRouting(m RoutingRead) []teaselstream.Cmd {
	if c.routing != nil && m.Routing.Generation <= c.routing.Generation {
		return nil
	}
	c.routing, c.dirty = m.Routing, true
	return []teaselstream.Cmd{LogEvent{Event: "RoutingAdopted"}}
}

func (c *Core) list(now time.Time, m ReplicasListed) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	seen := make(map[teaselstream.ServerID]bool, len(m.Replicas))
	for _, r := range m.Replicas {
		seen[r.ID] = true
		cmds = append(cmds, c.change(now, r, m.Age)...)
	}
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		if !seen[id] {
			cmds = append(cmds, c.remove(now, id, m.Age)...)
		}
	}
	return cmds
}

func (c *Core) change(now time.Time, x teaselstream.Replica, age time.Duration) []teaselstream.Cmd {
	r := c.members[x.ID]
	if r == nil {
		c.members[x.ID] = &record{Member: Member{Replica: x, Slowdown: 1, LoadEstimate: &LoadEstimate{}}, listedHolds: x.Holds}
		c.members[x.ID].mark(now, x.Draining, age)
		c.dirty = true
		return []teaselstream.Cmd{LogEvent{Event: "ServerListed", Server: x.ID}}
	}
	if x.Incarnation < r.Incarnation {
		return nil
	}
	var cmds []teaselstream.Cmd
	before := r.Member
	if x.Incarnation > r.Incarnation {
		// A restarted replica holds nothing of before, and no earlier evidence applies to it.
		*r = record{Member: Member{Replica: x, Slowdown: 1, LoadEstimate: r.LoadEstimate}, listedHolds: x.Holds}
		cmds = append(cmds, LogEvent{Event: "ServerRestarted", Server: x.ID})
	} else {
		holds := r.Holds
		if x.Holds != r.listedHolds || now.Sub(r.reportedAt) > reportTrust {
			if now.Sub(r.reportedAt) > reportTrust || !r.Pending.Empty() && x.Holds == r.Pending {
				holds = x.Holds
			}
		}
		r.listedHolds = x.Holds
		orders := r.Orders
		r.Replica = x
		r.Holds, r.Orders = holds, orders
	}
	r.lapsedAt, r.leftAt = time.Time{}, time.Time{}
	if cmd, ok := r.mark(now, x.Draining, age); ok {
		cmds = append(cmds, cmd)
	}
	if !same(before, r.Member) {
		c.dirty = true
	}
	return cmds
}

// mark takes over whether the list says that the replica drains; Down is left to probes.
func (r *record) mark(now time.Time, draining bool, age time.Duration) (teaselstream.Cmd, bool) {
	switch {
	case draining && r.LeavingSince.IsZero():
		r.LeavingSince = now.Add(-age)
		if r.State != Down {
			r.State = Leaving
		}
		return LogEvent{Event: "ServerLeaving", Server: r.ID, Reason: "draining", Age: age}, true
	case !draining && !r.LeavingSince.IsZero():
		r.LeavingSince = time.Time{}
		if r.State == Leaving {
			r.State = Serving
		}
		return LogEvent{Event: "ServerBack", Server: r.ID}, true
	}
	return nil, false
}

func same(a, b Member) bool {
	return a.State == b.State && a.Holds == b.Holds && a.Address == b.Address && a.Incarnation == b.Incarnation &&
		a.Service == b.Service && a.Domain == b.Domain && a.LeavingSince.Equal(b.LeavingSince) && a.Pending == b.Pending &&
		a.Slots == b.Slots && a.Slowdown == b.Slowdown && a.Accelerator == b.Accelerator && a.PausedUntil.Equal(b.PausedUntil)
}

func (c *Core) remove(now time.Time, id teaselstream.ServerID, age time.Duration) []teaselstream.Cmd {
	r := c.members[id]
	if r == nil || !r.leftAt.IsZero() || !r.lapsedAt.IsZero() {
		return nil
	}
	if c.storeLost || c.regained && now.Sub(c.storeSince) < lapseWindow {
		r.lapsedAt = now
		return []teaselstream.Cmd{LogEvent{Event: "ServerLapsed", Server: id, Age: now.Sub(c.storeSince)}}
	}
	return c.left(now, r, age, "removed from the list")
}

// left takes a removal as the start of a silent drain, since some replicas never report draining.
func (c *Core) left(now time.Time, r *record, age time.Duration, reason string) []teaselstream.Cmd {
	r.leftAt, r.lapsedAt = now, time.Time{}
	if r.LeavingSince.IsZero() {
		r.LeavingSince = now.Add(-age)
	}
	if r.State != Down {
		r.State = Leaving
	}
	c.dirty = true
	return []teaselstream.Cmd{LogEvent{Event: "ServerLeft", Server: r.ID, Reason: reason, Age: age}}
}

func (c *Core) report(now time.Time, m ReportReceived) []teaselstream.Cmd {
	r := c.members[m.Server]
	if r == nil || m.Report.Incarnation < r.Incarnation {
		return nil
	}
	before := r.Member
	if m.Report.Incarnation > r.Incarnation {
		r.Incarnation = m.Report.Incarnation
		r.Pending = teaselstream.LayerRange{}
	}
	r.Holds, r.Orders, r.reportedAt = m.Report.Holds, m.Report.Orders, now
	if m.Report.Pace > 0 {
		r.Slowdown = m.Report.Pace
	}
	if m.Report.CacheTotal > 0 {
		r.LoadEstimate.RecordReport(now, m.Report.Running, m.Report.Waiting, float64(m.Report.CacheUsed)/float64(m.Report.CacheTotal))
	}
	var cmds []teaselstream.Cmd
	if r.State == Down {
		r.State, r.DownSince, r.Ended = Serving, time.Time{}, false
		if !r.LeavingSince.IsZero() {
			r.State = Leaving
		}
		cmds = append(cmds, LogEvent{Event: "ServerAnswers", Server: r.ID})
	}
	c.dirty = c.dirty || !same(before, r.Member)
	return cmds
}

func (c *Core) silence(now time.Time, m Unreachable) []teaselstream.Cmd {
	r := c.members[m.Server]
	if r == nil || m.Incarnation < r.Incarnation {
		return nil
	}
	r.probeAt = now.Add(probePeriod)
	c.dirty = c.dirty || m.Ended && !r.Ended
	r.Ended = r.Ended || m.Ended
	if r.State == Down {
		return nil
	}
	r.State, r.DownSince, c.dirty = Down, now, true
	return []teaselstream.Cmd{LogEvent{Event: "ServerDown", Server: r.ID, Reason: m.Reason}}
}

func (c *Core) refuse(now time.Time, m WorkRefused) []teaselstream.Cmd {
	r := c.members[m.Server]
	if r == nil {
		return nil
	}
	r.PausedUntil, c.dirty = now.Add(refusalPause), true
	if note, ok := c.judgeLink(now, r, m); ok {
		return []teaselstream.Cmd{note}
	}
	if !m.WrongLayers {
		cmds := []teaselstream.Cmd{LogEvent{Event: "ServerPaused", Server: r.ID, Reason: "refused work"}}
		if now.Sub(r.askedAt) > reportEvery {
			r.askedAt = now
			cmds = append(cmds, ReadReport{Server: r.ID, Address: r.Address, Reason: "refused work"})
		}
		return cmds
	}
	return []teaselstream.Cmd{ReadReport{Server: r.ID, Address: r.Address, Reason: "does not hold its range"}}
}

// judgeLink takes a link between two domains for cut after refusals for two of the servers behind it.
func (c *Core) judgeLink(now time.Time, r *record, m WorkRefused) (teaselstream.Cmd, bool) {
	by := c.members[m.ReportedBy]
	if by == nil || by.Domain == r.Domain || m.WrongLayers {
		return nil, false
	}
	if c.refusals == nil {
		c.refusals, c.cut = make(map[Link]refusal), make(map[Link]time.Time)
	}
	link := Link{by.Domain, r.Domain}
	last := c.refusals[link]
	c.refusals[link] = refusal{r.ID, now}
	if last.server == "" || last.server == r.ID || now.Sub(last.at) > cutWindow {
		return nil, false
	}
	c.cut[link] = now.Add(cutTime)
	return LogEvent{Event: "LinkCut", Server: r.ID, Reason: "from " + string(link.From) + " to " + string(link.To)}, true
}

func (c *Core) tick(now time.Time) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		r := c.members[id]
		switch {
		case !r.lapsedAt.IsZero() && !c.storeLost && now.Sub(c.storeSince) >= restoreWindow && now.Sub(r.lapsedAt) >= restoreWindow:
			cmds = append(cmds, c.left(now, r, now.Sub(r.lapsedAt), "not restored after the store's return")...)
		case !r.leftAt.IsZero() && now.Sub(r.leftAt) >= forgetAfter:
			delete(c.members, id)
			c.dirty = true
			continue
		}
		if r.State == Down && r.leftAt.IsZero() && !now.Before(r.probeAt) {
			r.probeAt = now.Add(probePeriod)
			cmds = append(cmds, ReadReport{Server: id, Address: r.Address, Reason: "down"})
		}
	}
	return cmds
}

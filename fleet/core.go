package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// reregisterWindow is how long a server whose entry expired during a store outage may take to register again; the platform
	// specifies about 2 s.
	reregisterWindow = 2 * time.Second
	// expiryWindow is how long after the store answers again a removal counts as caused by the outage; such removals
	// arrive with the first changes read.
	expiryWindow = 2500 * time.Millisecond
	// removalDelay is how long a server without an entry is kept; it exceeds the platform's longest drain time.
	removalDelay = 15 * time.Second
	// goneTime is how long a server that has left is remembered, so that an older copy of its entry does not bring it back. The
	// platform's store comes back from copies that are some seconds old.
	goneTime = 10 * time.Minute
	// probePeriod is the time between probes of a server that is down.
	probePeriod = 700 * time.Millisecond
	// silentProbePeriod is the same while the server may be a sound one that is silent. A packet that the network has lost is sent again
	// only after some 200 ms, then twice as long, so that an earlier probe may find out late that the server goes on. With two probes of
	// each VM at a time, those of 360 VMs are less than the connections that a server accepts.
	silentProbePeriod = 400 * time.Millisecond
	// downProbeTimeout is how long a probe of a server that is down waits. It is longer than probePeriod, so that at any time a probe waits
	// for the server to answer.
	downProbeTimeout = 800 * time.Millisecond
	// soundSilence is how long a sound server may be silent; the platform says a second or so. Streams ask a server 230 ms after its last
	// event, and their callers leave 2 s after it, so that another server has some 200 ms to go on with them.
	soundSilence = 1500 * time.Millisecond
	// maxTickGap is the longest time between two ticks, which are 100 ms apart, of a VM that gets the processor. After a longer one,
	// answers that have arrived may not have been read yet.
	maxTickGap = 250 * time.Millisecond
	// maxProbeGap is the longest time without a tick in which no answer is lost: the newest probe has not timed out since.
	maxProbeGap = downProbeTimeout - silentProbePeriod
	// refusalBackoff is how long a server that had no room for work gets no new work of this VM. Its requests end one by one
	// over a few seconds, and VMs that all come back after a shorter time fill the room of the first few again.
	refusalBackoff = time.Second
	// wrongLayersBackoff is the same for a server that does not hold the requested layers; its report, which is read at once,
	// corrects the view.
	wrongLayersBackoff = 300 * time.Millisecond
	// linkCutWindow is the time within which refusals for two servers of a failure domain mean that the link to it is cut.
	linkCutWindow = time.Second
	// linkCutTime is how long a cut link is not used; a request that then finds it still cut costs one retry.
	linkCutTime = 1500 * time.Millisecond
	// reportInterval is the least time between two reports that are requested from one server because it refused work. A
	// refusal for wrong layers requests a report at once.
	reportInterval = 600 * time.Millisecond
	// reportMaxAge is how long the layer range in a server's report overrides the one in its store entry, which is up to two
	// heartbeats old.
	reportMaxAge = 2500 * time.Millisecond
)

type (
	// Core is the state machine that maintains the View; Domain must be set.
	Core struct {
		Domain teaselstream.DomainID

		routing *teaselstream.Routing
		members map[teaselstream.ServerID]*memberRecord
		// gone holds servers that have left and whose removal was complete.
		gone           map[teaselstream.ServerID]*memberRecord
		peers          []Peer
		storeLost      bool
		storeChangedAt time.Time
		storeReturned  bool
		dirty          bool
		// listed means that the first list of replicas was read; returns holds the servers that take work again since the last message.
		listed   bool
		returns  []Returned
		tickedAt time.Time
		// lastRefusals holds the last refusal over each link; cutLinks holds the time until which a link counts as cut.
		lastRefusals map[Link]refusal
		cutLinks     map[Link]time.Time
	}

	refusal struct {
		server teaselstream.ServerID
		at     time.Time
	}

	memberRecord struct {
		Member
		// listedLayers is the layer range in the newest store entry.
		listedLayers teaselstream.LayerRange
		// stated means that this incarnation has said itself that it leaves, which no list takes back.
		stated bool
		// lapsed means that the server leaves only because its entry did not come back after a store outage.
		lapsed     bool
		reportedAt time.Time
		// expiredAt is when the entry was removed, set while the removal may be due to a store outage.
		expiredAt   time.Time
		nextProbeAt time.Time
		// silentFor is how long the server, which is down, is known to have been silent without a break. askedSince is when the probes
		// began that have been waiting for an answer ever since, or the zero time.
		silentFor  time.Duration
		askedSince time.Time
		// reportAskedAt is when a refusal other than for wrong layers last requested the server's report.
		reportAskedAt time.Time
		removedAt     time.Time
		// observed is what another VM of the failure domain has found out about the server.
		observed observation
	}
)

// Update applies one message and returns the commands that follow from it.
func (c *Core) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	if c.members == nil {
		c.members = make(map[teaselstream.ServerID]*memberRecord)
	}
	var cmds []teaselstream.Cmd
	switch m := m.(type) {
	case RoutingRead:
		cmds = c.applyRouting(m)
	case ReplicasListed:
		cmds = c.applyList(now, m)
	case ReplicaChanged:
		cmds = c.applyEntry(now, m.Replica, m.Age)
	case ReplicaRemoved:
		cmds = c.applyRemoval(now, m.Server, m.Age)
	case PeersListed:
		if !slices.Equal(c.peers, m.Peers) {
			c.peers, c.dirty = m.Peers, true
		}
	case StoreLost:
		c.storeLost, c.storeChangedAt, c.dirty = true, now, true
	case StoreRegained:
		c.storeLost, c.storeChangedAt, c.storeReturned, c.dirty = false, now, true, true
	case StoreRestored:
		if !c.storeLost {
			c.storeChangedAt, c.storeReturned, c.dirty = now, true, true
		}
	case ReportReceived:
		cmds = c.applyReport(now, m)
	case LeavingStated:
		cmds = c.markLeaving(now, m)
	case Unreachable:
		cmds = c.markUnreachable(now, m)
	case ServersIsolated:
		cmds = c.clearDown(m.Since)
	case NotAsked:
		c.forgetSilences(m.Server)
	case MessagesDropped:
		c.forgetSilences(slices.Collect(maps.Keys(c.members))...)
	case WorkRefused:
		cmds = c.applyRefusal(now, m)
	case AnswerInvalid:
		cmds = c.pauseInvalid(now, m)
	case LayersOrdered:
		c.applyOrder(m)
	case teaselstream.Tick:
		cmds = c.tick(now)
	default:
		cmds = c.updateShared(now, m)
	}
	return append(c.publish(now, cmds), c.takeReturns()...)
}

func (c *Core) applyOrder(m LayersOrdered) {
	if r := c.members[m.Server]; r != nil {
		r.Pending, c.dirty = m.Range, true
	}
}

func (c *Core) publish(now time.Time, cmds []teaselstream.Cmd) []teaselstream.Cmd {
	if !c.dirty {
		return cmds
	}
	c.dirty = false
	v := &View{
		At: now, Domain: c.Domain, Routing: c.routing, Peers: c.peers, StoreLost: c.storeLost, StoreChangedAt: c.storeChangedAt,
		CutLinks: maps.Clone(c.cutLinks),
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

func (c *Core) applyRouting(m RoutingRead) []teaselstream.Cmd {
	if c.routing != nil && m.Routing.Generation <= c.routing.Generation {
		return nil
	}
	c.routing, c.dirty = m.Routing, true
	return []teaselstream.Cmd{LogEvent{Event: "RoutingAdopted"}}
}

func (c *Core) applyList(now time.Time, m ReplicasListed) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	listed := make(map[teaselstream.ServerID]bool, len(m.Replicas))
	for _, r := range m.Replicas {
		listed[r.ID] = true
		cmds = append(cmds, c.applyEntry(now, r, m.Age)...)
	}
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		if !listed[id] {
			cmds = append(cmds, c.applyRemoval(now, id, m.Age)...)
		}
	}
	c.listed = true
	return cmds
}

func (c *Core) applyEntry(now time.Time, x teaselstream.Replica, age time.Duration) []teaselstream.Cmd {
	r := c.members[x.ID]
	if g := c.gone[x.ID]; r == nil && g != nil {
		if x.Incarnation < g.Incarnation || x.Incarnation == g.Incarnation && g.outdated(x) {
			return nil
		}
		delete(c.gone, x.ID)
		if x.Incarnation == g.Incarnation {
			r, c.members[x.ID] = g, g
		}
	}
	if r == nil {
		c.members[x.ID] = &memberRecord{Member: Member{Replica: x, Slowdown: 1, LoadEstimate: &LoadEstimate{}}, listedLayers: x.Holds}
		c.members[x.ID].updateDraining(now, x.Draining, age)
		c.startedPlain(c.members[x.ID])
		c.dirty = true
		return []teaselstream.Cmd{LogEvent{Event: "ServerListed", Server: x.ID}}
	}
	if x.Incarnation < r.Incarnation || x.Incarnation == r.Incarnation && r.outdated(x) {
		return nil
	}
	var cmds []teaselstream.Cmd
	before := r.Member
	if x.Incarnation > r.Incarnation {
		// A restarted replica has lost its layers, and observations of its earlier incarnation do not apply.
		*r = memberRecord{Member: Member{Replica: x, Slowdown: 1, LoadEstimate: r.LoadEstimate}, listedLayers: x.Holds}
		cmds = append(cmds, LogEvent{Event: "ServerRestarted", Server: x.ID})
		c.startedPlain(r)
	} else {
		holds := r.Holds
		if x.Holds != r.listedLayers || now.Sub(r.layersKnownAt()) > reportMaxAge {
			if now.Sub(r.layersKnownAt()) > reportMaxAge || !r.Pending.Empty() && x.Holds == r.Pending {
				holds = x.Holds
			}
		}
		r.listedLayers = x.Holds
		orders := r.Orders
		r.Replica = x
		r.Holds, r.Orders = holds, orders
		c.compareHolds(r, before.Holds)
	}
	r.expiredAt, r.removedAt, r.lapsed = time.Time{}, time.Time{}, false
	if cmd, ok := r.updateDraining(now, x.Draining, age); ok {
		cmds = append(cmds, cmd)
	}
	if !sameMember(before, r.Member) {
		c.dirty = true
	}
	return cmds
}

// outdated reports whether an entry is older than what is known of the same incarnation: it was written earlier, or it shows a
// leaving server as it was before it left.
func (r *memberRecord) outdated(x teaselstream.Replica) bool {
	return x.Heartbeats < r.Heartbeats || x.Heartbeats == r.Heartbeats && !x.Draining && !r.LeavingSince.IsZero() && !r.lapsed
}

// updateDraining applies the draining flag of a store entry. It does not end the state Down,
// which only a report or an entry of a newer incarnation does.
func (r *memberRecord) updateDraining(now time.Time, draining bool, age time.Duration) (teaselstream.Cmd, bool) {
	switch {
	case draining && r.LeavingSince.IsZero():
		r.LeavingSince = now.Add(-age)
		if r.State != Down {
			r.State = Leaving
		}
		return LogEvent{Event: "ServerLeaving", Server: r.ID, Reason: "draining", Age: age}, true
	case !draining && !r.LeavingSince.IsZero() && !r.stated:
		r.LeavingSince = time.Time{}
		if r.State == Leaving {
			r.State = Serving
		}
		return LogEvent{Event: "ServerBack", Server: r.ID}, true
	}
	return nil, false
}

// markLeaving applies a server's own statement that it leaves. A VM that cannot read the list learns of it only that way.
func (c *Core) markLeaving(now time.Time, m LeavingStated) []teaselstream.Cmd {
	r := c.members[m.Server]
	if r == nil || m.Incarnation != r.Incarnation || r.stated {
		return nil
	}
	r.stated = true
	cmd, ok := r.updateDraining(now, true, 0)
	if !ok {
		return nil
	}
	c.dirty = true
	return []teaselstream.Cmd{cmd}
}

func sameMember(a, b Member) bool {
	return a.State == b.State && a.Holds == b.Holds && a.Address == b.Address && a.Incarnation == b.Incarnation &&
		a.Service == b.Service && a.Domain == b.Domain && a.LeavingSince.Equal(b.LeavingSince) && a.Pending == b.Pending &&
		a.Slots == b.Slots && a.Slowdown == b.Slowdown && a.Accelerator == b.Accelerator && a.PausedUntil.Equal(b.PausedUntil)
}

func (c *Core) applyRemoval(now time.Time, id teaselstream.ServerID, age time.Duration) []teaselstream.Cmd {
	r := c.members[id]
	if r == nil || !r.removedAt.IsZero() || !r.expiredAt.IsZero() {
		return nil
	}
	if c.storeLost || c.storeReturned && now.Sub(c.storeChangedAt) < expiryWindow {
		r.expiredAt = now
		return []teaselstream.Cmd{LogEvent{Event: "ServerLapsed", Server: id, Age: now.Sub(c.storeChangedAt)}}
	}
	return c.startRemoval(now, r, age, "removed from the list")
}

// startRemoval treats the removal of an entry as the start of a drain, since some replicas never report draining.
func (c *Core) startRemoval(now time.Time, r *memberRecord, age time.Duration, reason string) []teaselstream.Cmd {
	r.removedAt, r.expiredAt = now, time.Time{}
	if r.LeavingSince.IsZero() {
		r.LeavingSince = now.Add(-age)
	}
	if r.State != Down {
		r.State = Leaving
	}
	c.dirty = true
	return []teaselstream.Cmd{LogEvent{Event: "ServerLeft", Server: r.ID, Reason: reason, Age: age}}
}

func (c *Core) applyReport(now time.Time, m ReportReceived) []teaselstream.Cmd {
	r := c.members[m.Server]
	if r == nil || m.Report.Incarnation < r.Incarnation {
		return nil
	}
	before := r.Member
	if m.Report.Incarnation > r.Incarnation {
		r.Incarnation, r.stated = m.Report.Incarnation, false
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
	if m.Report.Leaving {
		cmds = c.markLeaving(now, LeavingStated{Server: r.ID, Incarnation: r.Incarnation})
	}
	if r.State == Down {
		cmds = append(cmds, LogEvent{Event: "ServerAnswers", Server: r.ID, Age: now.Sub(r.DownSince)})
		r.endDown()
		if now.Sub(before.DownSince) >= soundSilence || before.Ended {
			// A sound server that was silent for a moment goes on at its pace.
			c.returned(r, AnswersAgain)
		}
	}
	c.compareHolds(r, before.Holds)
	c.dirty = c.dirty || !sameMember(before, r.Member)
	return cmds
}

func (c *Core) applyRefusal(now time.Time, m WorkRefused) []teaselstream.Cmd {
	r := c.members[m.Server]
	if r == nil {
		return nil
	}
	backoff := refusalBackoff
	if m.WrongLayers {
		backoff = wrongLayersBackoff
	}
	r.PausedUntil, c.dirty = now.Add(max(backoff, m.Wait)), true
	if note, ok := c.detectCutLink(now, r, m); ok {
		return []teaselstream.Cmd{note}
	}
	if !m.WrongLayers {
		cmds := []teaselstream.Cmd{LogEvent{Event: "ServerPaused", Server: r.ID, Reason: "refused work"}}
		if now.Sub(r.reportAskedAt) > reportInterval && !r.observed.freshAt(now) {
			r.reportAskedAt = now
			cmds = append(cmds, ReadReport{Server: r.ID, Address: r.Address, Reason: "refused work"})
		}
		return cmds
	}
	return []teaselstream.Cmd{ReadReport{Server: r.ID, Address: r.Address, Reason: "does not hold its range"}}
}

// pauseInvalid keeps new work from a replica that sends bytes that are no answer, as far as others take it. Each request that meets such a
// replica costs a retry.
func (c *Core) pauseInvalid(now time.Time, m AnswerInvalid) []teaselstream.Cmd {
	r := c.members[m.Server]
	if r == nil || m.Incarnation < r.Incarnation || now.Before(r.PausedUntil) {
		return nil
	}
	r.PausedUntil, c.dirty = now.Add(refusalBackoff), true
	return []teaselstream.Cmd{LogEvent{Event: "ServerPaused", Server: r.ID, Reason: "answers are not valid"}}
}

// detectCutLink marks the link between two failure domains as cut after refusals for two different servers behind it.
func (c *Core) detectCutLink(now time.Time, r *memberRecord, m WorkRefused) (teaselstream.Cmd, bool) {
	by := c.members[m.ReportedBy]
	if by == nil || by.Domain == r.Domain || m.WrongLayers {
		return nil, false
	}
	if c.lastRefusals == nil {
		c.lastRefusals, c.cutLinks = make(map[Link]refusal), make(map[Link]time.Time)
	}
	link := Link{by.Domain, r.Domain}
	last := c.lastRefusals[link]
	c.lastRefusals[link] = refusal{r.ID, now}
	if last.server == "" || last.server == r.ID || now.Sub(last.at) > linkCutWindow {
		return nil, false
	}
	c.cutLinks[link] = now.Add(linkCutTime)
	return LogEvent{Event: "LinkCut", Server: r.ID, Reason: "from " + string(link.From) + " to " + string(link.To)}, true
}

// forget moves a server whose removal is complete to those that are gone, and drops those that have been gone for long.
func (c *Core) forget(now time.Time, r *memberRecord) {
	if c.gone == nil {
		c.gone = make(map[teaselstream.ServerID]*memberRecord)
	}
	maps.DeleteFunc(c.gone, func(_ teaselstream.ServerID, g *memberRecord) bool { return now.Sub(g.removedAt) > goneTime })
	delete(c.members, r.ID)
	c.gone[r.ID], c.dirty = r, true
}

func (c *Core) tick(now time.Time) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		r := c.members[id]
		switch {
		case !r.expiredAt.IsZero() && !c.storeLost && now.Sub(c.storeChangedAt) >= reregisterWindow && now.Sub(r.expiredAt) >= reregisterWindow:
			r.lapsed = r.LeavingSince.IsZero()
			cmds = append(cmds, c.startRemoval(now, r, now.Sub(r.expiredAt), "not registered again after the store outage")...)
		case !r.removedAt.IsZero() && now.Sub(r.removedAt) >= removalDelay:
			c.forget(now, r)
			continue
		}
		if r.State == Down {
			cmds = append(cmds, c.watchDown(now, r)...)
		}
	}
	c.tickedAt = now
	return cmds
}

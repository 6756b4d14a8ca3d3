package status

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// lookPeriod is the time between two looks at a server whose load nobody uses. It is below the time after which idle connections are closed,
	// so that the end of a server shows on one; streams that stand still on a slow server bring looks forward.
	lookPeriod = 3 * time.Second
	// loadPeriod is the same if loads are used. A stream lasts two to three seconds, so that fewer looks would show a load that is gone.
	loadPeriod = time.Second
	// downPeriod is the time between two records of a server that is down, so that other VMs, which do not probe it meanwhile, know
	// that it still is.
	downPeriod = 500 * time.Millisecond
	// stallWindow is the time within which streams that stand still share a server that has stopped: all its streams stop within one pass.
	stallWindow = 150 * time.Millisecond
	// stallWitnesses is the least number of such streams, and stallShare the least part of those that run on the server. Fewer stand still
	// now and then while prompts are read.
	stallWitnesses = 2
	stallShare     = 0.1
	// maxStalls bounds the streams that are counted for one server.
	maxStalls = 64
	// stallTimeout is how long a server has to answer a look that follows from streams that stand still. It answers within some
	// milliseconds, and callers expect the next event within a few hundred.
	stallTimeout = 50 * time.Millisecond
	// stallLookInterval is the least time between two such looks at one server. It doubles with each look that is answered, up to
	// maxStallInterval, since the streams of slow servers stand still again and again, and begins anew after stallMemory without one.
	stallLookInterval = 100 * time.Millisecond
	maxStallInterval  = 1600 * time.Millisecond
	stallMemory       = 2 * time.Second
	// lookTime is how long a look without a result counts as under way.
	lookTime = 500 * time.Millisecond
)

type (
	// Observer is the state machine that looks at the model servers of a failure domain for all its VMs. Domain must be set.
	Observer struct {
		Domain teaselstream.DomainID
		// Loads means that loads are used, so that servers are looked at more often.
		Loads bool

		active  bool
		view    *fleet.View
		servers map[teaselstream.ServerID]*observed
	}

	// observed is what the observer knows of a server.
	observed struct {
		record Record
		at     time.Time
		// lookedAt is when the last look began; looking means that it has no result yet.
		lookedAt, stallLookAt, endLookAt time.Time
		looking                          bool
		stallInterval                    time.Duration
		// stalls holds when streams on the server stood still, newest last.
		stalls []time.Time
	}
)

var _ teaselstream.Core = (*Observer)(nil)

// Update applies one message and returns the Look and Publish commands that follow from it.
func (o *Observer) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	if o.servers == nil {
		o.servers = make(map[teaselstream.ServerID]*observed)
	}
	switch m := m.(type) {
	case Activated:
		return o.activate(now, m.Active)
	case ViewChanged:
		o.view = m.View
		return o.compareView(now)
	case Looked:
		return o.looked(now, m)
	case ConnectionEnded:
		return o.connectionEnded(now, m.Address)
	case StreamStalled:
		return o.stalled(now, m.Servers)
	case teaselstream.Tick:
		return o.tick(now)
	}
	return nil
}

func (o *Observer) activate(now time.Time, active bool) []teaselstream.Cmd {
	if o.active == active {
		return nil
	}
	o.active = active
	clear(o.servers)
	return o.compareView(now)
}

// observes reports whether a server is one that this VM looks at.
func (o *Observer) observes(m *fleet.Member) bool {
	if m == nil || m.Domain != o.Domain || o.view.Routing == nil {
		return false
	}
	pool := o.view.Routing.Pools[m.Service]
	return pool != nil && pool.Engine != nil
}

// compareView publishes servers whose reachability, incarnation or layers have changed for this VM.
func (o *Observer) compareView(now time.Time) []teaselstream.Cmd {
	if !o.active || o.view == nil {
		return nil
	}
	maps.DeleteFunc(o.servers, func(id teaselstream.ServerID, _ *observed) bool { return !o.observes(o.view.Members[id]) })
	var cmds []teaselstream.Cmd
	for _, id := range slices.Sorted(maps.Keys(o.view.Members)) {
		m := o.view.Members[id]
		if !o.observes(m) {
			continue
		}
		x := o.servers[id]
		if x == nil {
			x = &observed{lookedAt: now.Add(-offset(id, o.period()))}
			x.record = Record{Server: id, Incarnation: m.Incarnation, Holds: m.Holds}
			o.servers[id] = x
		}
		state, silent := m.Reachability(now)
		if state == x.record.State && m.CutOff == x.record.CutOff && m.Incarnation == x.record.Incarnation && m.Holds == x.record.Holds {
			continue
		}
		if m.Incarnation != x.record.Incarnation {
			x.record = Record{Server: id}
		}
		x.record.State, x.record.SilentFor, x.record.CutOff = state, silent, m.CutOff
		x.record.Incarnation, x.record.Holds, x.record.Orders = m.Incarnation, m.Holds, m.Orders
		// The load is that of the last report.
		x.record.CacheTotal = 0
		x.at = now
		cmds = append(cmds, Publish{Record: x.record, News: true})
	}
	return cmds
}

func (o *Observer) period() time.Duration {
	if o.Loads {
		return loadPeriod
	}
	return lookPeriod
}

// offset spreads the first looks at servers over a period.
func offset(id teaselstream.ServerID, period time.Duration) time.Duration {
	h := fnv.New32a()
	// A hash does not fail.
	_, _ = h.Write([]byte(id))
	return time.Duration(h.Sum32()) % period
}

// looked publishes a report as the newest record of its server.
func (o *Observer) looked(now time.Time, m Looked) []teaselstream.Cmd {
	x := o.servers[m.Server]
	if !o.active || x == nil || m.Report.Incarnation < x.record.Incarnation {
		return nil
	}
	x.looking = false
	before := x.record
	x.record = Record{
		Server: m.Server, Incarnation: m.Report.Incarnation, Holds: m.Report.Holds, Orders: m.Report.Orders,
		Running: m.Report.Running, Waiting: m.Report.Waiting, CacheUsed: m.Report.CacheUsed, CacheTotal: m.Report.CacheTotal, Pace: m.Report.Pace,
	}
	x.at = now
	news := before.State != x.record.State || before.Incarnation != x.record.Incarnation || before.Holds != x.record.Holds
	return []teaselstream.Cmd{Publish{Record: x.record, News: news}}
}

func (o *Observer) connectionEnded(now time.Time, address string) []teaselstream.Cmd {
	if !o.active || o.view == nil {
		return nil
	}
	m := o.view.ByAddress(address)
	if m == nil || o.servers[m.ID] == nil || m.State == fleet.Down || now.Sub(o.servers[m.ID].endLookAt) < stallLookInterval {
		// A server may close its connections again and again.
		return nil
	}
	o.servers[m.ID].endLookAt = now
	return []teaselstream.Cmd{o.look(now, m, 0, "connection ended")}
}

// stalled looks at the servers that several streams which stand still have in common. Each server is asked once in stallLookInterval.
func (o *Observer) stalled(now time.Time, servers []teaselstream.ServerID) []teaselstream.Cmd {
	if !o.active || o.view == nil {
		return nil
	}
	var cmds []teaselstream.Cmd
	for _, id := range servers {
		x, m := o.servers[id], o.view.Members[id]
		if x == nil || m == nil || m.State == fleet.Down {
			continue
		}
		old := func(at time.Time) bool { return now.Sub(at) > stallWindow }
		x.stalls = append(slices.DeleteFunc(x.stalls, old), now)
		if len(x.stalls) > maxStalls {
			x.stalls = x.stalls[1:]
		}
		if len(x.stalls) < x.witnesses() || now.Sub(x.stallLookAt) < x.stallInterval {
			continue
		}
		x.stallInterval = min(2*x.stallInterval, maxStallInterval)
		if now.Sub(x.stallLookAt) > stallMemory {
			x.stallInterval = stallLookInterval
		}
		x.stallLookAt = now
		cmds = append(cmds, o.look(now, m, stallTimeout, "streams stand still"))
	}
	return cmds
}

// witnesses returns how many streams that stand still make the VM look at the server.
func (x *observed) witnesses() int {
	return min(max(stallWitnesses, int(stallShare*float64(x.record.Running))), maxStalls/2)
}

// tick looks at the servers that are due, and repeats the records of those that are down.
func (o *Observer) tick(now time.Time) []teaselstream.Cmd {
	if !o.active || o.view == nil {
		return nil
	}
	var cmds []teaselstream.Cmd
	for _, id := range slices.Sorted(maps.Keys(o.servers)) {
		x, m := o.servers[id], o.view.Members[id]
		switch {
		case m == nil:
		case m.State == fleet.Down:
			if now.Sub(x.at) >= downPeriod {
				x.record.State, x.record.SilentFor = m.Reachability(now)
				x.at = now
				cmds = append(cmds, Publish{Record: x.record})
			}
		case now.Sub(x.lookedAt) >= o.period() && (!x.looking || now.Sub(x.lookedAt) >= lookTime):
			cmds = append(cmds, o.look(now, m, 0, ""))
		}
	}
	return cmds
}

func (o *Observer) look(now time.Time, m *fleet.Member, timeout time.Duration, reason string) teaselstream.Cmd {
	x := o.servers[m.ID]
	x.lookedAt, x.looking = now, true
	return Look{Server: m.ID, Address: m.Address, Incarnation: m.Incarnation, Timeout: timeout, Reason: reason}
}

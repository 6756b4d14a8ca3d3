package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// limitTTL is how long a limit holds that no VM confirms. VMs that have no part of it then send one request each to hear it
	// again, so that a shorter time would exceed the limits of large fleets.
	limitTTL = 20 * time.Second
	// refreshInterval is the time after which the first VM in rank confirms a limit for the others, and one that ranks behind it
	// later by as much.
	refreshInterval = 5 * time.Second
	// reportDelay, times a VM's rank up to maxRankDelays, is how long a VM waits for the report of another VM about a limit that
	// has changed.
	reportDelay   = 300 * time.Millisecond
	maxRankDelays = 10
	// publishInterval is the least time between two reports of this VM.
	publishInterval = 200 * time.Millisecond
	// maxReported limits the servers in a report.
	maxReported = 64
)

type (
	// Tracker is the state machine that divides the limits of servers among the VMs; VM must be set.
	Tracker struct {
		VM teaselstream.VMID

		limits map[teaselstream.ServerID]*limit
		view   *fleet.View
		parts  map[teaselstream.ServerID]Part
		// undivided reports that limits or VMs have changed since the parts were computed.
		undivided   bool
		publishedAt time.Time
	}

	// limit is what is known of the limit of one server.
	limit struct {
		value
		// at is when the server last named the value, by any VM, and heardAt when it did so to this VM.
		at, heardAt time.Time
		changedAt   time.Time
		// rank is this VM's rank among those that report about the server, from 0.
		rank int
		// reported is the value in the newest report of any VM, and reportedAt when that was read or written.
		reported   value
		reportedAt time.Time
	}

	value struct {
		has   bool
		limit teaselstream.RequestsPerSecond
	}
)

var _ teaselstream.Core = (*Tracker)(nil)

// Update applies one message and returns the commands that follow from it.
func (t *Tracker) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	if t.limits == nil {
		t.limits = make(map[teaselstream.ServerID]*limit)
	}
	var cmds []teaselstream.Cmd
	switch m := m.(type) {
	case Named:
		cmds = t.named(now, m)
	case ReportRead:
		cmds = t.readReport(now, m.Report)
	case ViewChanged:
		t.undivided = t.undivided || t.view == nil || !slices.Equal(t.view.Peers, m.View.Peers)
		t.view = m.View
	case teaselstream.Tick:
		cmds = append(t.expire(now), t.publish(now)...)
	}
	return append(cmds, t.divide()...)
}

func (t *Tracker) named(now time.Time, m Named) []teaselstream.Cmd {
	l := t.limits[m.Server]
	if l == nil {
		if !m.HasLimit {
			return nil
		}
		l = &limit{}
		t.limits[m.Server] = l
	}
	if !m.HasLimit && m.SentAt.Before(l.at) {
		// The answer may be older than the one that named the limit.
		return nil
	}
	l.at, l.heardAt = now, now
	return t.set(now, m.Server, l, value{m.HasLimit, m.Limit})
}

// set changes the value of a limit.
func (t *Tracker) set(now time.Time, id teaselstream.ServerID, l *limit, v value) []teaselstream.Cmd {
	if l.value == v {
		return nil
	}
	l.value, l.changedAt, t.undivided = v, now, true
	near, far := t.order(id)
	return []teaselstream.Cmd{LogLimit{Server: id, HasLimit: v.has, Part: Part{Limit: v.limit, Rate: t.part(near, far, v.limit)}}}
}

func (t *Tracker) readReport(now time.Time, r Report) []teaselstream.Cmd {
	// The clocks of VMs differ by some seconds, so that only a long time since the writing counts.
	read := now
	if old := now.Sub(time.Unix(r.WrittenAt, 0)); old > limitTTL {
		read = now.Add(-old)
	}
	var cmds []teaselstream.Cmd
	for _, x := range r.Limits {
		at := read.Add(-x.Age)
		l := t.limits[x.Server]
		if now.Sub(at) > limitTTL || l == nil && !x.HasLimit || l != nil && at.Before(l.at) {
			continue
		}
		if l == nil {
			l = &limit{}
			t.limits[x.Server] = l
		}
		l.at = at
		l.reported, l.reportedAt = value{x.HasLimit, x.Limit}, now
		cmds = append(cmds, t.set(now, x.Server, l, l.reported)...)
	}
	return cmds
}

func (t *Tracker) expire(now time.Time) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, id := range slices.Sorted(maps.Keys(t.limits)) {
		l := t.limits[id]
		if now.Sub(l.at) <= limitTTL {
			continue
		}
		cmds = append(cmds, t.set(now, id, l, value{})...)
		delete(t.limits, id)
		t.undivided = true
	}
	return cmds
}

// publish returns this VM's report if another VM has to learn what this one has heard from a server.
func (t *Tracker) publish(now time.Time) []teaselstream.Cmd {
	if now.Sub(t.publishedAt) < publishInterval {
		return nil
	}
	due := false
	r := Report{WrittenAt: now.Unix()}
	for _, id := range slices.Sorted(maps.Keys(t.limits)) {
		l := t.limits[id]
		if l.heardAt.IsZero() || now.Sub(l.heardAt) > limitTTL || len(r.Limits) == maxReported {
			continue
		}
		due = due || l.reportDue(now)
		r.Limits = append(r.Limits, ReportedLimit{Server: id, HasLimit: l.has, Limit: l.limit, Age: now.Sub(l.heardAt)})
	}
	if !due {
		return nil
	}
	t.publishedAt = now
	for _, x := range r.Limits {
		l := t.limits[x.Server]
		l.reported, l.reportedAt = l.value, now
	}
	return []teaselstream.Cmd{PublishReport{r}}
}

func (l *limit) reportDue(now time.Time) bool {
	rank := time.Duration(l.rank)
	if l.value != l.reported {
		return l.heardAt.Compare(l.changedAt) >= 0 && now.Sub(l.changedAt) >= min(rank, maxRankDelays)*reportDelay
	}
	return l.has && l.heardAt.After(l.reportedAt) && now.Sub(l.reportedAt) >= (1+rank)*refreshInterval
}

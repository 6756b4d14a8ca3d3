package fleet

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// maxObservationAge is the age up to which what another VM has found out about a server is used; a stream lasts about as long.
	maxObservationAge = 3 * time.Second
	// observationFresh is how long an observation takes the place of an own probe. The observing VM repeats it every 500 ms, and a call
	// to it may be held for 900 ms.
	observationFresh = 1700 * time.Millisecond
	// stallMemory is how long a stream of this VM that stands still bears out what another VM says about a server of its path.
	stallMemory = 400 * time.Millisecond
	// observedPause is how long a server that another VM does not reach gets no new work where others have room.
	observedPause = time.Second
	// ownLookInterval is the least time between two own looks that follow from what another VM says.
	ownLookInterval = 300 * time.Millisecond
	// maxObservedPace bounds the pace that is believed without an own look, so that a wrong one cannot take a server out of all paths.
	maxObservedPace = 16.0
	// paceSteps is the number of steps per unit to which an observed pace is rounded, so that its noise does not change the view.
	paceSteps = 4
)

const (
	// Answering means that the server answers.
	Answering Reachability = iota
	// Silent means that it does not.
	Silent
	// Ended means that its address refuses connections.
	Ended
)

type (
	// Reachability says how a server is reached by a VM.
	Reachability uint8

	// Observed carries what another VM of the failure domain has found out about servers.
	Observed struct {
		From         teaselstream.VMID
		Observations []Observation
	}

	// Observation is what another VM has found out about a server; Age is the time since then.
	Observation struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		State       Reachability
		Age         time.Duration
		// CutOff means that the server has been silent there for longer than a sound one is.
		CutOff bool
		// Report holds the load, the layers and the pace that the server reported.
		Report teaselstream.ReplicaReport
	}

	// StreamStalled reports that a stream of this VM has had no event for longer than usual. Servers is its path.
	StreamStalled struct{ Servers []teaselstream.ServerID }

	// CheckEnded requests a connection to a server that another VM has found ended; a refusal arrives as Unreachable.
	CheckEnded struct {
		Server      teaselstream.ServerID
		Address     string
		Incarnation teaselstream.Incarnation
	}

	// observation is the newest one of a server, and when this VM had a stream that stood still on it.
	observation struct {
		at        time.Time
		state     Reachability
		stalledAt time.Time
		lookedAt  time.Time
		// reportAt is when the report was read whose layers are known through another VM.
		reportAt time.Time
		// ownSilent means that an own look at the server went unanswered since it is down.
		ownSilent bool
	}
)

// String returns the name of the reachability.
func (r Reachability) String() string {
	switch r {
	case Answering:
		return "Answering"
	case Silent:
		return "Silent"
	default:
		return "Ended"
	}
}

// Reachability returns how this VM reaches the server, and for how long it has not.
func (m *Member) Reachability(now time.Time) (Reachability, time.Duration) {
	switch {
	case m.State != Down:
		return Answering, 0
	case m.Ended:
		return Ended, now.Sub(m.DownSince)
	default:
		return Silent, now.Sub(m.DownSince)
	}
}

// layersKnownAt returns when the server itself last said to this VM or another one which layers it holds.
func (r *memberRecord) layersKnownAt() time.Time {
	if r.observed.reportAt.After(r.reportedAt) {
		return r.observed.reportAt
	}
	return r.reportedAt
}

// freshAt reports whether the observation is recent enough to stand for an own look.
func (o *observation) freshAt(now time.Time) bool {
	return !o.at.IsZero() && now.Sub(o.at) <= observationFresh
}

// unreached reports whether another VM has found lately that it does not reach the server.
func (o *observation) unreached(now time.Time) bool { return o.freshAt(now) && o.state != Answering }

// updateShared applies what this VM learns together with others.
func (c *Core) updateShared(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch m := m.(type) {
	case Observed:
		return c.applyObserved(now, m)
	case StreamStalled:
		return c.applyStalled(now, m)
	case ShareFound:
		c.applyShare(m)
	}
	return nil
}

func (c *Core) applyObserved(now time.Time, m Observed) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for i := range m.Observations {
		o := &m.Observations[i]
		r := c.members[o.Server]
		if r == nil || o.Incarnation < r.Incarnation || o.Age < 0 || o.Age > maxObservationAge {
			continue
		}
		at := now.Add(-o.Age)
		if at.Before(r.observed.at) {
			continue
		}
		if o.Incarnation > r.Incarnation {
			// A wrong incarnation would hide the server from then on, so only the server itself is believed.
			cmds = append(cmds, c.ownLook(now, r, "another VM found a later start")...)
			continue
		}
		before := r.observed.state
		r.observed.at, r.observed.state = at, o.State
		cmds = append(cmds, c.weighObservation(now, r, o, before)...)
	}
	return cmds
}

// weighObservation follows what another VM has found out, which alone ends nothing. A server that answers it again is asked at once.
func (c *Core) weighObservation(now time.Time, r *memberRecord, o *Observation, before Reachability) []teaselstream.Cmd {
	switch {
	case o.State == Answering && r.State == Down:
		if before == Answering || r.observed.at.Before(r.DownSince) {
			return nil
		}
		return c.ownLook(now, r, "answers another VM")
	case o.State == Answering:
		c.applyObservedReport(now, r, o)
		return nil
	case r.State == Down:
		if o.CutOff && r.observed.ownSilent && !r.CutOff && !r.Ended {
			r.CutOff, c.dirty = true, true
			return []teaselstream.Cmd{LogEvent{Event: "ServerCutOff", Server: r.ID, Reason: "silent for another VM too", Age: now.Sub(r.DownSince)}}
		}
		return nil
	case o.State == Ended:
		return append(c.avoidObserved(now, r), c.checkEnded(now, r)...)
	case now.Sub(r.observed.stalledAt) <= stallMemory:
		return c.markStalled(now, r)
	}
	return c.avoidObserved(now, r)
}

// applyObservedReport takes over what a server that answers another VM reported: its pace and layers, unless this VM knows later ones, and
// its load apart from this VM's own estimate. As part of the estimate it made all VMs choose the same servers until the next report.
func (c *Core) applyObservedReport(now time.Time, r *memberRecord, o *Observation) {
	at := now.Add(-o.Age)
	if o.Report.CacheTotal <= 0 {
		return
	}
	r.LoadEstimate.RecordObserved(at, o.Report.Running+o.Report.Waiting, float64(o.Report.CacheUsed)/float64(o.Report.CacheTotal))
	if at.Before(r.reportedAt) || at.Before(r.observed.reportAt) {
		return
	}
	before := r.Member
	if o.Report.Pace > 0 {
		r.Slowdown = float64(int(min(o.Report.Pace, maxObservedPace)*paceSteps+0.5)) / paceSteps
	}
	if r.Holds.Empty() || r.Holds.Within(o.Report.Holds) {
		// Layers that a server has given up show in its entry, and in its refusals. A wrong record must not hide it.
		r.Holds, r.Orders, r.observed.reportAt = o.Report.Holds, o.Report.Orders, at
	}
	c.compareHolds(r, before.Holds)
	c.dirty = c.dirty || !sameMember(before, r.Member)
}

// avoidObserved keeps new work from a server that another VM does not reach, where others have room.
func (c *Core) avoidObserved(now time.Time, r *memberRecord) []teaselstream.Cmd {
	first := !now.Before(r.PausedUntil)
	if until := now.Add(observedPause); until.After(r.PausedUntil) {
		r.PausedUntil, c.dirty = until, true
	}
	if !first {
		return nil
	}
	return []teaselstream.Cmd{LogEvent{Event: "ServerPaused", Server: r.ID, Reason: "another VM does not reach it"}}
}

// checkEnded requests an own look at a server that has ended for another VM.
func (c *Core) checkEnded(now time.Time, r *memberRecord) []teaselstream.Cmd {
	if now.Sub(r.observed.lookedAt) < ownLookInterval {
		return nil
	}
	r.observed.lookedAt = now
	return []teaselstream.Cmd{CheckEnded{Server: r.ID, Address: r.Address, Incarnation: r.Incarnation}}
}

// ownLook requests the server's own report.
func (c *Core) ownLook(now time.Time, r *memberRecord, reason string) []teaselstream.Cmd {
	if now.Sub(r.observed.lookedAt) < ownLookInterval {
		return nil
	}
	r.observed.lookedAt = now
	return []teaselstream.Cmd{ReadReport{Server: r.ID, Address: r.Address, Reason: reason}}
}

// markStalled finds a server down that another VM does not reach while a stream of this VM stands still on it.
func (c *Core) markStalled(now time.Time, r *memberRecord) []teaselstream.Cmd {
	return c.markDown(now, Unreachable{
		Server: r.ID, Incarnation: r.Incarnation, Unanswered: now.Sub(r.observed.at), Reason: "silent for another VM, and a stream stands still",
	})
}

func (c *Core) applyStalled(now time.Time, m StreamStalled) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, id := range m.Servers {
		r := c.members[id]
		if r == nil || r.State == Down {
			continue
		}
		r.observed.stalledAt = now
		if r.observed.unreached(now) && r.observed.state == Silent {
			cmds = append(cmds, c.markStalled(now, r)...)
		}
	}
	return cmds
}

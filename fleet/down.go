package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

// markUnreachable is markDown for a look of this VM itself.
func (c *Core) markUnreachable(now time.Time, m Unreachable) []teaselstream.Cmd {
	cmds := c.markDown(now, m)
	if r := c.members[m.Server]; r != nil && r.State == Down && m.Incarnation >= r.Incarnation && m.Unanswered > 0 {
		r.observed.ownSilent = true
	}
	return cmds
}

// markDown keeps work off a server that does not answer, and asks it from now on without a break until it does.
func (c *Core) markDown(now time.Time, m Unreachable) []teaselstream.Cmd {
	r := c.members[m.Server]
	if r == nil || m.Incarnation < r.Incarnation {
		return nil
	}
	if !m.Ended && now.Sub(r.reportedAt) < m.Unanswered {
		// The server has answered another probe since this one was sent. Probes overlap, and a packet that was lost is not sent again at once.
		return nil
	}
	c.dirty = c.dirty || m.Ended && !r.Ended
	r.Ended = r.Ended || m.Ended
	if r.State == Down {
		if m.Unanswered == 0 {
			r.forgetSilence()
		}
		return nil
	}
	r.State, r.DownSince, c.dirty = Down, now, true
	r.forgetSilence()
	r.silentFor = m.Unanswered
	return []teaselstream.Cmd{LogEvent{Event: "ServerDown", Server: r.ID, Reason: m.Reason, Age: m.Unanswered}, c.probeDown(now, r)}
}

// probeDown requests the report of a server that is down.
func (c *Core) probeDown(now time.Time, r *memberRecord) teaselstream.Cmd {
	period := silentProbePeriod
	if r.CutOff || r.Ended {
		period = probePeriod
	}
	r.nextProbeAt = now.Add(period)
	if r.askedSince.IsZero() {
		r.askedSince = now
	}
	return ReadReport{Server: r.ID, Address: r.Address, Reason: "down", Timeout: downProbeTimeout}
}

// watchDown probes a server that is down, and finds it cut off once it has left probes unanswered for longer than a sound server does.
// The time counts only while a probe waits for an answer and this VM gets the processor: the server may have answered otherwise.
func (c *Core) watchDown(now time.Time, r *memberRecord) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	gap := now.Sub(c.tickedAt)
	switch {
	case gap > maxProbeGap:
		r.forgetSilence()
	case gap <= maxTickGap && !r.askedSince.IsZero():
		r.silentFor += min(gap, now.Sub(r.askedSince))
	}
	if !r.CutOff && r.silentFor >= soundSilence {
		r.CutOff, c.dirty = true, true
		cmds = append(cmds, LogEvent{Event: "ServerCutOff", Server: r.ID, Reason: "silent without a break", Age: r.silentFor})
	}
	left := !r.removedAt.IsZero() && (r.CutOff || r.Ended)
	if r.observed.unreached(now) {
		// Another VM probes the server for this one, and says when it answers.
		r.forgetSilence()
		return cmds
	}
	if !left && !now.Before(r.nextProbeAt) {
		cmds = append(cmds, c.probeDown(now, r))
	}
	return cmds
}

func (c *Core) forgetSilences(servers ...teaselstream.ServerID) {
	for _, id := range servers {
		if r := c.members[id]; r != nil {
			r.forgetSilence()
		}
	}
}

// forgetSilence drops what is known about the silence of a server, which may have answered in between. The silence counts again from the next
// probe.
func (r *memberRecord) forgetSilence() { r.silentFor, r.askedSince = 0, time.Time{} }

// endDown lets a server that was down get work again, unless it leaves.
func (r *memberRecord) endDown() {
	r.State, r.DownSince, r.Ended, r.CutOff = Serving, time.Time{}, false, false
	r.observed.ownSilent = false
	if !r.LeavingSince.IsZero() {
		r.State = Leaving
	}
	r.forgetSilence()
}

// clearDown takes back that servers are down, as far as that was found since a time.
func (c *Core) clearDown(since time.Time) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		r := c.members[id]
		r.forgetSilence()
		if r.State != Down || r.DownSince.Before(since) {
			continue
		}
		r.endDown()
		c.dirty = true
		cmds = append(cmds, LogEvent{Event: "ServerDownCleared", Server: id, Reason: "this VM reached no server"})
	}
	return cmds
}

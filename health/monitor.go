package health

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

// Monitor is the state machine that tracks the health of backend servers on one VM; the zero value is ready to use.
type Monitor struct {
	servers map[teaselstream.ServerID]*server
	order   []teaselstream.ServerID
	cohorts map[cohort]*cohortStats
	answers map[teaselstream.ModelID][]teaselstream.Digest
	// started is set by the first list of servers, which needs no slow start.
	started bool
}

var _ teaselstream.Core = (*Monitor)(nil)

// Update applies one message and returns the SetState, Probe and Canary commands that follow from it.
func (m *Monitor) Update(now time.Time, msg teaselstream.Msg) []teaselstream.Cmd {
	switch x := msg.(type) {
	case Servers:
		m.setServers(now, x.List)
	case CallResult:
		if s := m.current(x.Server, x.Incarnation); s != nil {
			s.applyCallResult(now, x.Result)
		}
	case ProbeResult:
		if s := m.servers[x.Server]; s != nil {
			s.applyProbeResult(now, x.OK)
		}
	case ServerLeaving:
		if s := m.current(x.Server, x.Incarnation); s != nil && s.state != teaselstream.Leaving {
			s.setState(now, teaselstream.Leaving, CauseLeft)
		}
	case Latency:
		return m.latency(now, x)
	case CanaryAnswer:
		return m.answer(now, x)
	case PeerReport:
		m.report(now, x)
	case Tick:
		return m.tick(now)
	}
	return m.publish(now, false)
}

// current returns the server with the given name and incarnation, or nil if that incarnation is not the current one.
func (m *Monitor) current(id teaselstream.ServerID, n teaselstream.Incarnation) *server {
	s := m.servers[id]
	if s == nil || s.Incarnation != n {
		return nil
	}
	return s
}

// setServers replaces the list of servers; servers that appear after the first list or restart begin with slow start.
func (m *Monitor) setServers(now time.Time, list []Known) {
	old := m.servers
	m.servers = make(map[teaselstream.ServerID]*server, len(list))
	m.cohorts = map[cohort]*cohortStats{}
	for _, k := range list {
		s := old[k.Name]
		switch {
		case s == nil || s.Incarnation < k.Incarnation:
			s = &server{Known: k, slow: 1, longMean: 1, reports: map[teaselstream.VMID]Cause{}}
			s.nextCanary = now.Add(canaryOffset(k.Name))
			if m.started {
				s.setState(now, teaselstream.SlowStart, CauseNone)
			}
		case s.Incarnation == k.Incarnation:
			s.Known = k
		}
		m.servers[k.Name] = s
	}
	m.order = slices.Sorted(maps.Keys(m.servers))
	for _, id := range m.order {
		s := m.servers[id]
		if s.Kind != teaselstream.KindService {
			c := cohortOf(s)
			if m.cohorts[c] == nil {
				m.cohorts[c] = &cohortStats{}
			}
			m.cohorts[c].servers = append(m.cohorts[c].servers, s)
		}
	}
	m.started = true
	m.updateMedians()
	m.releaseExcess(now)
}

func (m *Monitor) tick(now time.Time) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	m.updateMedians()
	for _, id := range m.order {
		s := m.servers[id]
		s.checkFailureTimeout(now)
		switch s.state {
		case teaselstream.Dead:
			if !now.Before(s.nextProbe) {
				s.nextProbe = now.Add(s.probeWait)
				cmds = append(cmds, Probe{Server: id})
			}
		case teaselstream.SlowStart:
			if now.Sub(s.stateSince) >= slowStartTime {
				s.setState(now, teaselstream.Serving, CauseNone)
			}
		case teaselstream.Probation:
			m.checkRecovery(now, s)
		}
		cmds = append(cmds, m.canary(now, s)...)
	}
	return append(cmds, m.publish(now, true)...)
}

// publish returns a SetState for each server whose state or cause changed; with all set, also for changed weights and
// slowdowns, which change too often to be published outside ticks.
func (m *Monitor) publish(now time.Time, all bool) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, id := range m.order {
		s := m.servers[id]
		if o := s.published; !all && o.State == s.state && o.Cause == s.cause {
			continue
		}
		p := SetState{Server: id, Incarnation: s.Incarnation, State: s.state, Cause: s.cause, Weight: s.weight(now), Slowdown: m.slowdown(s)}
		o := s.published
		if o.Server == "" {
			o = SetState{Server: id, Incarnation: s.Incarnation, Weight: 1, Slowdown: 1}
		}
		ratio := p.Slowdown / o.Slowdown
		if ratio < slowdownPublishRatio && ratio > 1/slowdownPublishRatio {
			p.Slowdown = o.Slowdown
		}
		if p != o {
			s.published = p
			cmds = append(cmds, p)
		}
	}
	return cmds
}

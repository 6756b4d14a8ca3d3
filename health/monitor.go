package health

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

// Monitor is the core that judges backend servers on one VM; the zero value works.
type Monitor struct {
	servers map[teaselstream.ServerID]*server
	order   []teaselstream.ServerID
	cohorts map[cohort]*group
	answers map[teaselstream.ModelID][]teaselstream.Digest
	started bool
}

var _ teaselstream.Core = (*Monitor)(nil)

// Update applies one message and returns SetState, Probe and Canary commands.
func (m *Monitor) Update(now time.Time, msg teaselstream.Msg) []teaselstream.Cmd {
	switch x := msg.(type) {
	case Servers:
		m.setServers(now, x.List)
	case CallResult:
		if s := m.current(x.Server, x.Incarnation); s != nil {
			s.use(now, x.Result)
		}
	case ProbeResult:
		if s := m.servers[x.Server]; s != nil {
			s.probe(now, x.OK)
		}
	case ServerLeaving:
		if s := m.current(x.Server, x.Incarnation); s != nil && s.state != teaselstream.Leaving {
			s.set(now, teaselstream.Leaving, CauseLeft)
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

// current returns the server if the evidence is about its current incarnation.
func (m *Monitor) current(id teaselstream.ServerID, n teaselstream.Incarnation) *server {
	s := m.servers[id]
	if s == nil || s.Incarnation != n {
		return nil
	}
	return s
}

// setServers takes the list; servers that appear later or restart begin with slow start.
func (m *Monitor) setServers(now time.Time, list []Known) {
	old := m.servers
	m.servers = make(map[teaselstream.ServerID]*server, len(list))
	m.cohorts = map[cohort]*group{}
	for _, k := range list {
		s := old[k.Name]
		switch {
		case s == nil || s.Incarnation < k.Incarnation:
			s = &server{Known: k, slow: 1, past: 1, reports: map[teaselstream.VMID]Cause{}}
			s.nextCanary = now.Add(spread(k.Name))
			if m.started {
				s.set(now, teaselstream.SlowStart, CauseNone)
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
				m.cohorts[c] = &group{}
			}
			m.cohorts[c].servers = append(m.cohorts[c].servers, s)
		}
	}
	m.started = true
	m.updateMedians()
	m.returnSurplus(now)
}

func (m *Monitor) tick(now time.Time) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	m.updateMedians()
	for _, id := range m.order {
		s := m.servers[id]
		s.checkDeath(now)
		switch s.state {
		case teaselstream.Dead:
			if !now.Before(s.nextProbe) {
				s.nextProbe = now.Add(s.probeWait)
				cmds = append(cmds, Probe{Server: id})
			}
		case teaselstream.SlowStart:
			if now.Sub(s.since) >= slowStartTime {
				s.set(now, teaselstream.Serving, CauseNone)
			}
		case teaselstream.Probation:
			m.checkRecovery(now, s)
		}
		cmds = append(cmds, m.canary(now, s)...)
	}
	return append(cmds, m.publish(now, true)...)
}

// publish returns a SetState for each server whose judgement changed.
// Weights and slowdowns change with time and samples, and are published on ticks only.
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
		if ratio < slowdownStep && ratio > 1/slowdownStep {
			p.Slowdown = o.Slowdown
		}
		if p != o {
			s.published = p
			cmds = append(cmds, p)
		}
	}
	return cmds
}

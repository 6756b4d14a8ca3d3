package member

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

const (
	// serverDeadAfter is the time after the first failure without a success since at which a server counts as dead.
	serverDeadAfter = 2 * time.Second
	// slowStart is the time over which the weight of a new server rises from slowStartWeight to 1.
	slowStart       = 10 * time.Second
	slowStartWeight = 0.1
	// suspectWeight keeps nearly all new work from a server whose last request or probe failed, until it answers or counts as dead.
	suspectWeight = 0.01
	// leavingGrace is the time within which every VM stops sending new work to a leaving server.
	leavingGrace = 3 * time.Second
	// maxRequestFailures failed requests in a row make a server dead even if probes succeeded in between, unless
	// the last success is more recent than serverDeadAfter.
	maxRequestFailures = 3

	// reportedProbeTime is the time within which a server that another VM reports as dead must answer a probe.
	reportedProbeTime = 500 * time.Millisecond
	// unpolledDelay keeps work from a new server that this VM does not poll, until peers had the time to report that it leaves.
	unpolledDelay = 2 * time.Second

	// probeBase is the period of probes of a suspect or unconfirmed server, and the base of the backoff between probes
	// of a dead one; probeLimit is the limit of that backoff.
	probeBase  = 500 * time.Millisecond
	probeLimit = 5 * time.Second
	// probeTimeout is the time after which a probe or poll without an answer may be repeated.
	probeTimeout = 2 * time.Second
)

// server is a backend server as this VM knows it.
type server struct {
	teaselstream.Server
	incarnation     teaselstream.Incarnation
	load            teaselstream.Load
	leaving         bool
	leavingSince    time.Time
	dead            bool
	deadSince       time.Time
	firstFailure    time.Time
	requestFailures int
	// suspicions holds the causes for which other VMs have the server on probation.
	suspicions map[teaselstream.VMID]string
	// confirmed reports that the server has answered this VM. Before that, it takes no work unless it is
	// not polled and unpolledDelay has passed.
	confirmed     bool
	added         time.Time
	lastSuccess   time.Time
	slowStartAt   time.Time
	queriedAt     time.Time
	queryInFlight bool
	nextProbe     time.Time
	probeFailures int
}

// rangeGroup names the servers that hold the same layer range of a model.
func rangeGroup(v teaselstream.Server) string {
	return string(v.Model) + "/" + string(v.Service) + "/" + v.Layers.String()
}

// modelGroup names the servers of one model or plain service.
func modelGroup(v teaselstream.Server) string { return string(v.Model) + "/" + string(v.Service) }

// adopt takes the servers of a new document and keeps the state of servers that remain.
func (s *Members) adopt(now time.Time, d *teaselstream.Document) []teaselstream.Cmd {
	first := s.document == nil
	s.document = d
	changed := false
	for id := range s.servers {
		if _, ok := d.Servers[id]; !ok {
			delete(s.servers, id)
			changed = true
		}
	}
	for id, n := range d.Servers {
		v := s.servers[id]
		switch {
		case v == nil:
			v = &server{added: now}
			if !first {
				v.slowStartAt = now
			}
			s.servers[id] = v
		case v.Server == n:
			continue
		case v.Address != n.Address:
			// Another address means another process.
			*v = server{added: now, slowStartAt: now}
		}
		v.Server = n
		changed = true
	}
	if changed {
		s.regroup()
	}
	return append(s.probeUnconfirmed(now), ServersChanged{SetChanged: changed})
}

// probeUnconfirmed probes new servers at once, to learn whether they drain. Otherwise a VM that has just
// started would send new work to servers that its peers have long known to be leaving.
func (s *Members) probeUnconfirmed(now time.Time) []teaselstream.Cmd {
	var out []teaselstream.Cmd
	for _, id := range s.poll.subset {
		if v := s.servers[id]; !v.confirmed {
			s.unhealthy[id] = v
			out = append(out, s.probe(now, v)...)
		}
	}
	return out
}

// regroup rebuilds what depends on the set of servers.
func (s *Members) regroup() {
	clear(s.groups)
	for id, v := range s.servers {
		k := modelGroup(v.Server)
		s.groups[k] = append(s.groups[k], id)
	}
	s.poll.choose(s.config, s.servers)
}

func (s *Members) markLeaving(now time.Time, v *server, n wire.Notice, from teaselstream.VMID) []teaselstream.Cmd {
	if v.leaving || n.Incarnation < v.incarnation {
		return nil
	}
	v.leaving, v.leavingSince, v.incarnation = true, now.Add(-age(n)), n.Incarnation
	return append(s.gossip(now, n, from), ServersChanged{})
}

func (s *Members) markDead(now time.Time, v *server) []teaselstream.Cmd {
	if v.dead {
		return nil
	}
	v.dead, v.deadSince, v.firstFailure, v.requestFailures, v.probeFailures = true, now, time.Time{}, 0, 0
	s.unhealthy[v.Name] = v
	v.nextProbe = now.Add(teaselstream.Backoff(s.config.Rand, probeBase, probeLimit, 1))
	return append(s.gossip(now, s.serverNotice(wire.NoticeDead, v), ""), ServersChanged{})
}

func (s *Members) serverNotice(k wire.NoticeKind, v *server) wire.Notice {
	return wire.Notice{Kind: k, Subject: string(v.Name), Source: s.config.VM, Incarnation: v.incarnation}
}

// markAlive ends the suspicion of a server, or readmits a dead server in slow start.
func (s *Members) markAlive(now time.Time, v *server) []teaselstream.Cmd {
	suspect := !v.firstFailure.IsZero()
	v.firstFailure = time.Time{}
	switch {
	case !v.dead && suspect:
		return []teaselstream.Cmd{ServersChanged{}}
	case !v.dead:
		return nil
	}
	v.dead, v.slowStartAt, v.requestFailures = false, now, 0
	return append(s.gossip(now, s.serverNotice(wire.NoticeAlive, v), ""), ServersChanged{})
}

func (s *Members) applyServerNotice(now time.Time, x NoticeReceived) []teaselstream.Cmd {
	n := x.Notice
	v := s.servers[teaselstream.ServerID(n.Subject)]
	if v == nil || n.Incarnation < v.incarnation {
		return nil
	}
	switch n.Kind {
	case wire.NoticeLeaving:
		return s.markLeaving(now, v, n, x.From)
	case wire.NoticeSuspect:
		return s.applySuspicion(now, v, x)
	case wire.NoticeDead:
		// The reporter may be cut off from the server while this VM is not, so the report alone only causes a probe.
		if v.dead || v.lastSuccess.After(now.Add(-age(n))) {
			return nil
		}
		if !v.firstFailure.IsZero() {
			// This is the second evidence, after a failure seen here or an earlier report.
			return s.markDead(now, v)
		}
		// The server counts as dead unless it answers the probe within reportedProbeTime.
		v.firstFailure = now.Add(reportedProbeTime - serverDeadAfter)
		s.unhealthy[v.Name] = v
		return s.probe(now, v)
	case wire.NoticeAlive:
		if v.dead {
			return s.probe(now, v)
		}
	}
	return nil
}

func (s *Members) requestResult(now time.Time, x RequestResult) []teaselstream.Cmd {
	v := s.servers[x.Server]
	if v == nil {
		return nil
	}
	if x.OK {
		v.requestFailures, v.lastSuccess, v.confirmed = 0, now, true
		return s.markAlive(now, v)
	}
	v.requestFailures++
	if x.Refused || v.requestFailures >= maxRequestFailures && now.Sub(v.lastSuccess) >= serverDeadAfter {
		return s.markDead(now, v)
	}
	return s.noteFailure(now, v)
}

// noteFailure records a failure that slowness may have caused, and probes the server at once.
func (s *Members) noteFailure(now time.Time, v *server) []teaselstream.Cmd {
	if v.dead {
		return nil
	}
	if v.firstFailure.IsZero() {
		v.firstFailure = now
		s.unhealthy[v.Name] = v
		return append(s.probe(now, v), ServersChanged{})
	}
	return nil
}

func (s *Members) probe(now time.Time, v *server) []teaselstream.Cmd {
	if v.queryInFlight && now.Sub(v.queriedAt) < probeTimeout {
		return nil
	}
	v.queriedAt, v.queryInFlight = now, true
	v.nextProbe = now.Add(probeBase)
	return []teaselstream.Cmd{ProbeServer{Server: v.Name, Address: v.Address}}
}

func (s *Members) loadRead(now time.Time, x LoadRead) []teaselstream.Cmd {
	v := s.servers[x.Server]
	if v == nil {
		return nil
	}
	v.queryInFlight = false
	if x.Err != nil {
		if v.dead {
			v.probeFailures++
			v.nextProbe = now.Add(teaselstream.Backoff(s.config.Rand, probeBase, probeLimit, v.probeFailures))
			return nil
		}
		if x.Refused {
			return s.markDead(now, v)
		}
		return s.noteFailure(now, v)
	}
	if x.Load.Incarnation < v.incarnation {
		// This is a late answer of an earlier process.
		return nil
	}
	var out []teaselstream.Cmd
	if !v.confirmed {
		v.confirmed = true
		out = append(out, ServersChanged{})
	}
	v.load, v.lastSuccess = x.Load, now
	v.load.At = now
	if x.Load.Incarnation > v.incarnation {
		if v.incarnation > 0 {
			v.leaving, v.slowStartAt = false, now
		}
		v.incarnation = x.Load.Incarnation
		out = append(out, ServersChanged{SetChanged: true})
	}
	out = append(out, s.markAlive(now, v)...)
	if x.Load.Draining {
		out = append(out, s.markLeaving(now, v, s.serverNotice(wire.NoticeLeaving, v), "")...)
	}
	return out
}

// checkServers declares suspect servers dead after serverDeadAfter, and probes suspect, unconfirmed and dead ones.
func (s *Members) checkServers(now time.Time) []teaselstream.Cmd {
	var out []teaselstream.Cmd
	for _, id := range sortedKeys(s.unhealthy) {
		v := s.unhealthy[id]
		if s.servers[id] != v || v.confirmed && !v.dead && v.firstFailure.IsZero() {
			delete(s.unhealthy, id)
			continue
		}
		if !v.firstFailure.IsZero() && now.Sub(v.firstFailure) >= serverDeadAfter {
			out = append(out, s.markDead(now, v)...)
		}
		if (v.dead || !v.confirmed || !v.firstFailure.IsZero()) && !now.Before(v.nextProbe) {
			out = append(out, s.probe(now, v)...)
		}
	}
	return out
}

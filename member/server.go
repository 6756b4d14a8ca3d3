package member

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

const (
	// serverDeadAfter is the time from the first failed use without a success to the death of a server.
	serverDeadAfter = 2 * time.Second
	// slowStart is the time over which the weight of a new server rises from slowStartWeight to 1.
	slowStart       = 10 * time.Second
	slowStartWeight = 0.1
	// suspectWeight keeps new work from a server whose last use or probe failed until it answers or counts as dead.
	suspectWeight = 0.01
	// leavingGrace is the time within which every VM stops sending new work to a leaving server.
	leavingGrace = 3 * time.Second
	// useFailureLimit failed uses in a row are a death even if probes succeed in between.
	useFailureLimit = 3

	// reportedTime is the time that a server which another VM reports dead has to answer a probe.
	reportedTime = 500 * time.Millisecond
	// unpolledDelay is the time in which peers report leaving servers to a VM that starts.
	unpolledDelay = 2 * time.Second

	probeBase  = 500 * time.Millisecond
	probeLimit = 5 * time.Second
	// probeTimeout frees the probe of a server whose answer was lost.
	probeTimeout = 2 * time.Second
)

type server struct {
	teaselstream.Server
	incarnation  teaselstream.Incarnation
	load         teaselstream.Load
	leaving      bool
	leavingSince time.Time
	dead         bool
	deadSince    time.Time
	firstFailure time.Time
	useFailures  int
	// suspicions holds the causes for which other VMs have the server on probation.
	suspicions map[teaselstream.VMID]string
	// confirmed reports that the server has answered this VM, or that it is not
	// polled and its peers had the time to report that it leaves.
	confirmed   bool
	added       time.Time
	lastSuccess time.Time
	slowFrom    time.Time
	asked       time.Time
	askedBusy   bool
	nextProbe   time.Time
	probes      int
}

func group(v teaselstream.Server) string {
	return string(v.Model) + "/" + string(v.Service) + "/" + v.Layers.String()
}

func kindGroup(v teaselstream.Server) string { return string(v.Model) + "/" + string(v.Service) }

// adopt follows the servers of a new document; what is known about servers that stay is kept.
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
				v.slowFrom = now
			}
			s.servers[id] = v
		case v.Server == n:
			continue
		case v.Address != n.Address:
			// Another address is another process.
			*v = server{added: now, slowFrom: now}
		}
		v.Server = n
		changed = true
	}
	if changed {
		s.regroup()
	}
	return append(s.confirm(now), ServersChanged{SetChanged: changed})
}

// confirm asks new servers at once whether they drain. A VM that starts would otherwise give
// new work to servers that its peers have known to be leaving for long.
func (s *Members) confirm(now time.Time) []teaselstream.Cmd {
	var out []teaselstream.Cmd
	for _, id := range s.poll.subset {
		if v := s.servers[id]; !v.confirmed {
			s.troubled[id] = v
			out = append(out, s.probe(now, v)...)
		}
	}
	return out
}

// regroup rebuilds what depends on the set of servers.
func (s *Members) regroup() {
	clear(s.groups)
	for id, v := range s.servers {
		k := kindGroup(v.Server)
		s.groups[k] = append(s.groups[k], id)
	}
	s.poll.choose(s.c, s.servers)
}

func (s *Members) markLeaving(now time.Time, v *server, n wire.Notice, from teaselstream.VMID) []teaselstream.Cmd {
	if v.leaving || n.Incarnation < v.incarnation {
		return nil
	}
	v.leaving, v.leavingSince, v.incarnation = true, now.Add(-age(n)), n.Incarnation
	return append(s.forward(now, n, from), ServersChanged{})
}

func (s *Members) markDead(now time.Time, v *server) []teaselstream.Cmd {
	if v.dead {
		return nil
	}
	v.dead, v.deadSince, v.firstFailure, v.useFailures, v.probes = true, now, time.Time{}, 0, 0
	s.troubled[v.Name] = v
	v.nextProbe = now.Add(teaselstream.Backoff(s.c.Rand, probeBase, probeLimit, 1))
	return append(s.forward(now, s.aboutServer(wire.NoticeDead, v), ""), ServersChanged{})
}

func (s *Members) aboutServer(k wire.NoticeKind, v *server) wire.Notice {
	return wire.Notice{Kind: k, Subject: string(v.Name), Source: s.c.VM, Incarnation: v.incarnation}
}

// markAlive readmits a dead server with a small weight.
func (s *Members) markAlive(now time.Time, v *server) []teaselstream.Cmd {
	suspect := !v.firstFailure.IsZero()
	v.firstFailure = time.Time{}
	switch {
	case !v.dead && suspect:
		return []teaselstream.Cmd{ServersChanged{}}
	case !v.dead:
		return nil
	}
	v.dead, v.slowFrom, v.useFailures = false, now, 0
	return append(s.forward(now, s.aboutServer(wire.NoticeAlive, v), ""), ServersChanged{})
}

func (s *Members) serverNotice(now time.Time, x NoticeReceived) []teaselstream.Cmd {
	n := x.Notice
	v := s.servers[teaselstream.ServerID(n.Subject)]
	if v == nil || n.Incarnation < v.incarnation {
		return nil
	}
	switch n.Kind {
	case wire.NoticeLeaving:
		return s.markLeaving(now, v, n, x.From)
	case wire.NoticeSuspect:
		return s.suspected(now, v, x)
	case wire.NoticeDead:
		// The reporter may be cut off while this VM is not, so the report only causes a probe.
		if v.dead || v.lastSuccess.After(now.Add(-age(n))) {
			return nil
		}
		if !v.firstFailure.IsZero() {
			// Two VMs have seen it fail.
			return s.markDead(now, v)
		}
		// A silent server is dead here as well unless it answers the probe in time.
		v.firstFailure = now.Add(reportedTime - serverDeadAfter)
		s.troubled[v.Name] = v
		return s.probe(now, v)
	case wire.NoticeAlive:
		if v.dead {
			return s.probe(now, v)
		}
	}
	return nil
}

func (s *Members) useResult(now time.Time, x RequestResult) []teaselstream.Cmd {
	v := s.servers[x.Server]
	if v == nil {
		return nil
	}
	if x.OK {
		v.useFailures, v.lastSuccess, v.confirmed = 0, now, true
		return s.markAlive(now, v)
	}
	v.useFailures++
	if x.Refused || v.useFailures >= useFailureLimit && now.Sub(v.lastSuccess) >= serverDeadAfter {
		return s.markDead(now, v)
	}
	return s.failed(now, v)
}

// failed notes a failure that may be slowness, and probes the server at once.
func (s *Members) failed(now time.Time, v *server) []teaselstream.Cmd {
	if v.dead {
		return nil
	}
	if v.firstFailure.IsZero() {
		v.firstFailure = now
		s.troubled[v.Name] = v
		return append(s.probe(now, v), ServersChanged{})
	}
	return nil
}

func (s *Members) probe(now time.Time, v *server) []teaselstream.Cmd {
	if v.askedBusy && now.Sub(v.asked) < probeTimeout {
		return nil
	}
	v.asked, v.askedBusy = now, true
	v.nextProbe = now.Add(probeBase)
	return []teaselstream.Cmd{ProbeServer{Server: v.Name, Address: v.Address}}
}

func (s *Members) loadRead(now time.Time, x LoadRead) []teaselstream.Cmd {
	v := s.servers[x.Server]
	if v == nil {
		return nil
	}
	v.askedBusy = false
	if x.Err != nil {
		if v.dead {
			v.probes++
			v.nextProbe = now.Add(teaselstream.Backoff(s.c.Rand, probeBase, probeLimit, v.probes))
			return nil
		}
		if x.Refused {
			return s.markDead(now, v)
		}
		return s.failed(now, v)
	}
	if x.Load.Incarnation < v.incarnation {
		// A late answer of an earlier process.
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
			v.leaving, v.slowFrom = false, now
		}
		v.incarnation = x.Load.Incarnation
		out = append(out, ServersChanged{SetChanged: true})
	}
	out = append(out, s.markAlive(now, v)...)
	if x.Load.Draining {
		out = append(out, s.markLeaving(now, v, s.aboutServer(wire.NoticeLeaving, v), "")...)
	}
	return out
}

// checkServers ends the time of suspect servers and probes suspect and dead ones.
func (s *Members) checkServers(now time.Time) []teaselstream.Cmd {
	var out []teaselstream.Cmd
	for _, id := range sortedKeys(s.troubled) {
		v := s.troubled[id]
		if s.servers[id] != v || v.confirmed && !v.dead && v.firstFailure.IsZero() {
			delete(s.troubled, id)
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

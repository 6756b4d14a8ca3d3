package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func age(n wire.Notice) time.Duration { return max(time.Duration(n.Age)*time.Millisecond, 0) }

func (s *Members) applyNotice(now time.Time, x NoticeReceived) []teaselstream.Cmd {
	if x.Notice.VM {
		return s.applyVMNotice(now, x.Notice, x.From)
	}
	return s.applyServerNotice(now, x)
}

// sendHeartbeats sends one heartbeat to each neighbour.
func (s *Members) sendHeartbeats(now time.Time) []teaselstream.Cmd {
	s.sequence++
	s.recent = slices.DeleteFunc(s.recent, func(r recent) bool { return now.After(r.until) })
	h := s.ownHeartbeat()
	h.Notices = s.noticesWithAge(now)
	if s.stopping {
		h.Notices = append(h.Notices, s.selfNotice(wire.NoticeLeaving))
	}
	out := make([]teaselstream.Cmd, 0, len(s.heartbeatTargets))
	for _, t := range s.neighbours() {
		out = append(out, SendHeartbeat{To: t, Heartbeat: h})
	}
	return out
}

// pingDeadVM sends a heartbeat to one dead VM, so that the end of a network partition is detected.
func (s *Members) pingDeadVM() []teaselstream.Cmd {
	var dead []teaselstream.VMID
	for _, id := range s.vmNames {
		if s.vms[id].dead {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return []teaselstream.Cmd{SendHeartbeat{To: dead[s.config.Rand.IntN(len(dead))], Heartbeat: s.ownHeartbeat()}}
}

// noticesWithAge returns the recent notices with their ages at the time now.
func (s *Members) noticesWithAge(now time.Time) []wire.Notice {
	var out []wire.Notice
	for _, r := range s.recent {
		n := r.notice
		n.Age += teaselstream.Millis(now.Sub(r.seen).Milliseconds())
		out = append(out, n)
	}
	return out
}

// gossip sends a notice to all neighbours at once, except the one that it came from, and repeats it on the next heartbeats.
// It replaces an older notice about the same subject.
func (s *Members) gossip(now time.Time, n wire.Notice, from teaselstream.VMID) []teaselstream.Cmd {
	s.recent = slices.DeleteFunc(s.recent, func(r recent) bool {
		o := r.notice
		suspect := n.Kind == wire.NoticeSuspect
		return o.Subject == n.Subject && o.VM == n.VM && (o.Kind == wire.NoticeSuspect) == suspect && (!suspect || o.Source == n.Source)
	})
	s.recent = append(s.recent, recent{notice: n, seen: now, until: now.Add(noticeRepeatTime)})
	if len(s.recent) > maxRecentNotices {
		s.recent = s.recent[len(s.recent)-maxRecentNotices:]
	}
	var out []teaselstream.Cmd
	for _, t := range s.neighbours() {
		if t != from && string(t) != n.Subject {
			out = append(out, SendNotices{To: t, Notices: []wire.Notice{n}})
		}
	}
	return out
}

// syncWith sends all leaving and dead VMs and servers to a VM that may have missed the notices.
func (s *Members) syncWith(now time.Time, to teaselstream.VMID) []teaselstream.Cmd {
	var ns []wire.Notice
	since := func(t time.Time) teaselstream.Millis { return teaselstream.Millis(now.Sub(t).Milliseconds()) }
	for _, id := range s.vmNames {
		v := s.vms[id]
		if v.leaving && !v.dead {
			ns = append(ns, s.vmNotice(wire.NoticeLeaving, v))
		}
		if v.dead && id != to {
			ns = append(ns, s.vmNotice(wire.NoticeDead, v))
		}
	}
	for _, id := range sortedKeys(s.servers) {
		if v := s.servers[id]; v.leaving || v.dead {
			k, at := wire.NoticeDead, v.deadSince
			if v.leaving {
				k, at = wire.NoticeLeaving, v.leavingSince
			}
			ns = append(ns, wire.Notice{Kind: k, Subject: string(id), Source: s.config.VM, Incarnation: v.incarnation, Age: since(at)})
		}
	}
	if len(ns) == 0 {
		return nil
	}
	if len(ns) > maxSyncNotices {
		// A random window of the notices reaches all of them over time.
		at := s.config.Rand.IntN(len(ns) - maxSyncNotices + 1)
		ns = ns[at : at+maxSyncNotices]
	}
	return []teaselstream.Cmd{SendNotices{To: to, Notices: ns}}
}

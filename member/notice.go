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

func (s *Members) notice(now time.Time, x NoticeReceived) []teaselstream.Cmd {
	if x.Notice.VM {
		return s.vmEvidence(now, x.Notice, x.From)
	}
	return s.serverNotice(now, x)
}

// beat sends one heartbeat to each neighbour.
func (s *Members) beat(now time.Time) []teaselstream.Cmd {
	s.sequence++
	s.recent = slices.DeleteFunc(s.recent, func(r recent) bool { return now.After(r.until) })
	h := s.ownHeartbeat()
	h.Notices = s.aged(now)
	if s.stopping {
		h.Notices = append(h.Notices, s.aboutSelf(wire.NoticeLeaving))
	}
	out := make([]teaselstream.Cmd, 0, len(s.targets))
	for _, t := range s.neighbours() {
		out = append(out, SendHeartbeat{To: t, Heartbeat: h})
	}
	return out
}

// greetDead sends a heartbeat to one dead VM, which finds the end of a partition.
func (s *Members) greetDead() []teaselstream.Cmd {
	var dead []teaselstream.VMID
	for _, id := range s.order {
		if s.vms[id].dead {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return []teaselstream.Cmd{SendHeartbeat{To: dead[s.c.Rand.IntN(len(dead))], Heartbeat: s.ownHeartbeat()}}
}

func (s *Members) aged(now time.Time) []wire.Notice {
	var out []wire.Notice
	for _, r := range s.recent {
		n := r.notice
		n.Age += teaselstream.Millis(now.Sub(r.seen).Milliseconds())
		out = append(out, n)
	}
	return out
}

// forward sends a notice to all neighbours at once and repeats it on the next heartbeats.
func (s *Members) forward(now time.Time, n wire.Notice, from teaselstream.VMID) []teaselstream.Cmd {
	s.recent = slices.DeleteFunc(s.recent, func(r recent) bool {
		o := r.notice
		suspect := n.Kind == wire.NoticeSuspect
		return o.Subject == n.Subject && o.VM == n.VM && (o.Kind == wire.NoticeSuspect) == suspect && (!suspect || o.Source == n.Source)
	})
	s.recent = append(s.recent, recent{notice: n, seen: now, until: now.Add(repeatFor)})
	if len(s.recent) > recentLimit {
		s.recent = s.recent[len(s.recent)-recentLimit:]
	}
	var out []teaselstream.Cmd
	for _, t := range s.neighbours() {
		if t != from && string(t) != n.Subject {
			out = append(out, SendNotices{To: t, Notices: []wire.Notice{n}})
		}
	}
	return out
}

// sync sends what is not ordinary to a VM that may have missed it.
func (s *Members) sync(now time.Time, to teaselstream.VMID) []teaselstream.Cmd {
	var ns []wire.Notice
	since := func(t time.Time) teaselstream.Millis { return teaselstream.Millis(now.Sub(t).Milliseconds()) }
	for _, id := range s.order {
		v := s.vms[id]
		if v.leaving && !v.dead {
			ns = append(ns, s.aboutVM(wire.NoticeLeaving, v))
		}
		if v.dead && id != to {
			ns = append(ns, s.aboutVM(wire.NoticeDead, v))
		}
	}
	for _, id := range sortedKeys(s.servers) {
		if v := s.servers[id]; v.leaving || v.dead {
			k, at := wire.NoticeDead, v.deadSince
			if v.leaving {
				k, at = wire.NoticeLeaving, v.leavingSince
			}
			ns = append(ns, wire.Notice{Kind: k, Subject: string(id), Source: s.c.VM, Incarnation: v.incarnation, Age: since(at)})
		}
	}
	if len(ns) == 0 {
		return nil
	}
	if len(ns) > syncLimit {
		// A random window reaches all of them in turn.
		at := s.c.Rand.IntN(len(ns) - syncLimit + 1)
		ns = ns[at : at+syncLimit]
	}
	return []teaselstream.Cmd{SendNotices{To: to, Notices: ns}}
}

package member

import (
	"math"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

// forgetAfter is the time for which a dead VM is remembered and greeted, so that a healed partition is noticed.
// Regions are cut from each other for minutes.
const forgetAfter = 30 * time.Minute

type vm struct {
	name        teaselstream.VMID
	domain      teaselstream.DomainID
	address     string
	incarnation teaselstream.Incarnation
	// sequence is that of the newest heartbeat that is known of, and direct that of the newest one
	// received. Reports are ordered by it and not by their age: ages do not grow on the way, so an
	// old report that travels in circles would seem newer with each round.
	sequence teaselstream.Sequence
	direct   teaselstream.Sequence
	// known reports that there was evidence about this incarnation.
	known bool
	dead  bool
	// leaving is sticky for an incarnation.
	leaving   bool
	deadSince time.Time
	// heard is the time of the last word from the VM, direct or through a reply.
	heard     time.Time
	asked     time.Time
	monitored bool
}

// lastSequence is above that of any heartbeat; a VM that said goodbye cannot return in the same incarnation.
const lastSequence = math.MaxUint64

// heartbeat takes a VM's own word, which is the strongest evidence that it lives.
func (s *Members) heartbeat(now time.Time, h wire.Heartbeat) []teaselstream.Cmd {
	if h.VM == s.c.VM || h.VM == "" {
		return nil
	}
	v := s.vms[h.VM]
	if v != nil && (h.Incarnation < v.incarnation || h.Incarnation == v.incarnation && h.Sequence <= v.direct) {
		return nil
	}
	var out []teaselstream.Cmd
	if v == nil || v.dead || h.Incarnation > v.incarnation {
		out = s.vmEvidence(now, wire.Notice{
			Kind: wire.NoticeAlive, VM: true, Subject: string(h.VM), Source: s.c.VM,
			Incarnation: h.Incarnation, Sequence: h.Sequence, Domain: h.Domain, Address: h.Address,
		}, "")
		if v = s.vms[h.VM]; v == nil || v.dead {
			return out
		}
		out = append(out, s.sync(now, h.VM)...)
	}
	v.direct, v.heard = h.Sequence, now
	v.sequence = max(v.sequence, h.Sequence)
	v.domain, v.address = h.Domain, h.Address
	for _, n := range h.Notices {
		out = append(out, s.notice(now, NoticeReceived{From: h.VM, Notice: n})...)
	}
	return out
}

// found takes up a VM whose link was opened.
func (s *Members) found(now time.Time, x VMAuthenticated) []teaselstream.Cmd {
	if v := s.vms[x.VM]; v != nil && v.incarnation >= x.Incarnation {
		return nil
	}
	return s.vmEvidence(now, wire.Notice{
		Kind: wire.NoticeAlive, VM: true, Subject: string(x.VM), Source: s.c.VM,
		Incarnation: x.Incarnation, Domain: x.Domain, Address: x.Address,
	}, "")
}

// vmEvidence applies evidence about a VM and forwards it if the state changed.
func (s *Members) vmEvidence(now time.Time, n wire.Notice, from teaselstream.VMID) []teaselstream.Cmd {
	id := teaselstream.VMID(n.Subject)
	if id == s.c.VM {
		return s.refute(now, n)
	}
	v := s.vms[id]
	if v == nil {
		// Nothing can be done with a VM that is unknown and gone, or whose domain is unknown.
		if n.Kind == wire.NoticeDead || n.Domain == "" {
			return nil
		}
		v = &vm{name: id, dead: true}
		s.add(v)
	}
	if n.Incarnation < v.incarnation {
		return nil
	}
	if n.Incarnation > v.incarnation {
		*v = vm{name: id, domain: v.domain, address: v.address, incarnation: n.Incarnation, dead: true, deadSince: now, monitored: v.monitored}
		s.stale = true
	}
	if n.Domain != "" {
		v.domain = n.Domain
	}
	// The address is unknown to the receiving end of a link until the first heartbeat.
	if n.Address != "" {
		v.address = n.Address
	}
	if !v.apply(now, n) {
		if n.Kind == wire.NoticeDead && !v.dead && from != "" {
			// The sender has missed that the VM lives.
			return []teaselstream.Cmd{SendNotices{To: from, Notices: []wire.Notice{s.aboutVM(wire.NoticeAlive, v)}}}
		}
		return nil
	}
	s.stale = true
	return append(s.forward(now, n, from), PeersChanged{})
}

// apply changes the state if the evidence is newer, and reports whether it did.
func (v *vm) apply(now time.Time, n wire.Notice) bool {
	switch n.Kind {
	case wire.NoticeLeaving:
		// A VM that leaves lives, unless its death is known.
		changed := !v.leaving
		if !v.known {
			v.known, v.dead, v.heard, v.sequence = true, false, now, n.Sequence
		}
		v.leaving = true
		return changed
	case wire.NoticeAlive:
		if v.known && n.Sequence <= v.sequence {
			return false
		}
		changed := v.dead
		v.known, v.sequence = true, n.Sequence
		if changed {
			v.dead, v.heard = false, now
		}
		return changed
	case wire.NoticeDead:
		if v.dead || n.Sequence < v.sequence {
			return false
		}
		v.known, v.dead, v.deadSince, v.sequence = true, true, now, n.Sequence
		return true
	}
	return false
}

func (s *Members) add(v *vm) {
	s.vms[v.name] = v
	at, _ := slices.BinarySearch(s.order, v.name)
	s.order = slices.Insert(s.order, at, v.name)
}

func (s *Members) aboutVM(k wire.NoticeKind, v *vm) wire.Notice {
	return wire.Notice{
		Kind: k, VM: true, Subject: string(v.name), Source: s.c.VM, Incarnation: v.incarnation,
		Sequence: v.sequence, Domain: v.domain, Address: v.address,
	}
}

// refute answers a report that this VM is dead with a newer word of its own.
func (s *Members) refute(now time.Time, n wire.Notice) []teaselstream.Cmd {
	if n.Kind != wire.NoticeDead || n.Incarnation != s.c.Incarnation {
		return nil
	}
	s.sequence++
	return s.forward(now, s.aboutSelf(wire.NoticeAlive), "")
}

// neighbours returns the VMs to which this VM sends heartbeats.
func (s *Members) neighbours() []teaselstream.VMID {
	if s.targets == nil {
		s.rebuild()
	}
	return s.targets
}

// rebuild computes the neighbours and marks the VMs from which this one expects heartbeats. It runs
// at most once a tick: when a fleet of 360 VMs starts, each learns of each other one by one.
func (s *Members) rebuild() {
	if !s.stale {
		return
	}
	s.stale = false
	peers := append(s.Peers(), teaselstream.PeerView{VM: s.c.VM, Domain: s.c.Domain, Alive: true})
	peers = slices.DeleteFunc(peers, func(p teaselstream.PeerView) bool { return !p.Alive })
	r := newRing(peers)
	s.targets = r.targets(s.c.VM, s.c.Domain)
	for _, v := range s.vms {
		was := v.monitored
		v.monitored = !v.dead && slices.Contains(r.targets(v.name, v.domain), s.c.VM)
		if v.monitored && !was {
			v.heard = s.lastTick
		}
	}
}

// checkVMs asks about silent VMs and declares them dead.
func (s *Members) checkVMs(now time.Time) []teaselstream.Cmd {
	s.rebuild()
	var out []teaselstream.Cmd
	for _, id := range slices.Clone(s.order) {
		v := s.vms[id]
		silence := now.Sub(v.heard)
		switch {
		case v.dead:
			if now.Sub(v.deadSince) > forgetAfter {
				delete(s.vms, id)
				s.order = slices.DeleteFunc(s.order, func(o teaselstream.VMID) bool { return o == id })
			}
		case !v.monitored:
		case silence >= deadAfter:
			out = append(out, s.vmEvidence(now, s.aboutVM(wire.NoticeDead, v), "")...)
		case silence >= suspectAfter && now.Sub(v.asked) >= askPeriod:
			v.asked = now
			out = append(out, s.ask(v)...)
		}
	}
	return out
}

// ask questions two other VMs that expect heartbeats from the silent one.
func (s *Members) ask(v *vm) []teaselstream.Cmd {
	var out []teaselstream.Cmd
	r := newRing(append(s.livePeers(), teaselstream.PeerView{VM: s.c.VM, Domain: s.c.Domain, Alive: true}))
	for _, t := range r.targets(v.name, v.domain) {
		if t != s.c.VM && len(out) < 2 {
			out = append(out, SendQuestion{To: t, Question: wire.Question{Subject: v.name}})
		}
	}
	return out
}

func (s *Members) question(now time.Time, x QuestionReceived) []teaselstream.Cmd {
	r := wire.Reply{Subject: x.Question.Subject}
	if v := s.vms[x.Question.Subject]; v != nil && v.direct > 0 {
		r.Heard, r.Age = true, teaselstream.Millis(now.Sub(v.heard).Milliseconds())
	}
	return []teaselstream.Cmd{SendReply{To: x.From, Reply: r}}
}

func (s *Members) reply(now time.Time, x ReplyReceived) []teaselstream.Cmd {
	v := s.vms[x.Reply.Subject]
	at := now.Add(-time.Duration(x.Reply.Age) * time.Millisecond)
	if v != nil && x.Reply.Heard && at.After(v.heard) {
		v.heard = at
	}
	return nil
}

// Peers returns the other VMs in order of their names; Alive excludes dead ones.
func (s *Members) Peers() []teaselstream.PeerView {
	out := make([]teaselstream.PeerView, 0, len(s.vms))
	for _, id := range s.order {
		v := s.vms[id]
		out = append(out, teaselstream.PeerView{VM: id, Domain: v.domain, Address: v.address, Alive: !v.dead})
	}
	return out
}

func (s *Members) livePeers() []teaselstream.PeerView {
	return slices.DeleteFunc(s.Peers(), func(p teaselstream.PeerView) bool { return !p.Alive })
}

// ActiveVMs returns the live VMs that are not about to stop. This VM is always included: it
// follows the documents by itself until it exits, even if all VMs of its domain stop at once.
func (s *Members) ActiveVMs() []teaselstream.PeerView {
	out := []teaselstream.PeerView{{VM: s.c.VM, Domain: s.c.Domain, Alive: true}}
	for _, p := range s.livePeers() {
		if !s.vms[p.VM].leaving {
			out = append(out, p)
		}
	}
	return out
}

// Address returns the address of a VM's peer listener, or "" if it is unknown.
func (s *Members) Address(id teaselstream.VMID) string {
	if v := s.vms[id]; v != nil {
		return v.address
	}
	return ""
}

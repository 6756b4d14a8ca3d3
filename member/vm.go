package member

import (
	"math"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

// deadVMRetention is the time for which a dead VM is kept and sent heartbeats, so that the end of a network
// partition is detected. Regions may be cut off from each other for minutes.
const deadVMRetention = 30 * time.Minute

// vm is another VM as this one knows it.
type vm struct {
	name        teaselstream.VMID
	domain      teaselstream.DomainID
	address     string
	incarnation teaselstream.Incarnation
	// sequence is that of the newest heartbeat that any report refers to, and heartbeatSequence that of the
	// newest heartbeat received. Reports are ordered by sequence and not by age: ages do not grow in
	// transit, so an old report that circulates among the VMs would seem newer with each round.
	sequence          teaselstream.Sequence
	heartbeatSequence teaselstream.Sequence
	// hasEvidence reports that there has been evidence about this incarnation.
	hasEvidence bool
	dead        bool
	// leaving stays set until a new incarnation.
	leaving   bool
	deadSince time.Time
	// lastHeard is the time of the last contact with the VM, by its own heartbeat or by a peer's reply.
	lastHeard time.Time
	lastAsked time.Time
	// monitored reports that this VM expects heartbeats from the other.
	monitored bool
}

// maxSequence exceeds that of any heartbeat, so that a VM that has stopped as planned cannot return in the same incarnation.
const maxSequence = math.MaxUint64

// applyHeartbeat applies a heartbeat, which is the strongest evidence that its sender lives.
func (s *Members) applyHeartbeat(now time.Time, h wire.Heartbeat) []teaselstream.Cmd {
	if h.VM == s.config.VM || h.VM == "" {
		return nil
	}
	v := s.vms[h.VM]
	if v != nil && (h.Incarnation < v.incarnation || h.Incarnation == v.incarnation && h.Sequence <= v.heartbeatSequence) {
		return nil
	}
	var out []teaselstream.Cmd
	if v == nil || v.dead || h.Incarnation > v.incarnation {
		out = s.applyVMNotice(now, wire.Notice{
			Kind: wire.NoticeAlive, VM: true, Subject: string(h.VM), Source: s.config.VM,
			Incarnation: h.Incarnation, Sequence: h.Sequence, Domain: h.Domain, Address: h.Address,
		}, "")
		if v = s.vms[h.VM]; v == nil || v.dead {
			return out
		}
		out = append(out, s.syncWith(now, h.VM)...)
	}
	v.heartbeatSequence, v.lastHeard = h.Sequence, now
	v.sequence = max(v.sequence, h.Sequence)
	v.domain, v.address = h.Domain, h.Address
	for _, n := range h.Notices {
		out = append(out, s.applyNotice(now, NoticeReceived{From: h.VM, Notice: n})...)
	}
	return out
}

// vmAuthenticated adds a VM that has opened a link, or its new incarnation.
func (s *Members) vmAuthenticated(now time.Time, x VMAuthenticated) []teaselstream.Cmd {
	if v := s.vms[x.VM]; v != nil && v.incarnation >= x.Incarnation {
		return nil
	}
	return s.applyVMNotice(now, wire.Notice{
		Kind: wire.NoticeAlive, VM: true, Subject: string(x.VM), Source: s.config.VM,
		Incarnation: x.Incarnation, Domain: x.Domain, Address: x.Address,
	}, "")
}

// applyVMNotice applies evidence about a VM, and gossips it if the VM's state changed.
func (s *Members) applyVMNotice(now time.Time, n wire.Notice, from teaselstream.VMID) []teaselstream.Cmd {
	id := teaselstream.VMID(n.Subject)
	if id == s.config.VM {
		return s.refute(now, n)
	}
	v := s.vms[id]
	if v == nil {
		// An unknown VM that is dead or whose failure domain is unknown is not tracked.
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
		s.ringStale = true
	}
	if n.Domain != "" {
		v.domain = n.Domain
	}
	// The accepting end of a link does not know the address until the first heartbeat.
	if n.Address != "" {
		v.address = n.Address
	}
	if !v.apply(now, n) {
		if n.Kind == wire.NoticeDead && !v.dead && from != "" {
			// The sender has missed newer evidence that the VM lives.
			return []teaselstream.Cmd{SendNotices{To: from, Notices: []wire.Notice{s.vmNotice(wire.NoticeAlive, v)}}}
		}
		return nil
	}
	s.ringStale = true
	return append(s.gossip(now, n, from), PeersChanged{})
}

// apply changes the state if the evidence is newer, and reports whether it did.
func (v *vm) apply(now time.Time, n wire.Notice) bool {
	switch n.Kind {
	case wire.NoticeLeaving:
		// A leaving VM counts as live unless it is known to be dead.
		changed := !v.leaving
		if !v.hasEvidence {
			v.hasEvidence, v.dead, v.lastHeard, v.sequence = true, false, now, n.Sequence
		}
		v.leaving = true
		return changed
	case wire.NoticeAlive:
		if v.hasEvidence && n.Sequence <= v.sequence {
			return false
		}
		changed := v.dead
		v.hasEvidence, v.sequence = true, n.Sequence
		if changed {
			v.dead, v.lastHeard = false, now
		}
		return changed
	case wire.NoticeDead:
		if v.dead || n.Sequence < v.sequence {
			return false
		}
		v.hasEvidence, v.dead, v.deadSince, v.sequence = true, true, now, n.Sequence
		return true
	}
	return false
}

func (s *Members) add(v *vm) {
	s.vms[v.name] = v
	at, _ := slices.BinarySearch(s.vmNames, v.name)
	s.vmNames = slices.Insert(s.vmNames, at, v.name)
}

func (s *Members) vmNotice(k wire.NoticeKind, v *vm) wire.Notice {
	return wire.Notice{
		Kind: k, VM: true, Subject: string(v.name), Source: s.config.VM, Incarnation: v.incarnation,
		Sequence: v.sequence, Domain: v.domain, Address: v.address,
	}
}

// refute answers a report that this VM is dead with a notice that has a newer sequence.
func (s *Members) refute(now time.Time, n wire.Notice) []teaselstream.Cmd {
	if n.Kind != wire.NoticeDead || n.Incarnation != s.config.Incarnation {
		return nil
	}
	s.sequence++
	return s.gossip(now, s.selfNotice(wire.NoticeAlive), "")
}

// neighbours returns the VMs to which this VM sends heartbeats.
func (s *Members) neighbours() []teaselstream.VMID {
	if s.heartbeatTargets == nil {
		s.rebuild()
	}
	return s.heartbeatTargets
}

// rebuild computes the neighbours and marks the VMs from which this one expects heartbeats. It runs at most
// once a tick and not on each change: when 360 VMs start, each learns of the others one by one.
func (s *Members) rebuild() {
	if !s.ringStale {
		return
	}
	s.ringStale = false
	peers := append(s.Peers(), teaselstream.PeerView{VM: s.config.VM, Domain: s.config.Domain, Alive: true})
	peers = slices.DeleteFunc(peers, func(p teaselstream.PeerView) bool { return !p.Alive })
	r := newRing(peers)
	s.heartbeatTargets = r.heartbeatTargets(s.config.VM, s.config.Domain)
	for _, v := range s.vms {
		was := v.monitored
		v.monitored = !v.dead && slices.Contains(r.heartbeatTargets(v.name, v.domain), s.config.VM)
		if v.monitored && !was {
			v.lastHeard = s.lastTick
		}
	}
}

// checkVMs asks other VMs about a silent one, and declares it dead if the silence lasts.
func (s *Members) checkVMs(now time.Time) []teaselstream.Cmd {
	s.rebuild()
	var out []teaselstream.Cmd
	for _, id := range slices.Clone(s.vmNames) {
		v := s.vms[id]
		silence := now.Sub(v.lastHeard)
		switch {
		case v.dead:
			if now.Sub(v.deadSince) > deadVMRetention {
				delete(s.vms, id)
				s.vmNames = slices.DeleteFunc(s.vmNames, func(o teaselstream.VMID) bool { return o == id })
			}
		case !v.monitored:
		case silence >= vmDeadAfter:
			out = append(out, s.applyVMNotice(now, s.vmNotice(wire.NoticeDead, v), "")...)
		case silence >= vmSuspectAfter && now.Sub(v.lastAsked) >= questionPeriod:
			v.lastAsked = now
			out = append(out, s.askAbout(v)...)
		}
	}
	return out
}

// askAbout asks two other VMs that expect heartbeats from the silent one.
func (s *Members) askAbout(v *vm) []teaselstream.Cmd {
	var out []teaselstream.Cmd
	r := newRing(append(s.livePeers(), teaselstream.PeerView{VM: s.config.VM, Domain: s.config.Domain, Alive: true}))
	for _, t := range r.heartbeatTargets(v.name, v.domain) {
		if t != s.config.VM && len(out) < 2 {
			out = append(out, SendQuestion{To: t, Question: wire.Question{Subject: v.name}})
		}
	}
	return out
}

func (s *Members) answerQuestion(now time.Time, x QuestionReceived) []teaselstream.Cmd {
	r := wire.Reply{Subject: x.Question.Subject}
	if v := s.vms[x.Question.Subject]; v != nil && v.heartbeatSequence > 0 {
		r.Heard, r.Age = true, teaselstream.Millis(now.Sub(v.lastHeard).Milliseconds())
	}
	return []teaselstream.Cmd{SendReply{To: x.From, Reply: r}}
}

func (s *Members) applyReply(now time.Time, x ReplyReceived) []teaselstream.Cmd {
	v := s.vms[x.Reply.Subject]
	at := now.Add(-time.Duration(x.Reply.Age) * time.Millisecond)
	if v != nil && x.Reply.Heard && at.After(v.lastHeard) {
		v.lastHeard = at
	}
	return nil
}

// Peers returns the other VMs, sorted by name; Alive is false for dead ones.
func (s *Members) Peers() []teaselstream.PeerView {
	out := make([]teaselstream.PeerView, 0, len(s.vms))
	for _, id := range s.vmNames {
		v := s.vms[id]
		out = append(out, teaselstream.PeerView{VM: id, Domain: v.domain, Address: v.address, Alive: !v.dead, Leaving: v.leaving})
	}
	return out
}

func (s *Members) livePeers() []teaselstream.PeerView {
	return slices.DeleteFunc(s.Peers(), func(p teaselstream.PeerView) bool { return !p.Alive })
}

// ActiveVMs returns the live VMs that are not leaving. This VM is always included, because it must keep
// following the documents until it exits, even if all VMs of its failure domain stop at the same time.
func (s *Members) ActiveVMs() []teaselstream.PeerView {
	out := []teaselstream.PeerView{{VM: s.config.VM, Domain: s.config.Domain, Alive: true}}
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

package blame

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Tracker is the state machine that tracks fingerprints and permits on one VM; the zero value is ready to use.
	Tracker struct {
		self     teaselstream.VMID
		live     []teaselstream.VMID
		records  map[Fingerprint]*record
		requests map[teaselstream.RequestID]*activeRequest
		domains  map[teaselstream.DomainID]*domainLosses
		// granted holds the permits that this VM has granted as the owner of their subjects.
		granted map[Subject]permit
		// crashed holds when this VM last heard that a server crashed.
		crashed map[teaselstream.ServerID]time.Time
	}

	// activeRequest is a request of this VM.
	activeRequest struct {
		fingerprint Fingerprint
		// alone says that the request runs with all its permits.
		alone bool
		// pending holds the subjects whose owner has not answered, held those whose permit was granted, with the VM that did.
		pending map[Subject]bool
		held    map[Subject]teaselstream.VMID
		// busy lists the servers whose permit was denied.
		busy   []teaselstream.ServerID
		denied bool
		// until is the time at which missing answers count as denials.
		until time.Time
	}
)

var _ teaselstream.Core = (*Tracker)(nil)

// Update applies one message and returns commands for the requests of this VM and for other VMs.
func (l *Tracker) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch m := m.(type) {
	case CheckStart:
		return l.checkStart(now, m)
	case Lost:
		return l.lost(now, m)
	case Progress:
		return l.progressed(now, m)
	case Completed:
		return l.completed(now, m)
	case Ended:
		return l.end(m.Request)
	case Suspicion:
		l.recordLoss(now, m)
	case Verdict:
		l.verdict(now, m)
	case AskPermit:
		return l.handleAskPermit(now, m)
	case AnswerPermit:
		return l.handleAnswerPermit(now, m)
	case ReleasePermit:
		l.removePermit(m.Subject, m.From, m.Request)
	case Peers:
		return l.setPeers(m)
	case Tick:
		return l.tick(now)
	}
	return nil
}

// setPeers sets the live VMs and returns what new ones have to know: a VM that starts, or that was cut off, has missed earlier
// suspicions and verdicts, and would let a content crash two more servers. Of the VMs that knew each other before, one tells
// them about each fingerprint.
func (l *Tracker) setPeers(m Peers) []teaselstream.Cmd {
	known := l.live
	l.self, l.live = m.Self, m.Live
	var cmds []teaselstream.Cmd
	for _, vm := range m.Live {
		if vm == m.Self || slices.Contains(known, vm) {
			continue
		}
		for _, f := range slices.Sorted(maps.Keys(l.records)) {
			if ownerOf(fingerprintPrefix+Subject(f), known) == l.self {
				cmds = append(cmds, l.recordFor(vm, f)...)
			}
		}
	}
	return cmds
}

// recordFor returns the messages that tell one VM what is known about a fingerprint.
func (l *Tracker) recordFor(vm teaselstream.VMID, f Fingerprint) []teaselstream.Cmd {
	r := l.records[f]
	if r.crashes {
		return []teaselstream.Cmd{Verdict{To: vm, Fingerprint: f, Crashes: true, Losses: l.crashes(f)}}
	}
	var cmds []teaselstream.Cmd
	for _, x := range r.losses {
		cmds = append(cmds, Suspicion{To: vm, Fingerprint: f, Server: x.Server, Incarnation: x.Incarnation, Domain: x.domain, Tokens: x.tokens, Alone: x.alone})
	}
	return cmds
}

// Suspected reports whether a fingerprint is under suspicion or refused.
func (l *Tracker) Suspected(f Fingerprint) bool {
	r := l.records[f]
	return r != nil && (r.crashes || len(r.losses) > 0)
}

// record returns the record of a fingerprint; a new one replaces the oldest if there are too many.
func (l *Tracker) record(f Fingerprint) *record {
	if l.records == nil {
		l.records = map[Fingerprint]*record{}
	}
	r := l.records[f]
	if r == nil {
		if len(l.records) >= maxRecords {
			l.dropOldest()
		}
		r = &record{}
		l.records[f] = r
	}
	return r
}

func (l *Tracker) dropOldest() {
	var oldest Fingerprint
	for f, r := range l.records {
		o := l.records[oldest]
		if o == nil || r.changed.Before(o.changed) || r.changed.Equal(o.changed) && f < oldest {
			oldest = f
		}
	}
	delete(l.records, oldest)
}

// lost records that a server was lost while a request ran on it, unless the loss was planned, and returns the request's
// permits.
func (l *Tracker) lost(now time.Time, m Lost) []teaselstream.Cmd {
	r := l.requests[m.Request]
	if r == nil {
		return nil
	}
	if m.Planned {
		return l.releasePermits(m.Request)
	}
	s := Suspicion{
		Fingerprint: r.fingerprint, Server: m.Server, Incarnation: m.Incarnation,
		Domain: m.Domain, Tokens: m.Tokens, Alone: r.alone && r.holds(serverPrefix+Subject(m.Server)),
	}
	var cmds []teaselstream.Cmd
	if l.recordLoss(now, s) {
		cmds = append(cmds, s)
	}
	return append(cmds, l.releasePermits(m.Request)...)
}

// recordLoss records a loss under its fingerprint. If enough losses in the domain show a common cause, it instead clears
// all fingerprints of these losses. It reports whether to tell the other VMs; most losses after a common cause are not
// sent, because a failed domain would otherwise cause a message for each of its streams.
func (l *Tracker) recordLoss(now time.Time, s Suspicion) bool {
	c := Crash{Server: s.Server, Incarnation: s.Incarnation}
	if l.crashed == nil {
		l.crashed = map[teaselstream.ServerID]time.Time{}
	}
	l.crashed[s.Server] = now
	found, common := l.domain(s.Domain).add(now, c)
	if !common {
		l.record(s.Fingerprint).add(now, loss{Crash: c, domain: s.Domain, tokens: s.Tokens, alone: s.Alone})
		return true
	}
	if len(found) > 0 {
		l.clearLosses(found)
	}
	return len(found) > 0
}

// clearLosses removes losses whose cause is known from all records.
func (l *Tracker) clearLosses(crashes []Crash) {
	for _, r := range l.records {
		r.clearLosses(crashes)
	}
}

// verdict applies a verdict of this VM or another one.
func (l *Tracker) verdict(now time.Time, v Verdict) {
	r := l.record(v.Fingerprint)
	r.changed = now
	if !v.Crashes {
		r.clearLosses(v.Losses)
		return
	}
	r.crashes = true
	l.clearLosses(v.Losses)
}

// crashes returns the losses that a fingerprint is suspected of.
func (l *Tracker) crashes(f Fingerprint) []Crash {
	var c []Crash
	for _, x := range l.record(f).losses {
		c = append(c, x.Crash)
	}
	return c
}

// progressed clears a fingerprint once its request has passed the points of all losses.
func (l *Tracker) progressed(now time.Time, m Progress) []teaselstream.Cmd {
	r := l.requests[m.Request]
	if r == nil || !r.alone || !l.record(r.fingerprint).cleared(m.Tokens) {
		return nil
	}
	return l.clear(now, m.Request, r)
}

// clear ends the suspicion of a fingerprint on all VMs.
func (l *Tracker) clear(now time.Time, id teaselstream.RequestID, r *activeRequest) []teaselstream.Cmd {
	v := Verdict{Fingerprint: r.fingerprint, Losses: l.crashes(r.fingerprint)}
	l.verdict(now, v)
	return append([]teaselstream.Cmd{v}, l.releasePermits(id)...)
}

func (l *Tracker) completed(now time.Time, m Completed) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	if r := l.requests[m.Request]; r != nil && r.alone {
		cmds = l.clear(now, m.Request, r)
	}
	return append(cmds, l.end(m.Request)...)
}

// end returns the permits of a request and forgets it.
func (l *Tracker) end(id teaselstream.RequestID) []teaselstream.Cmd {
	cmds := l.releasePermits(id)
	delete(l.requests, id)
	return cmds
}

// issueVerdicts issues the verdicts whose waiting times are over, and clears other fingerprints of the same losses.
func (l *Tracker) issueVerdicts(now time.Time) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, f := range slices.Sorted(maps.Keys(l.records)) {
		r := l.records[f]
		if r.crashes || !r.pastCommonCauseWindow(now) || l.contested(f, r) && !r.contestExpired(now) {
			continue
		}
		v := Verdict{Fingerprint: f, Crashes: true, Losses: l.crashes(f)}
		l.verdict(now, v)
		cmds = append(cmds, v)
	}
	return cmds
}

// contested reports whether another fingerprint is under suspicion for a loss that happened while f ran alone.
// That other content may have caused the loss; its own next run shows whether it did.
func (l *Tracker) contested(f Fingerprint, r *record) bool {
	for o, x := range l.records {
		if o == f || x.crashes {
			continue
		}
		for _, a := range x.losses {
			if slices.ContainsFunc(r.losses, func(b loss) bool { return b.alone && a.Crash == b.Crash }) {
				return true
			}
		}
	}
	return false
}

func (l *Tracker) tick(now time.Time) []teaselstream.Cmd {
	cmds := l.issueVerdicts(now)
	maps.DeleteFunc(l.records, func(_ Fingerprint, r *record) bool { return r.expired(now) })
	maps.DeleteFunc(l.crashed, func(_ teaselstream.ServerID, at time.Time) bool { return now.Sub(at) > crashPause })
	maps.DeleteFunc(l.granted, func(_ Subject, p permit) bool { return now.After(p.until) })
	for _, id := range slices.Sorted(maps.Keys(l.requests)) {
		if r := l.requests[id]; len(r.pending) > 0 && now.After(r.until) {
			r.denied = true
			clear(r.pending)
			cmds = append(cmds, l.startOrWait(now, id, r)...)
		}
	}
	return cmds
}

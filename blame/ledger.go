package blame

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Tracker is the core that tracks fingerprints and permits on one VM; the zero value works.
	Tracker struct {
		self     teaselstream.VMID
		live     []teaselstream.VMID
		records  map[Fingerprint]*record
		requests map[teaselstream.RequestID]*run
		domains  map[teaselstream.DomainID]*domainLosses
		granted  map[Subject]permit
	}

	// run is one of this VM's requests.
	run struct {
		fingerprint Fingerprint
		alone       bool
		// asked holds the subjects for which an answer is missing, held those whose permit was granted.
		asked map[Subject]bool
		held  map[Subject]bool
		// busy lists servers whose permit was denied.
		busy   []teaselstream.ServerID
		denied bool
		// until is the time at which missing answers count as denied.
		until time.Time
	}
)

var _ teaselstream.Core = (*Tracker)(nil)

// Update applies one message and returns commands for own requests and for other VMs.
func (l *Tracker) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch m := m.(type) {
	case CheckStart:
		return l.mayRun(now, m)
	case Lost:
		return l.lost(now, m)
	case Progress:
		return l.progressed(now, m)
	case Completed:
		return l.completed(now, m)
	case Ended:
		return l.end(m.Request)
	case Suspicion:
		l.suspect(now, m)
	case Verdict:
		l.verdict(now, m)
	case AskPermit:
		return l.asked(now, m)
	case AnswerPermit:
		return l.answered(now, m)
	case ReleasePermit:
		l.released(m.Subject, m.From, m.Request)
	case Peers:
		l.self, l.live = m.Self, m.Live
	case Tick:
		return l.tick(now)
	}
	return nil
}

// Suspected reports whether a fingerprint is under suspicion or refused.
func (l *Tracker) Suspected(f Fingerprint) bool {
	r := l.records[f]
	return r != nil && (r.crashes || len(r.losses) > 0)
}

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

func (l *Tracker) lost(now time.Time, m Lost) []teaselstream.Cmd {
	r := l.requests[m.Request]
	if r == nil {
		return nil
	}
	if m.Planned {
		return l.release(m.Request)
	}
	s := Suspicion{
		Fingerprint: r.fingerprint, Server: m.Server, Incarnation: m.Incarnation,
		Domain: m.Domain, Tokens: m.Tokens, Alone: r.alone && r.held[serverPrefix+Subject(m.Server)],
	}
	var cmds []teaselstream.Cmd
	if l.suspect(now, s) {
		cmds = append(cmds, s)
	}
	return append(cmds, l.release(m.Request)...)
}

// suspect notes a loss, or clears the suspects of all losses in the domain that are found to have a common cause.
// It reports whether other VMs need to know; a failed domain would cause a message for each stream on it.
func (l *Tracker) suspect(now time.Time, s Suspicion) bool {
	c := Crash{Server: s.Server, Incarnation: s.Incarnation}
	found, common := l.domain(s.Domain).add(now, c)
	if !common {
		l.record(s.Fingerprint).add(now, loss{Crash: c, tokens: s.Tokens, alone: s.Alone})
		return true
	}
	if len(found) > 0 {
		l.explain(found)
	}
	return len(found) > 0
}

// explain clears all suspects of losses whose cause is known.
func (l *Tracker) explain(crashes []Crash) {
	for _, r := range l.records {
		r.explain(crashes)
	}
}

func (l *Tracker) verdict(now time.Time, v Verdict) {
	r := l.record(v.Fingerprint)
	r.changed = now
	if !v.Crashes {
		r.explain(v.Losses)
		return
	}
	r.crashes = true
	l.explain(v.Losses)
}

// crashes returns the losses of which a fingerprint is suspected.
func (l *Tracker) crashes(f Fingerprint) []Crash {
	var c []Crash
	for _, x := range l.record(f).losses {
		c = append(c, x.Crash)
	}
	return c
}

func (l *Tracker) progressed(now time.Time, m Progress) []teaselstream.Cmd {
	r := l.requests[m.Request]
	if r == nil || !r.alone || !l.record(r.fingerprint).cleared(m.Tokens) {
		return nil
	}
	return l.clear(now, m.Request, r)
}

// clear ends the suspicion of a fingerprint and tells all VMs.
func (l *Tracker) clear(now time.Time, id teaselstream.RequestID, r *run) []teaselstream.Cmd {
	v := Verdict{Fingerprint: r.fingerprint, Losses: l.crashes(r.fingerprint)}
	l.verdict(now, v)
	return append([]teaselstream.Cmd{v}, l.release(id)...)
}

func (l *Tracker) completed(now time.Time, m Completed) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	if r := l.requests[m.Request]; r != nil && r.alone {
		cmds = l.clear(now, m.Request, r)
	}
	return append(cmds, l.end(m.Request)...)
}

func (l *Tracker) end(id teaselstream.RequestID) []teaselstream.Cmd {
	cmds := l.release(id)
	delete(l.requests, id)
	return cmds
}

// convict ends the wait for a common cause and clears those that shared servers with the convicted.
func (l *Tracker) convict(now time.Time) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, f := range slices.Sorted(maps.Keys(l.records)) {
		r := l.records[f]
		if r.crashes || !r.provable(now) || l.contested(f, r) && !r.overdue(now) {
			continue
		}
		v := Verdict{Fingerprint: f, Crashes: true, Losses: l.crashes(f)}
		l.verdict(now, v)
		cmds = append(cmds, v)
	}
	return cmds
}

// contested reports whether another fingerprint is under suspicion for a loss while f ran alone.
// It may be new content that crashed the server beside the suspect, and its own next run tells.
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
	cmds := l.convict(now)
	maps.DeleteFunc(l.records, func(_ Fingerprint, r *record) bool { return r.expired(now) })
	maps.DeleteFunc(l.granted, func(_ Subject, p permit) bool { return now.After(p.until) })
	for _, id := range slices.Sorted(maps.Keys(l.requests)) {
		if r := l.requests[id]; len(r.asked) > 0 && now.After(r.until) {
			r.denied = true
			clear(r.asked)
			cmds = append(cmds, l.settle(now, id, r)...)
		}
	}
	return cmds
}

package blame

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
)

// permit records which request holds the permit of a subject that this VM owns.
type permit struct {
	vm      teaselstream.VMID
	request teaselstream.RequestID
	until   time.Time
}

const (
	// permitTTL is the time after which the permit of a VM that stopped answering expires; a suspect is cleared or crashes a
	// server much sooner.
	permitTTL = time.Minute
	// permitAnswerTimeout is the time after which a missing answer counts as a denial.
	permitAnswerTimeout = time.Second
	// permitBackoff is the delay before a denied permit is requested again; a suspect holds its permits for about 0.4 s.
	// With 100 ms, twice as many requests that had crashed nothing were refused over eight runs.
	permitBackoff = 250 * time.Millisecond

	serverPrefix      = "server/"
	fingerprintPrefix = "fingerprint/"
)

// checkStart starts a request that is not under suspicion, and requests permits for one that is.
func (l *Tracker) checkStart(now time.Time, m CheckStart) []teaselstream.Cmd {
	if l.requests == nil {
		l.requests = map[teaselstream.RequestID]*activeRequest{}
	}
	r := l.requests[m.Request]
	if r == nil {
		r = &activeRequest{fingerprint: m.Fingerprint, pending: map[Subject]bool{}, held: map[Subject]teaselstream.VMID{}}
		l.requests[m.Request] = r
	}
	x := l.records[m.Fingerprint]
	if x != nil && x.crashes {
		return l.refuse(m.Request)
	}
	if x != nil && !x.verdictAt.IsZero() {
		return append(l.releasePermits(m.Request), Wait{Request: m.Request, RetryAfter: max(x.verdictAt.Sub(now), permitBackoff)})
	}
	if !l.Suspected(m.Fingerprint) {
		return []teaselstream.Cmd{Run{Request: m.Request}}
	}
	r.denied, r.busy, r.until = false, nil, now.Add(permitAnswerTimeout)
	clear(r.pending)
	subjects := []Subject{fingerprintPrefix + Subject(m.Fingerprint)}
	for _, s := range m.Servers {
		subjects = append(subjects, serverPrefix+Subject(s))
	}
	return l.requestPermits(now, m.Request, r, subjects)
}

func (l *Tracker) refuse(id teaselstream.RequestID) []teaselstream.Cmd {
	refusal := Refuse{Request: id, Code: teaselstream.CodeCrashesServers}
	return append([]teaselstream.Cmd{refusal}, l.end(id)...)
}

// requestPermits requests the permits that are not held yet from the owners of their subjects. This VM decides
// at once on those of subjects that it owns itself.
func (l *Tracker) requestPermits(now time.Time, id teaselstream.RequestID, r *activeRequest, subjects []Subject) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, s := range subjects {
		if r.holds(s) {
			continue
		}
		if name, ok := strings.CutPrefix(string(s), serverPrefix); ok && l.justCrashed(now, teaselstream.ServerID(name)) {
			r.recordAnswer(s, l.self, false)
			continue
		}
		if o := ownerOf(s, l.live); o != l.self {
			r.pending[s] = true
			cmds = append(cmds, AskPermit{From: l.self, To: o, Subject: s, Request: id})
			continue
		}
		r.recordAnswer(s, l.self, l.grant(now, s, l.self, id))
	}
	return append(cmds, l.startOrWait(now, id, r)...)
}

// justCrashed reports whether a server crashed within crashPause.
func (l *Tracker) justCrashed(now time.Time, id teaselstream.ServerID) bool {
	at, ok := l.crashed[id]
	return ok && now.Sub(at) < crashPause
}

// recordAnswer records the answer of a VM to the permit request for one subject.
func (r *activeRequest) recordAnswer(s Subject, from teaselstream.VMID, granted bool) {
	delete(r.pending, s)
	if granted {
		r.held[s] = from
		return
	}
	r.denied = true
	if name, ok := strings.CutPrefix(string(s), serverPrefix); ok {
		r.busy = append(r.busy, teaselstream.ServerID(name))
	}
}

// startOrWait starts the request once all answers are in, or returns all permits if one was denied.
// Two suspects that kept some permits while waiting for others could deadlock.
func (l *Tracker) startOrWait(now time.Time, id teaselstream.RequestID, r *activeRequest) []teaselstream.Cmd {
	if len(r.pending) > 0 {
		return nil
	}
	if x := l.records[r.fingerprint]; x != nil && x.crashes {
		return l.refuse(id)
	}
	if !r.denied {
		r.alone = true
		return []teaselstream.Cmd{Run{Request: id, Alone: true}}
	}
	w := Wait{Request: id, RetryAfter: permitBackoff, Busy: r.busy}
	return append(l.releasePermits(id), w)
}

// grant gives the permit of a subject to a request, unless another request holds it.
func (l *Tracker) grant(now time.Time, s Subject, vm teaselstream.VMID, id teaselstream.RequestID) bool {
	if l.granted == nil {
		l.granted = map[Subject]permit{}
	}
	p, ok := l.granted[s]
	if ok && !now.After(p.until) && (p.vm != vm || p.request != id) {
		return false
	}
	l.granted[s] = permit{vm: vm, request: id, until: now.Add(permitTTL)}
	return true
}

// holds reports whether the request has the permit of a subject.
func (r *activeRequest) holds(s Subject) bool {
	_, ok := r.held[s]
	return ok
}

func (l *Tracker) handleAskPermit(now time.Time, m AskPermit) []teaselstream.Cmd {
	granted := !l.refusesPermit(m.Subject) && l.grant(now, m.Subject, m.From, m.Request)
	return []teaselstream.Cmd{AnswerPermit{From: l.self, To: m.From, Subject: m.Subject, Request: m.Request, Granted: granted}}
}

// refusesPermit reports whether a subject is a fingerprint that crashes servers or awaits such a verdict.
// The VM that asks may not have received the second loss yet.
func (l *Tracker) refusesPermit(s Subject) bool {
	f, ok := strings.CutPrefix(string(s), fingerprintPrefix)
	r := l.records[Fingerprint(f)]
	return ok && r != nil && (r.crashes || !r.verdictAt.IsZero())
}

// handleAnswerPermit records the answer of another VM, and returns a permit that is no longer needed.
func (l *Tracker) handleAnswerPermit(now time.Time, m AnswerPermit) []teaselstream.Cmd {
	r := l.requests[m.Request]
	if r == nil || !r.pending[m.Subject] {
		if m.Granted {
			return []teaselstream.Cmd{ReleasePermit{From: l.self, To: m.From, Subject: m.Subject, Request: m.Request}}
		}
		return nil
	}
	r.recordAnswer(m.Subject, m.From, m.Granted)
	return l.startOrWait(now, m.Request, r)
}

// removePermit frees a permit that this VM granted, if the given request holds it.
func (l *Tracker) removePermit(s Subject, vm teaselstream.VMID, id teaselstream.RequestID) {
	if p := l.granted[s]; p.vm == vm && p.request == id {
		delete(l.granted, s)
	}
}

// releasePermits returns all permits that a request holds to the VMs that granted them, which may no longer own the subjects.
func (l *Tracker) releasePermits(id teaselstream.RequestID) []teaselstream.Cmd {
	r := l.requests[id]
	if r == nil {
		return nil
	}
	var cmds []teaselstream.Cmd
	for _, s := range slices.Sorted(maps.Keys(r.held)) {
		if o := r.held[s]; o != l.self {
			cmds = append(cmds, ReleasePermit{From: l.self, To: o, Subject: s, Request: id})
		} else {
			l.removePermit(s, l.self, id)
		}
	}
	clear(r.held)
	r.alone = false
	return cmds
}

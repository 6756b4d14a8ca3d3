package blame

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
)

// permit is a permit that this VM gave as the subject's owner.
type permit struct {
	vm      teaselstream.VMID
	request teaselstream.RequestID
	until   time.Time
}

const (
	// permitTime frees the permits of a VM that vanished; a suspect clears itself or crashes much sooner.
	permitTime = time.Minute
	// answerTime is the time after which a permit that is not answered counts as denied.
	answerTime = time.Second
	// permitBackoff is the wait before a denied permit is asked for again; a suspect holds its permits for about 0.4 s.
	// With 100 ms, twice as many innocent requests were refused over eight measured runs.
	permitBackoff = 250 * time.Millisecond

	serverPrefix = "server/"
	fingerPrefix = "fingerprint/"
)

func (l *Tracker) mayRun(now time.Time, m CheckStart) []teaselstream.Cmd {
	if l.requests == nil {
		l.requests = map[teaselstream.RequestID]*run{}
	}
	r := l.requests[m.Request]
	if r == nil {
		r = &run{fingerprint: m.Fingerprint, asked: map[Subject]bool{}, held: map[Subject]bool{}}
		l.requests[m.Request] = r
	}
	x := l.records[m.Fingerprint]
	if x != nil && x.crashes {
		return l.refuse(m.Request)
	}
	if x != nil && !x.convictAt.IsZero() {
		return append(l.release(m.Request), Wait{Request: m.Request, RetryAfter: max(x.convictAt.Sub(now), permitBackoff)})
	}
	if !l.Suspected(m.Fingerprint) {
		return []teaselstream.Cmd{Run{Request: m.Request}}
	}
	r.denied, r.busy, r.until = false, nil, now.Add(answerTime)
	clear(r.asked)
	subjects := []Subject{fingerPrefix + Subject(m.Fingerprint)}
	for _, s := range m.Servers {
		subjects = append(subjects, serverPrefix+Subject(s))
	}
	return l.ask(now, m.Request, r, subjects)
}

func (l *Tracker) refuse(id teaselstream.RequestID) []teaselstream.Cmd {
	refusal := Refuse{Request: id, Code: teaselstream.CodeCrashesServers}
	return append([]teaselstream.Cmd{refusal}, l.end(id)...)
}

func (l *Tracker) ask(now time.Time, id teaselstream.RequestID, r *run, subjects []Subject) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, s := range subjects {
		if r.held[s] {
			continue
		}
		if o := ownerOf(s, l.live); o != l.self {
			r.asked[s] = true
			cmds = append(cmds, AskPermit{From: l.self, To: o, Subject: s, Request: id})
			continue
		}
		r.take(s, l.grant(now, s, l.self, id))
	}
	return append(cmds, l.settle(now, id, r)...)
}

// take notes the answer for one subject.
func (r *run) take(s Subject, granted bool) {
	delete(r.asked, s)
	if granted {
		r.held[s] = true
		return
	}
	r.denied = true
	if name, ok := strings.CutPrefix(string(s), serverPrefix); ok {
		r.busy = append(r.busy, teaselstream.ServerID(name))
	}
}

// settle starts the request once all permits are held, or releases them if one was denied.
// Holding some while waiting for others could block two suspects against each other.
func (l *Tracker) settle(now time.Time, id teaselstream.RequestID, r *run) []teaselstream.Cmd {
	if len(r.asked) > 0 {
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
	return append(l.release(id), w)
}

func (l *Tracker) grant(now time.Time, s Subject, vm teaselstream.VMID, id teaselstream.RequestID) bool {
	if l.granted == nil {
		l.granted = map[Subject]permit{}
	}
	p, ok := l.granted[s]
	if ok && !now.After(p.until) && (p.vm != vm || p.request != id) {
		return false
	}
	l.granted[s] = permit{vm: vm, request: id, until: now.Add(permitTime)}
	return true
}

func (l *Tracker) asked(now time.Time, m AskPermit) []teaselstream.Cmd {
	granted := !l.refused(m.Subject) && l.grant(now, m.Subject, m.From, m.Request)
	return []teaselstream.Cmd{AnswerPermit{From: l.self, To: m.From, Subject: m.Subject, Request: m.Request, Granted: granted}}
}

// refused reports whether a subject is a fingerprint that crashes servers, or may soon be convicted.
// The asking VM may not know of the second loss yet.
func (l *Tracker) refused(s Subject) bool {
	f, ok := strings.CutPrefix(string(s), fingerPrefix)
	r := l.records[Fingerprint(f)]
	return ok && r != nil && (r.crashes || !r.convictAt.IsZero())
}

func (l *Tracker) answered(now time.Time, m AnswerPermit) []teaselstream.Cmd {
	r := l.requests[m.Request]
	if r == nil || !r.asked[m.Subject] {
		if m.Granted {
			return []teaselstream.Cmd{ReleasePermit{From: l.self, To: m.From, Subject: m.Subject, Request: m.Request}}
		}
		return nil
	}
	r.take(m.Subject, m.Granted)
	return l.settle(now, m.Request, r)
}

func (l *Tracker) released(s Subject, vm teaselstream.VMID, id teaselstream.RequestID) {
	if p := l.granted[s]; p.vm == vm && p.request == id {
		delete(l.granted, s)
	}
}

// release returns all permits that a request holds.
func (l *Tracker) release(id teaselstream.RequestID) []teaselstream.Cmd {
	r := l.requests[id]
	if r == nil {
		return nil
	}
	var cmds []teaselstream.Cmd
	for _, s := range slices.Sorted(maps.Keys(r.held)) {
		if o := ownerOf(s, l.live); o != l.self {
			cmds = append(cmds, ReleasePermit{From: l.self, To: o, Subject: s, Request: id})
		} else {
			l.released(s, l.self, id)
		}
	}
	clear(r.held)
	r.alone = false
	return cmds
}

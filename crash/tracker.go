package crash

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// minLosses is the number of servers that must end with a trait before it is refused. The platform counts from the third
	// crash for a request that returns unchanged; two servers often end at the same time for another reason.
	minLosses = 3
	// commonCauseWindow and commonCauseLosses tell servers that end for a common reason from those that end because of a
	// request: so many at once have lost power, or this VM the links to them. A cut link may refuse connections like an ended
	// server. All connections then break within some milliseconds, while requests that crash servers come one after the other.
	commonCauseWindow = 50 * time.Millisecond
	commonCauseLosses = 3
	// evidenceTTL is how long the loss of a server is remembered.
	evidenceTTL = 10 * time.Minute
	// signatureTTL is how long a signature is refused. A fixed server version answers such requests again.
	signatureTTL = time.Hour
	// publishInterval is the least time between two reports of this VM.
	publishInterval = 100 * time.Millisecond
	// reportTTL is how long an observation stays in the report; every VM reads changes within two seconds.
	reportTTL = 30 * time.Second
	// maxReported limits the suspicions and the clearances in a report, and maxLosses, maxSignatures and maxSound the memory: an entry of
	// soundAt takes some 110 bytes.
	maxReported   = 32
	maxLosses     = 256
	maxSignatures = 64
	maxSound      = 20_000
	// recordDelay is how long a signature must stand before the first VM in rank records it, and between two attempts. By then
	// all reports about the same losses have been read.
	recordDelay = 2 * time.Second
)

type (
	// Tracker is the state machine that combines the reports of all VMs; its zero value is ready to use.
	Tracker struct {
		self teaselstream.VMID
		vms  []teaselstream.VMID

		losses map[lossKey]*loss
		// soundAt holds when a server last answered a request with each trait.
		soundAt map[Trait]time.Time
		// dismissed holds the losses of which a trait was not suspected because it is sound, while others may suspect it.
		dismissed map[Trait]map[lossKey]bool
		// recent holds the losses of this VM that may still have a common cause.
		recent []ownSuspicion
		// own holds the suspicions of this VM's report, and cleared its clearances with the time since when they are in it; clearDue
		// holds when further ones are due.
		own       []ownSuspicion
		cleared   map[Trait]time.Time
		clearDue  map[Trait]time.Time
		unsent    bool
		sentAt    time.Time
		unjudged  bool
		cleanedAt time.Time

		// found holds the signatures that follow from the losses, with the time since when.
		found map[string]foundSignature
		// derived holds which of found and record this VM has derived from losses at some time.
		derived map[string]bool
		// record holds the signatures that the store keeps, and revoked those of them that a server has answered since.
		record  map[string]RecordedSignature
		revoked map[string]bool
		// recordAt is the place in the store's history at which the record was read.
		recordAt      teaselstream.Position
		recordTriedAt time.Time
		// restoredAt is when the record of an older copy was read, and incomplete means that it lacks signatures of record.
		restoredAt time.Time
		incomplete bool
		refused    map[string]Signature
		// trials holds the open trials by the key of their signature.
		trials map[string]*trial
	}

	lossKey struct {
		server      teaselstream.ServerID
		incarnation teaselstream.Incarnation
	}

	// loss is the end of a server with the requests that it had not answered.
	loss struct {
		at       time.Time
		requests map[teaselstream.AttemptID]suspect
	}

	suspect struct {
		traits []Trait
		begun  bool
	}

	ownSuspicion struct {
		Suspicion
		at time.Time
		// settled reports that it was decided whether to suspect the request.
		settled bool
	}

	foundSignature struct {
		Signature
		since   time.Time
		servers []teaselstream.ServerID
		// begun is the number of servers that had begun to answer such a request.
		begun int
	}
)

var _ teaselstream.Core = (*Tracker)(nil)

// Update applies one message and returns the commands that follow from it.
func (t *Tracker) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	if t.losses == nil {
		t.losses = make(map[lossKey]*loss)
		t.soundAt = make(map[Trait]time.Time)
		t.dismissed = make(map[Trait]map[lossKey]bool)
		t.cleared, t.clearDue = make(map[Trait]time.Time), make(map[Trait]time.Time)
		t.found, t.refused = make(map[string]foundSignature), make(map[string]Signature)
		t.record, t.revoked, t.derived = make(map[string]RecordedSignature), make(map[string]bool), make(map[string]bool)
		t.trials = make(map[string]*trial)
	}
	switch m := m.(type) {
	case Lost:
		t.lost(now, m)
	case Answered:
		t.answered(now, m)
	case ReportRead:
		t.readReport(now, m.Report)
	case RecordRead:
		t.readRecord(now, m)
	case Peers:
		t.self, t.vms = m.Self, m.VMs
	case teaselstream.Tick:
		t.expire(now)
	}
	t.settle(now)
	cmds := t.judge(now)
	cmds = append(cmds, t.publish(now)...)
	return append(cmds, t.writeRecord(now)...)
}

func (t *Tracker) lost(now time.Time, m Lost) {
	s := Suspicion{Request: m.Request, Server: m.Server, Incarnation: m.Incarnation, Traits: m.Traits, Begun: m.Begun}
	t.recent = append(t.recent, ownSuspicion{Suspicion: s, at: now})
}

// settle suspects the requests on the servers whose end is commonCauseWindow ago, unless so many servers ended with them that
// the cause lies elsewhere, for example in the network of this VM.
func (t *Tracker) settle(now time.Time) {
	for i := range t.recent {
		s := &t.recent[i]
		if s.settled || now.Sub(s.at) < commonCauseWindow {
			continue
		}
		s.settled = true
		if t.endedAround(s.at) >= commonCauseLosses {
			continue
		}
		own := *s
		if own.Traits = t.suspectTraits(s.at, s.Suspicion); len(own.Traits) == 0 {
			continue
		}
		t.add(s.at, own.Suspicion)
		t.own = dropSurplus(append(t.own, own))
		t.unsent = true
	}
	t.recent = slices.DeleteFunc(t.recent, func(s ownSuspicion) bool { return now.Sub(s.at) >= 2*commonCauseWindow })
}

// dropSurplus removes the oldest suspicion if there are more than a report holds, and first those of requests that only waited.
func dropSurplus(all []ownSuspicion) []ownSuspicion {
	if len(all) <= maxReported {
		return all
	}
	i := max(slices.IndexFunc(all, func(s ownSuspicion) bool { return !s.Begun }), 0)
	return slices.Delete(all, i, i+1)
}

// endedAround returns the number of servers that ended within commonCauseWindow of a time, by the requests of this VM.
func (t *Tracker) endedAround(at time.Time) int {
	servers := make(map[lossKey]bool)
	for _, s := range t.recent {
		if s.at.Sub(at).Abs() < commonCauseWindow {
			servers[lossKey{s.Server, s.Incarnation}] = true
		}
	}
	return len(servers)
}

// rank returns this VM's rank for a subject, from 0.
func (t *Tracker) rank(subject string) int {
	return max(slices.Index(teaselstream.RendezvousOrder(subject, t.vms), t.self), 0)
}

func (t *Tracker) add(lostAt time.Time, s Suspicion) {
	k := lossKey{s.Server, s.Incarnation}
	l := t.losses[k]
	if l == nil {
		t.makeRoom()
		l = &loss{at: lostAt, requests: make(map[teaselstream.AttemptID]suspect)}
		t.losses[k] = l
	}
	if _, ok := l.requests[s.Request]; ok {
		return
	}
	l.requests[s.Request] = suspect{s.Traits, s.Begun}
	t.unjudged = true
}

// makeRoom drops the oldest loss if there are too many.
func (t *Tracker) makeRoom() {
	if len(t.losses) < maxLosses {
		return
	}
	oldest := slices.MinFunc(slices.SortedFunc(maps.Keys(t.losses), compareLosses), func(a, b lossKey) int {
		return t.losses[a].at.Compare(t.losses[b].at)
	})
	delete(t.losses, oldest)
}

func (t *Tracker) readReport(now time.Time, r Report) {
	// The clocks of VMs differ by some seconds, so that only a long time since the writing counts.
	if old := now.Sub(time.Unix(r.WrittenAt, 0)); old > reportTTL {
		now = now.Add(-old)
	}
	for _, c := range r.Cleared {
		at := now.Add(-c.Age)
		if at.After(t.soundAt[c.Trait]) {
			t.soundAt[c.Trait] = at
		}
		t.clear(c.Trait, at)
		if t.soundAt[c.Trait].Sub(at) > soundWindow {
			// This VM's own answer clears what an older one does not.
			continue
		}
		delete(t.clearDue, c.Trait)
		delete(t.dismissed, c.Trait)
	}
	for _, s := range r.Suspicions {
		at := now.Add(-s.Age)
		if s.Traits = t.suspectTraits(at, s); len(s.Traits) > 0 {
			t.add(at, s)
		}
	}
}

// publish returns this VM's report if it has changed.
func (t *Tracker) publish(now time.Time) []teaselstream.Cmd {
	for x, due := range t.clearDue {
		if !now.Before(due) {
			t.cleared[x] = now
			delete(t.clearDue, x)
			delete(t.dismissed, x)
			t.unsent = true
		}
	}
	if !t.unsent || now.Sub(t.sentAt) < publishInterval {
		return nil
	}
	t.unsent, t.sentAt = false, now
	r := Report{WrittenAt: now.Unix()}
	for _, s := range t.own {
		s.Age = now.Sub(s.at)
		r.Suspicions = append(r.Suspicions, s.Suspicion)
	}
	traits := slices.SortedFunc(maps.Keys(t.cleared), func(a, b Trait) int { return t.cleared[b].Compare(t.cleared[a]) })
	for _, x := range traits[:min(len(traits), maxReported)] {
		if sound, ok := t.soundAt[x]; ok {
			r.Cleared = append(r.Cleared, Clearance{x, now.Sub(sound)})
		}
	}
	return []teaselstream.Cmd{PublishReport{r}}
}

// expire drops what is too old to matter.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.cleanedAt) < time.Second {
		return
	}
	t.cleanedAt = now
	for k, l := range t.losses {
		if now.Sub(l.at) > evidenceTTL {
			delete(t.losses, k)
			t.unjudged = true
		}
	}
	soundTTL := waitingSoundWindow
	if len(t.soundAt) > maxSound {
		soundTTL = reportTTL
	}
	maps.DeleteFunc(t.soundAt, func(_ Trait, at time.Time) bool { return now.Sub(at) > soundTTL })
	maps.DeleteFunc(t.cleared, func(_ Trait, at time.Time) bool { return now.Sub(at) > reportTTL })
	maps.DeleteFunc(t.dismissed, func(x Trait, _ map[lossKey]bool) bool { _, sound := t.soundAt[x]; return !sound })
	maps.DeleteFunc(t.clearDue, func(x Trait, _ time.Time) bool { _, sound := t.soundAt[x]; return !sound })
	t.own = slices.DeleteFunc(t.own, func(s ownSuspicion) bool { return now.Sub(s.at) > reportTTL })
	for key, s := range t.record {
		if now.Sub(time.Unix(s.FoundAt, 0)) > signatureTTL {
			delete(t.record, key)
			t.unjudged = true
		}
	}
	t.updateTrials(now)
}

package crash

import (
	"slices"
	"time"
)

const (
	// soundWindow is how long before the end of a server an answer still shows that a trait is sound. It covers the traits of
	// frequent requests, some of which are on every server at any time.
	soundWindow = 2 * time.Second
	// waitingSoundWindow is the same for a segment of a request that only waited on the server. Such a request is weak evidence, and callers
	// pause for seconds or minutes. It is as long as a loss is remembered.
	waitingSoundWindow = evidenceTTL
	// clearanceDelay, times a VM's rank for the trait, is how long a VM waits for the clearance of another VM before it reports
	// its own, so that a large fleet does not report each frequent trait hundreds of times.
	clearanceDelay = 200 * time.Millisecond
)

// soundTime returns how long before the end of a server an answer clears a trait of a request on that server.
func soundTime(x Trait, begun bool) time.Duration {
	if begun || x.isContent() {
		return soundWindow
	}
	return waitingSoundWindow
}

// suspectTraits returns the traits of a request that no server has answered shortly before its server ended or since.
func (t *Tracker) suspectTraits(lostAt time.Time, s Suspicion) []Trait {
	var out []Trait
	for _, x := range s.Traits {
		if sound, ok := t.soundAt[x]; ok && sound.After(lostAt.Add(-soundTime(x, s.Begun))) {
			t.dismiss(lostAt, x, lossKey{s.Server, s.Incarnation})
			continue
		}
		out = append(out, x)
	}
	return out
}

// dismiss notes that a trait is sound although it was on a server at its end. From the second loss on, other VMs are told.
func (t *Tracker) dismiss(lostAt time.Time, x Trait, k lossKey) {
	if t.dismissed[x] == nil {
		t.dismissed[x] = make(map[lossKey]bool)
	}
	t.dismissed[x][k] = true
	if _, due := t.clearDue[x]; !due && len(t.dismissed[x]) > 1 {
		since := t.soundAt[x]
		if lostAt.Sub(since) > soundWindow {
			// Many VMs may know such an old answer.
			since = lostAt
		}
		t.clearDue[x] = since.Add(clearanceDelay * time.Duration(t.rank(string(x))))
	}
}

// answered clears the traits of a request that a server has answered.
func (t *Tracker) answered(now time.Time, m Answered) {
	for _, x := range m.Traits {
		suspected := t.suspected(x)
		if x.isContent() && !suspected {
			// Contents differ from request to request, so that remembering all of them would be of no use.
			continue
		}
		t.soundAt[x] = now
		if suspected {
			t.clear(x, now)
			t.cleared[x] = now
			t.unsent = true
		}
	}
	for key, s := range t.record {
		if s.matches(m.Traits) {
			t.revoked[key] = true
			t.unjudged = true
		}
	}
}

func (t *Tracker) suspected(x Trait) bool {
	for _, l := range t.losses {
		for _, s := range l.requests {
			if slices.Contains(s.traits, x) {
				return true
			}
		}
	}
	return false
}

// clear removes a trait from the losses that its answer at the given time rules out as caused by it.
func (t *Tracker) clear(x Trait, soundAt time.Time) {
	for k, l := range t.losses {
		if l.at.After(soundAt.Add(soundTime(x, false))) {
			continue
		}
		for id, s := range l.requests {
			if !slices.Contains(s.traits, x) || l.at.After(soundAt.Add(soundTime(x, s.begun))) {
				continue
			}
			s.traits = slices.DeleteFunc(slices.Clone(s.traits), func(y Trait) bool { return y == x })
			l.requests[id] = s
			t.unjudged = true
			if len(s.traits) == 0 {
				delete(l.requests, id)
			}
		}
		if len(l.requests) == 0 {
			delete(t.losses, k)
		}
	}
}

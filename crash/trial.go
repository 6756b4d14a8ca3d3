package crash

import (
	"slices"
	"sync/atomic"
	"time"
)

// trialWindow is how long a trial is open. Callers pause for seconds or minutes.
const trialWindow = 5 * time.Minute

// trialTimes holds when the trials of a signature open, from its finding. By the first one the losses that led to it are forgotten. With a
// harmful trait each trial costs a server, and the platform allows three requests with it after it could have been found.
var trialTimes = [...]time.Duration{evidenceTTL, 3 * evidenceTTL}

// trial lets one request with a signature through, whose end shows whether the signature is right.
type trial struct {
	// number counts the trials of the signature from 1.
	number int
	taken  atomic.Bool
}

// openTrial returns the number of the trial that is open at an age of a signature, or 0 if none is.
func openTrial(age time.Duration) int {
	for i, from := range slices.Backward(trialTimes[:]) {
		if age >= from && age < from+trialWindow {
			return i + 1
		}
	}
	return 0
}

// updateTrials opens and closes the trials of the recorded signatures for which this VM is the first in rank.
func (t *Tracker) updateTrials(now time.Time) {
	for key, s := range t.record {
		n := openTrial(now.Sub(time.Unix(s.FoundAt, 0)))
		switch x := t.trials[key]; {
		case n == 0 && x != nil:
			delete(t.trials, key)
			t.unjudged = true
		case n > 0 && (x == nil || x.number != n) && t.rank(key) == 0:
			t.trials[key] = &trial{number: n}
			t.unjudged = true
		}
	}
	for key := range t.trials {
		if _, ok := t.record[key]; !ok {
			delete(t.trials, key)
			t.unjudged = true
		}
	}
}

// TakeTrial reports whether a request that is refused may be sent all the same, once, because all its signatures are on trial and no other
// request has taken one of these trials.
func (q *Quarantine) TakeTrial(traits []Trait) bool {
	if q == nil {
		return false
	}
	var open []*trial
	for _, s := range q.signatures {
		if !s.matches(traits) {
			continue
		}
		x := q.trials[s.key()]
		if x == nil || x.taken.Load() {
			return false
		}
		open = append(open, x)
	}
	for _, x := range open {
		if !x.taken.CompareAndSwap(false, true) {
			return false
		}
	}
	return len(open) > 0
}

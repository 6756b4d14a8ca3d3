package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// entry is a request that waits or runs.
	entry struct {
		Arrive
		arrived time.Time
		// order is the arrival number.
		order     uint64
		running   bool
		preempted bool
	}

	// team holds a team's waiting requests and its start tag in start-time fair queueing.
	team struct {
		id    teaselstream.TeamID
		share float64
		// start is the start tag: the virtual time at which the team's next request is due.
		start   float64
		waiting []*entry
		running int
		// mean is the exponentially smoothed number of running requests at the time changed.
		mean    float64
		changed time.Time
		// seen is the time of the latest arrival.
		seen time.Time
	}
)

// usageTimeConstant is the time constant of meanRunning: bursts are shorter, and the mean of a team at many times its
// share exceeds the limit within a few seconds.
const usageTimeConstant = 10 * time.Second

// compareEntries orders the requests of one team by priority class, then worth per unit of cost, then arrival.
func compareEntries(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(float64(b.Worth)/b.Cost, float64(a.Worth)/a.Cost),
		cmp.Compare(a.order, b.order),
	)
}

// position returns the number of waiting requests ahead of e.
func (t *team) position(e *entry) int {
	i, _ := slices.BinarySearchFunc(t.waiting, e, compareEntries)
	return i
}

// meanRunning returns the exponentially smoothed number of running requests.
func (t *team) meanRunning(now time.Time) float64 {
	old := math.Exp(-max(now.Sub(t.changed), 0).Seconds() / usageTimeConstant.Seconds())
	return t.mean*old + float64(t.running)*(1-old)
}

// addRunning adds delta to the number of running requests.
func (t *team) addRunning(now time.Time, delta int) {
	t.mean, t.changed = t.meanRunning(now), now
	t.running += delta
}

// enqueue inserts a request in order; a team that was idle starts at the queue's virtual time and cannot save up service.
func (t *team) enqueue(e *entry, virtual float64) {
	if len(t.waiting) == 0 {
		t.start = max(t.start, virtual)
	}
	t.waiting = slices.Insert(t.waiting, t.position(e), e)
}

func (t *team) remove(e *entry) {
	if i, ok := slices.BinarySearchFunc(t.waiting, e, compareEntries); ok {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
}

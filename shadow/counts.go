package shadow

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// CodeCounts counts refusals by code.
	CodeCounts map[teaselstream.Code]uint64

	// Counts compares the decisions under the production document with those under one trial document.
	Counts struct {
		// Evaluated is the number of evaluated requests.
		Evaluated uint64
		// AdmittedByBoth and RefusedByBoth count requests that both documents admit or refuse.
		AdmittedByBoth uint64
		RefusedByBoth  uint64
		// RefusedByTrialOnly and RefusedByProductionOnly count requests that only one document refuses.
		RefusedByTrialOnly      CodeCounts
		RefusedByProductionOnly CodeCounts
		// ChangedRoutes counts model requests whose chain of servers differs.
		ChangedRoutes uint64
		// FirstTokenBefore and FirstTokenAfter are the sums over the changed routes of the estimated time to the
		// first token under the production document and under the trial document.
		FirstTokenBefore time.Duration
		FirstTokenAfter  time.Duration
		// ChangedPriority, ChangedWorth and ChangedIdempotency count requests that both documents admit, but with
		// a different priority, worth or idempotency.
		ChangedPriority    uint64
		ChangedWorth       uint64
		ChangedIdempotency uint64
		// Dropped is the number of samples that were dropped because the queue of the evaluation was full.
		Dropped uint64
	}
)

// Add adds the counts of another VM.
func (c *Counts) Add(o Counts) {
	c.Evaluated += o.Evaluated
	c.AdmittedByBoth += o.AdmittedByBoth
	c.RefusedByBoth += o.RefusedByBoth
	c.RefusedByTrialOnly.add(o.RefusedByTrialOnly)
	c.RefusedByProductionOnly.add(o.RefusedByProductionOnly)
	c.ChangedRoutes += o.ChangedRoutes
	c.FirstTokenBefore += o.FirstTokenBefore
	c.FirstTokenAfter += o.FirstTokenAfter
	c.ChangedPriority += o.ChangedPriority
	c.ChangedWorth += o.ChangedWorth
	c.ChangedIdempotency += o.ChangedIdempotency
	c.Dropped += o.Dropped
}

// MeanFirstToken returns the mean estimated times to the first token of changed routes under the production document
// and under the trial document.
func (c *Counts) MeanFirstToken() (before, after time.Duration) {
	n := time.Duration(max(c.ChangedRoutes, 1))
	return c.FirstTokenBefore / n, c.FirstTokenAfter / n
}

// Clone returns a copy that shares no maps with the original.
func (c *Counts) Clone() Counts {
	var x Counts
	x.Add(*c)
	return x
}

func (c *CodeCounts) add(o CodeCounts) {
	if *c == nil {
		*c = make(CodeCounts, len(o))
	}
	for code, n := range o {
		(*c)[code] += n
	}
}

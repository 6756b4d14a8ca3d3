package shadow

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Core evaluates samples under both documents and counts differences; its zero value works.
	Core struct {
		digest     teaselstream.Digest
		counts     Counts
		seed       uint64
		production *evaluator
		trial      *evaluator
		// snapshot is the last snapshot, and trialSnapshot is its copy with the trial document in force.
		snapshot      *teaselstream.Snapshot
		trialSnapshot *teaselstream.Snapshot
	}
)

// Update applies one message, a Sample or a teaselstream.Tick; it returns no commands.
func (c *Core) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	if x, ok := m.(Sample); ok && x.Snapshot != nil && x.Snapshot.Document != nil && x.Snapshot.Trial != nil {
		c.evaluate(now, x)
	}
	return nil
}

// Counts returns the digest of the last evaluated trial document, and the counts since it changed.
func (c *Core) Counts() (teaselstream.Digest, Counts) { return c.digest, c.counts.Clone() }

func (c *Core) evaluate(now time.Time, x Sample) {
	s := x.Snapshot
	if c.production == nil || c.digest != s.Trial.Digest {
		// Both planners start anew, so that their moving averages of request sizes are equal.
		*c = Core{digest: s.Trial.Digest, production: newEvaluator(), trial: newEvaluator()}
	}
	if c.snapshot != s {
		c.snapshot, c.trialSnapshot = s, withTrialDocument(s)
	}
	c.seed++
	c.count(c.production.decide(now, s, x, c.seed), c.trial.decide(now, c.trialSnapshot, x, c.seed))
}

func (c *Core) count(p, t decision) {
	n := &c.counts
	n.Evaluated++
	switch {
	case p.code != "" && t.code != "":
		n.RefusedByBoth++
	case t.code != "":
		n.RefusedByTrialOnly.add(CodeCounts{t.code: 1})
	case p.code != "":
		n.RefusedByProductionOnly.add(CodeCounts{p.code: 1})
	default:
		n.AdmittedByBoth++
		n.compare(p, t)
	}
}

// compare counts the differences between two decisions that both admit a request.
func (c *Counts) compare(p, t decision) {
	if p.resolved.Priority != t.resolved.Priority {
		c.ChangedPriority++
	}
	if p.worth != t.worth {
		c.ChangedWorth++
	}
	if p.idempotent != t.idempotent {
		c.ChangedIdempotency++
	}
	same := func(a, b teaselstream.Hop) bool { return a.Server == b.Server && a.From == b.From && a.To == b.To }
	if !slices.EqualFunc(p.plan.Chain, t.plan.Chain, same) {
		c.ChangedRoutes++
		c.FirstTokenBefore += p.plan.FirstToken
		c.FirstTokenAfter += t.plan.FirstToken
	}
}

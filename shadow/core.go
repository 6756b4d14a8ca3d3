package shadow

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Core evaluates samples and counts differences; its zero value works.
	Core struct {
		digest     teaselstream.Digest
		counts     Counts
		seed       uint64
		production *judge
		trial      *judge
		// from and under are the last snapshot and the same one with the trial document in force.
		from  *teaselstream.Snapshot
		under *teaselstream.Snapshot
	}
)

// Update applies one message, a Sample or a teaselstream.Tick; there are no commands.
func (c *Core) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	if x, ok := m.(Sample); ok && x.Snapshot != nil && x.Snapshot.Document != nil && x.Snapshot.Trial != nil {
		c.evaluate(now, x)
	}
	return nil
}

// Counts returns the digest of the trial document that was last evaluated, and the counts since it changed.
func (c *Core) Counts() (teaselstream.Digest, Counts) { return c.digest, c.counts.Clone() }

func (c *Core) evaluate(now time.Time, x Sample) {
	s := x.Snapshot
	if c.production == nil || c.digest != s.Trial.Digest {
		// Both planners restart, so that their smoothed request sizes stay equal.
		*c = Core{digest: s.Trial.Digest, production: newJudge(), trial: newJudge()}
	}
	if c.from != s {
		c.from, c.under = s, underTrial(s)
	}
	c.seed++
	c.count(c.production.decide(now, s, x, c.seed), c.trial.decide(now, c.under, x, c.seed))
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

// compare counts the differences of a request that both documents admit.
func (c *Counts) compare(p, t decision) {
	if p.terms.Priority != t.terms.Priority {
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

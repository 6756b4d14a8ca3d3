package pick

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// loadMaxAge is the age up to which a reported load counts; a replica's queue turns over in a fraction of that.
	loadMaxAge = 500 * time.Millisecond
	// otherDomainPenalty is added to the score of a replica in another failure domain, as a fraction of its slots.
	otherDomainPenalty = 0.25
	// slowPenalty scales the score for latency: a replica twice as slow as the fastest one gets slowPenalty.
	slowPenalty = 0.5
	// minEjection is how long a replica is first ejected. Each further ejection doubles the time up to maxEjection, until
	// successes bring the failure score below 1.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// ejectionThreshold is the failure score at which a replica is ejected; a failure adds 1 and a success multiplies by successDecay.
	ejectionThreshold = 2.0
	// successDecay is the fraction of the failure score that remains after a success.
	successDecay = 0.6
	// latencyWeight is the weight of the newest latency in the moving mean.
	latencyWeight = 0.2
)

type (
	// Balancer chooses replicas. Its zero value is ready to use and safe for concurrent use.
	Balancer struct {
		// Rand spreads calls over replicas with similar scores; nil adds no randomness.
		Rand teaselstream.Rand

		mu       sync.Mutex
		replicas map[teaselstream.ServerID]*replica
	}

	replica struct {
		incarnation  teaselstream.Incarnation
		reportedLoad int
		slots        int
		reportedAt   time.Time
		latency      time.Duration
		failureScore float64
		ejection     time.Duration
		ejectedUntil time.Time
		probing      bool
	}

	// Result is the outcome of a call for its replica.
	Result uint8
)

const (
	// Succeeded means that the replica ran the call and responded.
	Succeeded Result = iota
	// Refused means that the replica had no free slot and did not run the call.
	Refused
	// Failed means that the replica answered with a server error, lost the connection or did not answer in time.
	Failed
	// Canceled means that the call was canceled, which says nothing about the replica.
	Canceled
)

// Choose returns the replica with the lowest score, or nil if none is serving; avoid lists replicas already sent the call.
func (b *Balancer) Choose(now time.Time, v *fleet.View, s teaselstream.ServiceID, avoid map[teaselstream.ServerID]bool) *fleet.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *fleet.Member
	bestScore := 0.0
	for _, m := range v.Pools[s] {
		if avoid[m.ID] || m.State != fleet.Serving {
			continue
		}
		score := b.score(now, v, m)
		if m.Share > 0 && b.Rand != nil && !m.Draws(b.Rand.Float64()) {
			score += undrawnPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = m, score
		}
	}
	if best != nil {
		if r := b.replicas[best.ID]; r != nil && r.failureScore >= ejectionThreshold {
			r.probing = true
		}
	}
	return best
}

// undrawnPenalty ranks a replica whose pace is being found, and that the draw leaves out, behind all but ejected ones.
const undrawnPenalty = 100.0

// ejectedPenalty ranks ejected replicas behind all others; one is still chosen if no other replica is left.
const ejectedPenalty = 1000.0

func (b *Balancer) score(now time.Time, v *fleet.View, m *fleet.Member) float64 {
	slots := float64(max(m.Slots, 1))
	score := float64(m.LoadEstimate.OwnRequests.Load()) / slots
	if m.Domain != v.Domain {
		score += otherDomainPenalty
	}
	if now.Before(m.PausedUntil) {
		score += 1
	}
	if b.Rand != nil {
		score += b.Rand.Float64() / slots / 2
	}
	r := b.replicas[m.ID]
	if r == nil || r.incarnation != m.Incarnation {
		return score
	}
	if now.Sub(r.reportedAt) < loadMaxAge && r.slots > 0 {
		score += float64(r.reportedLoad) / float64(r.slots)
	}
	if fast := b.fastest(v.Pools[m.Service]); fast > 0 && r.latency > fast {
		score += slowPenalty * (float64(r.latency)/float64(fast) - 1)
	}
	score += r.failureScore
	if now.Before(r.ejectedUntil) || r.probing {
		score += ejectedPenalty
	}
	return score
}

func (b *Balancer) fastest(members []*fleet.Member) time.Duration {
	var fast time.Duration
	for _, m := range members {
		if r := b.replicas[m.ID]; r != nil && r.latency > 0 && (fast == 0 || r.latency < fast) {
			fast = r.latency
		}
	}
	return fast
}

// RecordResult records how a call to a replica ended and returns true if the replica is ejected for it.
func (b *Balancer) RecordResult(now time.Time, m *fleet.Member, result Result, took time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[m.ID]
	if r == nil || r.incarnation != m.Incarnation {
		if b.replicas == nil {
			b.replicas = make(map[teaselstream.ServerID]*replica)
		}
		r = &replica{incarnation: m.Incarnation}
		b.replicas[m.ID] = r
	}
	r.probing = false
	switch result {
	case Succeeded:
		r.failureScore *= successDecay
		if r.failureScore < 1 {
			r.ejection = 0
		}
		if r.latency == 0 {
			r.latency = took
		}
		r.latency += time.Duration(latencyWeight * float64(took-r.latency))
	case Failed:
		r.failureScore++
		if r.failureScore >= ejectionThreshold {
			r.ejection = min(max(2*r.ejection, minEjection), maxEjection)
			r.ejectedUntil = now.Add(r.ejection)
			return true
		}
	}
	return false
}

// ClearFailures forgets the failures of all replicas and ends their ejection.
func (b *Balancer) ClearFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.replicas {
		r.failureScore, r.ejection, r.ejectedUntil = 0, 0, time.Time{}
	}
}

// ForgetLatency forgets how fast a replica was, so that one that was slow after its start is measured anew.
func (b *Balancer) ForgetLatency(id teaselstream.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil {
		r.latency = 0
	}
}

// RecordLoad records the load that a replica reports in a response.
func (b *Balancer) RecordLoad(now time.Time, m *fleet.Member, a teaselstream.AnswerHead) {
	if !a.HasLoad {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[m.ID]
	if r == nil || r.incarnation != m.Incarnation {
		return
	}
	r.reportedLoad, r.slots, r.reportedAt = a.Running+a.Waiting, a.Slots, now
}

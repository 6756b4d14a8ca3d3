package pick

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// loadTrust is how long a stated load counts; the queue of a replica turns over in a fraction of that.
	loadTrust = 500 * time.Millisecond
	// awayPenalty is added for another failure domain, in shares of a replica's slots.
	awayPenalty = 0.25
	// slowWeight scales how much a replica slower than its peers is avoided.
	slowWeight = 0.5
	// firstBan is the time for which a replica is put aside after failures, which doubles up to maxBan.
	firstBan = 500 * time.Millisecond
	maxBan   = 4 * time.Second
	// banAfter is the score of recent failures at which a replica is put aside; a failure adds 1 and a success takes a share away.
	banAfter = 2.0
	// forgive is the share of the score that a success leaves.
	forgive = 0.6
	// smoothing is the weight of the newest latency in the mean.
	smoothing = 0.2
)

type (
	// Balancer chooses replicas; its zero value works and it is safe for use by many goroutines.
	Balancer struct {
		// Rand breaks ties; nil means none.
		Rand teaselstream.Rand

		mu       sync.Mutex
		replicas map[teaselstream.ServerID]*replica
	}

	replica struct {
		incarnation teaselstream.Incarnation
		load        int
		slots       int
		loadAt      time.Time
		latency     time.Duration
		failures    float64
		ban         time.Duration
		bannedUntil time.Time
		trial       bool
	}

	// Result is how a call ended.
	Result uint8
)

const (
	// Answered means that the replica ran the call and answered.
	Answered Result = iota
	// Refused means that the replica had no room and did not run the call.
	Refused
	// Failed means that the replica failed the call, broke off or did not answer in time.
	Failed
	// Abandoned means that the caller left, which says nothing about the replica.
	Abandoned
)

// Choose returns the replica for a call, or nil if none takes work; avoid holds replicas that had the call before.
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
		if best == nil || score < bestScore {
			best, bestScore = m, score
		}
	}
	if best != nil {
		if r := b.replicas[best.ID]; r != nil && r.failures >= banAfter {
			r.trial = true
		}
	}
	return best
}

// banScore ranks replicas that are put aside behind all others, but before none at all.
const banScore = 1000.0

func (b *Balancer) score(now time.Time, v *fleet.View, m *fleet.Member) float64 {
	slots := float64(max(m.Slots, 1))
	score := float64(m.LoadEstimate.OwnRequests.Load()) / slots
	if m.Domain != v.Domain {
		score += awayPenalty
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
	if now.Sub(r.loadAt) < loadTrust && r.slots > 0 {
		score += float64(r.load) / float64(r.slots)
	}
	if fast := b.fastest(v.Pools[m.Service]); fast > 0 && r.latency > fast {
		score += slowWeight * (float64(r.latency)/float64(fast) - 1)
	}
	score += r.failures
	if now.Before(r.bannedUntil) || r.trial {
		score += banScore
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

// Ended records how a call to a replica ended; it returns true if the replica is put aside by it.
func (b *Balancer) Ended(now time.Time, m *fleet.Member, result Result, took time.Duration) bool {
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
	r.trial = false
	switch result {
	case Answered:
		r.failures *= forgive
		if r.failures < 1 {
			r.ban = 0
		}
		if r.latency == 0 {
			r.latency = took
		}
		r.latency += time.Duration(smoothing * float64(took-r.latency))
	case Failed:
		r.failures++
		if r.failures >= banAfter {
			r.ban = min(max(2*r.ban, firstBan), maxBan)
			r.bannedUntil = now.Add(r.ban)
			return true
		}
	}
	return false
}

// Load records the load that a replica states in an answer.
func (b *Balancer) Load(now time.Time, m *fleet.Member, a teaselstream.AnswerHead) {
	if !a.HasLoad {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[m.ID]
	if r == nil || r.incarnation != m.Incarnation {
		return
	}
	r.load, r.slots, r.loadAt = a.Running+a.Waiting, a.Slots, now
}

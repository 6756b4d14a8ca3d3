package moves

import (
	"math"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// ranks is the number of ranks that servers tell apart (0 to 9); a higher rank counts as the last.
	ranks = 10
	// maxOwn bounds the streams of this VM that are kept for one server; the others are placed by those.
	maxOwn = 512
	// maxTokens bounds the tokens of one stream; no model reads more.
	maxTokens = 10_000_000
	// maxAhead bounds the tokens of one rank so that sums cannot overflow.
	maxAhead = 1_000_000_000_000
	// maxVMs bounds the VMs of a failure domain.
	maxVMs = 10_000
)

type (
	// backlog holds the tokens that the other holders of a server's layers have to read because its streams leave it.
	backlog struct {
		since, heard time.Time
		rate         float64
		holders      int64
		layers       teaselstream.LayerRange
		// factor is the slowness of the server, or 0 if it was lost.
		factor float64
		// known reports that ahead and streams cover all VMs; otherwise this VM's own streams stand for those of each of the VMs.
		known          bool
		vms            int64
		ahead, streams [ranks]int64
		// own holds the streams of this VM, and ownTokens and ownStreams their sums by rank.
		own                   map[teaselstream.AttemptID]load
		ownTokens, ownStreams [ranks]int64
		// silence is the sum of the silence of the streams in own at the loss.
		silence time.Duration
	}

	// load is the reading that one stream causes when it moves.
	load struct {
		rank   int
		tokens int64
		// silent is the time from the last event to the loss.
		silent time.Duration
		// movesAt is when it is sent, or the zero time while that is open.
		movesAt time.Time
	}
)

func newBacklog(now time.Time, m Lost) *backlog {
	b := &backlog{since: now, heard: now, known: m.Ahead != nil, own: make(map[teaselstream.AttemptID]load)}
	b.rate, b.layers = rateOf(m.ReadRate), m.Range
	b.holders, b.vms = clamp(int64(m.Holders), 1, maxVMs), clamp(int64(m.VMs), 1, maxVMs)
	b.ahead, b.streams = byRank(m.Ahead), byRank(m.Streams)
	return b
}

// byRank sums up the values of each rank.
func byRank(values map[int]int64) (sums [ranks]int64) {
	for rank, n := range values {
		r := rankOf(rank)
		sums[r] = min(sums[r]+clamp(n, 0, maxAhead), maxAhead)
	}
	return sums
}

// add counts a stream of this VM once.
func (b *backlog) add(id teaselstream.AttemptID, rank, tokens int, silent time.Duration) {
	if _, known := b.own[id]; known || len(b.own) >= maxOwn {
		return
	}
	l := load{rank: rankOf(rank), tokens: clamp(int64(tokens), 0, maxTokens), silent: span(silent)}
	b.own[id] = l
	b.ownTokens[l.rank] += l.tokens
	b.ownStreams[l.rank]++
	b.silence += l.silent
}

// commit records when a stream moves; from then on its tokens are read even if it ends.
func (b *backlog) commit(id teaselstream.AttemptID, at time.Time) {
	if l, known := b.own[id]; known {
		l.movesAt = at
		b.own[id] = l
	}
}

// withdraw removes a stream that has not moved and no longer will.
func (b *backlog) withdraw(now time.Time, id teaselstream.AttemptID) {
	l, known := b.own[id]
	if !known || (!l.movesAt.IsZero() && !now.Before(l.movesAt)) {
		return
	}
	delete(b.own, id)
	b.ownTokens[l.rank] -= l.tokens
	b.ownStreams[l.rank]--
	b.silence -= l.silent
}

// tokens returns the tokens of one rank over all VMs, as far as known.
func (b *backlog) tokens(rank int) float64 {
	if b.known {
		return float64(max(b.ahead[rank], b.ownTokens[rank]))
	}
	return float64(b.ownTokens[rank] * b.vms)
}

func (b *backlog) total() float64 {
	sum := 0.0
	for r := range ranks {
		sum += b.tokens(r)
	}
	return sum
}

// oneRank reports whether all tokens have the same rank.
func (b *backlog) oneRank() bool {
	used := 0
	for r := range ranks {
		if b.tokens(r) > 0 {
			used++
		}
	}
	return used <= 1
}

// remaining estimates the tokens that are still to be read, for the case that nothing else is read.
func (b *backlog) remaining(now time.Time) float64 {
	speed := b.rate
	if b.factor > 0 {
		speed *= slowShare
	}
	return max(0, b.total()-speed*max(0, now.Sub(b.since).Seconds()))
}

func (b *backlog) overlaps(o *backlog) bool {
	return !b.layers.Empty() && !o.layers.Empty() && b.layers.From < o.layers.To && o.layers.From < b.layers.To
}

// mean returns the mean tokens of a stream of one rank, from the whole failure domain if it is known.
func (b *backlog) mean(rank int) float64 {
	if b.known && b.streams[rank] > 0 {
		return b.tokens(rank) / float64(b.streams[rank])
	}
	var tokens, streams int64
	for r := range ranks {
		tokens += b.ownTokens[r]
		streams += b.ownStreams[r]
	}
	return float64(tokens) / float64(max(streams, 1))
}

// meanSilence returns the mean time from the last event to the loss.
func (b *backlog) meanSilence() time.Duration {
	return b.silence / time.Duration(max(len(b.own), 1))
}

// shorterShare estimates which part of the tokens of one rank belongs to shorter streams. Lengths of prompts spread about as an
// exponential distribution with the same mean does; a VM has too few streams of its own for a better estimate.
func (b *backlog) shorterShare(rank int, tokens float64) float64 {
	mean := b.mean(rank)
	if mean <= 0 {
		return 0
	}
	z := tokens / mean
	return 1 - (1+z)*math.Exp(-z)
}

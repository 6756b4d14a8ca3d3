package moves

import (
	"math"
	"time"
)

const (
	// maxLength is the length of the longest stream as a multiple of the mean; of an exponential distribution one in 20,000 is longer.
	maxLength = 10.0
	// bisections gives a length to within a hundredth of the mean.
	bisections = 10
)

// position returns how many tokens are read before those of a stream, and whether it is late in any case. First come the streams that
// are read in time, by rank and within a rank the shortest first; then all others in the same order. The stream itself is in time if it is
// read within budget tokens, the other streams if they are within others.
func (b *backlog) position(rank int, tokens, budget, others float64) (ahead float64, late bool) {
	inTime := b.inTime(others)
	shorter := b.shorterShare(rank, tokens) * b.tokens(rank)
	for r := range rank {
		ahead += inTime[r]
	}
	if ahead += shorter; ahead+tokens*float64(b.holders) <= budget {
		return ahead, false
	}
	ahead = max(0, shorter-inTime[rank])
	for r := range ranks {
		ahead += inTime[r]
		if r < rank {
			ahead += b.tokens(r) - inTime[r]
		}
	}
	return ahead, true
}

// inTime estimates the tokens of each rank that are read within budget tokens, in the order of position.
func (b *backlog) inTime(budget float64) (tokens [ranks]float64) {
	for r := range ranks {
		all, mean := b.tokens(r), b.mean(r)
		if all <= 0 || mean <= 0 || budget <= 0 {
			continue
		}
		// A bisection finds the longest stream that is in time; a longer one than maxLength times the mean hardly occurs.
		low, high := 0.0, maxLength*mean
		for range bisections {
			length := (low + high) / 2
			if b.shorterShare(r, length)*all+length*float64(b.holders) <= budget {
				low = length
			} else {
				high = length
			}
		}
		tokens[r] = b.shorterShare(r, low) * all
		budget -= tokens[r]
	}
	return tokens
}

// readBy returns when the tokens before a position have been read at a rate in tokens a second.
func (b *backlog) readBy(position, rate float64) time.Time {
	return b.since.Add(seconds(position / rate))
}

// seconds converts a time in seconds, bounded to an hour, into a duration.
func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), time.Hour.Seconds()) * float64(time.Second))
}

// rateOf returns a rate, or 0 if it is not a usable number.
func rateOf(rate float64) float64 {
	if !(rate > 0) || math.IsInf(rate, 0) {
		return 0
	}
	return rate
}

func rankOf(rank int) int { return min(max(rank, 0), ranks-1) }

func clamp(n, low, high int64) int64 { return min(max(n, low), high) }

// span bounds a duration to one that can be added and multiplied safely.
func span(d time.Duration) time.Duration { return min(max(d, 0), time.Hour) }

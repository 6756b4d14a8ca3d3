package admit

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// RateLimiter bounds the requests per second of each team with a token bucket; the zero value is ready to use.
	RateLimiter struct {
		buckets map[teaselstream.TeamID]bucket
	}

	// bucket is a team's token bucket as of the time at; each request takes one token.
	bucket struct {
		tokens float64
		at     time.Time
	}
)

// roundingTolerance is the missing part of a token that is ignored, so that rounding errors do not refuse a team that
// sends exactly at its rate.
const roundingTolerance = 1e-6

// Take takes a token for one request of team t; its error is a *teaselstream.Error with the delay before a resend.
//
// Each live VM grants an equal part of the team's rate. A bucket holds the tokens of one second, and at least one,
// because a team whose part is below 1/s would otherwise always be refused.
func (r *RateLimiter) Take(now time.Time, t teaselstream.Team, liveVMs int) error {
	if t.Rate <= 0 {
		delete(r.buckets, t.Name)
		return nil
	}
	rate := float64(t.Rate) / float64(max(liveVMs, 1))
	size := max(rate, 1)
	b, ok := r.buckets[t.Name]
	if !ok {
		b = bucket{tokens: size, at: now}
	}
	if d := now.Sub(b.at); d > 0 {
		b.tokens, b.at = b.tokens+rate*d.Seconds(), now
	}
	b.tokens = min(b.tokens, size)
	if r.buckets == nil {
		r.buckets = make(map[teaselstream.TeamID]bucket)
	}
	var err error
	if missing := 1 - b.tokens; missing > roundingTolerance {
		wait := time.Duration(missing / rate * float64(time.Second))
		err = &teaselstream.Error{
			Code: teaselstream.CodeOverShare, Outcome: teaselstream.NotRun, RetryAfter: max(wait, minRetryAfter),
			Message: "the team is over its rate of requests",
		}
	} else {
		b.tokens--
	}
	r.buckets[t.Name] = b
	return err
}

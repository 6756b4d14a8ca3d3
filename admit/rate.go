package admit

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// RateLimiter bounds the requests per second of teams with a token bucket each; its zero value works.
	RateLimiter struct {
		buckets map[teaselstream.TeamID]bucket
	}

	// bucket holds the requests that a team may still send as of the time at.
	bucket struct {
		left float64
		at   time.Time
	}
)

// rounding keeps a team that sends exactly at its rate from being refused for a rounding error.
const rounding = 1e-6

// Take counts a request of a team; its error is a *teaselstream.Error with the time after which to try again.
//
// Each of the live VMs grants its part of the team's rate. A bucket holds the requests of one second, and at least
// one, because a team whose part is below 1/s would otherwise always be refused.
func (r *RateLimiter) Take(now time.Time, t teaselstream.Team, liveVMs int) error {
	if t.Rate <= 0 {
		delete(r.buckets, t.Name)
		return nil
	}
	rate := float64(t.Rate) / float64(max(liveVMs, 1))
	size := max(rate, 1)
	b, ok := r.buckets[t.Name]
	if !ok {
		b = bucket{left: size, at: now}
	}
	if d := now.Sub(b.at); d > 0 {
		b.left, b.at = b.left+rate*d.Seconds(), now
	}
	b.left = min(b.left, size)
	if r.buckets == nil {
		r.buckets = make(map[teaselstream.TeamID]bucket)
	}
	var err error
	if missing := 1 - b.left; missing > rounding {
		wait := time.Duration(missing / rate * float64(time.Second))
		err = &teaselstream.Error{
			Code: teaselstream.CodeOverShare, Outcome: teaselstream.NotRun, RetryAfter: max(wait, minRetryAfter),
			Message: "the team is over its rate of requests",
		}
	} else {
		b.left--
	}
	r.buckets[t.Name] = b
	return err
}

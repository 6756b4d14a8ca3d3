package queue

import "time"

const (
	// mostUrgentLimit and leastUrgentLimit are the loads up to which the most and the least urgent requests are sent at once. The
	// difference leaves room for urgent requests that arrive next, and is small because a request that waits beside a free
	// place gains nobody anything.
	mostUrgentLimit, leastUrgentLimit = 1.0, 0.85
	// halfLoad is the share in use below which no request is refused, or held for longer than orderInterval: its servers are half empty.
	halfLoad = 0.5
	// minRetryAfter and maxRetryAfter bound Retry-After: callers that return sooner meet the same load, and after 3 s most would
	// rather give up.
	minRetryAfter, maxRetryAfter = 250 * time.Millisecond, 3 * time.Second
	// retryDeadlineFraction is the largest part of the time left to the deadline that Retry-After takes, so that two more tries remain.
	retryDeadlineFraction = 1.0 / 3
	// refusalWindow is how long a refusal shows that its rank finds too little room; reports of load are up to as old.
	refusalWindow = time.Second
	// runWeight is the weight of a new sample in the mean run time, which then covers about the last ten requests.
	runWeight = 0.1
)

// limit returns the load up to which e is sent at once. Each rank has two limits, the lower one for teams over their share and for
// deferred requests; a starved request has that of the most urgent rank.
func (s *service) limit(e *entry) float64 {
	if e.starved {
		return mostUrgentLimit
	}
	step := 2 * min(e.Rank, s.ranks-1)
	if e.overShare || e.deferred {
		step++
	}
	return mostUrgentLimit - (mostUrgentLimit-leastUrgentLimit)*float64(step)/float64(2*s.ranks-1)
}

// fits reports whether e may be sent at its load.
func (s *service) fits(e *entry) bool {
	return e.halfFree() || e.hasRoom() && e.Load <= s.limit(e)
}

// mayReplace reports whether e may take the place that another request of this VM has left. That does not raise the load, so the
// limit does not apply, unless more urgent requests lack room.
func (s *service) mayReplace(now time.Time, e *entry) bool {
	return e.replaces && e.hasRoom() && (e.urgency == 0 || !s.refusedLately(now, e.urgency-1))
}

// refusedLately reports whether a request of the given urgency or a more urgent one was refused lately.
func (s *service) refusedLately(now time.Time, urgency int) bool {
	for _, t := range s.refusedAt[:urgency+1] {
		if !t.IsZero() && now.Sub(t) < refusalWindow {
			return true
		}
	}
	return false
}

// learnRun updates the mean run time.
func (s *service) learnRun(d time.Duration) {
	if d <= 0 {
		return
	}
	if s.meanRun == 0 {
		s.meanRun = d
	}
	s.meanRun += fraction(d-s.meanRun, runWeight)
}

// roomWait estimates the time until there is room for e: requests that use the excess must end, and places go to the held
// requests ahead of it at the rate at which this VM has sent requests lately. It is 0 if there is room or the rates are unknown.
func (s *service) roomWait(e *entry) time.Duration {
	if e.Load <= 1 {
		return 0
	}
	wait := fraction(s.meanRun, 1-1/e.Load)
	if rate := s.sendRate(); rate > 0 {
		wait = max(wait, time.Duration(float64(s.ahead(e))/rate*float64(time.Second)))
	}
	return wait
}

// retryAfter returns when there will probably be room for e, spread over as long again so that callers do not return together.
func (q *Queue) retryAfter(now time.Time, e *entry) time.Duration {
	longest := maxRetryAfter
	if left := e.Deadline.Sub(now); !e.Deadline.IsZero() && left > 0 {
		longest = min(longest, fraction(left, retryDeadlineFraction))
	}
	wait := min(max(e.service.roomWait(e), minRetryAfter), longest/2)
	return max(fraction(wait, 1+q.random()), min(minRetryAfter, longest)).Truncate(time.Millisecond)
}

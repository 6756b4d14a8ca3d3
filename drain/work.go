package drain

import "time"

// onceDeviations is how many mean deviations above its mean duration work that must not run twice has to fit. About one in twelve
// requests lasts longer if durations are distributed exponentially, fewer otherwise.
const onceDeviations = 2

// Work describes a request that arrives at a VM that is shutting down.
type Work struct {
	// Repeatable work may run elsewhere after it was cut: idempotent requests, and streams that callers resume.
	Repeatable bool
	// Limit is the time until the request's final answer is due, whether it has succeeded or not.
	Limit time.Duration
	// Mean is the moving mean of the duration of such requests, and Deviation the moving mean of their distance from it.
	Mean, Deviation time.Duration
}

// Takes reports whether a VM that gives its last answers after the time left takes a request. It takes those that probably end before,
// and those whose final answer is due before; the others can run on another VM at once.
func Takes(left time.Duration, w Work) bool {
	needed := w.Mean
	if !w.Repeatable {
		needed += onceDeviations * w.Deviation
	}
	return left > 0 && left >= min(needed, w.Limit)
}

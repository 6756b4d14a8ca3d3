package admit

import (
	"sync"
	"time"
)

// reserveShare is the part of what is saved up that is kept for requests whose answer has begun. While servers refuse work
// for lack of room, new requests would use all of it up, and running streams that lose a server could not go on.
const reserveShare = 0.5

// WindowBudget bounds this VM's part of the attempts beyond the first that all VMs share in a sliding window: an
// allowance, and a ratio of the requests in the window.
//
// It is a token bucket that starts empty, since a VM that restarts does not know what it spent before. Half of what a
// window allows is saved up at most and half is refilled over each window, so that no window sees more than it allows.
// It is safe for use by many goroutines.
type WindowBudget struct {
	mu sync.Mutex
	// ratio is the number of retries that each request allows.
	ratio float64
	// allowance is the number of retries that a window allows beyond that.
	allowance float64
	window    time.Duration
	tokens    float64
	at        time.Time
	// begun is the start of the window that is counted; now and before are the requests in it and in the one before.
	begun       time.Time
	now, before float64
}

// Set changes the limits.
func (b *WindowBudget) Set(ratio, allowance float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.allowance, b.window = ratio, allowance, window
	b.tokens = min(b.tokens, b.limit())
}

// limit bounds the tokens saved up. The requests of the window before count, as the platform's bound counts them.
func (b *WindowBudget) limit() float64 { return (b.allowance + b.ratio*max(b.now, b.before)) / 2 }

// Request counts the first attempt of a request at a time.
func (b *WindowBudget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch passed := now.Sub(b.begun); {
	case passed >= 2*b.window:
		b.begun, b.now, b.before = now, 0, 0
	case passed >= b.window:
		b.begun, b.now, b.before = now, 0, b.now
	}
	b.now++
	b.refill(now)
	b.tokens = min(b.tokens+b.ratio/2, b.limit())
}

// refill adds what the time since the last call allows; it begins with the first request.
func (b *WindowBudget) refill(now time.Time) {
	if b.window > 0 && !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(b.tokens+b.allowance/2*float64(now.Sub(b.at))/float64(b.window), b.limit())
	}
	b.at = now
}

// Retry reports whether one more attempt is allowed at a time, and counts it if so.
func (b *WindowBudget) Retry(now time.Time) bool { return b.spend(now, 0) }

// RetryNew does the same for a request that has no part of its answer yet, and leaves a reserve for those that have.
func (b *WindowBudget) RetryNew(now time.Time) bool { return b.spend(now, reserveShare) }

// spend takes a token if a share of the limit is left after it.
func (b *WindowBudget) spend(now time.Time, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	// The margin covers rounding errors of repeated additions.
	if b.tokens < 1-1e-9 || b.tokens < 1+reserve*b.limit()-1e-9 && !b.small() {
		return false
	}
	b.tokens--
	return true
}

// small reports whether the limit is too low for a reserve of one attempt.
func (b *WindowBudget) small() bool { return reserveShare*b.limit() < 1 }

package admit

import (
	"sync"
	"time"
)

// reserveFraction is the fraction of the token limit that is reserved for requests whose answer has begun. While servers
// are full, retries of new requests would take all tokens, and running streams that lose a server could not resume.
const reserveFraction = 0.5

// WindowBudget bounds the retries of one VM in any sliding window to a fixed allowance plus a ratio of the requests in
// the window. The limits are this VM's part of those that all VMs share.
//
// It is a token bucket that starts empty, because a restarted VM does not know what it spent before. The bucket holds
// at most half of what a window allows, and the other half is refilled over each window, so that no window exceeds its
// limit. It is safe for concurrent use.
type WindowBudget struct {
	mu sync.Mutex
	// ratio is the number of retries that each request earns.
	ratio float64
	// allowance is the number of retries that each window allows in addition.
	allowance  float64
	window     time.Duration
	tokens     float64
	refilledAt time.Time
	// windowStart is the start of the current counting window; now and previous count the requests in it and in the
	// window before it.
	windowStart   time.Time
	now, previous float64
}

// Set changes the limits; tokens above the new limit are discarded.
func (b *WindowBudget) Set(ratio, allowance float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.allowance, b.window = ratio, allowance, window
	b.tokens = min(b.tokens, b.limit())
}

// limit returns the capacity of the bucket. It counts the larger number of requests of this window and the previous one,
// as the platform does in its own limit.
func (b *WindowBudget) limit() float64 { return (b.allowance + b.ratio*max(b.now, b.previous)) / 2 }

// Request counts a new request and adds the tokens that it earns.
func (b *WindowBudget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch passed := now.Sub(b.windowStart); {
	case passed >= 2*b.window:
		b.windowStart, b.now, b.previous = now, 0, 0
	case passed >= b.window:
		b.windowStart, b.now, b.previous = now, 0, b.now
	}
	b.now++
	b.refill(now)
	b.tokens = min(b.tokens+b.ratio/2, b.limit())
}

// refill adds the tokens of the allowance for the time since the previous call; the first call only starts the clock.
func (b *WindowBudget) refill(now time.Time) {
	if b.window > 0 && !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.tokens+b.allowance/2*float64(now.Sub(b.refilledAt))/float64(b.window), b.limit())
	}
	b.refilledAt = now
}

// Retry reports whether a retry is allowed now, and takes a token if so.
func (b *WindowBudget) Retry(now time.Time) bool { return b.spend(now, 0) }

// RetryNew is Retry for a request whose answer has not begun; it leaves the reserve for requests whose answer has.
func (b *WindowBudget) RetryNew(now time.Time) bool { return b.spend(now, reserveFraction) }

// Left returns the number of retries that Retry allows now, or RetryNew if begun is false.
func (b *WindowBudget) Left(now time.Time, begun bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if begun || b.tooSmallForReserve() {
		return max(int(b.tokens), 0)
	}
	return max(int(b.tokens-reserveFraction*b.limit()), 0)
}

// spend takes a token if at least the fraction reserve of the limit remains afterwards.
func (b *WindowBudget) spend(now time.Time, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	// The tolerance covers rounding errors of repeated additions.
	if b.tokens < 1-1e-9 || b.tokens < 1+reserve*b.limit()-1e-9 && !b.tooSmallForReserve() {
		return false
	}
	b.tokens--
	return true
}

// tooSmallForReserve reports whether the reserve would be less than one retry; it is not applied then.
func (b *WindowBudget) tooSmallForReserve() bool { return reserveFraction*b.limit() < 1 }

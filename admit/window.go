package admit

import (
	"sync"
	"time"
)

// WindowBudget bounds this VM's part of the attempts beyond the first that all VMs share in a sliding window.
//
// It is a token bucket that starts empty, since a VM that restarts does not know what it spent before. Half of the
// allowance is saved up at most and half is refilled over each window, so that no window sees more than the allowance
// and a share of the requests. It is safe for use by many goroutines.
type WindowBudget struct {
	mu sync.Mutex
	// ratio is the number of retries that each request allows.
	ratio float64
	// allowance is the number of retries that a window allows beyond that.
	allowance float64
	window    time.Duration
	tokens    float64
	at        time.Time
}

// Set changes the limits.
func (b *WindowBudget) Set(ratio, allowance float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.allowance, b.window = ratio, allowance, window
	b.tokens = min(b.tokens, b.limit())
}

// limit bounds the tokens saved up.
func (b *WindowBudget) limit() float64 { return b.allowance / 2 }

// Request counts the first attempt of a request.
func (b *WindowBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.limit())
}

// Retry reports whether one more attempt is allowed at a time, and counts it if so.
func (b *WindowBudget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window > 0 && !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(b.tokens+b.allowance/2*float64(now.Sub(b.at))/float64(b.window), b.limit())
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

package admit

import "sync"

// RetryBudget bounds attempts beyond the first to a share of the requests; the zero value allows a tenth.
// It is safe for use by many goroutines.
type RetryBudget struct {
	mu sync.Mutex
	// early counts the requests that repay the initial allowance.
	early int
	// spare is the number of retries allowed now, less the initial allowance.
	spare float64
}

const (
	// retryRatio is the number of retries that each request allows.
	retryRatio = 0.1
	// initialRetries lets a VM retry before it has seen many requests.
	initialRetries = 10
	// earlyRequests is the number of requests that would allow the initial retries.
	earlyRequests = initialRetries / retryRatio
	// maxRetries bounds the retries saved up, so that a burst of failures after a quiet time stays small.
	maxRetries = 100
)

// Request counts the first attempt of a request.
func (b *RetryBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.early < earlyRequests {
		b.early++
		return
	}
	b.spare = min(b.spare+retryRatio, maxRetries-initialRetries)
}

// Retry reports whether one more attempt is allowed, and counts it if so.
func (b *RetryBudget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The margin covers rounding errors of repeated additions.
	if b.spare+initialRetries < 1-1e-9 {
		return false
	}
	b.spare--
	return true
}

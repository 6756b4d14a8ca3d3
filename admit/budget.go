package admit

import "sync"

// RetryBudget bounds retries to a tenth of the requests; the zero value is ready to use.
// It is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// repaid counts the first requests, which earn no retries because they repay initialRetries.
	repaid int
	// earned is the number of retries allowed now minus initialRetries; it may be negative.
	earned float64
}

const (
	// retryRatio is the number of retries that each request earns.
	retryRatio = 0.1
	// initialRetries is the number of retries that a VM may use before its first requests have earned any.
	initialRetries = 10
	// repayRequests is the number of requests that would earn initialRetries.
	repayRequests = initialRetries / retryRatio
	// maxRetries is the most retries that can accumulate; it limits the retries of a sudden burst of failures.
	maxRetries = 100
)

// Request counts the first attempt of a request.
func (b *RetryBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.repaid < repayRequests {
		b.repaid++
		return
	}
	b.earned = min(b.earned+retryRatio, maxRetries-initialRetries)
}

// Retry reports whether a retry is allowed, and deducts it if so.
func (b *RetryBudget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance covers rounding errors of repeated additions.
	if b.earned+initialRetries < 1-1e-9 {
		return false
	}
	b.earned--
	return true
}

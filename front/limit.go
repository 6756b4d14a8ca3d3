package front

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/admit"
)

// rateLimit limits the rate of all requests of each team; its zero value works.
type rateLimit struct {
	mu    sync.Mutex
	rates admit.RateLimiter
}

func (l *rateLimit) take(now time.Time, r *callerInfo) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rates.Take(now, r.team, r.snapshot.LiveVMs)
}

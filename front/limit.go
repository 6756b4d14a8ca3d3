package front

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/admit"
)

// rateLimit bounds the requests of each team, whatever they ask for; its zero value works.
type rateLimit struct {
	mu    sync.Mutex
	rates admit.RateLimiter
}

func (l *rateLimit) take(now time.Time, r *caller) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rates.Take(now, r.team, r.snapshot.LiveVMs)
}

package admit

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
)

// Budgets keeps a WindowBudget for each service, since the platform bounds the retries to each by itself. Its zero value
// allows no retries. It is safe for use by many goroutines.
type Budgets struct {
	mu        sync.Mutex
	ratio     float64
	allowance float64
	window    time.Duration
	services  map[teaselstream.ServiceID]*WindowBudget
	// first is the time of the first request to any service.
	first time.Time
}

// Set changes the limits of all services.
func (b *Budgets) Set(ratio, allowance float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.allowance, b.window = ratio, allowance, window
	for _, x := range b.services {
		x.Set(ratio, allowance, window)
	}
}

// Request counts the first attempt of a request to a service at a time.
func (b *Budgets) Request(now time.Time, s teaselstream.ServiceID) {
	b.mu.Lock()
	if b.first.IsZero() {
		b.first = now
	}
	b.mu.Unlock()
	b.ForService(s).Request(now)
}

// ForService returns the budget of a service.
func (b *Budgets) ForService(s teaselstream.ServiceID) *WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.services[s]
	if x == nil {
		// A service that is first used now has cost no retries since the first request to any.
		x = &WindowBudget{at: b.first}
		x.Set(b.ratio, b.allowance, b.window)
		if b.services == nil {
			b.services = make(map[teaselstream.ServiceID]*WindowBudget)
		}
		b.services[s] = x
	}
	return x
}

package admit

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
)

// Budgets holds one WindowBudget per service, because the platform limits the retries to each service separately.
// The zero value allows no retries. It is safe for concurrent use.
type Budgets struct {
	mu        sync.Mutex
	ratio     float64
	allowance float64
	window    time.Duration
	services  map[teaselstream.ServiceID]*WindowBudget
	// started is when the VM started, or the time of the first request to any service; the budgets of all services refill from
	// then on.
	started time.Time
}

// Set changes the limits of every service; see WindowBudget for their meaning.
func (b *Budgets) Set(ratio, allowance float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.allowance, b.window = ratio, allowance, window
	for _, x := range b.services {
		x.Set(ratio, allowance, window)
	}
}

// Start sets when the VM started. It has spent no retries since, so its budgets refill before the first request.
func (b *Budgets) Start(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started = now
}

// Request counts a new request to service s; retries of it are not counted here.
func (b *Budgets) Request(now time.Time, s teaselstream.ServiceID) {
	b.mu.Lock()
	if b.started.IsZero() {
		b.started = now
	}
	b.mu.Unlock()
	b.ForService(s).Request(now)
}

// ForService returns the budget of service s and creates it if needed.
func (b *Budgets) ForService(s teaselstream.ServiceID) *WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.services[s]
	if x == nil {
		// A service that is used for the first time has spent no retries, so its budget has refilled since b.started.
		x = &WindowBudget{refilledAt: b.started}
		x.Set(b.ratio, b.allowance, b.window)
		if b.services == nil {
			b.services = make(map[teaselstream.ServiceID]*WindowBudget)
		}
		b.services[s] = x
	}
	return x
}

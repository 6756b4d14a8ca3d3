package watch

import (
	"context"
	"sync"
	"time"
)

// alarm wakes a goroutine that waits; its zero value works.
type alarm struct {
	mu   sync.Mutex
	rung bool
	ch   chan struct{}
}

// ring wakes the goroutine that waits, or the next one that does.
func (a *alarm) ring() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rung = true
	if a.ch != nil {
		close(a.ch)
		a.ch = nil
	}
}

// wait returns when the alarm was rung, with true, or when the time is over or ctx ends.
func (a *alarm) wait(ctx context.Context, d time.Duration) bool {
	a.mu.Lock()
	if a.rung {
		a.rung = false
		a.mu.Unlock()
		return true
	}
	if a.ch == nil {
		a.ch = make(chan struct{})
	}
	ch := a.ch
	a.mu.Unlock()
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-ch:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	rung := a.rung
	a.rung = false
	return rung
}

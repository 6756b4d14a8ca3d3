package watch

import (
	"context"
	"sync"
	"time"
)

// wakeup lets one goroutine wait until another one notifies it; its zero value works.
type wakeup struct {
	mu       sync.Mutex
	notified bool
	ch       chan struct{}
}

// notify ends the current wait, or the next one if nobody waits.
func (w *wakeup) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notified = true
	if w.ch != nil {
		close(w.ch)
		w.ch = nil
	}
}

// wait returns true once notify was called, and false if the time is over or ctx ends before.
func (w *wakeup) wait(ctx context.Context, d time.Duration) bool {
	w.mu.Lock()
	if w.notified {
		w.notified = false
		w.mu.Unlock()
		return true
	}
	if w.ch == nil {
		w.ch = make(chan struct{})
	}
	ch := w.ch
	w.mu.Unlock()
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-ch:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	notified := w.notified
	w.notified = false
	return notified
}

package engsim

import (
	"context"
	"slices"
	"sync"

	"github.com/teaselstream/teaselstream"
)

// slots limits the number of concurrent steps; waiting steps run in order of priority, then of arrival.
type slots struct {
	mu      sync.Mutex
	free    int
	waiting []*waiter
}

type waiter struct {
	priority teaselstream.Priority
	ready    chan struct{}
}

// acquire waits for a slot and returns false if the context ends first.
func (s *slots) acquire(ctx context.Context, p teaselstream.Priority) bool {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return true
	}
	w := &waiter{priority: p, ready: make(chan struct{})}
	i := slices.IndexFunc(s.waiting, func(o *waiter) bool { return o.priority < p })
	if i < 0 {
		i = len(s.waiting)
	}
	s.waiting = slices.Insert(s.waiting, i, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return false
	}
	// The slot was assigned to this step just as its context ended, so it goes to the next one.
	s.releaseLocked()
	return false
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	close(s.waiting[0].ready)
	s.waiting = slices.Delete(s.waiting, 0, 1)
}

func (s *slots) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loadTrust is how long a server's statement of its load is corrected by own requests; a stream lasts some seconds.
	loadTrust = 3 * time.Second
	// waitTrust is how long the stated queue of a server holds; a queue turns over in about a second.
	waitTrust = 600 * time.Millisecond
)

type (
	// LoadEstimate counts the work that this VM has in progress at one server, and the load that the server last stated.
	// It is shared by all views and safe for use by many goroutines.
	LoadEstimate struct {
		// OwnTokens is the sum of prompt and answer sizes of running model requests.
		OwnTokens atomic.Int64
		// OwnRequests counts running requests.
		OwnRequests atomic.Int64

		mu     sync.Mutex
		stated stated
	}

	// stated is a server's own statement, with the requests that this VM had there at that time.
	stated struct {
		at      time.Time
		running int
		waiting int
		cache   float64
		own     int64
	}
)

// RecordReport records the running and waiting requests that a server states, and the share of its memory in use; a
// negative share means that it did not say.
func (u *LoadEstimate) RecordReport(now time.Time, running, waiting int, cache float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if cache < 0 {
		cache = u.stated.cache
	}
	u.stated = stated{at: now, running: running, waiting: waiting, cache: cache, own: u.OwnRequests.Load()}
}

// TotalRequests estimates the requests at the server, from its last statement and what this VM sent and ended since;
// ok is false if there is no recent statement.
func (u *LoadEstimate) TotalRequests(now time.Time) (n int, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stated.at.IsZero() || now.Sub(u.stated.at) > loadTrust {
		return 0, false
	}
	return max(u.stated.running+u.stated.waiting+int(u.OwnRequests.Load()-u.stated.own), 0), true
}

// Wait estimates how long a new request waits at the server for others to end, if each takes a given time; it is 0
// without a very recent statement.
func (u *LoadEstimate) Wait(now time.Time, each time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.stated
	if s.at.IsZero() || now.Sub(s.at) > waitTrust || s.running == 0 || s.waiting == 0 {
		return 0
	}
	waiting := s.waiting + int(max(u.OwnRequests.Load()-s.own, 0))
	return each * time.Duration(waiting) / time.Duration(s.running)
}

// NewSinceReport returns how many requests of this VM the server has got, less those that have ended, since its last statement.
func (u *LoadEstimate) NewSinceReport() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int(u.OwnRequests.Load() - u.stated.own)
}

// CacheUtilization returns the share of memory that the server last stated; ok is false if there is no recent statement.
func (u *LoadEstimate) CacheUtilization(now time.Time) (share float64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stated.at.IsZero() || now.Sub(u.stated.at) > loadTrust {
		return 0, false
	}
	return u.stated.cache, true
}

package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loadMaxAge is how long a load report is used, corrected by this VM's own requests; a stream lasts a few seconds.
	loadMaxAge = 3 * time.Second
	// observedMaxAge is how long a load that another VM has read is used. It reads each server that runs requests once a second, and a call to it
	// may be held for half a second.
	observedMaxAge = 2 * time.Second
	// queueMaxAge is how long a reported queue length is used; a queue turns over in about a second.
	queueMaxAge = 600 * time.Millisecond
)

type (
	// LoadEstimate combines the requests that this VM has in progress at one server with the load that the server last
	// reported. All views share it, and it is safe for concurrent use.
	LoadEstimate struct {
		// OwnTokens is the sum of prompt and answer tokens of this VM's running model requests.
		OwnTokens atomic.Int64
		// OwnRequests counts this VM's running requests.
		OwnRequests atomic.Int64

		mu         sync.Mutex
		lastReport lastReport
		observed   observedLoad
	}

	// observedLoad is the load that another VM of the failure domain has read.
	observedLoad struct {
		at       time.Time
		requests int
		cache    float64
	}

	// lastReport is a server's load report, with the number of requests that this VM had there at that time.
	lastReport struct {
		at          time.Time
		running     int
		waiting     int
		cache       float64
		ownRequests int64
	}
)

// RecordReport records the running and waiting requests that a server reports, and the fraction of its cache memory in
// use; a negative fraction means that the report does not contain it.
func (u *LoadEstimate) RecordReport(now time.Time, running, waiting int, cache float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if cache < 0 {
		cache = u.lastReport.cache
	}
	u.lastReport = lastReport{at: now, running: running, waiting: waiting, cache: cache, ownRequests: u.OwnRequests.Load()}
}

// RecordObserved records the requests and the fraction of cache memory in use that another VM has read at the given time.
func (u *LoadEstimate) RecordObserved(at time.Time, requests int, cache float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observed = observedLoad{at, requests, cache}
}

// Observed returns the requests and the fraction of cache memory in use that another VM has read lately; ok is false if none has.
func (u *LoadEstimate) Observed(now time.Time) (requests int, cache float64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.observed.at.IsZero() || now.Sub(u.observed.at) > observedMaxAge {
		return 0, 0, false
	}
	return u.observed.requests, u.observed.cache, true
}

// TotalRequests estimates the running and waiting requests of all VMs at the server: its last report plus the requests
// that this VM started since, minus those that ended. ok is false without a recent report.
func (u *LoadEstimate) TotalRequests(now time.Time) (n int, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lastReport.at.IsZero() || now.Sub(u.lastReport.at) > loadMaxAge {
		return 0, false
	}
	return max(u.lastReport.running+u.lastReport.waiting+int(u.OwnRequests.Load()-u.lastReport.ownRequests), 0), true
}

// Wait estimates how long a new request queues at the server if each request runs for perRequest; it is 0 if the last
// report is older than queueMaxAge or shows no running or no waiting request.
func (u *LoadEstimate) Wait(now time.Time, perRequest time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.lastReport
	if s.at.IsZero() || now.Sub(s.at) > queueMaxAge || s.running == 0 || s.waiting == 0 {
		return 0
	}
	waiting := s.waiting + int(max(u.OwnRequests.Load()-s.ownRequests, 0))
	return perRequest * time.Duration(waiting) / time.Duration(s.running)
}

// NewSinceReport returns the number of requests that this VM started at the server since its last report, minus those
// that ended.
func (u *LoadEstimate) NewSinceReport() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int(u.OwnRequests.Load() - u.lastReport.ownRequests)
}

// CacheUtilization returns the fraction of cache memory in use that the server last reported; ok is false without a
// recent report.
func (u *LoadEstimate) CacheUtilization(now time.Time) (utilization float64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lastReport.at.IsZero() || now.Sub(u.lastReport.at) > loadMaxAge {
		return 0, false
	}
	return u.lastReport.cache, true
}

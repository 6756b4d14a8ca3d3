package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// initialMean is the assumed duration of a stream before any has ended.
	initialMean = 2 * time.Second
	// newestDivisor is the reciprocal of the newest stream's weight in the moving mean.
	newestDivisor = 16
)

// streamDurations is the moving mean of the time from a stream's arrival to its end; the zero value starts at initialMean.
type streamDurations struct{ nanos atomic.Int64 }

func (d *streamDurations) mean() time.Duration {
	if n := d.nanos.Load(); n > 0 {
		return time.Duration(n)
	}
	return initialMean
}

// add updates the mean with one stream. Of two concurrent updates one may be lost, which a mean tolerates.
func (d *streamDurations) add(took time.Duration) {
	mean := d.mean()
	d.nanos.Store(int64(mean + (took-mean)/newestDivisor))
}

// routeDurations holds the moving mean and mean deviation of the time from a request's arrival to its end by route; the zero value
// knows none.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[teaselstream.RouteID]durationStats
}

type durationStats struct{ mean, deviation time.Duration }

// of returns the mean and the mean deviation of a route. A route without an ended request is assumed to keep its objective.
func (d *routeDurations) of(r *teaselstream.Route) (mean, deviation time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.known(r)
	return s.mean, s.deviation
}

func (d *routeDurations) add(r *teaselstream.Route, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byRoute == nil {
		d.byRoute = make(map[teaselstream.RouteID]durationStats)
	}
	s := d.known(r)
	off := took - s.mean
	s.mean += off / newestDivisor
	s.deviation += (off.Abs() - s.deviation) / newestDivisor
	d.byRoute[r.Name] = s
}

func (d *routeDurations) known(r *teaselstream.Route) durationStats {
	if s, ok := d.byRoute[r.Name]; ok {
		return s
	}
	mean := initialMean
	if !r.Stream && r.Objective > 0 {
		mean = r.Objective
	}
	return durationStats{mean, mean / 2}
}

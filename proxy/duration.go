package proxy

import (
	"sync/atomic"
	"time"
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

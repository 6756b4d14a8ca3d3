package proxy

import (
	"sync/atomic"
	"time"
)

const (
	// firstDuration is taken for the time of a stream until some have ended.
	firstDuration = 2 * time.Second
	// durationShare is the weight of the newest stream in the mean, as a divisor.
	durationShare = 16
)

// durations is the mean time that streams take from arrival to end; its zero value begins with a usual time.
type durations struct{ nanos atomic.Int64 }

func (d *durations) mean() time.Duration {
	if n := d.nanos.Load(); n > 0 {
		return time.Duration(n)
	}
	return firstDuration
}

// add takes a stream into the mean; of two at the same moment one may be left out, which does not matter.
func (d *durations) add(took time.Duration) {
	mean := d.mean()
	d.nanos.Store(int64(mean + (took-mean)/durationShare))
}

package shadow

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// requestPeriod and keyPeriod together bound the cost to 20 evaluations per second and VM.
	// Refused keys have a part of their own, since a flood of them would otherwise displace all other samples.
	requestPeriod = time.Second / 16
	keyPeriod     = time.Second / 4
	// queueLength holds the samples of a second; more would only delay what is dropped anyway.
	queueLength = 20
)

// limit lets one sample pass per period; its value is the time in Unix nanoseconds from which the next one may.
type limit struct{ due atomic.Int64 }

// Sampler samples requests and evaluates them on the goroutine of Run; a nil Sampler takes no samples.
type Sampler struct {
	now      func() time.Time
	samples  chan Sample
	requests limit
	keys     limit
	dropped  atomic.Uint64
	mu       sync.Mutex
	core     Core
	// before is the number of drops when the trial document last changed.
	before uint64
}

// NewSampler returns a feed that reads the time from now; Run must run beside it.
func NewSampler(now func() time.Time) *Sampler {
	return &Sampler{now: now, samples: make(chan Sample, queueLength)}
}

// Offer takes a request as a sample if a document is in trial and the rate allows it; it never waits.
//
// The sample is only built if it is taken.
func (f *Sampler) Offer(s *teaselstream.Snapshot, build func() Sample) {
	if f.active(s) && f.requests.pass(f.now(), requestPeriod) {
		f.put(s, build())
	}
}

// OfferRefusedKey takes the digest of a key that production refuses as a sample, under the conditions of Offer.
func (f *Sampler) OfferRefusedKey(s *teaselstream.Snapshot, key teaselstream.Digest) {
	if f.active(s) && f.keys.pass(f.now(), keyPeriod) {
		f.put(s, Sample{Key: key})
	}
}

func (f *Sampler) active(s *teaselstream.Snapshot) bool {
	return f != nil && s != nil && s.Document != nil && s.Trial != nil
}

func (l *limit) pass(now time.Time, period time.Duration) bool {
	due := l.due.Load()
	return now.UnixNano() >= due && l.due.CompareAndSwap(due, now.Add(period).UnixNano())
}

func (f *Sampler) put(s *teaselstream.Snapshot, x Sample) {
	x.Snapshot = s
	select {
	case f.samples <- x:
	default:
		f.dropped.Add(1)
	}
}

// Run evaluates samples until ctx ends.
func (f *Sampler) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-f.samples:
			f.evaluate(x)
		}
	}
}

// Counts returns the counts for the trial document with the given digest, which are zero if none was evaluated yet.
func (f *Sampler) Counts(trial teaselstream.Digest) Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, c := f.core.Counts()
	if d != trial {
		return (&Counts{}).Clone()
	}
	c.Dropped = f.dropped.Load() - f.before
	return c
}

func (f *Sampler) evaluate(x Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A document that is only in trial must not end the process that serves production.
	defer func() {
		if r := recover(); r != nil {
			slog.Error("shadow evaluation failed; its counts restart", "trial", x.Snapshot.Trial.Digest, "panic", r)
			f.core = Core{}
		}
	}()
	if d, _ := f.core.Counts(); d != x.Snapshot.Trial.Digest {
		f.before = f.dropped.Load()
	}
	f.core.Update(f.now(), x)
}

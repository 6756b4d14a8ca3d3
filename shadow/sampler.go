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
	// requestInterval and keyInterval together limit a VM to 20 evaluations per second. Refused keys have a limit of
	// their own, since many requests with wrong keys would otherwise displace all other samples.
	requestInterval = time.Second / 16
	keyInterval     = time.Second / 4
	// queueLength is the number of samples of one second; a longer queue would only delay the drops of a slow evaluation.
	queueLength = 20
)

// rateLimit allows one sample per interval; next is the time in Unix nanoseconds from which the next one is allowed.
type rateLimit struct{ next atomic.Int64 }

// Sampler takes samples of requests and evaluates them on the goroutine of Run; a nil Sampler takes no samples.
type Sampler struct {
	now      func() time.Time
	samples  chan Sample
	requests rateLimit
	keys     rateLimit
	dropped  atomic.Uint64
	mu       sync.Mutex
	core     Core
	// droppedBefore is the value of dropped when the trial document last changed.
	droppedBefore uint64
}

// NewSampler returns a sampler that reads the time from now; its samples are evaluated while Run runs.
func NewSampler(now func() time.Time) *Sampler {
	return &Sampler{now: now, samples: make(chan Sample, queueLength)}
}

// Offer takes a request as a sample if a document is in trial and the rate limit allows it; it never blocks.
//
// It calls build only if it takes the sample.
func (sm *Sampler) Offer(s *teaselstream.Snapshot, build func() Sample) {
	if sm.hasTrial(s) && sm.requests.allow(sm.now(), requestInterval) {
		sm.enqueue(s, build())
	}
}

// OfferRefusedKey takes the digest of a key that production refuses as a sample; it has a rate limit of its own.
func (sm *Sampler) OfferRefusedKey(s *teaselstream.Snapshot, key teaselstream.Digest) {
	if sm.hasTrial(s) && sm.keys.allow(sm.now(), keyInterval) {
		sm.enqueue(s, Sample{Key: key})
	}
}

func (sm *Sampler) hasTrial(s *teaselstream.Snapshot) bool {
	return sm != nil && s != nil && s.Document != nil && s.Trial != nil
}

func (l *rateLimit) allow(now time.Time, interval time.Duration) bool {
	next := l.next.Load()
	return now.UnixNano() >= next && l.next.CompareAndSwap(next, now.Add(interval).UnixNano())
}

func (sm *Sampler) enqueue(s *teaselstream.Snapshot, x Sample) {
	x.Snapshot = s
	select {
	case sm.samples <- x:
	default:
		sm.dropped.Add(1)
	}
}

// Run evaluates samples until ctx ends.
func (sm *Sampler) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-sm.samples:
			sm.evaluate(x)
		}
	}
}

// Counts returns the counts for the trial document with the given digest, or zero counts if it was not the last one evaluated.
func (sm *Sampler) Counts(trial teaselstream.Digest) Counts {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	d, c := sm.core.Counts()
	if d != trial {
		return (&Counts{}).Clone()
	}
	c.Dropped = sm.dropped.Load() - sm.droppedBefore
	return c
}

func (sm *Sampler) evaluate(x Sample) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	// The process serves production requests, so a panic on a document that is only in trial must not end it.
	defer func() {
		if r := recover(); r != nil {
			slog.Error("shadow evaluation failed; its counts restart", "trial", x.Snapshot.Trial.Digest, "panic", r)
			sm.core = Core{}
		}
	}()
	if d, _ := sm.core.Counts(); d != x.Snapshot.Trial.Digest {
		sm.droppedBefore = sm.dropped.Load()
	}
	sm.core.Update(sm.now(), x)
}

package plat

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// expiryTime is the time after a crash until the replica's entry is removed from the store.
	expiryTime = time.Second
	// restartTime is the time after a crash until an empty replica starts in place of the crashed one.
	restartTime = 2 * time.Second
)

// crashLog records crashes and the arrivals of the requests that cause them.
type crashLog struct {
	crashed  []time.Time
	arrived  []time.Time
	replaced int
}

// CrashTimes returns the times at which replicas crashed, in order.
func (f *Fleet) CrashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashes.crashed...)
}

// HarmfulArrivals returns the times at which requests that crash replicas reached one, in order.
func (f *Fleet) HarmfulArrivals() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashes.arrived...)
}

func (f *Fleet) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

func (f *Fleet) harmful(q *http.Request) bool { return f.Crashes != nil && f.Crashes(q) }

func (f *Fleet) recordArrival(q *http.Request) {
	if !f.harmful(q) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes.arrived = append(f.crashes.arrived, time.Now())
}

// crashIfHarmful crashes the replica if a request does that: all its connections close, and an empty replica with a new id
// starts in its place later. It does not return in that case.
func (r *Replica) crashIfHarmful(q *http.Request) {
	f := r.fleet
	if !f.harmful(q) {
		return
	}
	r.mu.Lock()
	first := !r.killed
	r.killed = true
	r.mu.Unlock()
	if first {
		f.mu.Lock()
		f.crashes.crashed = append(f.crashes.crashed, time.Now())
		f.crashes.replaced++
		id := fmt.Sprintf("%s-%d", r.id, f.crashes.replaced)
		f.mu.Unlock()
		if err := r.Kill(); err != nil {
			f.recordError("%v", err)
		}
		time.AfterFunc(expiryTime, r.Remove)
		time.AfterFunc(restartTime, func() {
			if f.isClosed() {
				return
			}
			if _, err := f.Add(id, r.zone, r.kind); err != nil {
				f.recordError("restart: %v", err)
			}
		})
	}
	panic(http.ErrAbortHandler)
}

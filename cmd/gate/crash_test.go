package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// contactTime is the platform's bound for what VMs in touch must know of each other.
	contactTime = 3 * time.Second
	// maxLateArrivals is the number of requests that may still reach replicas contactTime after the crash that counts.
	maxLateArrivals = 3
	harmfulSegment  = "bad0"
	sharedSegment   = "5c1e"
)

// Guards against requests with a segment that crashes servers being sent to one server after another (BUDGET, incident inc1), and
// against sound requests with the same key and first segment being refused together with them.
func TestSegmentThatCrashesServers(t *testing.T) {
	t.Parallel()
	l := startLoad(t, 3, func(q *http.Request) bool { return strings.Contains(q.Header.Get("X-Prefix-Hash"), harmfulSegment+":") })
	l.every(25*time.Millisecond, func() { l.sendSound(fmt.Sprintf("/draft/?n=%d", 5+rand.IntN(20)), sharedSegment) })
	const before = 2 * time.Second
	time.Sleep(before)
	start := time.Now()
	l.every(400*time.Millisecond, func() {
		l.send(http.MethodGet, fmt.Sprintf("/draft/?n=%d", 5+rand.IntN(50)), "", sharedSegment, harmfulSegment)
	})
	fifth, ok := l.crashTime(t, 5, 5*time.Second)
	if !ok {
		// Fewer crashes: the bounds count from the last one.
		times := l.platform.fleet.CrashTimes()
		if len(times) == 0 {
			t.Fatal("no replica crashed")
		}
		fifth = times[len(times)-1]
	}
	sleepUntil(fifth.Add(2 * contactTime))
	const observed = 4 * time.Second
	time.Sleep(observed)
	t.Run("budget", func(t *testing.T) {
		if n := l.arrivalsAfter(fifth.Add(contactTime)); n > maxLateArrivals {
			t.Errorf("%d requests with the segment reached replicas later than %s after the fifth crash, want at most %d; %d crashes",
				n, contactTime, maxLateArrivals, len(l.platform.fleet.CrashTimes()))
		}
	})
	t.Run("sound-requests", func(t *testing.T) {
		usual, n := l.answered(start.Add(-before), start)
		now, m := l.answered(fifth.Add(2*contactTime), time.Now().Add(-time.Second))
		if n < 20 || m < 20 || now < usual/2 {
			t.Errorf("%.2f of %d sound requests answered, want at least half of the usual %.2f (of %d)", now, m, usual, n)
		}
	})
}

// Guards against a request that crashes servers being sent to servers again and again when it returns with the same path, caller
// and body, at any VM (BUDGET).
func TestContentThatCrashesServers(t *testing.T) {
	for _, x := range []struct{ name, method, path string }{
		{"model", http.MethodPost, "/draft/crash?n=9"},
		{"call", http.MethodGet, "/look/crash"},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			l := startLoad(t, 3, func(q *http.Request) bool { return strings.HasSuffix(q.URL.Path, "/crash") })
			l.every(50*time.Millisecond, func() { l.sendSound(fmt.Sprintf("/draft/?n=%d", 5+rand.IntN(20)), sharedSegment) })
			time.Sleep(time.Second)
			l.every(200*time.Millisecond, func() { l.send(x.method, x.path, "the same body") })
			third, ok := l.crashTime(t, 3, 6*time.Second)
			if !ok {
				t.Fatalf("%d crashes, want 3", len(l.platform.fleet.CrashTimes()))
			}
			sleepUntil(third.Add(contactTime + 3*time.Second))
			if n := l.arrivalsAfter(third.Add(contactTime)); n > maxLateArrivals {
				t.Errorf("the request reached replicas %d times later than %s after the third crash, want at most %d; %d crashes",
					n, contactTime, maxLateArrivals, len(l.platform.fleet.CrashTimes()))
			}
		})
	}
}

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

const (
	// contactTime is the platform's bound for what VMs in touch must know of each other.
	contactTime = 3 * time.Second
	// maxLateArrivals is the number of requests that may still reach replicas contactTime after the crash that counts.
	maxLateArrivals = 3
	harmfulSegment  = "bad0"
	sharedSegment   = "5c1e"
)

// crashLoad sends requests to all gates: sound ones and, from a given time, harmful ones.
type crashLoad struct {
	platform *testPlatform
	stop     chan struct{}
	wait     sync.WaitGroup
	sent     atomic.Int64
	mu       sync.Mutex
	sound    []soundRequest
}

type soundRequest struct {
	at       time.Time
	answered bool
	attempt  string
}

// send sends a request to a gate, with a prompt of the given segments and a last one of its own.
func (l *crashLoad) send(method, path, body string, segments ...string) callerResponse {
	attempt := fmt.Sprintf("crash-%d", l.sent.Add(1))
	q, err := http.NewRequest(method, "http://"+l.gateAddress()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return callerResponse{err: err, attempt: attempt}
	}
	q.Host = "test.example"
	plat.SetRequestHeaders(q.Header, attempt, testKey, 4*time.Second)
	if len(segments) > 0 {
		plat.SetPrompt(q.Header, append(segments, attempt)...)
	}
	p, err := http.DefaultTransport.(*http.Transport).Clone().RoundTrip(q)
	if err != nil {
		return callerResponse{err: err, attempt: attempt}
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	return callerResponse{status: p.StatusCode, header: p.Header, body: string(b), complete: err == nil, err: err, attempt: attempt}
}

// every calls f in its own goroutine once a period until the load stops.
func (l *crashLoad) every(period time.Duration, f func()) {
	l.wait.Go(func() {
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case <-l.stop:
				return
			case <-t.C:
				l.wait.Go(f)
			}
		}
	})
}

// removeGate stops sending to a gate and then stops the gate.
func (l *crashLoad) removeGate(i int) {
	s := l.platform
	l.mu.Lock()
	stop := s.stopGates[i]
	s.stopGates = slices.Delete(slices.Clone(s.stopGates), i, i+1)
	s.gateAddresses = slices.Delete(slices.Clone(s.gateAddresses), i, i+1)
	l.mu.Unlock()
	stop()
}

// addGate starts a gate and sends to it from then on.
func (l *crashLoad) addGate(t *testing.T, n int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platform.startGate(t, n, l.platform.storeAddress)
}

func (l *crashLoad) gateAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.platform.gateAddresses[rand.IntN(len(l.platform.gateAddresses))]
}

func (l *crashLoad) sendSound(path string, segments ...string) {
	began := time.Now()
	a := l.send(http.MethodGet, path, "", segments...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sound = append(l.sound, soundRequest{began, a.status == http.StatusOK && a.complete, a.attempt})
}

// answered returns the share of the sound requests that were sent in a time span and answered, and their number.
func (l *crashLoad) answered(from, to time.Time) (share float64, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	served := 0
	for _, x := range l.sound {
		if x.at.Before(from) || !x.at.Before(to) {
			continue
		}
		n++
		if x.answered {
			served++
		}
	}
	return float64(served) / float64(max(n, 1)), n
}

// startCrashLoad starts gates, replicas that a request crashes if harmful says so, and a load without harmful requests.
func startCrashLoad(t *testing.T, gates int, harmful func(*http.Request) bool) *crashLoad {
	t.Helper()
	s := startPlatformWith(t, gates, func(f *plat.Fleet) { f.Crashes = harmful })
	for i := range 14 {
		if _, err := s.fleet.Add(fmt.Sprintf("x%d", i), "zone-a", "acc"); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 8 {
		if _, err := s.fleet.Add(fmt.Sprintf("y%d", i), "zone-a", ""); err != nil {
			t.Fatal(err)
		}
	}
	l := &crashLoad{platform: s, stop: make(chan struct{})}
	t.Cleanup(func() {
		close(l.stop)
		l.wait.Wait()
	})
	// The replicas that were added load their layers meanwhile.
	time.Sleep(2 * time.Second)
	return l
}

// crashTime waits for a number of crashes and returns the time of the last one.
func (l *crashLoad) crashTime(t *testing.T, n int, limit time.Duration) (time.Time, bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if times := l.platform.fleet.CrashTimes(); len(times) >= n {
			return times[n-1], true
		}
	}
	return time.Time{}, false
}

func (l *crashLoad) arrivalsAfter(at time.Time) int {
	n := 0
	for _, x := range l.platform.fleet.HarmfulArrivals() {
		if x.After(at) {
			n++
		}
	}
	return n
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// Guards against requests with a segment that crashes servers being sent to one server after another (BUDGET, incident inc1), and
// against sound requests with the same key and first segment being refused together with them.
func TestSegmentThatCrashesServers(t *testing.T) {
	t.Parallel()
	l := startCrashLoad(t, 3, func(q *http.Request) bool { return strings.Contains(q.Header.Get("X-Prefix-Hash"), harmfulSegment+":") })
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
			l := startCrashLoad(t, 3, func(q *http.Request) bool { return strings.HasSuffix(q.URL.Path, "/crash") })
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

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

// gateLoad sends requests to all gates: sound ones and, from a given time, harmful ones.
type gateLoad struct {
	platform *testPlatform
	stop     chan struct{}
	wait     sync.WaitGroup
	sent     atomic.Int64
	mu       sync.Mutex
	sound    []soundRequest
	// finish ends the load and waits for its requests.
	finish func()
}

type soundRequest struct {
	at       time.Time
	answered bool
	callerResponse
}

// send sends a request to a gate, with a prompt of the given segments and a last one of its own.
func (l *gateLoad) send(method, path, body string, segments ...string) callerResponse {
	attempt, gate := fmt.Sprintf("load-%d", l.sent.Add(1)), l.gateAddress()
	q, err := http.NewRequest(method, "http://"+gate+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return callerResponse{err: err, attempt: attempt, gate: gate}
	}
	q.Host = "test.example"
	plat.SetRequestHeaders(q.Header, attempt, testKey, 4*time.Second)
	if len(segments) > 0 {
		plat.SetPrompt(q.Header, append(segments, attempt)...)
	}
	p, err := http.DefaultTransport.(*http.Transport).Clone().RoundTrip(q)
	if err != nil {
		return callerResponse{err: err, attempt: attempt, gate: gate}
	}
	headAt := time.Now()
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	return callerResponse{
		status: p.StatusCode, header: p.Header, body: string(b), complete: err == nil, err: err, attempt: attempt, gate: gate, headAt: headAt,
	}
}

// every calls f in its own goroutine once a period until the load stops.
func (l *gateLoad) every(period time.Duration, f func()) {
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
func (l *gateLoad) removeGate(i int) {
	s := l.platform
	l.mu.Lock()
	stop := s.stopGates[i]
	s.stopGates = slices.Delete(slices.Clone(s.stopGates), i, i+1)
	s.gateAddresses = slices.Delete(slices.Clone(s.gateAddresses), i, i+1)
	l.mu.Unlock()
	stop()
}

// addGate starts a gate and sends to it from then on.
func (l *gateLoad) addGate(t *testing.T, n int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platform.startGate(t, n, l.platform.storeAddress)
}

func (l *gateLoad) gateAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.platform.gateAddresses[rand.IntN(len(l.platform.gateAddresses))]
}

func (l *gateLoad) sendSound(path string, segments ...string) {
	began := time.Now()
	a := l.send(http.MethodGet, path, "", segments...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sound = append(l.sound, soundRequest{began, a.status == http.StatusOK && a.complete, a})
}

// answered returns the share of the sound requests that were sent in a time span and answered, and their number.
func (l *gateLoad) answered(from, to time.Time) (share float64, n int) {
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

// startLoad starts gates, replicas that a request crashes if harmful says so, and a load without harmful requests.
func startLoad(t *testing.T, gates int, harmful func(*http.Request) bool) *gateLoad {
	t.Helper()
	return startLoadWith(t, gates, func(s *testPlatform) { s.fleet.Crashes = harmful })
}

// startLoadWith starts a load as startLoad does, after configure has changed the fleet or its bounds.
func startLoadWith(t *testing.T, gates int, configure func(*testPlatform)) *gateLoad {
	t.Helper()
	s := startPlatformWith(t, gates, configure)
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
	l := &gateLoad{platform: s, stop: make(chan struct{})}
	l.finish = sync.OnceFunc(func() {
		close(l.stop)
		l.wait.Wait()
	})
	t.Cleanup(l.finish)
	// The replicas that were added load their layers meanwhile.
	time.Sleep(2 * time.Second)
	return l
}

// crashTime waits for a number of crashes and returns the time of the last one.
func (l *gateLoad) crashTime(t *testing.T, n int, limit time.Duration) (time.Time, bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if times := l.platform.fleet.CrashTimes(); len(times) >= n {
			return times[n-1], true
		}
	}
	return time.Time{}, false
}

func (l *gateLoad) arrivalsAfter(at time.Time) int {
	n := 0
	for _, x := range l.platform.fleet.HarmfulArrivals() {
		if x.After(at) {
			n++
		}
	}
	return n
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

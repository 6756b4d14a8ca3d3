package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

const (
	// waitGrace is the time after a replica has answered 503 with Retry-After from which the platform counts requests.
	waitGrace = 500 * time.Millisecond
	// maxInWait is the number of requests that may reach the replica from one VM between waitGrace and the end of the time.
	maxInWait = 2
)

// checkWaits reports replicas that got too much, reports and orders included, while they had asked the one gate to wait.
func checkWaits(t *testing.T, replicas []*plat.Replica, wait time.Duration) {
	t.Helper()
	told := 0
	for _, r := range replicas {
		reached := r.Reached()
		for _, x := range r.TurnedAway() {
			told++
			n := 0
			for _, a := range reached {
				if a.At.Sub(x.At) > waitGrace && a.At.Sub(x.At) < wait {
					n++
				}
			}
			if n > maxInWait {
				t.Errorf("replica %s asked the gate to wait for %s, and %d requests reached it in that time, want at most %d", r.ID(), wait, n, maxInWait)
				break
			}
		}
	}
	if told == 0 {
		t.Error("no replica turned a request away")
	}
}

// Guards against requests, reports and orders that reach a replica while it has asked this VM to wait (BUDGET), and against replicas
// that are not used again afterwards.
func TestReplicasThatAskToWait(t *testing.T) {
	l := startLoad(t, 1, nil)
	s := l.platform
	l.every(20*time.Millisecond, func() { l.sendSound(fmt.Sprintf("/draft/?n=%d", 5+rand.IntN(40)), sharedSegment) })
	l.every(20*time.Millisecond, func() { l.sendSound("/look/1") })
	l.every(25*time.Millisecond, func() { l.send(http.MethodPost, "/order/1", "x") })
	time.Sleep(time.Second)
	const wait = 3 * time.Second
	var busy []*plat.Replica
	for i, r := range s.fleet.Replicas() {
		if i%3 == 0 {
			busy = append(busy, r)
			r.TurnAway(wait, 2*wait)
		}
	}
	time.Sleep(3*wait + time.Second)
	checkWaits(t, busy, wait)
	used := 0
	for _, r := range busy {
		turned := r.TurnedAway()
		for _, at := range r.Arrivals() {
			if len(turned) > 0 && at.After(turned[len(turned)-1].At) {
				used++
			}
		}
	}
	if used == 0 {
		t.Error("no replica is used again after it has asked to wait")
	}
	if share, n := l.answered(time.Now().Add(-2*wait), time.Now().Add(-waitGrace)); share < 0.9 {
		t.Errorf("%.2f of %d requests are answered while replicas ask to wait, want 0.9", share, n)
	}
}

// Guards against callers that are kept waiting, or told nothing, while all replicas of a service have asked this VM to wait.
func TestAllReplicasAskToWait(t *testing.T) {
	s := startPlatform(t, 1)
	const wait = 3 * time.Second
	for _, r := range s.fleet.Replicas() {
		r.TurnAway(wait, wait)
	}
	for _, path := range []string{"/look/1", "/draft/?n=5"} {
		a := s.get(0, path, "first "+path)
		if a.status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d, want 503", path, a.status)
		}
	}
	time.Sleep(waitGrace)
	for i, path := range []string{"/look/1", "/draft/?n=5", "/look/2", "/draft/?n=6", "/look/3", "/draft/?n=7"} {
		began := time.Now()
		a := s.get(0, path, fmt.Sprint("later", i))
		took := time.Since(began)
		if a.status != http.StatusServiceUnavailable || plat.RetryAfter(a.header) < time.Second || plat.RetryAfter(a.header) > wait || took > waitGrace {
			t.Errorf("%s: status %d with Retry-After %s after %s; want 503 at once, with the time until the replicas take requests",
				path, a.status, plat.RetryAfter(a.header), took)
		}
	}
	checkWaits(t, s.fleet.Replicas(), wait)
	time.Sleep(wait)
	s.checkEvents(t, s.get(0, "/draft/?n=5", "after"), 5)
	if a := s.get(0, "/look/1", "after look"); a.status != http.StatusOK {
		t.Errorf("after the wait: status %d, want 200", a.status)
	}
}

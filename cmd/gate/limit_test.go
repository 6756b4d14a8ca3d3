package main

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

// limitWindow is the time in which the platform counts the requests of a replica that has named a limit.
const limitWindow = 4 * time.Second

// mostInWindow returns the most requests that arrived within limitWindow from a time on.
func mostInWindow(arrived []time.Time, from time.Time) int {
	most, first := 0, 0
	for i, at := range arrived {
		for arrived[first].Before(from) && first < i || at.Sub(arrived[first]) > limitWindow {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against replicas that get more requests than the limit that they have named to the VMs (LIMIT), while a VM stops and one
// starts, and against replicas that get none once they name none any more.
func TestReplicasThatNameALimit(t *testing.T) {
	t.Parallel()
	l := startLoad(t, 3, nil)
	s := l.platform
	l.every(8*time.Millisecond, func() { l.sendSound(fmt.Sprintf("/draft/?n=%d", 5+rand.IntN(10)), sharedSegment) })
	l.every(10*time.Millisecond, func() { l.sendSound("/look/1") })
	time.Sleep(2 * time.Second)
	// The first replica of each service stays without a limit.
	const limit = 5.0
	var limited []*plat.Replica
	for i, r := range s.fleet.Replicas() {
		if i%4 > 0 {
			r.SetLimit(limit)
			limited = append(limited, r)
		}
	}
	from := time.Now().Add(contactTime)
	time.Sleep(contactTime)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		l.removeGate(0)
	}()
	time.Sleep(time.Second)
	l.addGate(t, 3)
	time.Sleep(limitWindow + 2*time.Second)
	const allowed = 1.5*limit*4 + 5
	used := 0
	for _, r := range limited {
		n := mostInWindow(r.Arrivals(), from)
		if float64(n) > allowed {
			t.Errorf("replica %s named a limit of %.1f a second and got %d requests in %s, want at most %.0f", r.ID(), limit, n, limitWindow, allowed)
		}
		if n > 0 {
			used++
		}
		r.SetLimit(0)
	}
	if used == 0 {
		t.Error("no replica with a limit gets requests")
	}
	<-stopped
	time.Sleep(2 * time.Second)
	before := make(map[*plat.Replica]int)
	for _, r := range limited {
		before[r] = len(r.Arrivals())
	}
	time.Sleep(limitWindow)
	most := 0
	for _, r := range limited {
		most = max(most, len(r.Arrivals())-before[r])
	}
	if float64(most) <= limit*4 {
		t.Errorf("replicas that name no limit any more get %d requests in %s, want more than their limit allowed", most, limitWindow)
	}
}

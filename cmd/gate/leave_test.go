package main

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

// testDrainTime is the drain time of gates without a setting: the platform's DrainMs.
const testDrainTime = 2 * time.Second

// checkLeaving reports requests that callers sent later than the drain time after the same gate had passed on an answer that said
// that a replica leaves, and that reached this replica.
func (l *gateLoad) checkLeaving(t *testing.T, replicas []*plat.Replica) {
	t.Helper()
	type pair struct{ gate, replica string }
	l.mu.Lock()
	defer l.mu.Unlock()
	requests := make(map[string]soundRequest)
	told := make(map[pair]time.Time)
	for _, x := range l.sound {
		requests[x.attempt] = x
		p := pair{x.gate, plat.ReplicaID(x.header)}
		if at, ok := told[p]; plat.SaysLeaving(x.header) && (!ok || x.headAt.Before(at)) {
			told[p] = x.headAt
		}
	}
	if len(told) == 0 {
		t.Error("no answer said that its replica leaves")
	}
	for _, r := range replicas {
		for _, a := range r.Reached() {
			x, ok := requests[a.Attempt]
			at, said := told[pair{x.gate, r.ID()}]
			if !ok || !said || x.at.Sub(at) <= testDrainTime {
				continue
			}
			t.Errorf("request %s, sent %s after gate %s had passed on that replica %s leaves, reached it; log of the request:\n%s",
				x.attempt, x.at.Sub(at), x.gate, r.ID(), l.platform.gateLog.linesAbout(x.attempt))
			break
		}
	}
}

// Guards against requests that reach a replica after a gate has passed on its answer that it leaves (DRAIN), while the store is away
// and after it has come back with entries that still say that these replicas are ready.
func TestReplicasThatSayThatTheyLeave(t *testing.T) {
	l := startLoad(t, 5, nil)
	s := l.platform
	l.every(16*time.Millisecond, func() { l.sendSound(fmt.Sprintf("/draft/?n=%d", 5+rand.IntN(40)), sharedSegment) })
	l.every(20*time.Millisecond, func() { l.sendSound("/look/1") })
	time.Sleep(time.Second)
	s.store.SetDown(true)
	var leaving []*plat.Replica
	for i, r := range s.fleet.Replicas() {
		if i%4 == 1 {
			leaving = append(leaving, r)
			r.DrainUnlisted()
		}
	}
	time.Sleep(2 * testDrainTime)
	s.store.SetDown(false)
	for range 3 {
		time.Sleep(time.Second)
		for _, r := range leaving {
			r.Heartbeat()
		}
	}
	l.checkLeaving(t, leaving)
	if share, n := l.answered(time.Now().Add(-testDrainTime), time.Now()); share < 0.9 {
		t.Errorf("%.2f of %d requests are answered while replicas leave, want 0.9", share, n)
	}
}

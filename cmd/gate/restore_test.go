package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

const (
	// configApplyTime is the platform's ConfigApplyMs for fleets with readers. A VM is bound again contactTime after the store was away.
	configApplyTime = 3 * time.Second
	// restoredGates is enough for readers, and for VMs behind them.
	restoredGates = 7
)

// accepted returns the gates that accept a key.
func (s *testPlatform) accepted(key, attempt string) []int {
	var gates []int
	for i := range s.gateAddresses {
		if a := s.do(i, http.MethodGet, "/look/1", fmt.Sprint(attempt, "-", i), key); a.status != http.StatusUnauthorized {
			gates = append(gates, i)
		}
	}
	return gates
}

// awaitKey waits until all gates accept a key.
func (s *testPlatform) awaitKey(t *testing.T, key string, limit time.Duration) {
	t.Helper()
	var gates []int
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if gates = s.accepted(key, fmt.Sprint(key, time.Now().UnixNano())); len(gates) == len(s.gateAddresses) {
			return
		}
	}
	t.Errorf("gates %v of %d accept key %s %s after its configuration was acknowledged, want all", gates, len(s.gateAddresses), key, limit)
}

func (s *testPlatform) heartbeats(rounds int) {
	for range rounds {
		for _, r := range s.fleet.Replicas() {
			r.Heartbeat()
		}
	}
}

// loseChanges makes the store come back from a copy, after an outage. Configurations 2 to 5 and the heartbeats between them are lost. With
// passed set, the operator and the replicas write so much before a gate reaches the store that its revision passes the lost ones.
func (s *testPlatform) loseChanges(passed bool) {
	before := s.store.Copy()
	for version := 2; version <= 5; version++ {
		s.fleet.Configure(version, testKey, "key-b")
		s.heartbeats(1)
	}
	// All gates have read what will be lost.
	time.Sleep(2 * time.Second)
	s.store.SetDown(true)
	time.Sleep(2 * time.Second)
	s.store.Restore(before)
	s.fleet.Configure(5, testKey, "key-b")
	if passed {
		s.fleet.Configure(6, testKey, "key-c")
		s.heartbeats(8)
	}
	s.store.SetDown(false)
	if !passed {
		time.Sleep(contactTime)
		s.fleet.Configure(6, testKey, "key-c")
	}
}

// Guards against gates that never read a configuration because its revision in a restored store is below the one that they have read
// before (CONFIG): behind readers, and at the store itself.
func TestStoreComesBackFromAnOlderCopy(t *testing.T) {
	for _, x := range []struct {
		gates  int
		passed bool
		limit  time.Duration
	}{
		{2, false, configApplyTime},
		{2, true, contactTime + configApplyTime},
		{restoredGates, false, configApplyTime},
		{restoredGates, true, contactTime + configApplyTime},
	} {
		t.Run(fmt.Sprintf("%d gates, passed %t", x.gates, x.passed), func(t *testing.T) {
			s := startPlatform(t, x.gates)
			s.loseChanges(x.passed)
			s.awaitKey(t, "key-c", x.limit)
			if n := len(s.accepted("key-b", "removed")); n > 0 {
				t.Errorf("%d gates accept the key that the newest configuration removed", n)
			}
			s.checkEvents(t, s.get(0, "/draft/?n=5", "after"), 5)
		})
	}
}

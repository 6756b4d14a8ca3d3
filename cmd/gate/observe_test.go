package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

const (
	// observingVMs is the number of VMs from which a domain has an observer.
	observingVMs = 5
	// newsTime bounds the time from the end of a server to the last VM's knowledge of it. Callers leave 2 s after an event.
	newsTime = 2 * time.Second
)

// countLines returns the number of log lines that hold all of the texts.
func (l *requestLog) countLines(texts ...string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, line := range l.lines {
		found := true
		for _, text := range texts {
			found = found && strings.Contains(line, text)
		}
		if found {
			n++
		}
	}
	return n
}

// waitForLines waits until the log has the given number of lines that hold all of the texts.
func (s *testPlatform) waitForLines(t *testing.T, limit time.Duration, want int, texts ...string) {
	t.Helper()
	for end := time.Now().Add(limit); s.gateLog.countLines(texts...) < want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d log lines with %q after %s, want %d", s.gateLog.countLines(texts...), texts, limit, want)
		}
	}
}

// middleReplica waits for a replica that holds layers behind the first ones, all of which others hold too, and returns it. Streams wait for
// seconds until another server has loaded layers that nobody else holds.
func (s *testPlatform) middleReplica(t *testing.T) *plat.Replica {
	t.Helper()
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, r := range s.fleet.Replicas() {
			if from, to := r.HeldLayers(); from > 0 && to > from && s.heldElsewhere(r, from, to) {
				return r
			}
		}
	}
	t.Fatal("no replica holds only layers behind the first that others hold too")
	return nil
}

// heldElsewhere reports whether replicas other than r hold all layers from one to another.
func (s *testPlatform) heldElsewhere(r *plat.Replica, from, to int) bool {
	for l := from; l < to; l++ {
		held := false
		for _, x := range s.fleet.Replicas() {
			first, last := x.HeldLayers()
			held = held || x != r && first <= l && l < last
		}
		if !held {
			return false
		}
	}
	return true
}

// waitForPaths waits until each VM serves a short stream. A VM reads up to two seconds after the replicas hold their layers that they do, and
// refuses requests as not run until then.
func (s *testPlatform) waitForPaths(t *testing.T) {
	t.Helper()
	end := time.Now().Add(startTime)
	for i := range s.gateAddresses {
		for n := 0; ; n++ {
			a := s.get(i, "/draft/?n=1", fmt.Sprintf("first-%d-%d", i, n))
			if a.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("VM %d answers %d, error %v, after %s", i, a.status, a.err, startTime)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Guards against VMs that learn of the end of a server only by their own streams, and against streams that are lost because the observing VM
// is killed at the same time.
func TestObservedEnd(t *testing.T) {
	s := startPlatformWith(t, observingVMs, func(s *testPlatform) {
		s.bounds += "\n[Domain]\nObserve = on\nPace = on"
		for i := range 4 {
			if _, err := s.fleet.Add(fmt.Sprintf("n%d", i), "zone-a", "acc"); err != nil {
				t.Fatal(err)
			}
		}
	})
	s.waitForLines(t, startTime, observingVMs-1, `"msg":"ObserverFound"`)
	lost := s.middleReplica(t)
	s.waitForPaths(t)
	var streams sync.WaitGroup
	for i := range 2 * observingVMs {
		streams.Go(func() {
			s.checkEvents(t, s.get(i%observingVMs, "/draft/?n=200", fmt.Sprintf("observed-%d", i)), 200)
		})
	}
	time.Sleep(300 * time.Millisecond)
	if err := lost.Kill(); err != nil {
		t.Fatal(err)
	}
	s.waitForLines(t, newsTime, observingVMs, `"msg":"ServerDown"`, lost.ID())
	if n := s.gateLog.countLines("ended for another VM", lost.ID()); n == 0 {
		t.Error("no VM has learned of the end from the observing one")
	}
	streams.Wait()
}

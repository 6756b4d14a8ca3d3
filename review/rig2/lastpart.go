//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

func init() { cases["lastpart"] = lastPart }

const (
	// writeTime is how long after its start a harmful request crashes the replica that writes its answer.
	writeTime = 5 * time.Millisecond
	// replicaBack is the time after a crash until an empty replica is there in place of the crashed one, and entryGone that until the entry of the
	// crashed one is removed.
	replicaBack = 3 * time.Second
	entryGone   = time.Second
	// siteReplicas is the number of model replicas of the smallest site, and smallReplica the memory of one in MB: less than the model needs.
	siteReplicas = 33
	smallReplica = 30000
)

// writerCrashes crashes the last replica of the path of each harmful request, which is the one that returns the tokens.
type writerCrashes struct {
	bench *bench
	fleet *plat.Fleet

	mu sync.Mutex
	// asked counts how often the fleet has asked about a request; it asks for the second time when the request starts to run.
	asked map[*http.Request]int
	// running holds the attempts of harmful requests.
	running map[string]bool
	arrived []time.Time
	crashed []time.Time
	stopped bool
}

// observe looks at a request to a replica; it never makes the replica that got it crash.
func (c *writerCrashes) observe(q *http.Request) bool {
	switch {
	case q.URL.Path == "/v1/order":
		c.observeOrder(q)
	case isHarmful(q.Header.Get("X-Prefix-Hash")):
		c.mu.Lock()
		c.asked[q]++
		starts := c.asked[q] == 2
		if starts {
			c.running[q.Header.Get("X-Attempt-Id")] = true
			c.arrived = append(c.arrived, time.Now())
		}
		c.mu.Unlock()
		if starts {
			c.crashWriter(q.Header.Get("X-Attempt-Id"), q.Header.Get("X-Hop-Count"))
		}
	}
	return false
}

// observeOrder crashes the new last replica of a harmful request that is moved to another path.
func (c *writerCrashes) observeOrder(q *http.Request) {
	b, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	q.Body = io.NopCloser(bytes.NewReader(b))
	var o struct{ Operation, Id, Path string } //nolint:revive // The name on the wire.
	if err := json.Unmarshal(b, &o); err != nil || o.Operation != "repath" {
		return
	}
	c.mu.Lock()
	harmful := c.running[o.Id]
	c.mu.Unlock()
	if harmful {
		c.crashWriter(o.Id, o.Path)
	}
}

func (c *writerCrashes) crashWriter(attempt, path string) {
	hops := strings.Split(path, ",")
	address, _, _ := strings.Cut(hops[len(hops)-1], "=")
	c.bench.record("attempt %s with the harmful part runs on %s", attempt, path)
	time.AfterFunc(writeTime, func() { c.crash(attempt, address) })
}

// crash ends a replica. Another one comes in its place, empty.
func (c *writerCrashes) crash(attempt, address string) {
	var r *plat.Replica
	for _, x := range c.fleet.Replicas() {
		if x.Address() == address {
			r = x
		}
	}
	if r == nil {
		return
	}
	c.mu.Lock()
	c.crashed = append(c.crashed, time.Now())
	n, stopped := len(c.crashed), c.stopped
	c.mu.Unlock()
	if stopped {
		return
	}
	c.bench.record("replica %s crashes as it writes the answer of attempt %s", r.ID(), attempt)
	if err := r.Kill(); err != nil {
		c.bench.record("%v", err)
	}
	time.AfterFunc(entryGone, r.Remove)
	time.AfterFunc(replicaBack, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.stopped {
			return
		}
		if _, err := c.fleet.Add(fmt.Sprintf("i-writer-b%d", n), zone, "acc"); err != nil {
			c.bench.record("%v", err)
		}
	})
}

func (c *writerCrashes) crashTimes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.crashed...)
}

// lastPart sends sound requests and requests with one part that crashes each replica that begins to write an answer on it. The model's layers are
// spread over the replicas, so that the replica that writes is not the one that got the request.
func lastPart(b *bench) (bool, error) {
	fleet := startModel(b, smallReplica)
	defer fleet.Close()
	c := &writerCrashes{bench: b, fleet: fleet, asked: make(map[*http.Request]int), running: make(map[string]bool)}
	fleet.Crashes = c.observe
	l, err := startModelLoad(b, fleet, siteReplicas)
	if err != nil {
		return false, err
	}
	l.parts, l.place, l.period, l.watched = 4, 2, 2*time.Second, 30*time.Second
	counted := l.play(b, c.crashTimes)
	c.mu.Lock()
	c.stopped = true
	arrived := append([]time.Time(nil), c.arrived...)
	c.mu.Unlock()
	return l.judge(b, counted, arrived, c.crashTimes())
}

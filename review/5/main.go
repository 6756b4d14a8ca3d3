//go:build review

// The program of case 5: sound model replicas fall silent for about a second, one after the other, and go on.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/review/rig"
)

const (
	gates = 7
	// maxAttempts is the MaxAttempts of the route of streams.
	maxAttempts = 2
	// maxOver is how many requests may run on more replicas than that.
	maxOver = 3
	// tokens gives streams of 100 events, 60 ms apart.
	tokens  = 300
	pause   = 60 * time.Millisecond
	period  = 80 * time.Millisecond
	silence = 1100 * time.Millisecond
)

func main() {
	os.Exit(rig.Main("5", run))
}

func run(record *rig.Record, trouble bool) (int, error) {
	p, err := rig.Start(record, gates)
	if p != nil {
		defer p.Close()
	}
	if err != nil {
		return 2, err
	}
	var mu sync.Mutex
	// ranOn holds the replicas on which each request has begun to run, in order.
	ranOn := make(map[string][]string)
	var replicas []*rig.Replica
	for i := range 3 {
		o := rig.ReplicaOptions{ID: fmt.Sprintf("i-%04x", 0x3b20+i), Zone: fmt.Sprintf("zone-%c", 'a'+i), Service: rig.ModelService, Pause: pause}
		o.Ran = func(r *rig.Replica, q *http.Request, _ []byte) {
			mu.Lock()
			defer mu.Unlock()
			id := q.Header.Get("X-Attempt-Id")
			if !slices.Contains(ranOn[id], r.ID) {
				ranOn[id] = append(ranOn[id], r.ID)
			}
		}
		r, err := p.AddReplica(o)
		if err != nil {
			return 2, err
		}
		replicas = append(replicas, r)
	}
	warm := rig.Caller{Record: record, Prefix: "start"}
	ready := func(g *rig.Gate) bool {
		a := warm.Stream(g, rig.StreamRequest{Parts: []string{"5c1e07a2:40"}, Tokens: 6})
		return a.Status == http.StatusOK && a.Complete
	}
	if err := p.AwaitReady(40*time.Second, ready); err != nil {
		return 2, err
	}
	whole, sent := 0, 0
	caller := rig.Caller{Record: record, Prefix: "s"}
	stop := make(chan struct{})
	caller.Every(period, stop, func(n int) {
		a := caller.Stream(p.Gates[n%gates], rig.StreamRequest{Parts: []string{"5c1e07a2:40"}, Tokens: tokens})
		mu.Lock()
		defer mu.Unlock()
		sent++
		if a.Status == http.StatusOK && a.Complete {
			whole++
		}
	})
	time.Sleep(12 * time.Second)
	for _, r := range replicas[:2] {
		if trouble {
			record.Say("replica %s is silent for %s", r.ID, silence)
			r.Silence(silence)
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	caller.Wait()
	mu.Lock()
	defer mu.Unlock()
	over, twice := 0, 0
	for id, list := range ranOn {
		if len(list) > 1 {
			twice++
		}
		if len(list) > maxAttempts {
			over++
			record.Say("BUDGET: %s ran on %d replicas: %s", id, len(list), strings.Join(list, ", "))
		}
	}
	record.Say("%d of %d streams whole; %d ran on more than one replica, %d on more than MaxAttempts = %d; %d of these are allowed", whole, sent, twice, over, maxAttempts, maxOver)
	if whole == 0 {
		return 2, fmt.Errorf("no stream was served")
	}
	if over > maxOver {
		return 1, nil
	}
	return 0, nil
}

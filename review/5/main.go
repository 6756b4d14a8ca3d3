//go:build review

// The program of case 5: the machines of one zone are partitioned from all replicas, whose connections from there are reset.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/review/rig"
)

const (
	gates = 7
	// contactTime is the platform's ContactMs, from which after the beginning of a partition requests count.
	contactTime = 3 * time.Second
	cutTime     = 6 * time.Second
	sick        = "zone-b"
	// maxFailed and one in failedShare of all is how many first tries may fail at the machines that are cut off.
	maxFailed   = 10
	failedShare = 50
)

func main() {
	os.Exit(rig.Main(run))
}

func run(record *rig.Record, trouble bool) (int, error) {
	p, err := rig.Start(record, gates)
	if p != nil {
		defer p.Close()
	}
	if err != nil {
		return 2, err
	}
	var replicas []*rig.Replica
	for i := range 9 {
		o := rig.ReplicaOptions{ID: fmt.Sprintf("i-%04x", 0x2e50+i), Zone: fmt.Sprintf("zone-%c", 'a'+i%3), Service: rig.ModelService, Pause: 30 * time.Millisecond, Linked: true}
		if i >= 6 {
			o.Service = rig.PlainService
		}
		r, err := p.AddReplica(o)
		if err != nil {
			return 2, err
		}
		replicas = append(replicas, r)
	}
	stream := rig.StreamRequest{Parts: []string{"5c1e07a2:40"}, Tokens: 60}
	warm := rig.Caller{Record: record, Prefix: "start"}
	ready := func(g *rig.Gate) bool {
		a := warm.Stream(g, stream)
		return a.Status == http.StatusOK && a.Complete && warm.Lookup(g).Status == http.StatusOK
	}
	if err := p.AwaitReady(40*time.Second, ready); err != nil {
		return 2, err
	}
	var mu sync.Mutex
	var answers []rig.Answer
	caller := rig.Caller{Record: record, Prefix: "s"}
	stop := make(chan struct{})
	for _, g := range p.Gates {
		keep := func(a rig.Answer) {
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		}
		caller.Every(100*time.Millisecond, stop, func(int) { keep(caller.Stream(g, stream)) })
		caller.Every(300*time.Millisecond, stop, func(int) { keep(caller.Lookup(g)) })
	}
	time.Sleep(10 * time.Second)
	var far []*rig.Gate
	for _, g := range p.Gates {
		if g.Zone == sick {
			far = append(far, g)
		}
	}
	// HANG=1 holds the connections in place of resetting them.
	x := rig.NewCut(os.Getenv("HANG") == "1", far...)
	began := time.Now()
	if trouble {
		record.Say("the %d machines of %s are partitioned from all replicas", len(far), sick)
		for _, r := range replicas {
			r.Link.Begin(x)
		}
	}
	time.Sleep(cutTime)
	ended := time.Now()
	for _, r := range replicas {
		r.Link.End()
	}
	x.Over()
	record.Say("the partition ends after %s", ended.Sub(began).Round(time.Millisecond))
	close(stop)
	caller.Wait()
	var tried, served [2]int
	for _, a := range answers {
		if a.SentAt.Before(began.Add(contactTime)) || a.SentAt.After(ended) {
			continue
		}
		side := 0
		if a.Gate.Zone == sick {
			side = 1
		}
		tried[side]++
		if a.Status == http.StatusOK && a.Complete {
			served[side]++
		}
	}
	record.Say("from %s after the beginning: %d of %d first tries served at the machines of %s, %d of %d at the others", contactTime, served[1], tried[1], sick, served[0], tried[0])
	if served[0] == 0 || tried[1] == 0 {
		return 2, fmt.Errorf("nothing was served")
	}
	// Two thirds, without a division.
	worse := 3*served[1]*tried[0] < 2*served[0]*tried[1]
	if worse && tried[1]-served[1] > maxFailed+tried[1]/failedShare {
		record.Say("RECOVER: less than two thirds as often")
		return 1, nil
	}
	return 0, nil
}

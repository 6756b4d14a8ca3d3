//go:build review

package rig

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crashGates = 7
	// contactTime is the platform's ContactMs.
	contactTime = 3 * time.Second
	// maxLate is how many requests with the part may reach replicas later than contactTime after the crash that counts.
	maxLate     = 3
	countedFrom = 5
	harmfulPart = "bad0c0de"
	restartTime = 2 * time.Second
)

// CrashLoad is a load with requests that hold a part which crashes the replicas that run it.
type CrashLoad struct {
	// Position is the place of the part in a prompt, from 1, and Burst how many requests with it come at the same moment at one machine.
	Position, Burst int

	platform *Platform
	starts   atomic.Int64

	mu      sync.Mutex
	crashes []time.Time
	runs    []time.Time
}

func harmful(q *http.Request) bool {
	return slices.ContainsFunc(strings.Split(q.Header.Get("X-Prefix-Hash"), ","), func(part string) bool { return strings.HasPrefix(part, harmfulPart+":") })
}

// start starts a replica, and an empty one in its place some seconds after it has crashed.
func (l *CrashLoad) start(zone string) error {
	o := ReplicaOptions{ID: fmt.Sprintf("i-%04x", 0x9c00+l.starts.Add(1)), Zone: zone, Service: ModelService, Pause: 30 * time.Millisecond, Harmful: harmful}
	o.Ran = func(r *Replica, q *http.Request, _ []byte) {
		if !harmful(q) {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.runs = append(l.runs, time.Now())
	}
	o.Crashed = func(r *Replica) {
		l.mu.Lock()
		l.crashes = append(l.crashes, time.Now())
		l.mu.Unlock()
		l.platform.Lapse(r)
		time.AfterFunc(restartTime, func() {
			if err := l.start(zone); err != nil {
				l.platform.Record.Add("replica not started: %v", err)
			}
		})
	}
	_, err := l.platform.AddReplica(o)
	return err
}

// prompt returns the shared parts of a prompt, with the harmful one at its position if it is meant to be there.
func (l *CrashLoad) prompt(withHarmful bool) []string {
	var parts []string
	for i := 1; i <= l.Position; i++ {
		if i == l.Position && withHarmful {
			parts = append(parts, harmfulPart+":40")
		} else {
			parts = append(parts, fmt.Sprintf("5c1e%04x:40", i))
		}
	}
	return parts
}

// Run runs the load and judges it, as Main expects. Sound requests share all other parts.
func (l *CrashLoad) Run(record *Record, trouble bool) (int, error) {
	p, err := Start(record, crashGates)
	if p != nil {
		defer p.Close()
	}
	if err != nil {
		return 2, err
	}
	l.platform = p
	for i := range 9 {
		if err := l.start(fmt.Sprintf("zone-%c", 'a'+i%3)); err != nil {
			return 2, err
		}
	}
	warm := Caller{Record: record, Prefix: "start"}
	ready := func(g *Gate) bool {
		a := warm.Stream(g, StreamRequest{Parts: l.prompt(false), Tokens: 6})
		return a.Status == http.StatusOK && a.Complete
	}
	if err := p.AwaitReady(40*time.Second, ready); err != nil {
		return 2, err
	}
	var mu sync.Mutex
	var served, sound int
	caller := Caller{Record: record, Prefix: "s"}
	bad := Caller{Record: record, Prefix: "crash"}
	stop := make(chan struct{})
	caller.Every(100*time.Millisecond, stop, func(n int) {
		a := caller.Stream(p.Gates[n%crashGates], StreamRequest{Parts: l.prompt(false), Tokens: 60})
		mu.Lock()
		defer mu.Unlock()
		sound++
		if a.Status == http.StatusOK && a.Complete {
			served++
		}
	})
	time.Sleep(5 * time.Second)
	if trouble {
		record.Say("requests with the part %s at place %d begin, %d at once each second", harmfulPart, l.Position, l.Burst)
		bad.Every(time.Second, stop, func(n int) {
			var all sync.WaitGroup
			for range l.Burst {
				all.Go(func() { bad.Stream(p.Gates[n%crashGates], StreamRequest{Parts: l.prompt(true), Tokens: 60}) })
			}
			all.Wait()
		})
	}
	time.Sleep(20 * time.Second)
	close(stop)
	caller.Wait()
	bad.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	record.Say("%d of %d sound streams whole; %d crashes of replicas, %d requests with the part began to run", served, sound, len(l.crashes), len(l.runs))
	if len(l.crashes) < countedFrom {
		if served == 0 {
			return 2, fmt.Errorf("no stream was served")
		}
		return 0, nil
	}
	from := l.crashes[countedFrom-1].Add(contactTime)
	late := 0
	for _, at := range l.runs {
		if at.After(from) {
			late++
		}
	}
	record.Say("BUDGET: %d requests with the part reached replicas later than %s after the fifth crash; %d are allowed", late, contactTime, maxLate)
	if late > maxLate {
		return 1, nil
	}
	return 0, nil
}

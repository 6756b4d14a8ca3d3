//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// The doses of garble in the site file: at most 0.35 of the replicas spoil 0.02 of their answers for 5.5 s.
	garbledReplicas = 2
	garbledFraction = 0.02
	garbledTime     = 5500 * time.Millisecond
	// garblePause is the time between two orders.
	garblePause = 2500 * time.Microsecond
)

// garble sends orders while replicas spoil a part of their answers, and reports whether callers got a wrong one.
func (b *bench) garble(spoil func(w http.ResponseWriter, q *http.Request), isWrong func(a answer, path string) bool) (bool, error) {
	b.configure([]map[string]any{orderRoute(deskService)}, []map[string]any{{"Name": deskService, "HealthPath": "/healthz", "MaxConns": 100}})
	d, err := b.startDesk(deskReplicas)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.fails = func(replica int) bool {
		return b.trouble && replica < garbledReplicas && rand.Float64() < garbledFraction
	}
	d.spoil = spoil
	if err := b.startGates(2); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var callers sync.WaitGroup
	var mu sync.Mutex
	wrong, served, n := 0, 0, 0
	for from := time.Now(); time.Since(from) < garbledTime; n++ {
		n := n
		callers.Go(func() {
			path, attempt, body := fmt.Sprintf("/order/%d", n), fmt.Sprintf("order-%d", n), `{"foil":"crest"}`
			a := call(b.gates[n%len(b.gates)].callers, text(http.MethodPost, path, attempt, orderWait, body, length(body)), orderWait)
			b.record("caller sent attempt %s to gate %d: %q, body %q, error %v", attempt, n%len(b.gates), a.line, a.body, a.err)
			mu.Lock()
			defer mu.Unlock()
			if isWrong(a, path) {
				wrong++
			} else if a.status == http.StatusOK {
				served++
			}
		})
		time.Sleep(garblePause)
	}
	callers.Wait()
	b.record("%d orders, %d served; %d callers got a wrong answer", n, served, wrong)
	if served < n/2 {
		return false, fmt.Errorf("only %d of %d orders were served", served, n)
	}
	return wrong > 0, nil
}

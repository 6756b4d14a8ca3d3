//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = refused }

const (
	deskReplicas = 8
	// The doses of srv_grey in the site file: at most 0.14 of the replicas fail 0.45 of their requests for 6.5 s.
	greyReplicas = 1
	greyFraction = 0.45
	greyTime     = 6500 * time.Millisecond
	// orderPause is the time between two orders, and orderWait the time limit of the orders of the site.
	orderPause = 25 * time.Millisecond
	orderWait  = time.Second
)

// refused sends orders while a replica in trouble fails a part of them after it has recorded them: it answers 503 without
// X-Not-Executed. A caller sends an order again only after a promise that it has not run.
func refused(b *bench) (bool, error) {
	b.configure([]map[string]any{orderRoute(deskService)}, []map[string]any{{"Name": deskService, "HealthPath": "/healthz", "MaxConns": 100}})
	d, err := b.startDesk(deskReplicas)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := b.startGates(2); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	troubleFrom := time.Now()
	if b.trouble {
		b.record("replica i-desk0 is in trouble for %s", greyTime)
	}
	d.fails = func(replica int) bool {
		return b.trouble && replica < greyReplicas && time.Since(troubleFrom) < greyTime && rand.Float64() < greyFraction
	}
	d.spoil = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	var callers sync.WaitGroup
	var mu sync.Mutex
	falsePromises, doubled, served := 0, 0, 0
	n := 0
	for ; time.Since(troubleFrom) < greyTime; n++ {
		n := n
		callers.Go(func() {
			path := fmt.Sprintf("/order/%d", n)
			body := `{"foil":"crest"}`
			for try := range 2 {
				attempt := fmt.Sprintf("order-%d-%d", n, try)
				a := call(b.gates[(n+try)%len(b.gates)].callers, text(http.MethodPost, path, attempt, orderWait, body, length(body)), orderWait)
				ran, recorded := d.runs(attempt, path)
				b.record("caller sent attempt %s to gate %d: %q, error %v; it ran %d times, the order is recorded %d times", attempt, (n+try)%len(b.gates), a.line, a.err, ran, recorded)
				mu.Lock()
				promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
				switch {
				case a.status == http.StatusOK:
					served++
				case promised && ran > 0:
					falsePromises++
				}
				if recorded > 1 {
					doubled++
				}
				mu.Unlock()
				if !promised {
					return
				}
			}
		})
		time.Sleep(orderPause)
	}
	callers.Wait()
	b.record("%d orders, %d served; %d were answered 503 or 429 and had run; %d are recorded twice", n, served, falsePromises, doubled)
	if served < n/2 {
		return false, fmt.Errorf("only %d of %d orders were served", served, n)
	}
	return falsePromises > 0, nil
}

//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

func init() { cases["query"] = query }

const (
	// crashesOfContent is the number of crashes from which a request that returns unchanged counts.
	crashesOfContent = 3
	harmfulPath      = "/order/crash"
	harmfulBody      = `{"foil":"crash"}`
	// returnPeriod is the time between two requests of the caller whose request crashes replicas.
	returnPeriod = time.Second
	queryWatched = 15 * time.Second
	// soundWork is how long a replica works on a sound order, in milliseconds.
	soundWork = 100
	// busyPeriod is the time between two sound orders, so that each replica works on one or two.
	busyPeriod = 8 * time.Millisecond
)

// query sends sound orders and an order that crashes each replica that begins to run it. That one comes again and again, with the same path,
// caller and body, and with the number of the try in its query.
func query(b *bench) (bool, error) {
	b.configure([]map[string]any{orderRoute(deskService)}, []map[string]any{{"Name": deskService, "HealthPath": "/healthz", "MaxConns": 100}})
	fleet := &plat.Fleet{Store: b.store, PlainService: deskService, Crashes: func(q *http.Request) bool { return q.URL.Path == harmfulPath }}
	defer fleet.Close()
	for i := range deskReplicas {
		if _, err := fleet.Add(fmt.Sprintf("i-desk%d", i), zone, ""); err != nil {
			return false, fmt.Errorf("start replica: %w", err)
		}
	}
	if err := b.startGates(2); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	l := &promptLoad{bench: b}
	stop := make(chan struct{})
	l.every(stop, busyPeriod, func(n int) {
		l.sendCall(n, "sound", fmt.Sprintf("/order/%d?ms=%d", n, soundWork), fmt.Sprintf(`{"foil":"crest %d"}`, n))
	})
	time.Sleep(time.Second)
	l.harmfulFrom = time.Now()
	if b.trouble {
		l.every(stop, returnPeriod, func(n int) { l.sendCall(n, "harmful", fmt.Sprintf("%s?try=%d", harmfulPath, n), harmfulBody) })
	}
	limit := time.Now().Add(6 * time.Second)
	for time.Now().Before(limit) && len(fleet.CrashTimes()) < crashesOfContent {
		time.Sleep(10 * time.Millisecond)
	}
	var counted time.Time
	if times := fleet.CrashTimes(); len(times) >= crashesOfContent {
		counted = times[crashesOfContent-1].Add(contactTime)
		b.record("crash %d; the request counts from %.3f s", crashesOfContent, counted.Sub(b.from).Seconds())
		time.Sleep(time.Until(counted) + queryWatched)
	}
	l.harmfulTo = time.Now()
	close(stop)
	l.wait.Wait()
	return l.judge(b, counted, fleet.HarmfulArrivals(), fleet.CrashTimes())
}

// sendCall sends an order with an attempt of its own to the gates in turn.
func (l *promptLoad) sendCall(n int, kind, path, body string) {
	l.sendCallAt(n%len(l.bench.gates), n, kind, path, body)
}

// sendCallAt sends an order with an attempt of its own to a gate.
func (l *promptLoad) sendCallAt(gate, n int, kind, path, body string) {
	attempt := fmt.Sprintf("%s-%d", kind, n)
	sent := time.Now()
	a := call(l.bench.gates[gate].callers, text(http.MethodPost, path, attempt, orderWait, body, length(body)), orderWait)
	ok := a.status == http.StatusOK && a.err == nil
	l.add(kind, ok)
	if kind == "sound" {
		l.mu.Lock()
		l.sound = append(l.sound, soundRequest{sent, ok})
		l.mu.Unlock()
	}
	if !ok || kind != "sound" {
		l.bench.record("caller sent %s, %s, to gate %d and got %q, error %v", attempt, path, gate, a.line, a.err)
	}
}

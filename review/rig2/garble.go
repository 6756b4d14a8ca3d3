//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"
)

func init() { cases["status"] = status }

const (
	// The doses of garble in the site file: at most 0.35 of the replicas spoil 0.02 of their answers for 5.5 s.
	garbledReplicas = 2
	garbledFraction = 0.02
	garbledTime     = 5500 * time.Millisecond
	// statusPause is the time between two orders.
	statusPause = 2500 * time.Microsecond
)

// statusLine is the first line of an answer in the protocol.
var statusLine = regexp.MustCompile(`^HTTP/1\.[01] [1-9][0-9][0-9]( |$)`)

// status sends orders while replicas spoil a part of their answers: they send bytes that are no answer, a head whose status is 000.
func status(b *bench) (bool, error) {
	return b.garble(func(w http.ResponseWriter, q *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			b.record("replica keeps its connection: %v", err)
			return
		}
		defer func() { _ = c.Close() }()
		head := fmt.Sprintf("HTTP/1.1 000 \r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", q.Header.Get("X-Attempt-Id"))
		if _, err := c.Write([]byte(head)); err != nil {
			b.record("replica could not answer: %v", err)
		}
	}, func(a answer, _ string) bool {
		return a.line != "" && !statusLine.MatchString(strings.TrimSpace(a.line))
	})
}

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
		time.Sleep(statusPause)
	}
	callers.Wait()
	b.record("%d orders, %d served; %d callers got a wrong answer", n, served, wrong)
	if served < n/2 {
		return false, fmt.Errorf("only %d of %d orders were served", served, n)
	}
	return wrong > 0, nil
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
	"github.com/teaselstream/teaselstream/sock"
)

const (
	testKey  = "key-a"
	testHost = "test.example"
	// callerWait is the deadline that a caller gives its request.
	callerWait = 6 * time.Second
	// shortStream and longStream bound the number of events of a stream; replicas send one every 15 ms.
	shortStream = 5
	longStream  = 120
	// eventWait is the time without an event after which the platform's callers leave.
	eventWait = 2 * time.Second
	// steadyPeriod is the time between two requests of steady callers, and steadyStream bounds the events of their streams.
	steadyPeriod = 40 * time.Millisecond
	steadyStream = 40
	// drainTime is the platform's DrainMs.
	drainTime = 2 * time.Second
	// waitGrace is the time after a 503 with Retry-After from which requests count, and maxInWait the number that is allowed.
	waitGrace = 500 * time.Millisecond
	maxInWait = 2
	// refusedWait is the wait after a refusal or an error, so that callers do not retry in a busy loop.
	refusedWait = 50 * time.Millisecond
)

type (
	// callers sends requests to VMs and checks the answers.
	callers struct {
		fleet interface{ Ran(attempt string) int }

		mu sync.Mutex
		// violations describes the guarantees that did not hold.
		violations []string
		// orders lists all calls that may run at most once, and whether each was refused as not run.
		orders  []order
		counts  map[string]int
		started int
		// sent holds the VM and time of each request by its attempt id, and leaving the answers that said that a replica leaves.
		sent    map[string]sentRequest
		leaving []leavingAnswer
		// tries holds how the requests of steady callers ended, and unanswered the requests without a complete answer.
		tries      []try
		unanswered []string
	}

	// try is a request of a steady caller; none repeats an earlier one. It counts as served if that took less than eventWait.
	try struct {
		vm     *vm
		at     time.Time
		served bool
	}

	sentRequest struct {
		vm   *vm
		at   time.Time
		path string
	}

	leavingAnswer struct {
		vm      *vm
		replica string
		at      time.Time
	}

	order struct {
		attempt string
		refused bool
	}
)

func (c *callers) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *callers) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[what]++
}

func (c *callers) nextID(vm string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	return fmt.Sprintf("%s-%d", vm, c.started)
}

// run sends requests to one VM over kept-alive connections until stop is closed.
func (c *callers) run(v *vm, r *rand.Rand, stop <-chan struct{}) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if !c.draw(r, longStream)(transport, v) {
			time.Sleep(refusedWait)
		}
	}
}

// draw returns a random request, which reports whether it was served. Streams have fewer than a number of events.
func (c *callers) draw(r *rand.Rand, events int) func(t *http.Transport, v *vm) bool {
	switch r.IntN(4) {
	case 0:
		return c.order
	case 1:
		return c.read
	default:
		n := shortStream + r.IntN(events-shortStream)
		return func(t *http.Transport, v *vm) bool { return c.stream(t, v, n) }
	}
}

// runSteadily sends requests to one VM at a steady rate, whether or not earlier ones have ended, until stop is closed. It returns when all
// have ended.
func (c *callers) runSteadily(v *vm, r *rand.Rand, stop <-chan struct{}) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	tick := time.NewTicker(steadyPeriod)
	defer tick.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		request := c.draw(r, steadyStream)
		wait.Go(func() {
			began := time.Now()
			c.recordTry(try{v, began, request(transport, v) && time.Since(began) < eventWait})
		})
	}
}

func (c *callers) recordTry(t try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, t)
}

// countUnanswered counts a request that ended without a complete answer.
func (c *callers) countUnanswered(what, id string) {
	c.count(what)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = append(c.unanswered, what+": "+id)
}

func (c *callers) send(t *http.Transport, v *vm, method, path, attempt, key string) (*http.Response, error) {
	q, err := http.NewRequest(method, "http://"+v.callers+path, nil)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	q.Host = testHost
	plat.SetRequestHeaders(q.Header, attempt, key, callerWait)
	c.recordSent(attempt, sentRequest{v, time.Now(), path})
	p, err := t.RoundTrip(q)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	if plat.SaysLeaving(p.Header) {
		c.recordLeaving(leavingAnswer{v, plat.ReplicaID(p.Header), time.Now()})
	}
	return p, nil
}

// checkWaits records replicas that more than two requests of a VM reached while they had asked it to wait.
func (c *callers) checkWaits(replicas []*plat.Replica) {
	for _, r := range replicas {
		reached := r.Reached()
		for _, told := range r.TurnedAway() {
			v, n := c.sent[told.Attempt].vm, 0
			for _, a := range reached {
				after := a.At.Sub(told.At)
				if v != nil && c.sent[a.Attempt].vm == v && after > waitGrace && after < told.Wait && v.undisturbed(told.At, a.At) {
					n++
				}
			}
			if n > maxInWait {
				c.recordViolation("replica %s asked %s to wait for %s, and %d requests reached it in that time", r.ID(), v.name, told.Wait, n)
				break
			}
		}
	}
}

func (c *callers) recordSent(attempt string, s sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent == nil {
		c.sent = make(map[string]sentRequest)
	}
	c.sent[attempt] = s
}

func (c *callers) recordLeaving(a leavingAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = append(c.leaving, a)
}

// checkLeaving records requests that reached a replica although their VM had passed on, earlier than drainTime before they were sent,
// that the replica leaves.
func (c *callers) checkLeaving(replicas []*plat.Replica) {
	for _, r := range replicas {
		for _, a := range r.Reached() {
			x, ok := c.sent[a.Attempt]
			if !ok {
				continue
			}
			for _, told := range c.leaving {
				if told.replica == r.ID() && told.vm == x.vm && x.at.Sub(told.at) > drainTime && x.vm.undisturbed(told.at, a.At) {
					c.recordViolation("request %s reached replica %s %s after %s had passed on that it leaves", a.Attempt, r.ID(), x.at.Sub(told.at), x.vm.name)
					break
				}
			}
		}
	}
}

// promisesNotRun reports whether a status guarantees that the request has not run and never will.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// stream requests a stream of n events, checks the order and number of its events and reports whether it was complete.
func (c *callers) stream(t *http.Transport, v *vm, n int) bool {
	id := c.nextID(v.name)
	p, err := c.send(t, v, http.MethodGet, fmt.Sprintf("/draft/?n=%d", n), id, testKey)
	if err != nil {
		c.countUnanswered("stream without an answer", id)
		return false
	}
	defer sock.Discard(p.Body)
	if p.StatusCode != http.StatusOK {
		c.count(fmt.Sprintf("stream %d", p.StatusCode))
		c.checkRefusal(id, p.StatusCode)
		return false
	}
	if !strings.HasPrefix(plat.ReplicaID(p.Header), "m") {
		c.recordViolation("stream %s: status 200 without a replica's stamp", id)
	}
	next, last := 1, time.Now()
	s := bufio.NewScanner(p.Body)
	for s.Scan() {
		if text, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			if time.Since(last) > eventWait {
				c.countUnanswered("stream without an event for too long", id)
			}
			last = time.Now()
			if text != fmt.Sprint(next) {
				c.recordViolation("stream %s: got event %s, want %d", id, text, next)
				return false
			}
			next++
		}
	}
	switch {
	case s.Err() != nil:
		c.countUnanswered("stream cut", id)
		return false
	case next != n+1:
		c.recordViolation("stream %s: ended without an error after %d of %d events", id, next-1, n)
		return false
	}
	c.count("stream served")
	return true
}

// checkRefusal records a violation if a valid request was refused as invalid. A VM without a configuration must answer
// 503.
func (c *callers) checkRefusal(id string, status int) {
	if status == http.StatusUnauthorized || status == http.StatusNotFound || status == http.StatusForbidden || status == http.StatusBadRequest {
		c.recordViolation("request %s: status %d for a valid request", id, status)
	}
}

// order sends a call that may run at most once and reports whether it succeeded.
func (c *callers) order(t *http.Transport, v *vm) bool {
	id := c.nextID(v.name)
	status, body := c.call(t, v, http.MethodPost, "/order/"+id, id)
	c.mu.Lock()
	c.orders = append(c.orders, order{id, promisesNotRun(status)})
	c.mu.Unlock()
	if status == http.StatusOK && body != "POST /order/"+id+" by team team-a" {
		c.recordViolation("order %s: answer %q of another call", id, body)
	}
	return status == http.StatusOK
}

// read sends an idempotent call and reports whether it succeeded.
func (c *callers) read(t *http.Transport, v *vm) bool {
	id := c.nextID(v.name)
	status, body := c.call(t, v, http.MethodGet, "/look/"+id, id)
	if status == http.StatusOK && body != "GET /look/"+id+" by team team-a" {
		c.recordViolation("look %s: answer %q of another call", id, body)
	}
	return status == http.StatusOK
}

// call returns the status and body of a complete answer, or status 0 if there is none.
func (c *callers) call(t *http.Transport, v *vm, method, path, id string) (int, string) {
	p, err := c.send(t, v, method, path, id, testKey)
	if err != nil {
		c.countUnanswered("call without an answer", id)
		return 0, ""
	}
	defer sock.Discard(p.Body)
	body, err := io.ReadAll(p.Body)
	if err != nil {
		c.countUnanswered("call cut", id)
		return 0, ""
	}
	c.count(fmt.Sprintf("call %d", p.StatusCode))
	c.checkRefusal(id, p.StatusCode)
	return p.StatusCode, string(body)
}

// checkOrders checks that each order ran at most once, and not at all if it was refused as not run.
func (c *callers) checkOrders() {
	for _, o := range c.orders {
		switch n := c.fleet.Ran(o.attempt); {
		case n > 1:
			c.recordViolation("order %s ran %d times", o.attempt, n)
		case n > 0 && o.refused:
			c.recordViolation("order %s ran although it was refused as not run", o.attempt)
		}
	}
}

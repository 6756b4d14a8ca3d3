package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
	"github.com/teaselstream/teaselstream/sock"
)

const (
	// serverPause is how long a sound server may fall silent in these tests.
	serverPause = time.Second
	// eventWait is the time without an event after which callers leave.
	eventWait = 2 * time.Second
	// pauseDeadline is the deadline of requests, the route's timeout. Four pauses and the longest stream, 1.8 s, last less.
	pauseDeadline = 8 * time.Second
)

// pauseLoad sends streams and calls while servers are paused, and counts how they end.
type pauseLoad struct {
	*gateLoad
	mu       sync.Mutex
	counts   map[string]int
	failures []string
	orders   map[string]int
}

// end counts the end of a request. A failure says what is wrong with its answer, or is empty.
func (l *pauseLoad) end(attempt, what, failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
	if failure != "" {
		l.failures = append(l.failures, fmt.Sprintf("%s, %s: %s; log of the request:\n%s", what, attempt, failure, l.platform.gateLog.linesAbout(attempt)))
	}
}

// isRefusal reports whether a status says that the request has not run.
func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// open sends a request whose context a caller cancels to leave.
func (l *pauseLoad) open(ctx context.Context, method, path, attempt string) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+l.gateAddress()+path, nil)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	q.Host = "test.example"
	plat.SetRequestHeaders(q.Header, attempt, testKey, pauseDeadline)
	p, err := http.DefaultTransport.(*http.Transport).Clone().RoundTrip(q)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return p, nil
}

// sendStream requests a stream of n events, and leaves once none has come for eventWait.
func (l *pauseLoad) sendStream(n int) {
	attempt, began := fmt.Sprintf("stream-%d", l.sent.Add(1)), time.Now()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	waiting := time.AfterFunc(eventWait, leave)
	defer waiting.Stop()
	p, err := l.open(ctx, http.MethodGet, fmt.Sprintf("/draft/?n=%d", n), attempt)
	if err != nil {
		l.end(attempt, "stream without an answer", err.Error())
		return
	}
	defer sock.Discard(p.Body)
	if p.StatusCode != http.StatusOK {
		// A stream that has not begun may be run again, so that 502 is an answer with which its caller can go on.
		failure := ""
		if !isRefusal(p.StatusCode) && p.StatusCode != http.StatusBadGateway {
			failure = "want 200, 429, 502 or 503"
		}
		l.end(attempt, fmt.Sprint("stream ", p.StatusCode), failure)
		return
	}
	next := 1
	s := bufio.NewScanner(p.Body)
	for s.Scan() {
		if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			if id != fmt.Sprint(next) {
				l.end(attempt, "stream spoiled", fmt.Sprintf("event %s, want %d", id, next))
				return
			}
			waiting.Reset(eventWait)
			next++
		}
	}
	if s.Err() != nil && time.Since(began) >= pauseDeadline-eventWait/10 {
		// The rules let a stream end at its time limit, which a busy machine may reach.
		l.end(attempt, "stream at its deadline", "")
		return
	}
	if s.Err() != nil || next != n+1 {
		l.end(attempt, "stream cut", fmt.Sprintf("%d of %d events, error %v", next-1, n, s.Err()))
		return
	}
	l.end(attempt, "stream 200", "")
}

// sendCall sends a call of the plain service. A server that goes on answers it well within its route's timeout, so that any status
// but 200 and a refusal ends it too soon.
func (l *pauseLoad) sendCall(method, path string) {
	attempt := fmt.Sprintf("call-%d", l.sent.Add(1))
	status := 0
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if method == http.MethodPost {
			l.orders[attempt] = status
		}
	}()
	p, err := l.open(context.Background(), method, path+attempt, attempt)
	if err != nil {
		l.end(attempt, path+" without an answer", err.Error())
		return
	}
	status = p.StatusCode
	defer sock.Discard(p.Body)
	body, err := io.ReadAll(p.Body)
	failure := ""
	if want := fmt.Sprintf("%s %s%s by team team-a", method, path, attempt); status == http.StatusOK && string(body) != want || err != nil {
		failure = fmt.Sprintf("answer %q, error %v, want %q", body, err, want)
	} else if status != http.StatusOK && !isRefusal(status) {
		failure = "want 200, 429 or 503"
	}
	l.end(attempt, fmt.Sprint(path, " ", status), failure)
}

// check reports requests that were not answered, and calls that ran twice or although they were refused as not run.
func (l *pauseLoad) check(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Logf("requests: %v", l.counts)
	const shown = 3
	for i, f := range l.failures {
		if i < shown {
			t.Error(f)
		}
	}
	if len(l.failures) > 0 {
		t.Errorf("%d requests had no complete answer although their servers went on", len(l.failures))
	}
	for attempt, status := range l.orders {
		if n := l.platform.fleet.Ran(attempt); n > 1 || n == 1 && isRefusal(status) {
			t.Errorf("order %s ran %d times and was answered %d", attempt, n, status)
		}
	}
	// Most requests must be served, or too few of them would meet a pause.
	for _, what := range []string{"stream", "/look/", "/order/"} {
		if served, refused := l.counts[what+" 200"], l.counts[what+" 503"]+l.counts[what+" 502"]; served <= refused {
			t.Errorf("%s: %d were served and %d refused", what, served, refused)
		}
	}
}

// Guards against requests that end without an answer, run twice or lose events because sound servers fall silent for a second and go
// on (LOST), one of each service or many at once, beside changes of the configuration.
func TestServersThatFallSilent(t *testing.T) {
	for _, x := range []struct {
		name string
		// every is the share of servers that fall silent: one of so many.
		every int
		// slots bounds the streams of a server as the first of their path, so that others have little room; 0 means no bound.
		slots int
		// events bounds the events of a stream, and period is the time between two streams.
		events int
		period time.Duration
		bounds string
	}{
		{"one", 0, 0, 80, 25 * time.Millisecond, ""},
		{"a third and little room elsewhere", 3, 11, 120, 15 * time.Millisecond, ""},
		{"a third and no retries left", 3, 0, 80, 25 * time.Millisecond, "RetryRatio = 0\nRetrySlack = 0"},
		{"all", 1, 0, 80, 25 * time.Millisecond, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			configure := func(s *testPlatform) { s.bounds = cmp.Or(x.bounds, s.bounds) }
			l := &pauseLoad{gateLoad: startLoadWith(t, 3, configure), counts: make(map[string]int), orders: make(map[string]int)}
			l.every(x.period, func() { l.sendStream(20 + rand.IntN(x.events-20)) })
			l.every(50*time.Millisecond, func() { l.sendCall(http.MethodGet, "/look/") })
			l.every(50*time.Millisecond, func() { l.sendCall(http.MethodPost, "/order/") })
			for _, r := range l.platform.fleet.Replicas() {
				r.SetSlots(x.slots)
			}
			time.Sleep(time.Second)
			const rounds = 4
			for round := range rounds {
				var models, plains []*plat.Replica
				for _, r := range l.platform.fleet.Replicas() {
					if strings.HasPrefix(r.ID(), "m") || strings.HasPrefix(r.ID(), "x") {
						models = append(models, r)
					} else {
						plains = append(plains, r)
					}
				}
				plat.PauseAll(serverPause, append(someOf(models, x.every), someOf(plains, x.every)...)...)
				time.Sleep(serverPause / 4)
				l.platform.fleet.Configure(2+round, testKey, fmt.Sprint("key-", round))
				time.Sleep(2*serverPause - serverPause/4)
			}
			l.finish()
			l.check(t)
		})
	}
}

// someOf returns one of so many replicas, chosen at random, and one if every is 0.
func someOf(replicas []*plat.Replica, every int) []*plat.Replica {
	n := 1
	if every > 0 {
		n = (len(replicas) + every - 1) / every
	}
	rand.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	return replicas[:n]
}

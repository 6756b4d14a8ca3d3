//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

const (
	// contactTime is the platform's ContactMs.
	contactTime = 3 * time.Second
	// maxLateArrivals is the number of requests with the harmful part that may still reach replicas contactTime after the fifth crash.
	maxLateArrivals = 3
	harmfulPart     = "bad0"
	soundPeriod     = 25 * time.Millisecond
	streamWait      = 8 * time.Second
	crashesBefore   = 5
)

// startModel configures a model of 40 layers of 1,000 MB, and returns its replicas, which are not started yet. A replica has the given memory in MB.
func startModel(b *bench, size int) *plat.Fleet {
	const model = "seal-writer"
	engine := map[string]any{
		"Layers": 40, "LayerMb": 1000, "KvBytes": 1e6, "Stride": 3, "step_ms": 1, "read_per_s": 100000,
		"usual": map[string]int{"prompt": 700, "answer": 200},
		"Kinds": []map[string]any{{"Name": "acc", "SizeMb": size, "pace": 2, "ReadFactor": 2}},
	}
	b.configure([]map[string]any{{
		"Name": "draft", "Host": host, "Prefix": "/draft/", "RouteKind": "streaming", "TimeoutMs": 8000, "FullValueMs": 500,
		"Service": model, "MaxAttempts": 2, "GapTargetMs": 200, "Sticky": true,
	}}, []map[string]any{{"Name": model, "HealthPath": "/healthz", "Engine": engine}})
	return &plat.Fleet{Store: b.store, ModelService: model, Layers: 40}
}

// startModelLoad starts the replicas, two gates and the sound requests.
func startModelLoad(b *bench, fleet *plat.Fleet, replicas int) (*promptLoad, error) {
	for i := range replicas {
		if _, err := fleet.Add(fmt.Sprintf("i-writer%d", i), zone, "acc"); err != nil {
			return nil, fmt.Errorf("start replica: %w", err)
		}
	}
	if err := b.startGates(2); err != nil {
		return nil, err
	}
	// The gates order the replicas to load their layers.
	time.Sleep(5 * time.Second)
	return &promptLoad{bench: b}, nil
}

// play sends sound requests, and harmful ones unless the disruption is left out. It returns the time from which harmful requests count.
func (l *promptLoad) play(b *bench, crashes func() []time.Time) (counted time.Time) {
	stop := make(chan struct{})
	l.every(stop, soundPeriod, func(n int) { l.send(n, "sound", "") })
	time.Sleep(2 * time.Second)
	l.harmfulFrom = time.Now()
	if b.trouble {
		l.every(stop, l.period, func(n int) { l.send(n, "harmful", harmfulPart) })
	}
	const observed = 12 * time.Second
	limit := time.Now().Add(observed)
	for time.Now().Before(limit) && len(crashes()) < crashesBefore {
		time.Sleep(10 * time.Millisecond)
	}
	// With fewer crashes, the bound counts from the last one.
	if times := crashes(); len(times) > 0 {
		counted = times[min(len(times), crashesBefore)-1].Add(contactTime)
		b.record("crash %d; requests with the part count from %.3f s", min(len(times), crashesBefore), counted.Sub(b.from).Seconds())
		time.Sleep(time.Until(counted) + l.watched)
	}
	l.harmfulTo = time.Now()
	close(stop)
	l.wait.Wait()
	return counted
}

// judge reports whether more requests with the harmful part reached replicas than may.
func (l *promptLoad) judge(b *bench, counted time.Time, arrived, crashed []time.Time) (bool, error) {
	late := 0
	for _, at := range arrived {
		if !counted.IsZero() && at.After(counted) {
			late++
			b.record("a request with the harmful part reached a replica at %.3f s", at.Sub(b.from).Seconds())
		}
	}
	for _, at := range crashed {
		b.record("a replica crashed at %.3f s", at.Sub(b.from).Seconds())
	}
	served, failed := l.count("sound")
	b.record("%d sound requests served, %d not; %d crashes; %d harmful requests reached replicas after the time, %d may",
		served, failed, len(crashed), late, maxLateArrivals)
	if !counted.IsZero() {
		before, n := l.shareBegun(b.from, l.harmfulFrom)
		after, m := l.shareBegun(counted.Add(contactTime), l.harmfulTo)
		b.record("%.2f of %d sound requests began before the harmful ones, and %.2f of %d from 2 x ContactMs after the crash that counts", before, n, after, m)
	}
	if served < 20 || b.trouble && len(crashed) == 0 {
		return false, fmt.Errorf("%d sound requests served, %d crashes", served, len(crashed))
	}
	return late > maxLateArrivals, nil
}

// promptLoad sends requests with prompts of many parts.
type promptLoad struct {
	bench *bench
	// parts is the number of parts of a prompt, and place that of the harmful one.
	parts, place int
	// period is the time between two harmful requests, and watched how long they are counted.
	period, watched time.Duration
	wait            sync.WaitGroup
	mu              sync.Mutex
	// harmfulFrom and harmfulTo bound the time in which harmful requests come.
	harmfulFrom, harmfulTo time.Time
	// served and failed count requests by their kind.
	served, failed map[string]int
	// sound holds when each sound request was sent and whether its answer began.
	sound []soundRequest
}

type soundRequest struct {
	at    time.Time
	began bool
}

// shareBegun returns the share of the sound requests sent in a time span whose answer began, and their number.
func (l *promptLoad) shareBegun(from, to time.Time) (share float64, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	begun := 0
	for _, x := range l.sound {
		if x.at.Before(from) || !x.at.Before(to) {
			continue
		}
		n++
		if x.began {
			begun++
		}
	}
	return float64(begun) / float64(max(n, 1)), n
}

func (l *promptLoad) every(stop chan struct{}, period time.Duration, f func(n int)) {
	every(&l.wait, stop, period, f)
}

// every calls f once a period, each call in a goroutine of its own, until stop is closed.
func every(wait *sync.WaitGroup, stop chan struct{}, period time.Duration, f func(n int)) {
	wait.Go(func() {
		t := time.NewTicker(period)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-t.C:
				wait.Go(func() { f(n) })
			}
		}
	})
}

// send sends a request whose prompt has a part of its own at the end and, if one is given, a harmful part.
func (l *promptLoad) send(n int, kind, part string) {
	attempt := fmt.Sprintf("%s-%d", kind, n)
	var prompt []string
	for i := range l.parts - 1 {
		prompt = append(prompt, fmt.Sprintf("5c1e%02x", i))
	}
	if part != "" {
		prompt = slices.Insert(prompt, l.place-1, part)
	}
	prompt = append(prompt, fmt.Sprintf("%08x", rand.Uint32()))
	h := make(http.Header)
	plat.SetPrompt(h, prompt...)
	gate := n % len(l.bench.gates)
	body := fmt.Sprintf("prompt %d", rand.Uint64())
	sent := time.Now()
	a := call(l.bench.gates[gate].callers, text(http.MethodPost, fmt.Sprintf("/draft/?n=%d", 5+rand.IntN(40)), attempt, streamWait, body, length(body),
		"X-Model-Name: m0", "X-Prefix-Hash: "+h.Get("X-Prefix-Hash"), "X-Token-Counts: "+h.Get("X-Token-Counts")), streamWait)
	ok := a.status == http.StatusOK && a.err == nil
	if !ok {
		l.bench.record("caller sent %s to gate %d and got %q, %d bytes, error %v", attempt, gate, a.line, len(a.body), a.err)
	}
	l.add(kind, ok)
	if kind == "sound" {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.sound = append(l.sound, soundRequest{sent, a.status == http.StatusOK})
	}
}

// isHarmful reports whether a prompt has the harmful part. The part of a request's own is random and may end like it.
func isHarmful(prompt string) bool { return strings.Contains(","+prompt, ","+harmfulPart+":") }

// add counts a request of a kind.
func (l *promptLoad) add(kind string, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.served == nil {
		l.served, l.failed = make(map[string]int), make(map[string]int)
	}
	if served {
		l.served[kind]++
	} else {
		l.failed[kind]++
	}
}

func (l *promptLoad) count(kind string) (served, failed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served[kind], l.failed[kind]
}

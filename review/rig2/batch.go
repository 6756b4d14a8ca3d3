//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

func init() { cases["batch"] = batch }

const (
	batchReplicas = 8
	// readPerS is the number of prompt tokens that the model reads in a second, and readFactor how much longer a replica takes: those of the
	// site's l4 cards.
	readPerS, readFactor = 105_000, 8.2
	// batchPart is the first part of all requests of the batches, and otherPart that of all other requests.
	batchPart, otherPart = "5c1e07a2", "77aa01b3"
	// sharedTokens and harmfulTokens are the sizes of a first part and of the harmful part, and longTokens and shortTokens those of the rest of
	// a prompt of a batch and of another prompt. A long prompt is read in 1.2 s.
	sharedTokens, harmfulTokens = 40, 60
	longTokens, shortTokens     = 15_000, 760
	// batchPeriod is the time between two batches, and batchSize the number of sound requests in one. The harmful one comes after them.
	batchPeriod = 5 * time.Second
	batchSize   = 8
	batchPause  = 20 * time.Millisecond
	// batchesBefore is the number of batches before the first harmful request.
	batchesBefore, batchesAfter = 4, 8
	// otherPeriod is the time between two requests with another first part.
	otherPeriod = 100 * time.Millisecond
	batchGate   = 0
	// batchEvents is the number of events of an answer, and batchWait the time that a caller waits for it.
	batchEvents = 10
	batchWait   = 8 * time.Second
	// leastSound is the number of sound requests from which the rule counts them, and leastShare the share of those that have to begin, relative to
	// the time before.
	leastSound = 20
	leastShare = 0.5
)

// batchRun is the requests of the batches, and the rest of the traffic.
type batchRun struct {
	bench *bench
	wait  sync.WaitGroup

	mu sync.Mutex
	// read holds the requests whose prompt was read.
	read map[*http.Request]bool
	// sound holds the sound requests of the batches, and others those with another first part.
	sound, others []soundRequest
}

// observe reads the prompt of a request that a replica gets, and reports whether the request crashes the replica.
func (r *batchRun) observe(q *http.Request) bool {
	prompt := q.Header.Get("X-Prefix-Hash")
	if prompt == "" {
		return false
	}
	r.mu.Lock()
	first := !r.read[q]
	r.read[q] = true
	r.mu.Unlock()
	if first {
		time.Sleep(time.Duration(float64(promptTokens(prompt)) * readFactor / readPerS * float64(time.Second)))
	}
	return isHarmful(prompt)
}

// promptTokens returns the number of tokens of a prompt.
func promptTokens(prompt string) int {
	n := 0
	for part := range strings.SplitSeq(prompt, ",") {
		_, tokens, _ := strings.Cut(part, ":")
		k, err := strconv.Atoi(tokens)
		if err != nil {
			continue
		}
		n += k
	}
	return n
}

// send sends a request whose prompt has a part of its own at the end.
func (r *batchRun) send(key string, gate int, attempt string, rest int, parts ...string) {
	prompt := strings.Join(append(parts, fmt.Sprintf("%08x:%d", rand.Uint32(), rest)), ",")
	sent := time.Now()
	body := fmt.Sprintf("prompt %d", rand.Uint64())
	a := call(r.bench.gates[gate].callers, textOf(key, http.MethodPost, fmt.Sprintf("/draft/?n=%d", batchEvents), attempt, batchWait, body, length(body),
		"X-Model-Name: m0", "X-Prefix-Hash: "+prompt, fmt.Sprintf("X-Token-Counts: %d,%d", promptTokens(prompt), 3*batchEvents)), batchWait)
	r.bench.record("caller sent %s to gate %d at %.3f s and got %q, error %v", attempt, gate, sent.Sub(r.bench.from).Seconds(), a.line, a.err)
	x := soundRequest{sent, a.status == http.StatusOK}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case strings.HasPrefix(attempt, "sound"):
		r.sound = append(r.sound, x)
	case strings.HasPrefix(attempt, "other"):
		r.others = append(r.others, x)
	}
}

// play sends one batch, with a harmful request in it or not.
func (r *batchRun) play(n int, harmful bool) {
	shared := fmt.Sprintf("%s:%d", batchPart, sharedTokens)
	for i := range batchSize {
		r.wait.Go(func() { r.send(key, batchGate, fmt.Sprintf("sound-%d-%d", n, i), longTokens, shared) })
		time.Sleep(batchPause)
	}
	if harmful {
		r.wait.Go(func() {
			r.send(key, batchGate, fmt.Sprintf("harmful-%d", n), shortTokens, shared, fmt.Sprintf("%s:%d", harmfulPart, harmfulTokens))
		})
	}
}

// share returns the share of requests sent in a time span whose answer began, and their number.
func share(all []soundRequest, from, to time.Time) (begun float64, n int) {
	l := promptLoad{sound: all}
	return l.shareBegun(from, to)
}

// batch plays a caller that sends batches of long prompts with the same first part, and other callers beside it. From some batch on, one more prompt
// of each, a short one, has a part that crashes the replica that begins to write an answer on it.
func batch(b *bench) (bool, error) {
	const model = "seal-writer"
	engine := map[string]any{
		"Layers": 40, "LayerMb": 1000, "KvBytes": 2e5, "Stride": 3, "step_ms": 1, "read_per_s": readPerS,
		"usual": map[string]int{"prompt": longTokens, "answer": 3 * batchEvents},
		"Kinds": []map[string]any{{"Name": "acc", "SizeMb": 80000, "pace": 2, "ReadFactor": readFactor}},
	}
	b.configure([]map[string]any{{
		"Name": "draft", "Host": host, "Prefix": "/draft/", "RouteKind": "streaming", "TimeoutMs": 8000, "FullValueMs": 2000,
		"Service": model, "MaxAttempts": 2, "GapTargetMs": 200, "Sticky": true,
	}}, []map[string]any{{"Name": model, "HealthPath": "/healthz", "Engine": engine}})
	fleet := &plat.Fleet{Store: b.store, ModelService: model, Layers: 40}
	defer fleet.Close()
	r := &batchRun{bench: b, read: make(map[*http.Request]bool)}
	fleet.Crashes = r.observe
	if _, err := startModelLoad(b, fleet, batchReplicas); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	every(&r.wait, stop, otherPeriod, func(n int) {
		r.send(otherKey, n%len(b.gates), fmt.Sprintf("other-%d", n), shortTokens, fmt.Sprintf("%s:%d", otherPart, sharedTokens))
	})
	from := time.Now()
	for n := range batchesBefore + batchesAfter {
		time.Sleep(time.Until(from.Add(time.Duration(n) * batchPeriod)))
		r.play(n, b.trouble && n >= batchesBefore)
	}
	time.Sleep(batchPeriod)
	to := time.Now()
	close(stop)
	r.wait.Wait()
	return r.judge(from, from.Add(batchesBefore*batchPeriod), to, fleet.CrashTimes())
}

// judge reports whether sound requests of the batches begin less than half as often as before, from 2 x ContactMs after the crash that counts.
func (r *batchRun) judge(from, troubleFrom, to time.Time, crashed []time.Time) (bool, error) {
	b := r.bench
	counted := troubleFrom
	for i, at := range crashed {
		b.record("a replica crashed at %.3f s", at.Sub(b.from).Seconds())
		if i < crashesBefore {
			counted = at.Add(2 * contactTime)
		}
	}
	before, n := share(r.sound, from, troubleFrom)
	after, m := share(r.sound, counted, to)
	otherBefore, k := share(r.others, from, troubleFrom)
	otherAfter, j := share(r.others, counted, to)
	b.record("%d crashes; sound requests of the batches: %.2f of %d began before, %.2f of %d from %.3f s; other sound requests: %.2f of %d, %.2f of %d",
		len(crashed), before, n, after, m, counted.Sub(b.from).Seconds(), otherBefore, k, otherAfter, j)
	b.record("the gates keep in the store: %q", b.store.Keys("crash/"))
	if n < leastSound || m < leastSound || before < leastShare || b.trouble && len(crashed) == 0 {
		return false, fmt.Errorf("%d and %d sound requests, %d crashes", n, m, len(crashed))
	}
	return after < leastShare*before, nil
}

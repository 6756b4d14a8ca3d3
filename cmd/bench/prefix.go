package main

import (
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/route"
)

const (
	prefixTokens = 1024
	sharedPrompt = 1152
	// A server caches a quarter of all prefixes: a small cache is turned over within the lag of the events,
	// a large one lasts ten times as long.
	smallCache = 6
	largeCache = 60
	cachePart  = 4
)

// cached returns the prompt tokens that every server of the plan has cached, and caches the prefix on all.
// A server without the prefix needs the activations of the servers before it, so these must run too.
func (f *fakeFleet) cached(r *fakeRequest) int {
	if len(r.prefixes) == 0 {
		return 0
	}
	now, all := f.clock.Now(), true
	for _, h := range r.plan.Chain {
		s := f.servers[h.Server]
		_, ok := s.cache[r.prefixes[0]]
		all = all && ok
		s.cache[r.prefixes[0]] = now
		f.report(s, r.prefixes[0], false)
		if len(s.cache) > f.cacheSize {
			f.report(s, s.evict(), true)
		}
	}
	if all {
		return prefixTokens
	}
	return 0
}

// evict drops the prefix that was used least recently.
func (s *fakeServer) evict() teaselstream.Digest {
	var oldest teaselstream.Digest
	for d, t := range s.cache {
		if oldest == "" || t.Before(s.cache[oldest]) || t.Equal(s.cache[oldest]) && d < oldest {
			oldest = d
		}
	}
	delete(s.cache, oldest)
	return oldest
}

// report hands an event to the listeners; they decide on delay and gaps.
func (f *fakeFleet) report(s *fakeServer, d teaselstream.Digest, evicted bool) {
	s.sequence++
	if f.onCache != nil {
		f.onCache(s.spec.Name, teaselstream.CacheEvent{Sequence: s.sequence, Prefix: d, Tokens: prefixTokens, Evicted: evicted})
	}
}

func init() { areas = append(areas, area{"prefix", measurePrefix}) }

func measurePrefix() ([]Row, error) {
	var rows []Row
	for _, size := range []int{smallCache, largeCache} {
		hints, plain := runPrefix(size, size*cachePart, true), runPrefix(size, size*cachePart, false)
		name := fmt.Sprintf("cache of %d prefixes, %d shared: ", size, size*cachePart)
		gain := (plain.first - hints.first) / plain.first * 100
		rows = append(rows,
			Row{Figure: name + "mean time to first token saved by hints", Value: gain, Unit: "%", Target: "> 0", Baseline: fmt.Sprintf("%.3f s without, %.3f s with", plain.first, hints.first), Met: gain > 0},
			Row{Figure: name + "completed requests with hints", Value: hints.rate, Unit: "1/s", Baseline: fmt.Sprintf("%.2f without", plain.rate), Met: true})
	}
	hints, plain := runPrefix(largeCache, 0, true), runPrefix(largeCache, 0, false)
	cost := (hints.first - plain.first) / plain.first * 100
	rate := (plain.rate - hints.rate) / plain.rate * 100
	rows = append(rows,
		Row{Figure: "no shared prefix: mean time to first token lost by hints", Value: cost, Unit: "%", Target: "< 2", Met: cost < 2},
		Row{Figure: "no shared prefix: completed requests lost by hints", Value: rate, Unit: "%", Target: "< 2", Met: rate < 2})
	for i := range rows {
		rows[i].Area = "prefix"
	}
	return rows, nil
}

// runPrefix runs a load of prompts that share one of n prefixes, or none if n is 0.
// Events reach all VMs after 1 s, and one in ten is missing.
func runPrefix(cache, n int, hints bool) routeResult {
	d := firstDeployment()
	index := &route.Prefixes{}
	o := route.Options{}
	if hints {
		o.Prefixes = index
	}
	bound := route.RequestRateBound(d, sharedPrompt, routeTokens)
	v := newDrive(d, 3, reportLag, streamSlots(d), cheapest, o)
	v.fleet.cacheSize = cache
	v.fleet.onCache = func(id teaselstream.ServerID, e teaselstream.CacheEvent) {
		if e.Sequence%10 == 0 {
			return
		}
		v.fleet.clock.After(time.Second, func() { index.Apply(v.fleet.clock.Now(), id, []teaselstream.CacheEvent{e}) })
	}
	end := epoch.Add(routeWarm + routeTime)
	done, firsts, sent := 0, 0.0, 0
	v.ended = func(r *fakeRequest) {
		if v.fleet.clock.Now().After(epoch.Add(routeWarm)) {
			done++
			firsts += r.stream.first.Sub(r.arrived).Seconds()
		}
	}
	v.poisson(bound*0.8, end, func() {
		sent++
		digest := teaselstream.Digest(fmt.Sprintf("unique%d", sent))
		if n > 0 {
			digest = teaselstream.Digest(fmt.Sprintf("shared%d", v.random.IntN(n)))
		}
		v.arrive(&fakeRequest{prompt: sharedPrompt, tokens: routeTokens, prefixes: []teaselstream.Digest{digest}})
	})
	v.fleet.clock.RunUntil(end)
	return routeResult{rate: float64(done) / routeTime.Seconds(), first: firsts / float64(max(done, 1))}
}

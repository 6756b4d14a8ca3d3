package main

import (
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/route"
)

const (
	prefixTokens       = 1024
	prefixPromptTokens = 1152
	// The cache sizes are numbers of prefixes. The number of distinct prefixes is prefixesPerSlot times the cache size, so a server caches a quarter of them. The
	// content of a small cache is replaced within the lag of its events; that of a large one lasts ten times as long.
	smallCache      = 6
	largeCache      = 60
	prefixesPerSlot = 4
)

// useCache returns the number of prompt tokens that all servers of the plan have cached, and caches the prefix on all.
// One server without the prefix makes it 0, because that server needs the activations of all servers before it.
func (f *fakeFleet) useCache(r *fakeRequest) int {
	if len(r.prefixes) == 0 {
		return 0
	}
	now, all := f.clock.Now(), true
	for _, h := range r.plan.Chain {
		s := f.servers[h.Server]
		_, ok := s.cache[r.prefixes[0]]
		all = all && ok
		s.cache[r.prefixes[0]] = now
		f.reportCacheEvent(s, r.prefixes[0], false)
		if len(s.cache) > f.cacheSize {
			f.reportCacheEvent(s, s.evict(), true)
		}
	}
	if all {
		return prefixTokens
	}
	return 0
}

// evict removes the least recently used prefix.
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

// reportCacheEvent passes an event to the listener, which simulates delay and loss.
func (f *fakeFleet) reportCacheEvent(s *fakeServer, d teaselstream.Digest, evicted bool) {
	s.sequence++
	if f.onCacheEvent != nil {
		f.onCacheEvent(s.spec.Name, teaselstream.CacheEvent{Sequence: s.sequence, Prefix: d, Tokens: prefixTokens, Evicted: evicted})
	}
}

func init() { areas = append(areas, area{"prefix", measurePrefix}) }

func measurePrefix() ([]Row, error) {
	var rows []Row
	for _, size := range []int{smallCache, largeCache} {
		hints, plain := runPrefix(size, size*prefixesPerSlot, true), runPrefix(size, size*prefixesPerSlot, false)
		name := fmt.Sprintf("cache of %d prefixes, %d shared: ", size, size*prefixesPerSlot)
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

// runPrefix runs a load of prompts that each start with one of n shared prefixes, or with a unique one if n is 0.
// Cache events reach all VMs after 1 s, and one in ten is lost.
func runPrefix(cache, n int, hints bool) routeResult {
	d := firstDeployment()
	index := &route.Prefixes{}
	o := route.Options{}
	if hints {
		o.Prefixes = index
	}
	bound := route.RequestRateBound(d, prefixPromptTokens, routeTokens)
	v := newRouterSim(d, 3, reportLag, streamSlots(d), newCheapest, o)
	v.fleet.cacheSize = cache
	v.fleet.onCacheEvent = func(id teaselstream.ServerID, e teaselstream.CacheEvent) {
		if e.Sequence%10 == 0 {
			return
		}
		v.fleet.clock.After(time.Second, func() { index.Apply(v.fleet.clock.Now(), id, []teaselstream.CacheEvent{e}) })
	}
	end := epoch.Add(routeWarm + routeTime)
	done, firsts, sent := 0, 0.0, 0
	v.onCompleted = func(r *fakeRequest) {
		if v.fleet.clock.Now().After(epoch.Add(routeWarm)) {
			done++
			firsts += r.stream.first.Sub(r.arrived).Seconds()
		}
	}
	v.poissonArrivals(bound*0.8, end, func() {
		sent++
		digest := teaselstream.Digest(fmt.Sprintf("unique%d", sent))
		if n > 0 {
			digest = teaselstream.Digest(fmt.Sprintf("shared%d", v.random.IntN(n)))
		}
		v.arrive(&fakeRequest{prompt: prefixPromptTokens, tokens: routeTokens, prefixes: []teaselstream.Digest{digest}})
	})
	v.fleet.clock.RunUntil(end)
	return routeResult{rate: float64(done) / routeTime.Seconds(), first: firsts / float64(max(done, 1))}
}

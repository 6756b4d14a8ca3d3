package main

import (
	"fmt"
	"math"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/route"
)

type (
	// routeResult is what one run of a planner gives.
	routeResult struct {
		// rate is the completed requests per second.
		rate float64
		// spread is the mean over time of the standard deviation of queue lengths over their mean, among like servers.
		spread float64
		// first is the mean time to first token in seconds.
		first float64
	}

	routeCase struct {
		name string
		doc  func() *teaselstream.Document
	}
)

const (
	routePrompt = 128
	routeTokens = 48
	routeWarm   = 15 * time.Second
	routeTime   = 60 * time.Second
	reportLag   = time.Second
)

func init() { areas = append(areas, area{"route", measureRoute}) }

func cheapest(o route.Options) teaselstream.Planner { return route.NewCheapest(o) }

func leastOutstanding(o route.Options) teaselstream.Planner { return route.NewLeastOutstanding(o) }

func randomChain(o route.Options) teaselstream.Planner { return route.NewRandom(o) }

func measureRoute() ([]Row, error) {
	var rows []Row
	for _, c := range []routeCase{{"first deployment", firstDeployment}, {"second deployment", secondDeployment}, {"7 kinds, links 100x", mixedDeployment}} {
		bound := route.RequestRateBound(c.doc(), routePrompt, routeTokens)
		best := runRoute(c.doc(), bound, cheapest, 1.1)
		least := runRoute(c.doc(), bound, leastOutstanding, 1.1)
		random := runRoute(c.doc(), bound, randomChain, 1.1)
		baseline := fmt.Sprintf("least outstanding %.3f, random %.3f", least.rate/bound, random.rate/bound)
		if c.name == "7 kinds, links 100x" {
			ratio := best.rate / least.rate
			rows = append(rows,
				Row{Figure: c.name + ": completed worth over max-flow bound", Value: best.rate / bound, Unit: "ratio", Baseline: baseline, Met: true},
				Row{Figure: c.name + ": completed worth over least outstanding", Value: ratio, Unit: "ratio", Target: ">= 1.5", Met: ratio >= 1.5},
				Row{Figure: c.name + ": completed worth over random", Value: best.rate / random.rate, Unit: "ratio", Met: true})
		} else {
			rows = append(rows, Row{Figure: c.name + ": completed worth over max-flow bound", Value: best.rate / bound, Unit: "ratio", Target: ">= 0.95", Baseline: baseline, Met: best.rate/bound >= 0.95})
		}
		light := runRoute(c.doc(), bound, cheapest, 0.7)
		lightLeast := runRoute(c.doc(), bound, leastOutstanding, 0.7)
		rows = append(rows,
			Row{Figure: c.name + ": spread of queue lengths at 0.7 of the bound", Value: light.spread, Unit: "std/mean", Baseline: fmt.Sprintf("least outstanding %.3f", lightLeast.spread), Met: true},
			Row{Figure: c.name + ": mean time to first token at 0.7 of the bound", Value: light.first, Unit: "s", Baseline: fmt.Sprintf("least outstanding %.3f", lightLeast.first), Met: true})
	}
	for i := range rows {
		rows[i].Area = "route"
	}
	return rows, nil
}

// runRoute offers load times the bound and measures after a warm-up.
func runRoute(d *teaselstream.Document, bound float64, make plannerMaker, load float64) routeResult {
	v := newDrive(d, 1, reportLag, streamSlots(d), make, route.Options{})
	end := epoch.Add(routeWarm + routeTime)
	n, firsts := 0, 0.0
	v.ended = func(r *fakeRequest) {
		if v.fleet.clock.Now().After(epoch.Add(routeWarm)) {
			n++
			firsts += r.stream.first.Sub(r.arrived).Seconds()
		}
	}
	v.poisson(bound*load, end, func() { v.arrive(&fakeRequest{prompt: routePrompt, tokens: routeTokens}) })
	spread, samples := 0.0, 0
	for t := epoch.Add(routeWarm); !t.After(end); t = t.Add(250 * time.Millisecond) {
		v.fleet.clock.RunUntil(t)
		spread += queueSpread(v.fleet)
		samples++
	}
	return routeResult{rate: float64(n) / routeTime.Seconds(), spread: spread / float64(samples), first: firsts / float64(max(n, 1))}
}

// streamSlots returns the number of streams that may run at once. Each stream of a chain is on one of its servers
// at a time, and a server's batch is full only if as many streams wait as run, so one per batch slot is not enough.
func streamSlots(d *teaselstream.Document) int {
	n := 0
	for _, s := range d.Servers {
		n += s.MaxConcurrent
	}
	return 3 * n
}

// queueSpread returns the standard deviation over the mean of the queue lengths of like servers, averaged over the groups.
func queueSpread(f *fakeFleet) float64 {
	type group struct{ n, sum, squares float64 }
	groups := map[string]*group{}
	for _, s := range f.servers {
		k := s.spec.Layers.String() + string(s.spec.Accelerator)
		if groups[k] == nil {
			groups[k] = &group{}
		}
		x := float64(s.resident)
		groups[k].n++
		groups[k].sum += x
		groups[k].squares += x * x
	}
	total, n := 0.0, 0.0
	for _, g := range groups {
		if g.n < 2 || g.sum == 0 {
			continue
		}
		mean := g.sum / g.n
		total += math.Sqrt(max(g.squares/g.n-mean*mean, 0)) / mean
		n++
	}
	return total / max(n, 1)
}

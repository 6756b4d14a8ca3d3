package main

import (
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/route"
)

type healthResult struct {
	// one and all are the times in seconds until one VM and all VMs have the changed server on probation, -1 if never.
	one, all float64
	// wrong is the share of answers that are wrong, slow that of answers slower than twice the mean before the change.
	wrong, slow float64
	ejected     int
	healthy     int
}

const (
	changeAt   = 40 * time.Second
	healthTime = 120 * time.Second
	// sampleTokens is the number of tokens over which a stream's time between tokens is taken.
	sampleTokens = 12
	changedOne   = teaselstream.ServerID("s1-01")
)

func init() { areas = append(areas, area{"health", measureHealth}) }

// runHealth changes servers after a while and measures for two minutes.
func runHealth(seed uint64, detect bool, change func(f *fakeFleet)) healthResult {
	d := firstDeployment()
	w := newWatch(d, seed, detect)
	v := w.drive
	changed, end := epoch.Add(changeAt), epoch.Add(changeAt+healthTime)
	before, after, wrong, slow, n := 0.0, 0.0, 0, 0, 0
	v.ended = func(r *fakeRequest) {
		now := v.fleet.clock.Now()
		took := now.Sub(r.arrived).Seconds()
		switch {
		case now.Before(changed):
			before += took
			n++
		case r.arrived.After(changed):
			after++
			if r.stream.wrong {
				wrong++
			}
			if took > 2*before/float64(n) {
				slow++
			}
		}
	}
	v.token = func(r *fakeRequest, index int) {
		if index == 1 {
			r.sampled = v.fleet.clock.Now()
		} else if index%sampleTokens == 0 {
			w.tell(r.vm.index, w.latency(r.stream, r.sampled, sampleTokens))
			r.sampled = v.fleet.clock.Now()
		}
	}
	v.poisson(route.RequestRateBound(d, routePrompt, routeTokens)*0.6, end, func() { v.arrive(&fakeRequest{prompt: routePrompt, tokens: routeTokens}) })
	v.fleet.clock.After(changeAt, func() { change(v.fleet) })
	v.fleet.clock.RunUntil(end)
	res := healthResult{one: -1, all: -1, wrong: float64(wrong) / after, slow: float64(slow) / after, ejected: w.ejected}
	found := 0
	for _, first := range w.first {
		for id, t := range first {
			if id != changedOne {
				res.healthy++
				continue
			}
			found++
			x := t.Sub(changed).Seconds()
			res.all = max(res.all, x)
			if res.one < 0 || x < res.one {
				res.one = x
			}
		}
	}
	if found < liveVMs {
		res.all = -1
	}
	return res
}

func measureHealth() ([]Row, error) {
	slower := func(f *fakeFleet) { f.servers[changedOne].slowdown = 3 }
	wronger := func(f *fakeFleet) { f.servers[changedOne].wrong = true }
	many := func(f *fakeFleet) {
		for id, s := range f.servers {
			if (id[len(id)-1]-'0')%2 == 0 {
				s.slowdown, s.wrong = 3, id[len(id)-1] == '4'
			}
		}
	}
	slow, slowWithout := runHealth(1, true, slower), runHealth(1, false, slower)
	wrong, wrongWithout := runHealth(2, true, wronger), runHealth(2, false, wronger)
	half := runHealth(3, true, many)
	none := runHealth(4, true, func(*fakeFleet) {})
	servers := len(firstDeployment().Servers)
	part := float64(half.ejected) / float64(servers)
	rows := []Row{
		{Figure: "3x slow server: time until one VM has it on probation", Value: slow.one, Unit: "s", Met: slow.one >= 0},
		{Figure: "3x slow server: time until all VMs have it on probation", Value: slow.all, Unit: "s", Met: slow.all >= 0},
		{Figure: "3x slow server: requests slower than twice the mean before", Value: slow.slow * 100, Unit: "%", Baseline: fmt.Sprintf("%.2f%% without detection", slowWithout.slow*100), Met: slow.slow <= slowWithout.slow},
		{Figure: "wrong server: time until one VM has it on probation", Value: wrong.one, Unit: "s", Met: wrong.one >= 0},
		{Figure: "wrong server: time until all VMs have it on probation", Value: wrong.all, Unit: "s", Met: wrong.all >= 0},
		{Figure: "wrong server: requests with wrong answers in 120 s", Value: wrong.wrong * 100, Unit: "%", Baseline: fmt.Sprintf("%.2f%% without detection", wrongWithout.wrong*100), Met: wrong.wrong < wrongWithout.wrong},
		{Figure: "half of the servers changed: largest part on probation", Value: part, Unit: "ratio", Target: "<= 0.333", Baseline: fmt.Sprintf("%d servers of %d", half.ejected, servers), Met: part <= 1.0/3},
		{Figure: "healthy servers put on probation, in one-server and no-change runs", Value: float64(slow.healthy + wrong.healthy + none.healthy), Unit: "times", Target: "0", Met: slow.healthy+wrong.healthy+none.healthy == 0},
	}
	for i := range rows {
		rows[i].Area = "health"
	}
	return rows, nil
}

package main

import (
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/route"
)

type healthResult struct {
	// firstVM and allVMs are the times in seconds until the first VM and all VMs have put the changed server on
	// probation, or -1 if they never do.
	firstVM, allVMs float64
	// wrong is the fraction of answers that are wrong, slow that of answers that take more than twice the mean before the
	// change.
	wrong, slow float64
	// mostOnProbation is the largest number of servers that one VM had on probation; healthyOnProbation counts the
	// probations of unchanged servers, per VM and server.
	mostOnProbation    int
	healthyOnProbation int
}

const (
	changeAt   = 40 * time.Second
	healthTime = 120 * time.Second
	// latencySampleTokens is the number of tokens over which a stream's time per token is averaged.
	latencySampleTokens = 12
	changedServer       = teaselstream.ServerID("s1-01")
)

func init() { areas = append(areas, area{"health", measureHealth}) }

// runHealth changes servers after changeAt and measures for healthTime.
func runHealth(seed uint64, detect bool, change func(f *fakeFleet)) healthResult {
	d := firstDeployment()
	w := newHealthSim(d, seed, detect)
	v := w.routerSim
	changed, end := epoch.Add(changeAt), epoch.Add(changeAt+healthTime)
	before, after, wrong, slow, n := 0.0, 0.0, 0, 0, 0
	v.onCompleted = func(r *fakeRequest) {
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
			r.sampleStart = v.fleet.clock.Now()
		} else if index%latencySampleTokens == 0 {
			w.update(r.vm.index, w.latency(r.stream, r.sampleStart, latencySampleTokens))
			r.sampleStart = v.fleet.clock.Now()
		}
	}
	v.poissonArrivals(route.RequestRateBound(d, routePrompt, routeTokens)*0.6, end, func() { v.arrive(&fakeRequest{prompt: routePrompt, tokens: routeTokens}) })
	v.fleet.clock.After(changeAt, func() { change(v.fleet) })
	v.fleet.clock.RunUntil(end)
	res := healthResult{firstVM: -1, allVMs: -1, wrong: float64(wrong) / after, slow: float64(slow) / after, mostOnProbation: w.mostOnProbation}
	found := 0
	for _, firstProbation := range w.firstProbation {
		for id, t := range firstProbation {
			if id != changedServer {
				res.healthyOnProbation++
				continue
			}
			found++
			x := t.Sub(changed).Seconds()
			res.allVMs = max(res.allVMs, x)
			if res.firstVM < 0 || x < res.firstVM {
				res.firstVM = x
			}
		}
	}
	if found < liveVMs {
		res.allVMs = -1
	}
	return res
}

func measureHealth() ([]Row, error) {
	slowOne := func(f *fakeFleet) { f.servers[changedServer].slowdown = 3 }
	wrongOne := func(f *fakeFleet) { f.servers[changedServer].wrong = true }
	everySecond := func(f *fakeFleet) {
		for id, s := range f.servers {
			if (id[len(id)-1]-'0')%2 == 0 {
				s.slowdown, s.wrong = 3, id[len(id)-1] == '4'
			}
		}
	}
	slow, slowWithout := runHealth(1, true, slowOne), runHealth(1, false, slowOne)
	wrong, wrongWithout := runHealth(2, true, wrongOne), runHealth(2, false, wrongOne)
	half := runHealth(3, true, everySecond)
	none := runHealth(4, true, func(*fakeFleet) {})
	servers := len(firstDeployment().Servers)
	part := float64(half.mostOnProbation) / float64(servers)
	rows := []Row{
		{Figure: "3x slow server: time until one VM has it on probation", Value: slow.firstVM, Unit: "s", Met: slow.firstVM >= 0},
		{Figure: "3x slow server: time until all VMs have it on probation", Value: slow.allVMs, Unit: "s", Met: slow.allVMs >= 0},
		{Figure: "3x slow server: requests slower than twice the mean before", Value: slow.slow * 100, Unit: "%", Baseline: fmt.Sprintf("%.2f%% without detection", slowWithout.slow*100), Met: slow.slow <= slowWithout.slow},
		{Figure: "wrong server: time until one VM has it on probation", Value: wrong.firstVM, Unit: "s", Met: wrong.firstVM >= 0},
		{Figure: "wrong server: time until all VMs have it on probation", Value: wrong.allVMs, Unit: "s", Met: wrong.allVMs >= 0},
		{Figure: "wrong server: requests with wrong answers in 120 s", Value: wrong.wrong * 100, Unit: "%", Baseline: fmt.Sprintf("%.2f%% without detection", wrongWithout.wrong*100), Met: wrong.wrong < wrongWithout.wrong},
		{Figure: "half of the servers changed: largest part on probation", Value: part, Unit: "ratio", Target: "<= 0.333", Baseline: fmt.Sprintf("%d servers of %d", half.mostOnProbation, servers), Met: part <= 1.0/3},
		{Figure: "healthy servers put on probation, in one-server and no-change runs", Value: float64(slow.healthyOnProbation + wrong.healthyOnProbation + none.healthyOnProbation), Unit: "times", Target: "0", Met: slow.healthyOnProbation+wrong.healthyOnProbation+none.healthyOnProbation == 0},
	}
	for i := range rows {
		rows[i].Area = "health"
	}
	return rows, nil
}

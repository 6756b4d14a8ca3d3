package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/route"
)

type (
	// failure is a kind of failure with functions that inject and repair it.
	failure struct {
		name  string
		begin func(w *recoverySim)
		// end repairs the failure after failureDuration; nil means that it is permanent.
		end func(w *recoverySim)
	}

	// recovery holds the recovery times after the beginning and after the end of a failure.
	recovery struct{ begin, end time.Duration }
)

const (
	// recoverLoad is the offered load as a fraction of the capacity bound. The hardware that remains after the loss of one
	// of three failure domains can complete all of it.
	recoverLoad = 0.55
	// recoveredShare is the fraction of the sent worth that a window must complete to count as recovered.
	recoveredShare      = 0.95
	recoverWindow       = 2 * time.Second
	recoverSeeds        = 5
	recoverPromptTokens = 64
	recoverAnswerTokens = 24
	failureAt           = 20 * time.Second
	failureDuration     = 15 * time.Second
	recoverEnd          = failureAt + 2*failureDuration
)

// failures lists the kinds of failure that the design document names.
var failures = []failure{
	{name: "stage", begin: func(w *recoverySim) { w.kill(w.anyServer(), false) }},
	{name: "server", begin: func(w *recoverySim) { w.kill(w.anyServer(), true) }},
	{name: "VM", begin: func(w *recoverySim) { w.anyVM().kill() }},
	{name: "failure domain", begin: func(w *recoverySim) { w.killDomain(w.anyDomain()) }},
	{name: "store", begin: func(w *recoverySim) { w.control.Store.SetDown(true) }, end: func(w *recoverySim) { w.control.Store.SetDown(false) }},
	{name: "partition", begin: func(w *recoverySim) { w.isolated = w.anyDomain(); w.control.SetIsolated(w.isolated, true) }, end: func(w *recoverySim) { w.control.SetIsolated(w.isolated, false) }},
	{name: "pause", begin: func(w *recoverySim) { w.anyVM().pause(failureDuration) }, end: func(*recoverySim) {}},
}

func init() { areas = append(areas, area{"recover", measureRecover}) }

func measureRecover() ([]Row, error) {
	var rows []Row
	for _, f := range failures {
		var begins, ends []time.Duration
		for seed := range uint64(recoverSeeds) {
			r := runRecover(f, seed+1)
			begins, ends = append(begins, r.begin), append(ends, r.end)
		}
		rows = append(rows, recoverRows(f.name, begins)...)
		if f.end != nil {
			rows = append(rows, recoverRows("end of "+f.name, ends)...)
		}
	}
	return rows, nil
}

func recoverRows(name string, times []time.Duration) []Row {
	slices.Sort(times)
	row := func(kind string, t time.Duration) Row {
		return Row{Area: "recover", Figure: fmt.Sprintf("%s: %s", name, kind), Value: t.Seconds(), Unit: "s", Met: t < failureDuration}
	}
	return []Row{row("median", times[len(times)/2]), row("worst", times[len(times)-1])}
}

// recoverDeployment has servers of one kind, so that all answers take equally long and windows vary little.
func recoverDeployment() *teaselstream.Document {
	return layout([]stage{{20, repeatKinds(12, 6)}, {20, repeatKinds(12, 6)}, {20, repeatKinds(12, 6)}}, recoverDomains, []teaselstream.BytesPerSecond{1e9})
}

// runRecover injects one failure and returns how long the completed worth stayed below the required share of the sent
// worth, which the remaining hardware can complete.
func runRecover(f failure, seed uint64) recovery {
	w := newRecoverySim(recoverDeployment(), seed)
	w.load(route.RequestRateBound(w.doc, recoverPromptTokens, recoverAnswerTokens) * recoverLoad)
	w.after(failureAt, func() { f.begin(w) })
	if f.end != nil {
		w.after(failureAt+failureDuration, func() { f.end(w) })
	}
	// Requests of the last windows need time to complete.
	w.control.Run(recoverEnd + 15*time.Second)
	slices.Sort(w.delivered)
	return recovery{w.timeToRecover(failureAt, failureAt+failureDuration), w.timeToRecover(failureAt+failureDuration, recoverEnd)}
}

// timeToRecover returns the time, counted from one point, after which no window that begins before another point completes
// less than recoveredShare of the sent worth.
func (w *recoverySim) timeToRecover(from, to time.Duration) time.Duration {
	const step = 100 * time.Millisecond
	last := from
	for at := from; at < to; at += step {
		if w.completedWorth(at, at+recoverWindow) < recoveredShare*w.rate*recoverWindow.Seconds() {
			last = at + step
		}
	}
	return last - from
}

// completedWorth returns the worth of the tokens delivered in an interval to requests that later completed.
func (w *recoverySim) completedWorth(from, to time.Duration) float64 {
	a, _ := slices.BinarySearch(w.delivered, from)
	b, _ := slices.BinarySearch(w.delivered, to)
	return float64(b-a) / recoverAnswerTokens
}

func (w *recoverySim) after(d time.Duration, f func()) { w.control.Queue.After(d, f) }

func (w *recoverySim) anyServer() teaselstream.ServerID {
	ids := w.control.Servers()
	return ids[w.random.IntN(len(ids))]
}

func (w *recoverySim) anyVM() *recoverVM { return w.vms[w.random.IntN(len(w.vms))] }

func (w *recoverySim) anyDomain() teaselstream.DomainID {
	return w.vms[w.random.IntN(recoverDomains)].control.Domain
}

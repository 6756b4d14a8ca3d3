package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/route"
)

type (
	// failure is one kind of failure with its beginning and end.
	failure struct {
		name  string
		begin func(w *recoverWorld)
		// end repairs what can be repaired after failureTime; nil means that the failure lasts.
		end func(w *recoverWorld)
	}

	// recovery holds the times until recovery from the beginning of a failure, and from its end.
	recovery struct{ begin, end time.Duration }
)

const (
	// recoverLoad is the part of the bound of all hardware that callers send. What remains after the loss of one of
	// three failure domains can complete all of it.
	recoverLoad   = 0.55
	recoverShare  = 0.95
	recoverWindow = 2 * time.Second
	recoverSeeds  = 5
	recoverPrompt = 64
	recoverTokens = 24
	failureAt     = 20 * time.Second
	failureTime   = 15 * time.Second
	recoverEnd    = failureAt + 2*failureTime
)

// failures lists the kinds of failure of the design page.
var failures = []failure{
	{name: "stage", begin: func(w *recoverWorld) { w.kill(w.anyServer(), false) }},
	{name: "server", begin: func(w *recoverWorld) { w.kill(w.anyServer(), true) }},
	{name: "VM", begin: func(w *recoverWorld) { w.anyVM().kill() }},
	{name: "failure domain", begin: func(w *recoverWorld) { w.killDomain(w.anyDomain()) }},
	{name: "store", begin: func(w *recoverWorld) { w.control.Store.SetDown(true) }, end: func(w *recoverWorld) { w.control.Store.SetDown(false) }},
	{name: "partition", begin: func(w *recoverWorld) { w.isolated = w.anyDomain(); w.control.Isolate(w.isolated, true) }, end: func(w *recoverWorld) { w.control.Isolate(w.isolated, false) }},
	{name: "pause", begin: func(w *recoverWorld) { w.anyVM().pause(failureTime) }, end: func(*recoverWorld) {}},
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
		return Row{Area: "recover", Figure: fmt.Sprintf("%s: %s", name, kind), Value: t.Seconds(), Unit: "s", Met: t < failureTime}
	}
	return []Row{row("median", times[len(times)/2]), row("worst", times[len(times)-1])}
}

// recoverDeployment has servers of one kind, so that the answers take equally long and windows differ little.
func recoverDeployment() *teaselstream.Document {
	return layout([]stage{{20, repeat(12, 6)}, {20, repeat(12, 6)}, {20, repeat(12, 6)}}, recoverDomains, []teaselstream.BytesPerSecond{1e9})
}

// runRecover runs one failure and returns how long completed worth stayed below what the remaining hardware allows.
func runRecover(f failure, seed uint64) recovery {
	w := newRecoverWorld(recoverDeployment(), seed)
	w.load(route.RequestRateBound(w.doc, recoverPrompt, recoverTokens) * recoverLoad)
	w.after(failureAt, func() { f.begin(w) })
	if f.end != nil {
		w.after(failureAt+failureTime, func() { f.end(w) })
	}
	// The requests of the last windows need time to end.
	w.control.Run(recoverEnd + 15*time.Second)
	slices.Sort(w.delivered)
	return recovery{w.recovered(failureAt, failureAt+failureTime), w.recovered(failureAt+failureTime, recoverEnd)}
}

// recovered returns the time from a point until the first window after which no window up to the end has less than
// its share of the worth that was sent.
func (w *recoverWorld) recovered(from, to time.Duration) time.Duration {
	const step = 100 * time.Millisecond
	last := from
	for at := from; at < to; at += step {
		if w.completed(at, at+recoverWindow) < recoverShare*w.rate*recoverWindow.Seconds() {
			last = at + step
		}
	}
	return last - from
}

// completed returns the worth that was delivered in a time, token by token, to requests that were completed in the end.
func (w *recoverWorld) completed(from, to time.Duration) float64 {
	a, _ := slices.BinarySearch(w.delivered, from)
	b, _ := slices.BinarySearch(w.delivered, to)
	return float64(b-a) / recoverTokens
}

func (w *recoverWorld) after(d time.Duration, f func()) { w.control.Queue.After(d, f) }

func (w *recoverWorld) anyServer() teaselstream.ServerID {
	ids := w.control.Servers()
	return ids[w.random.IntN(len(ids))]
}

func (w *recoverWorld) anyVM() *recoverVM { return w.vms[w.random.IntN(len(w.vms))] }

func (w *recoverWorld) anyDomain() teaselstream.DomainID {
	return w.vms[w.random.IntN(recoverDomains)].control.Domain
}

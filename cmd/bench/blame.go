package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/blame"
)

const (
	crashRunTime = 10 * time.Minute
	// At sparseInterval one or two crashing contents are active at a time; at denseInterval many share the same servers.
	sparseInterval = 60 * time.Second
	denseInterval  = 8 * time.Second
	// crashResends is the number of times that a caller resends crashing content.
	crashResends = 20
	crashSeeds   = 4
)

func init() { areas = append(areas, area{"blame", measureBlame}) }

// constantBackoff waits as long as the tracker requests.
func constantBackoff(_ int, requested time.Duration) time.Duration { return requested }

// exponentialBackoff doubles the requested wait each time that the tracker makes the request wait again, up to 8 s, after
// "Filtering Spam Email Based on Retry Patterns".
func exponentialBackoff(n int, requested time.Duration) time.Duration {
	return min(requested<<min(n-1, 6), 8*time.Second)
}

// runCrashes simulates innocent load, content that crashes servers, and servers that crash for other reasons.
//
// Crashing content arrives at the given mean interval and crashes at the token that crashPoint returns. A single server
// crashes every 20 s on average, and all servers of a domain crash within half a second every 2 min on average.
func runCrashes(seed uint64, tracked bool, backoff func(int, time.Duration) time.Duration, interval time.Duration, crashPoint func(f *crashFleet) func() int) *crashFleet {
	f := newCrashFleet(seed, tracked, backoff)
	end := epoch.Add(crashRunTime)
	schedule := func(mean time.Duration, do func()) {
		var next func()
		next = func() {
			f.clock.After(time.Duration(f.random.ExpFloat64()*float64(mean)), func() {
				if f.clock.Now().Before(end) {
					do()
					next()
				}
			})
		}
		next()
	}
	n := 0
	innocent := func() int { return -1 }
	schedule(25*time.Millisecond, func() {
		n++
		f.arrive(blame.Fingerprint(fmt.Sprintf("good%d", n)), innocent, 0)
	})
	if crashPoint != nil {
		schedule(interval, func() {
			n++
			f.arrive(blame.Fingerprint(fmt.Sprintf("bad%d", n)), crashPoint(f), crashResends)
		})
	}
	schedule(20*time.Second, func() { f.crash(f.stages[f.random.IntN(3)][f.random.IntN(10)]) })
	schedule(2*time.Minute, func() {
		domain := f.stages[0][f.random.IntN(3)].domain
		for _, stage := range f.stages {
			for _, x := range stage {
				if x.domain == domain {
					f.clock.After(time.Duration(f.random.IntN(500))*time.Millisecond, func() { f.crash(x) })
				}
			}
		}
	})
	f.clock.RunUntil(end.Add(time.Minute))
	return f
}

// runCrashSeeds runs several seeds in parallel and adds up their results, because single runs vary widely.
func runCrashSeeds(tracked bool, backoff func(int, time.Duration) time.Duration, interval time.Duration, crashPoint func(f *crashFleet) func() int) *crashFleet {
	runs := make([]*crashFleet, crashSeeds)
	var g sync.WaitGroup
	for i := range runs {
		g.Go(func() { runs[i] = runCrashes(uint64(i+1), tracked, backoff, interval, crashPoint) })
	}
	g.Wait()
	all := &crashFleet{killed: map[blame.Fingerprint]int{}}
	for i, f := range runs {
		for c, n := range f.killed {
			all.killed[blame.Fingerprint(fmt.Sprint(i, c))] = n
		}
		all.innocent += f.innocent
		all.refused += f.refused
		all.failed += f.failed
		all.delays = append(all.delays, f.delays...)
	}
	return all
}

// fixedCrashPoint returns content that always crashes at the same token; half of all contents crash before the first.
func fixedCrashPoint(f *crashFleet) func() int {
	at := max(f.random.IntN(80)-40, 0)
	return func() int { return at }
}

// randomCrashPoint returns content that crashes at a different token in each attempt.
func randomCrashPoint(f *crashFleet) func() int { return func() int { return f.random.IntN(40) } }

// killCounts returns the largest and the mean number of servers that one fingerprint crashed.
func killCounts(f *crashFleet) (most int, mean float64) {
	for _, n := range f.killed {
		most = max(most, n)
		mean += float64(n) / float64(len(f.killed))
	}
	return most, mean
}

func measureBlame() ([]Row, error) {
	var rows []Row
	for _, c := range []struct {
		name     string
		interval time.Duration
	}{{"one crashing content a minute", sparseInterval}, {"one every 8 s", denseInterval}} {
		rows = append(rows, crashRows(c.name, c.interval)...)
	}
	others := runCrashSeeds(true, constantBackoff, sparseInterval, nil)
	rows = append(rows, Row{Figure: "no crashing content: innocent requests refused while servers die", Value: float64(others.refused), Unit: "requests", Target: "0", Baseline: fmt.Sprintf("%d requests", others.innocent), Met: others.refused == 0},
		Row{Figure: "no crashing content: p95 wait for a new server after a loss", Value: percentile(others.delays, 0.95), Unit: "s", Met: true})
	for i := range rows {
		rows[i].Area = "blame"
	}
	return rows, nil
}

func crashRows(name string, interval time.Duration) []Row {
	fixed := runCrashSeeds(true, constantBackoff, interval, fixedCrashPoint)
	growing := runCrashSeeds(true, exponentialBackoff, interval, fixedCrashPoint)
	random := runCrashSeeds(true, constantBackoff, interval, randomCrashPoint)
	without := runCrashSeeds(false, constantBackoff, interval, fixedCrashPoint)
	most, mean := killCounts(fixed)
	mostRandom, meanRandom := killCounts(random)
	mostWithout, meanWithout := killCounts(without)
	mostGrowing, _ := killCounts(growing)
	refused := fixed.refused + random.refused
	p95 := func(f *crashFleet) float64 { return percentile(f.delays, 0.95) }
	return []Row{
		{Figure: name + ": most servers lost to one fingerprint, crash at a fixed token", Value: float64(most), Unit: "servers", Target: "<= 2", Baseline: fmt.Sprintf("mean %.2f; %d without ledger (mean %.1f)", mean, mostWithout, meanWithout), Met: most <= 2},
		{Figure: name + ": most servers lost to one fingerprint, crash at a random token", Value: float64(mostRandom), Unit: "servers", Target: "<= 2", Baseline: fmt.Sprintf("mean %.2f", meanRandom), Met: mostRandom <= 2},
		{Figure: name + ": innocent requests refused", Value: float64(refused), Unit: "requests", Target: "0", Baseline: fmt.Sprintf("%d requests", fixed.innocent+random.innocent), Met: refused == 0},
		{Figure: name + ": innocent requests failed after 4 attempts", Value: float64(fixed.failed), Unit: "requests", Baseline: fmt.Sprintf("%d without ledger", without.failed), Met: true},
		{Figure: name + ": p95 wait for a new server after a loss", Value: p95(fixed), Unit: "s", Baseline: fmt.Sprintf("%.3f s without ledger", p95(without)), Met: true},
		{Figure: name + ": the same with a wait that grows with early retries", Value: p95(growing), Unit: "s", Baseline: fmt.Sprintf("%.3f s fixed; most servers lost %d", p95(fixed), mostGrowing), Met: true},
	}
}

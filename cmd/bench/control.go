package main

import (
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/runs"
)

// controlFleets lists the measured fleet sizes: the current one, that of one large domain, and the target.
var controlFleets = []struct {
	vms, domains int
	// limit is the time within which a document must be in force at all VMs.
	limit time.Duration
}{
	{8, 3, 5 * time.Second},
	{36, 10, 16 * time.Second},
	{360, 10, 16 * time.Second},
}

// changePeriod is the mean time between changes at 41,000 document changes a day.
const changePeriod = 24 * time.Hour / 41000

// measureControl runs the control cores of whole fleets under a virtual clock. The measured times are those of the
// protocol with a one-way delay of 0.5 ms between VMs and 2 ms for a store call.
func measureControl() ([]Row, error) {
	var rows []Row
	for _, s := range controlFleets {
		rows = append(rows, propagationRows(s.vms, s.domains, s.limit)...)
	}
	rows = append(rows, detectionRows(8, 3)...)
	rows = append(rows, detectionRows(360, 10)...)
	rows = append(rows, recoveryRows()...)
	costs, err := costRows()
	return append(rows, costs...), err
}

func controlRow(figure string, value float64, unit, target string, met bool) Row {
	return Row{Area: "control", Figure: figure, Value: value, Unit: unit, Target: target, Met: met}
}

// smallDocument returns a document with the servers of one model spread over the domains.
func smallDocument(servers, domains int) []string {
	var out []string
	for i := range servers {
		out = append(out, fmt.Sprintf("s%04d %s m %d-%d", i, runs.DomainName(i%domains), i%2*8, i%2*8+8))
	}
	return out
}

func newSettledFleet(vms, domains int, traffic time.Duration) *runs.Fleet {
	f := runs.NewFleet(runs.Config{Seed: 1, VMs: vms, Domains: domains, Document: smallDocument(33, domains), TrafficPeriod: traffic})
	f.StartAll()
	f.Run(20 * time.Second)
	return f
}

// waitFor runs the fleet until ok holds for all running VMs or limit has passed, and returns the elapsed time.
func waitFor(f *runs.Fleet, limit time.Duration, ok func(*teaselstream.Snapshot) bool) time.Duration {
	start := f.Elapsed()
	for f.Elapsed()-start < limit {
		all := true
		for _, v := range f.VMs() {
			if v.Running() && (v.Snapshot == nil || !ok(v.Snapshot)) {
				all = false
				break
			}
		}
		if all {
			break
		}
		f.Run(time.Millisecond)
	}
	return f.Elapsed() - start
}

func propagationRows(vms, domains int, limit time.Duration) []Row {
	f := newSettledFleet(vms, domains, 0)
	var worst time.Duration
	const changes = 5
	calls, begin := f.Store.Calls, f.Elapsed()
	for i := range changes {
		g := f.Promote(runs.Canonical(append(smallDocument(33, domains), fmt.Sprintf("x%d d0 m 0-8", i))), false)
		d := waitFor(f, time.Minute, func(s *teaselstream.Snapshot) bool { return s.Document.Generation >= g })
		worst = max(worst, d)
		f.Run(max(changePeriod-d, 0))
	}
	busy := float64(f.Store.Calls-calls) / (f.Elapsed() - begin).Seconds()
	calls, begin = f.Store.Calls, f.Elapsed()
	// 30 s include one renewal of each store watch.
	f.Run(30 * time.Second)
	idle := float64(f.Store.Calls-calls) / (f.Elapsed() - begin).Seconds()
	name := fmt.Sprintf(" at %d VMs", vms)
	target := "at most " + limit.String()
	return []Row{
		controlRow("document in force everywhere"+name, worst.Seconds(), "s", target, worst <= limit),
		controlRow("store calls, 41,000 changes/day"+name, busy, "1/s", "below 2500/s, not VMs x changes", busy < 100),
		controlRow("store calls, no change"+name, idle, "1/s", "below 2500/s", idle < 100),
	}
}

func detectionRows(vms, domains int) []Row {
	name := fmt.Sprintf(" at %d VMs", vms)
	f := newSettledFleet(vms, domains, 50*time.Millisecond)
	inState := func(id teaselstream.ServerID, want teaselstream.ServerState) func(*teaselstream.Snapshot) bool {
		return func(s *teaselstream.Snapshot) bool { return s.Servers[id].State == want }
	}
	leavingServer := f.Server("s0000")
	leavingServer.Leave()
	waitFor(f, time.Minute, func(*teaselstream.Snapshot) bool { return !leavingServer.LeavingKnownAt.IsZero() })
	leaving := waitFor(f, time.Minute, inState("s0000", teaselstream.Leaving))
	silentServer := f.Server("s0001")
	silentServer.Unresponsive = true
	waitFor(f, time.Minute, func(*teaselstream.Snapshot) bool { return !silentServer.FirstFailedAt.IsZero() })
	first := f.Elapsed()
	anyVM := func() bool {
		for _, v := range f.VMs() {
			if v.Snapshot.Servers["s0001"].State == teaselstream.Dead {
				return true
			}
		}
		return false
	}
	waitFor(f, time.Minute, func(*teaselstream.Snapshot) bool { return anyVM() })
	dead := f.Elapsed() - first
	waitFor(f, time.Minute, inState("s0001", teaselstream.Dead))
	deadAll := f.Elapsed() - first
	f.Server("s0002").Crash()
	refused := waitFor(f, time.Minute, inState("s0002", teaselstream.Dead))
	f.VM(runs.VMName(vms / 2)).Kill()
	gone := waitFor(f, time.Minute, func(s *teaselstream.Snapshot) bool { return s.LiveVMs == vms-1 })
	return []Row{
		controlRow("leaving server unused after any VM learned"+name, leaving.Seconds(), "s", "at most 3 s", leaving <= 3*time.Second),
		controlRow("silent server dead at the first VM after the first failed use"+name, dead.Seconds(), "s", "2 s", dead <= 2*time.Second+200*time.Millisecond),
		controlRow("silent server dead everywhere after the first failed use"+name, deadAll.Seconds(), "s", "", true),
		controlRow("refusing server dead everywhere"+name, refused.Seconds(), "s", "at once at first use", refused <= 2*time.Second),
		controlRow("killed VM dropped everywhere"+name, gone.Seconds(), "s", "at most 3 s plus one heartbeat", gone <= 4*time.Second),
	}
}

func recoveryRows() []Row {
	f := newSettledFleet(360, 10, 0)
	f.Store.SetDown(true)
	f.Run(time.Minute)
	down := f.Queue.Now().Unix()
	f.Store.SetDown(false)
	f.Promote(runs.Canonical(append(smallDocument(33, 10), "x0 d0 m 0-8")), false)
	d := waitFor(f, 2*time.Minute, func(s *teaselstream.Snapshot) bool { return s.Document.Generation == 2 })
	f.Run(30 * time.Second)
	reads, writes := 0, 0
	for t, n := range f.Store.Reads {
		if t >= down {
			reads = max(reads, n)
		}
	}
	for t, n := range f.Store.Writes {
		if t >= down {
			writes = max(writes, n)
		}
	}
	return []Row{
		controlRow("reads in the busiest second after an outage, 360 VMs", float64(reads), "1/s", "below 2000/s", reads < 2000),
		controlRow("writes in the busiest second after an outage, 360 VMs", float64(writes), "1/s", "below 500/s", writes < 500),
		controlRow("document in force after an outage of 60 s, 360 VMs", d.Seconds(), "s", "at most 16 s", d <= 16*time.Second),
	}
}

package main

import (
	"bytes"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream/envdoc"
	"github.com/teaselstream/teaselstream/runs"
)

// frameOverheadBytes is the size of one message without its content: WebSocket header and mask, TCP and IP headers, and
// an acknowledgement for every second segment.
const frameOverheadBytes = 8 + 52 + 26

// pollBytes is the size of one GET /v1/load request and its response, with their TCP and IP headers.
const pollBytes = 350 + 2*52

// fleetSize describes one measured fleet; with changes, the document changes at the target rate.
type fleetSize struct {
	vms, domains, servers, teams int
	changes                      bool
}

// cost is the control cost of one VM: bytes between VMs and of load polls per second, CPU seconds per second, and heap
// bytes.
type cost struct {
	bytes  float64
	polls  float64
	cpu    float64
	memory float64
}

// generateDocument returns an environment document with the given numbers of servers and teams. Different values of
// change give documents that differ.
func generateDocument(servers, teams, change int) []byte {
	var b bytes.Buffer
	b.WriteString("[Environment]\nName = run\n\n")
	const models = 12
	for m := range models {
		fmt.Fprintf(&b, "[Model m%02d]\nLayers = 16\nBytesPerLayer = 100MB\n\n", m)
	}
	for i := range max(servers, models*2) {
		from := i / models % 2 * 8
		fmt.Fprintf(&b, "[Server s%05d]\nKind = Model\nDomain = %s\nRegion = r%d\nAddress = 10.%d.%d.%d:9000\nModel = m%02d\nLayers = %d-%d\n"+
			"Accelerator = k%d\nAccelerators = 4\nTimePerLayer = 800us\nMaxConcurrent = 32\nMemory = 80GB\n\n",
			i, runs.DomainName(i%10), i%10/3, i>>16, i>>8&255, i&255, i%models, from, from+8, i%7)
	}
	for i := range teams {
		share := 1
		if i == 0 {
			share += change
		}
		fmt.Fprintf(&b, "[Team t%04d]\nKeyDigests = %064x\nShare = %d\nModels = m00, m01\n\n", i, i+1, share)
	}
	fmt.Fprintf(&b, "[Limits]\nMaxTokens = %d\n", 1000+change)
	return b.Bytes()
}

func canonicalDocument(servers, teams, change int) ([]byte, error) {
	c, err := envdoc.Canonical(generateDocument(servers, teams, change))
	if err != nil {
		return nil, fmt.Errorf("build document: %w", err)
	}
	return c, nil
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureCost measures a fleet in its steady state. CPU and memory are those of this process divided by the number of
// VMs, and thus include the simulated servers and store.
func measureCost(l fleetSize) (cost, error) {
	const window = 20 * time.Second
	before := heapBytes()
	f := runs.NewFleet(runs.Config{Seed: 1, VMs: l.vms, Domains: l.domains, Format: envdoc.NewFormat()})
	c, err := canonicalDocument(l.servers, l.teams, 0)
	if err != nil {
		return cost{}, err
	}
	f.Promote(c, false)
	f.StartAll()
	f.Run(15 * time.Second)
	bytesBefore, messages, polls, cpu := f.Bytes, f.Messages, f.LoadPolls, cpuTime()
	var outside time.Duration
	for at, i := time.Duration(0), 1; at < window; i++ {
		if l.changes {
			t := cpuTime()
			if c, err = canonicalDocument(l.servers, l.teams, i); err != nil {
				return cost{}, err
			}
			f.Promote(c, false)
			outside += cpuTime() - t
		}
		f.Run(changePeriod)
		at += changePeriod
	}
	n := float64(l.vms) * window.Seconds()
	out := cost{
		// Each message counts twice: for the VM that sends it and the one that receives it.
		bytes: 2 * float64(f.Bytes-bytesBefore+(f.Messages-messages)*frameOverheadBytes) / n,
		polls: float64(f.LoadPolls-polls) * pollBytes / n,
		cpu:   (cpuTime() - cpu - outside).Seconds() / n,
	}
	out.memory = (heapBytes() - before) / float64(l.vms)
	runtime.KeepAlive(f)
	return out, nil
}

// costRows measures the cost per VM, server, team and change around a small fleet and adds them up at the target size.
func costRows() ([]Row, error) {
	base := fleetSize{vms: 36, domains: 10, servers: 30, teams: 10}
	points := []struct {
		name      string
		fleetSize fleetSize
		// divisor is the count by which the difference to the base is divided; scale is the count at the target size.
		divisor, scale float64
	}{
		{"base of 36 VMs, 30 servers, 10 teams", base, 1, 1},
		{"per VM", fleetSize{vms: 360, domains: 10, servers: 30, teams: 10}, 324, 324},
		{"per server", fleetSize{vms: 8, domains: 1, servers: 7200, teams: 10}, 7170, 7170},
		{"per team", fleetSize{vms: 8, domains: 1, servers: 30, teams: 2400}, 2390, 2390},
		{"per change/s of the whole document", fleetSize{vms: 8, domains: 1, servers: 7200, teams: 2400, changes: true}, 1 / changePeriod.Seconds(), 1 / changePeriod.Seconds()},
	}
	var sum cost
	var first, small, large cost
	var rows []Row
	for i, p := range points {
		c, err := measureCost(p.fleetSize)
		if err != nil {
			return rows, err
		}
		d := c
		switch i {
		case 0:
			first = c
		case 1:
			d = c.minus(first)
		case 2, 3:
			if i == 2 {
				if small, err = measureCost(fleetSize{vms: 8, domains: 1, servers: 30, teams: 10}); err != nil {
					return rows, err
				}
			}
			d = c.minus(small)
		case 4:
			if large, err = measureCost(fleetSize{vms: 8, domains: 1, servers: 7200, teams: 2400}); err != nil {
				return rows, err
			}
			d = c.minus(large)
		}
		sum = sum.plus(d)
		rows = append(rows, d.rows(p.name, p.divisor)...)
	}
	return append(rows,
		controlRow("sum at target: bytes between VMs", sum.bytes, "B/s", "at most 7000 with load polls", sum.bytes+sum.polls <= 7000),
		controlRow("sum at target: bytes of load polls", sum.polls, "B/s", "at most 7000 with VMs", sum.bytes+sum.polls <= 7000),
		controlRow("sum at target: CPU", 100*sum.cpu, "% of a core", "at most 1", sum.cpu <= 0.01),
		controlRow("sum at target: heap", sum.memory/1e6, "MB", "at most 128", sum.memory <= 128e6),
	), nil
}

func (c cost) minus(o cost) cost {
	return cost{c.bytes - o.bytes, c.polls - o.polls, c.cpu - o.cpu, c.memory - o.memory}
}

func (c cost) plus(o cost) cost {
	return cost{c.bytes + o.bytes, c.polls + o.polls, c.cpu + o.cpu, c.memory + o.memory}
}

func (c cost) rows(name string, divisor float64) []Row {
	return []Row{
		controlRow("bytes "+name, (c.bytes+c.polls)/divisor, "B/s", "", true),
		controlRow("CPU "+name, 1e6*c.cpu/divisor, "us/s", "", true),
		controlRow("heap "+name, c.memory/divisor/1e3, "kB", "", true),
	}
}

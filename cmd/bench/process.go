package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/front"
	"github.com/teaselstream/teaselstream/hengin"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/route"
	"github.com/teaselstream/teaselstream/serve"
)

const (
	processLayers      = 32
	firstTokenRequests = 1500
	pacedStreams       = 1000
	pacedTokens        = 80
	burstStreams       = 32
	burstTokens        = 20000
	// tokenPeriod is the time between tokens that the service promises to 95 % of callers.
	tokenPeriod = 28 * time.Millisecond
	// idleTokenPeriod keeps open streams from counting as stalled, at little cost.
	idleTokenPeriod = 500 * time.Millisecond
	// settleTime is the wait between opening the streams and measuring their memory, and again after they are closed.
	settleTime = time.Second
)

type (
	// testbed is a router and a simulated engine in this process.
	testbed struct {
		engine *fastEngine
		router string
		stop   func() error
	}

	// usage is the resource consumption of one run.
	usage struct {
		cpu     time.Duration
		mallocs int64
		tokens  int
		// initialTokens is the number of tokens received before the measurement.
		initialTokens int
	}
)

// measureProcess compares runs through the router with direct runs against the same engine, so that the cost of engine
// and client, which share the process, cancels out.
func measureProcess() ([]Row, error) {
	r, err := newTestbed()
	if err != nil {
		return nil, err
	}
	rows, err := r.measure()
	return rows, errors.Join(err, r.stop())
}

func (r *testbed) measure() ([]Row, error) {
	rows, err := r.firstToken()
	if err != nil {
		return nil, fmt.Errorf("time to first token: %w", err)
	}
	for _, x := range []struct {
		name            string
		streams, tokens int
		period          time.Duration
	}{
		{"paced", pacedStreams, pacedTokens, tokenPeriod},
		{"in bursts", burstStreams, burstTokens, 0},
	} {
		more, err := r.perToken(x.name, x.streams, x.tokens, x.period)
		if err != nil {
			return nil, fmt.Errorf("tokens %s: %w", x.name, err)
		}
		rows = append(rows, more...)
	}
	for _, n := range []int{100, 1000, 10000} {
		n = min(n, maxStreams())
		row, err := r.memory(n)
		if err != nil {
			return nil, fmt.Errorf("memory of %d streams: %w", n, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// firstToken alternates direct and routed requests of one token.
func (r *testbed) firstToken() ([]Row, error) {
	direct, err := dialClient(r.engine.address, directRequest("first", 1))
	if err != nil {
		return nil, err
	}
	defer direct.close()
	routed, err := dialClient(r.router, routedRequest("first", 1))
	if err != nil {
		return nil, err
	}
	defer routed.close()
	var times [2][]time.Duration
	for range firstTokenRequests {
		for i, c := range []*streamClient{direct, routed} {
			d, err := c.firstToken()
			if err != nil {
				return nil, err
			}
			times[i] = append(times[i], d)
		}
	}
	slices.Sort(times[0])
	slices.Sort(times[1])
	var rows []Row
	for _, q := range []struct {
		name string
		at   int
	}{{"p50", firstTokenRequests / 2}, {"p99", firstTokenRequests * 99 / 100}} {
		added := times[1][q.at] - times[0][q.at]
		rows = append(rows, Row{
			Area: "process", Figure: "added time to first token " + q.name, Value: float64(added.Microseconds()), Unit: "us",
			Baseline: fmt.Sprintf("direct %d us", times[0][q.at].Microseconds()), Met: true,
		})
	}
	return rows, nil
}

// perToken measures the router's tokens per CPU second and its allocations per token.
func (r *testbed) perToken(name string, streams, tokens int, period time.Duration) ([]Row, error) {
	prompt := period.String()
	direct, err := runStreams(streams, r.engine.address, directRequest(prompt, tokens))
	if err != nil {
		return nil, err
	}
	routed, err := runStreams(streams, r.router, routedRequest(prompt, tokens))
	if err != nil {
		return nil, err
	}
	if want := streams * tokens; direct.tokens != want || routed.tokens != want {
		return nil, fmt.Errorf("tokens received: %d direct, %d routed; want %d", direct.tokens, routed.tokens, want)
	}
	n, d := float64(routed.tokens-routed.initialTokens), float64(direct.tokens-direct.initialTokens)
	cost := routed.cpu.Seconds()/n - direct.cpu.Seconds()/d
	allocations := float64(routed.mallocs)/n - float64(direct.mallocs)/d
	return []Row{
		{
			Area: "process", Figure: "tokens relayed per core, " + name, Value: 1 / cost, Unit: "1/s", Target: ">= 100000",
			Baseline: fmt.Sprintf("direct %.3g us/token", direct.cpu.Seconds()/d*1e6), Met: 1/cost >= 100000,
		},
		{
			Area: "process", Figure: "allocations per token, " + name, Value: allocations, Unit: "1", Target: "0",
			Baseline: fmt.Sprintf("direct %.3g", float64(direct.mallocs)/d), Met: allocations < 0.05,
		},
	}, nil
}

// runStreams runs streams concurrently to their end. It measures from the time at which all have their first token, which
// excludes the set-up of the streams.
func runStreams(streams int, address string, request []byte) (usage, error) {
	clients := make([]*streamClient, streams)
	for i := range clients {
		c, err := dialClient(address, request)
		if err != nil {
			return usage{}, err
		}
		defer c.close()
		clients[i] = c
	}
	if err := forEach(clients, (*streamClient).readFirstToken); err != nil {
		return usage{}, err
	}
	u := usage{cpu: -processorTime(), mallocs: -int64(mallocCount())}
	for _, c := range clients {
		u.initialTokens += c.tokens
	}
	err := forEach(clients, (*streamClient).finish)
	u.cpu += processorTime()
	u.mallocs += int64(mallocCount())
	for _, c := range clients {
		u.tokens += c.tokens
	}
	return u, err
}

func forEach(clients []*streamClient, f func(*streamClient) error) error {
	errs := make([]error, len(clients))
	var wait sync.WaitGroup
	for i, c := range clients {
		wait.Go(func() { errs[i] = f(c) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// memory measures the memory that the router adds per open stream.
func (r *testbed) memory(streams int) (Row, error) {
	prompt := idleTokenPeriod.String()
	direct, err := openMemory(streams, r.engine.address, directRequest(prompt, 1<<20))
	if err != nil {
		return Row{}, err
	}
	routed, err := openMemory(streams, r.router, routedRequest(prompt, 1<<20))
	if err != nil {
		return Row{}, err
	}
	return Row{
		Area: "process", Figure: fmt.Sprintf("memory per open stream at %d", streams), Unit: "KB", Met: true,
		Value:    float64(int64(routed)-int64(direct)) / float64(streams) / 1e3,
		Baseline: fmt.Sprintf("direct %.3g KB", float64(direct)/float64(streams)/1e3),
	}, nil
}

// openMemory returns the memory that open streams use after their first token.
func openMemory(streams int, address string, request []byte) (uint64, error) {
	before := memoryInUse()
	clients := make([]*streamClient, streams)
	errs := make([]error, streams)
	var wait sync.WaitGroup
	// 32 concurrent dialers stay below the listeners' backlog.
	next := make(chan int)
	for range 32 {
		wait.Go(func() {
			for i := range next {
				if clients[i], errs[i] = dialClient(address, request); errs[i] == nil {
					_, errs[i] = clients[i].firstToken()
				}
			}
		})
	}
	for i := range clients {
		next <- i
	}
	close(next)
	wait.Wait()
	time.Sleep(settleTime)
	after := memoryInUse()
	for _, c := range clients {
		if c != nil {
			c.close()
		}
	}
	time.Sleep(settleTime)
	return max(after, before) - before, errors.Join(errs...)
}

// maxStreams returns the number of streams that the limit on file descriptors allows; each uses four in this process.
func maxStreams() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 1000
	}
	return int(min(l.Cur/4, 1<<20)) - 100
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func mallocCount() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func newTestbed() (*testbed, error) {
	engine, err := startFastEngine()
	if err != nil {
		return nil, err
	}
	m, err := meter.New(context.Background(), meter.Options{VM: "bench"})
	if err != nil {
		return nil, fmt.Errorf("start metrics: %w", err)
	}
	snap := processSnapshot(engine.address)
	current := func() *teaselstream.Snapshot { return snap }
	client := &hengin.Client{}
	models := serve.New(serve.Options{Snapshot: current, Engine: client, Meter: m, Planner: route.NewCheapest(route.Options{})})
	ctx, cancel := context.WithCancel(context.Background())
	go models.Run(ctx)
	f := front.New(front.Options{VM: "bench", Snapshot: current, Models: models})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, fmt.Errorf("listen: %w", err)
	}
	served := make(chan error, 1)
	go func() { served <- f.Serve(l) }()
	stop := func() error {
		cancel()
		client.Close()
		limit, done := context.WithTimeout(context.Background(), 5*time.Second)
		defer done()
		return errors.Join(f.Shutdown(limit), <-served, m.Stop(limit), engine.close())
	}
	return &testbed{engine: engine, router: l.Addr().String(), stop: stop}, nil
}

// processSnapshot returns a snapshot with one model in two stages, and one team whose key is alpha-key.
func processSnapshot(address string) *teaselstream.Snapshot {
	d := &teaselstream.Document{
		Models: map[teaselstream.ModelID]teaselstream.Model{"large": {Name: "large", Layers: processLayers}},
		Teams: map[teaselstream.TeamID]teaselstream.Team{"alpha": {
			Name: "alpha", Share: 1, Worth: 1,
			KeyDigests: []teaselstream.Digest{"677509799af78b2efa2f2af71d0f906e0a0c50c048efd3b515625f788e92b99a"},
		}},
		Servers: map[teaselstream.ServerID]teaselstream.Server{},
	}
	s := &teaselstream.Snapshot{Document: d, LiveVMs: 1, Servers: map[teaselstream.ServerID]teaselstream.ServerView{}}
	for name, layers := range map[teaselstream.ServerID]teaselstream.LayerRange{
		"head": {From: 0, To: processLayers / 2}, "tail": {From: processLayers / 2, To: processLayers},
	} {
		v := teaselstream.Server{
			Name: name, Kind: teaselstream.KindModel, Domain: "a", Address: address, Model: "large", Accelerators: 1,
			Layers: layers, TimePerLayer: 10 * time.Microsecond, MaxConcurrent: 1 << 16,
		}
		d.Servers[name] = v
		s.Servers[name] = teaselstream.ServerView{Server: v, Weight: 1, Slowdown: 1, Local: true}
	}
	return s
}

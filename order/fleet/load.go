package fleet

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sort"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/order"
)

type (
	// Load is a steady load without faults.
	Load struct {
		VMs            int
		CallsPerSecond float64
		Duration       time.Duration
		// AnswerBytes is the size of an answer in bytes.
		AnswerBytes int
	}

	// LoadResult are measured under a Load, after a second of warm-up. Times are virtual.
	LoadResult struct {
		Orders          int
		Failed          int
		ClaimsPerWrite  float64
		WritesPerSecond float64
		BytesPerSecond  float64
		// Median and P99 are the latency added to the service's own time.
		Median time.Duration
		P99    time.Duration
		// FinalRecordWait is the mean time from the end of a call until its record is durable.
		FinalRecordWait time.Duration
		// StoreBytesPerOrder is per order kept in the store.
		StoreBytesPerOrder float64
	}

	// ColdStartResult are measured when one VM builds the index of all shards. CPU is the real time of the core.
	ColdStartResult struct {
		Orders int
		Reads  int
		Time   time.Duration
		CPU    time.Duration
		// MemoryBytes is in bytes.
		MemoryBytes float64
	}
)

const (
	loadService = 20 * time.Millisecond
	warmUp      = time.Second
	// storeRate is the store's limit of writes per second for all of its users.
	storeRate = 500
)

// MeasureLoad runs a load and returns its figures and the fleet.
func MeasureLoad(d Load) (LoadResult, *Fleet) {
	spec := teaselstream.ServiceSpec{Name: "app", StatusLookup: "/orders/{key}", Timeout: serviceTimeout}
	f := New(Config{Start: Start, VMs: d.VMs, Seed: 1, Spec: spec, ServiceTime: loadService})
	f.Store.WritesPerSecond = storeRate
	f.service.padding = d.AnswerBytes
	r := rand.New(rand.NewPCG(1, 2))
	submitted := make(map[teaselstream.RequestID]time.Time)
	var latency []time.Duration
	var g LoadResult
	f.OnReply = func(_ int, x order.Reply) {
		at := submitted[x.Request]
		switch {
		case at.Before(Start.Add(warmUp)):
		case x.Err != nil:
			g.Failed++
		default:
			latency = append(latency, f.Queue.Now().Sub(at)-loadService)
		}
	}
	n := 0
	var next func()
	next = func() {
		if !f.Queue.Now().Before(Start.Add(warmUp + d.Duration)) {
			return
		}
		n++
		now := f.Queue.Now()
		id := teaselstream.RequestID(fmt.Sprint(n))
		submitted[id] = now
		c := teaselstream.ServiceCall{Method: "POST", Path: "/orders", Key: NewKey(now, n), Body: []byte(id)}
		f.VMs[r.IntN(d.VMs)].Submit(id, c, now.Add(10*time.Second))
		f.Queue.After(time.Duration(r.ExpFloat64()/d.CallsPerSecond*float64(time.Second)), next)
	}
	next()
	f.Queue.RunUntil(Start.Add(warmUp))
	writes, bytes, claims := f.Store.Writes, f.Store.Bytes, f.claims()
	f.Queue.RunUntil(Start.Add(warmUp + d.Duration))
	w := f.Store.Writes - writes
	g.Orders = len(latency)
	f.orders = n
	g.ClaimsPerWrite = float64(f.claims()-claims) / float64(w)
	g.WritesPerSecond = float64(w) / d.Duration.Seconds()
	g.BytesPerSecond = float64(f.Store.Bytes-bytes) / d.Duration.Seconds()
	g.StoreBytesPerOrder = float64(f.Store.Size()) / float64(n)
	// What is still open ends here, so that it holds no memory in later measurements.
	f.Queue.RunUntil(Start.Add(warmUp + d.Duration + 2*serviceTimeout))
	g.FinalRecordWait = f.stored()
	sort.Slice(latency, func(a, b int) bool { return latency[a] < latency[b] })
	g.Median, g.P99 = latency[len(latency)/2], latency[len(latency)*99/100]
	return g, f
}

// stored returns the mean time from the end of a call until its record is durable.
func (f *Fleet) stored() time.Duration {
	var ends int
	var wait time.Duration
	for _, v := range f.VMs {
		ends += v.Log.Counts.FinalRecords
		wait += v.Log.Counts.FinalRecordWait
	}
	return wait / time.Duration(max(ends, 1))
}

func (f *Fleet) claims() int {
	n := 0
	for _, v := range f.VMs {
		n += v.Log.Counts.Claims
	}
	return n
}

// MeasureColdStart replaces the fleet by one VM that builds the index of all shards from the store.
func (f *Fleet) MeasureColdStart() ColdStartResult {
	f.OnReply = nil
	v := f.VMs[0]
	for _, w := range f.VMs {
		w.Kill()
		w.Log = nil
	}
	f.Queue.RunUntil(f.Queue.Now().Add(2 * serviceTimeout))
	g := ColdStartResult{Reads: f.Store.Reads}
	before := heap()
	start, real := f.Queue.Now(), time.Now()
	v.Start()
	f.SetViews(nil)
	for !v.Log.Ready() {
		f.Queue.Step()
	}
	g.CPU, g.Time = time.Since(real), f.Queue.Now().Sub(start)
	g.Reads = f.Store.Reads - g.Reads
	g.Orders = f.orders
	g.MemoryBytes = float64(heap() - before)
	// The store must be part of both measurements.
	runtime.KeepAlive(f)
	return g
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

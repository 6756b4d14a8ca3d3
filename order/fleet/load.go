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
		VMs int
		// Rate is in calls per second, and Time is how long the load is measured.
		Rate float64
		Time time.Duration
		// AnswerBytes is the size of the service's answers.
		AnswerBytes int
	}

	// LoadResult holds the measurements of a Load. Times are virtual. The first second is a warm-up, which only
	// FinalRecordWait and StoreBytesPerOrder include.
	LoadResult struct {
		Orders          int
		Failed          int
		ClaimsPerWrite  float64
		WritesPerSecond float64
		BytesPerSecond  float64
		// Median and P99 are the latency that is added to the service's own time.
		Median time.Duration
		P99    time.Duration
		// FinalRecordWait is the mean time from the end of a call until its final record is durable.
		FinalRecordWait time.Duration
		// StoreBytesPerOrder is the size of the store's values for each submitted call.
		StoreBytesPerOrder float64
	}

	// ColdStartResult holds the measurements of one VM that builds the index of all shards. Time is virtual; CPU is the
	// real time that the run takes.
	ColdStartResult struct {
		Orders int
		Reads  int
		Time   time.Duration
		CPU    time.Duration
		// MemoryBytes is the growth of the heap.
		MemoryBytes float64
	}
)

const (
	loadServiceTime = 20 * time.Millisecond
	warmUp          = time.Second
	// storeWritesPerSecond is the store's limit for all of its clients together.
	storeWritesPerSecond = 500
)

// MeasureLoad runs a load and returns its measurements and the fleet.
func MeasureLoad(d Load) (LoadResult, *Fleet) {
	spec := teaselstream.ServiceSpec{Name: "app", StatusLookup: "/orders/{key}", Timeout: serviceTimeout}
	f := New(Config{Start: Start, VMs: d.VMs, Seed: 1, Spec: spec, ServiceTime: loadServiceTime})
	f.Store.Rate = storeWritesPerSecond
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
			latency = append(latency, f.Queue.Now().Sub(at)-loadServiceTime)
		}
	}
	n := 0
	var next func()
	next = func() {
		if !f.Queue.Now().Before(Start.Add(warmUp + d.Time)) {
			return
		}
		n++
		now := f.Queue.Now()
		id := teaselstream.RequestID(fmt.Sprint(n))
		submitted[id] = now
		c := teaselstream.ServiceCall{Method: "POST", Path: "/orders", Key: NewKey(now, n), Body: []byte(id)}
		f.VMs[r.IntN(d.VMs)].Submit(id, c, now.Add(10*time.Second))
		f.Queue.After(time.Duration(r.ExpFloat64()/d.Rate*float64(time.Second)), next)
	}
	next()
	f.Queue.RunUntil(Start.Add(warmUp))
	writes, bytes, claims := f.Store.Writes, f.Store.Bytes, f.claims()
	f.Queue.RunUntil(Start.Add(warmUp + d.Time))
	w := f.Store.Writes - writes
	g.Orders = len(latency)
	f.submittedCalls = n
	g.ClaimsPerWrite = float64(f.claims()-claims) / float64(w)
	g.WritesPerSecond = float64(w) / d.Time.Seconds()
	g.BytesPerSecond = float64(f.Store.Bytes-bytes) / d.Time.Seconds()
	g.StoreBytesPerOrder = float64(f.Store.Size()) / float64(n)
	// Open calls end here, so that they use no memory in later measurements.
	f.Queue.RunUntil(Start.Add(warmUp + d.Time + 2*serviceTimeout))
	g.FinalRecordWait = f.meanFinalRecordWait()
	sort.Slice(latency, func(a, b int) bool { return latency[a] < latency[b] })
	g.Median, g.P99 = latency[len(latency)/2], latency[len(latency)*99/100]
	return g, f
}

// meanFinalRecordWait returns the mean time from the end of a call until its final record is durable.
func (f *Fleet) meanFinalRecordWait() time.Duration {
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

// MeasureColdStart stops all VMs and starts one that builds the index of all shards from the store.
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
	g.Orders = f.submittedCalls
	g.MemoryBytes = float64(heap() - before)
	// The store must be part of both heap measurements.
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

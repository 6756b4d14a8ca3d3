package main

import (
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream/order/fleet"
)

// orderPrevious holds the figures of the first version of the claim log, by figure.
var orderPrevious = map[string]string{
	"memory per retained order": "114",
}

// measureOrder measures the claim log over 8 VMs under a virtual clock, with a store that answers in 3 ms.
func measureOrder() ([]Row, error) {
	var rows []Row
	add := func(figure string, value float64, unit, target string, met bool) {
		rows = append(rows, Row{Area: "order", Figure: figure, Value: value, Unit: unit, Target: target, Previous: orderPrevious[figure], Met: met})
	}
	var f *fleet.Fleet
	for _, rate := range []float64{50, 500, 5000} {
		var g fleet.LoadResult
		g, f = fleet.MeasureLoad(fleet.Load{VMs: 8, Rate: rate, Time: 20 * time.Second, AnswerBytes: 200})
		at := fmt.Sprintf(" at %g orders/s", rate)
		add("failed orders"+at, float64(g.Failed), "", "0", g.Failed == 0)
		add("claims per store write"+at, g.ClaimsPerWrite, "", "", true)
		add("store writes"+at, g.WritesPerSecond, "1/s", "at most 300", g.WritesPerSecond <= 300)
		add("bytes written"+at, g.BytesPerSecond/1e6, "MB/s", "", true)
		add("added latency p50"+at, float64(g.Median)/1e6, "ms", "", true)
		add("added latency p99"+at, float64(g.P99)/1e6, "ms", "", true)
		add("mean time until the answer is stored"+at, float64(g.FinalRecordWait)/1e6, "ms", "", true)
		add("store bytes per order"+at, g.StoreBytesPerOrder, "B", "", true)
	}
	// The slope leaves out the heads, whose size does not grow.
	_, small := fleet.MeasureLoad(fleet.Load{VMs: 8, Rate: 5000, Time: 5 * time.Second, AnswerBytes: 200})
	a, b := small.MeasureColdStart(), f.MeasureColdStart()
	add("memory per retained order", (b.MemoryBytes-a.MemoryBytes)/float64(b.Orders-a.Orders), "B", "", true)
	_, f = fleet.MeasureLoad(fleet.Load{VMs: 8, Rate: 5000, Time: 20 * time.Second, AnswerBytes: 2000})
	c := f.MeasureColdStart()
	add("orders in the cold index", float64(c.Orders), "", "", true)
	add("store reads for the cold index", float64(c.Reads), "", "", true)
	add("virtual time of the cold index", float64(c.Time)/1e6, "ms", "", true)
	add("CPU time of the cold index", float64(c.CPU)/1e6, "ms", "", true)
	return rows, nil
}

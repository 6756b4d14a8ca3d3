package main

import (
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
)

// stage describes the replicas of one layer range.
type stage struct {
	layers teaselstream.Layer
	// kinds holds each replica's accelerator kind as an index into kindTimes.
	kinds []int
}

// kindTimes holds the time per layer and token of each accelerator kind.
var kindTimes = []time.Duration{
	300 * time.Microsecond, 400 * time.Microsecond, 500 * time.Microsecond, 700 * time.Microsecond,
	time.Millisecond, 1500 * time.Microsecond, 2100 * time.Microsecond,
}

const (
	layoutModel     = teaselstream.ModelID("m")
	activationBytes = 8192
)

// layout returns a document whose replicas are spread evenly over the domains. The links between pairs of domains take
// their rates from rates in turn.
func layout(stages []stage, domains int, rates []teaselstream.BytesPerSecond) *teaselstream.Document {
	d := &teaselstream.Document{
		Models:  map[teaselstream.ModelID]teaselstream.Model{},
		Servers: map[teaselstream.ServerID]teaselstream.Server{},
	}
	from := teaselstream.Layer(0)
	for i, g := range stages {
		for j, k := range g.kinds {
			id := teaselstream.ServerID(fmt.Sprintf("s%d-%02d", i, j))
			d.Servers[id] = teaselstream.Server{
				Name: id, Kind: teaselstream.KindModel, Model: layoutModel,
				Domain:      teaselstream.DomainID(fmt.Sprintf("d%d", j%domains)),
				Accelerator: teaselstream.Accelerator(fmt.Sprintf("k%d", k)), TimePerLayer: kindTimes[k],
				Layers: teaselstream.LayerRange{From: from, To: from + g.layers}, MaxConcurrent: 8,
			}
		}
		from += g.layers
	}
	d.Models[layoutModel] = teaselstream.Model{Name: layoutModel, Layers: from, ActivationBytes: activationBytes}
	n := 0
	for a := range domains {
		for b := a + 1; b < domains; b++ {
			d.Links = append(d.Links, teaselstream.Link{
				A: teaselstream.DomainID(fmt.Sprintf("d%d", a)), B: teaselstream.DomainID(fmt.Sprintf("d%d", b)),
				Rate: rates[n%len(rates)], Latency: time.Millisecond,
			})
			n++
		}
	}
	return d
}

// repeatKinds expands pairs of a count and a kind into a list of kinds.
func repeatKinds(kinds ...int) []int {
	var all []int
	for i := 0; i < len(kinds); i += 2 {
		for range kinds[i] {
			all = append(all, kinds[i+1])
		}
	}
	return all
}

// firstDeployment and secondDeployment have 30 replicas in 3 failure domains. Links between domains are too slow for all
// the traffic that planners could send over them.
func firstDeployment() *teaselstream.Document {
	return layout([]stage{
		{20, repeatKinds(4, 0, 4, 2, 2, 4)}, {20, repeatKinds(4, 0, 4, 2, 2, 4)}, {20, repeatKinds(4, 0, 4, 2, 2, 4)},
	}, 3, []teaselstream.BytesPerSecond{20e6})
}

func secondDeployment() *teaselstream.Document {
	return layout([]stage{
		{24, repeatKinds(6, 0, 6, 3)}, {16, repeatKinds(5, 1, 5, 4)}, {10, repeatKinds(4, 2, 4, 4)},
	}, 3, []teaselstream.BytesPerSecond{20e6})
}

// mixedDeployment has 7 accelerator kinds, and links whose rates differ 100 times.
func mixedDeployment() *teaselstream.Document {
	all := repeatKinds(2, 0, 2, 1, 2, 2, 2, 3, 2, 4, 2, 5, 2, 6)
	return layout([]stage{{20, all}, {20, all}, {20, all}}, 6,
		[]teaselstream.BytesPerSecond{50e6, 5e6, 0.5e6, 15e6, 1.5e6})
}

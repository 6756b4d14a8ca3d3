package call

import (
	"sync"

	"github.com/teaselstream/teaselstream"
)

// inFlightCounts counts this VM's calls in flight per server; the zero value is ready to use.
type inFlightCounts struct {
	mu     sync.Mutex
	counts map[teaselstream.ServerID]int
}

// pick chooses the replica of a service with the fewest calls in flight relative to its weight, and counts a call on it.
//
// The load that servers report is out of date, so it only breaks ties. Servers in skip are not chosen.
func (o *inFlightCounts) pick(s *teaselstream.Snapshot, v teaselstream.ServiceID, r teaselstream.Rand, skip map[teaselstream.ServerID]bool) (teaselstream.ServerView, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var best teaselstream.ServerView
	var cost float64
	ties := 0
	for _, w := range s.Servers {
		if !w.TakesCalls(v) || skip[w.Name] {
			continue
		}
		c := o.cost(w)
		switch {
		case ties == 0 || c < cost:
			best, cost, ties = w, c, 1
		case c == cost:
			ties++
			if r.IntN(ties) == 0 {
				best = w
			}
		}
	}
	if ties == 0 {
		return best, false
	}
	if o.counts == nil {
		o.counts = make(map[teaselstream.ServerID]int)
	}
	o.counts[best.Name]++
	return best, true
}

// cost returns the load of a server relative to its weight; the server with the lowest cost is chosen.
func (o *inFlightCounts) cost(w teaselstream.ServerView) float64 {
	weight := w.Weight
	if weight <= 0 {
		weight = 1
	}
	// The small factor makes reported load count less than one call in flight.
	return (float64(o.counts[w.Name])+1)/weight + 1e-3*float64(w.Load.Running+w.Load.Waiting)
}

// finish removes a call that pick has counted.
func (o *inFlightCounts) finish(n teaselstream.ServerID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts[n]--; o.counts[n] <= 0 {
		delete(o.counts, n)
	}
}

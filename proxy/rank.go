package proxy

import (
	"slices"
	"sync/atomic"

	"github.com/teaselstream/teaselstream"
)

type (
	// ranks holds the distinct priorities of each service's stream routes and of teams with their own, the most urgent first.
	ranks struct {
		routing   *teaselstream.Routing
		byService map[teaselstream.ServiceID][]teaselstream.Priority
	}

	// rankIndex computes the ranks once for each configuration; its zero value works.
	rankIndex struct{ current atomic.Pointer[ranks] }
)

// of returns the ranks of a service, the most urgent first.
func (x *rankIndex) of(r *teaselstream.Routing, s teaselstream.ServiceID) []teaselstream.Priority {
	c := x.current.Load()
	if c == nil || c.routing != r {
		c = newRanks(r)
		x.current.Store(c)
	}
	return c.byService[s]
}

func newRanks(r *teaselstream.Routing) *ranks {
	sets := make(map[teaselstream.ServiceID]map[teaselstream.Priority]bool)
	add := func(s teaselstream.ServiceID, p teaselstream.Priority) {
		if sets[s] == nil {
			sets[s] = make(map[teaselstream.Priority]bool)
		}
		sets[s][p] = true
	}
	for _, routes := range r.Hosts {
		for _, x := range routes {
			for _, t := range x.Targets {
				if x.Stream {
					add(t.Service, x.Priority)
				}
			}
		}
	}
	for _, c := range r.Keys {
		if c == nil || !c.Ranked {
			continue
		}
		for s := range sets {
			add(s, c.Priority)
		}
	}
	out := &ranks{routing: r, byService: make(map[teaselstream.ServiceID][]teaselstream.Priority, len(sets))}
	for s, set := range sets {
		var list []teaselstream.Priority
		for p := range set {
			list = append(list, p)
		}
		slices.Sort(list)
		slices.Reverse(list)
		out.byService[s] = list
	}
	return out
}

// rank returns the request's place among the ranks of its service, 0 for the most urgent, and their number. A priority that the configuration does
// not list ranks last.
func (r *request) rank() (rank, count int) {
	list := r.handler.ranks.of(r.view.Routing, r.pool.Service)
	if i := slices.Index(list, r.priority()); i >= 0 {
		return i, len(list)
	}
	return max(len(list)-1, 0), max(len(list), 1)
}

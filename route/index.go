package route

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/teaselstream/teaselstream"
)

type (
	// index lists a snapshot's model servers in a fixed order, so that plans do not depend on map order.
	index struct {
		document    *teaselstream.Document
		serverCount int
		models      map[teaselstream.ModelID][]modelServer
		domains     map[teaselstream.DomainID]int
		domainOf    map[teaselstream.ServerID]teaselstream.DomainID
		domainNames []teaselstream.DomainID
		// links[a][b] is the link from domain a to domain b.
		links [][]teaselstream.Link
	}

	// modelServer is a server of a model with its counter of streams.
	modelServer struct {
		id      teaselstream.ServerID
		counter *counter
	}

	// indexCache holds the index of the last snapshot.
	indexCache struct {
		current atomic.Pointer[index]
		build   sync.Mutex
	}
)

// get returns the index for a snapshot, and builds it again when the document or the number of servers has changed.
func (c *indexCache) get(s *teaselstream.Snapshot, n *counters) *index {
	if x := c.current.Load(); x.matches(s) {
		return x
	}
	c.build.Lock()
	defer c.build.Unlock()
	if x := c.current.Load(); x.matches(s) {
		return x
	}
	x := newIndex(s, n)
	c.current.Store(x)
	return x
}

func (x *index) matches(s *teaselstream.Snapshot) bool {
	return x != nil && x.document == s.Document && x.serverCount == len(s.Servers)
}

func newIndex(s *teaselstream.Snapshot, c *counters) *index {
	x := &index{
		document:    s.Document,
		serverCount: len(s.Servers),
		models:      map[teaselstream.ModelID][]modelServer{},
		domains:     map[teaselstream.DomainID]int{},
		domainOf:    make(map[teaselstream.ServerID]teaselstream.DomainID, len(s.Servers)),
	}
	x.addDomain(s.Domain)
	for id, v := range s.Servers {
		if v.Kind == teaselstream.KindService {
			continue
		}
		x.domainOf[id] = v.Domain
		x.models[v.Model] = append(x.models[v.Model], modelServer{id, c.server(id)})
		x.addDomain(v.Domain)
	}
	for _, k := range x.models {
		slices.SortFunc(k, func(a, b modelServer) int { return cmp.Compare(a.id, b.id) })
	}
	x.links = make([][]teaselstream.Link, len(x.domainNames))
	for i := range x.links {
		x.links[i] = make([]teaselstream.Link, len(x.domainNames))
	}
	for _, l := range s.Document.Links {
		a, okA := x.domains[l.A]
		b, okB := x.domains[l.B]
		if okA && okB {
			x.links[a][b] = l
			x.links[b][a] = l
		}
	}
	return x
}

func (x *index) addDomain(d teaselstream.DomainID) {
	if _, ok := x.domains[d]; !ok {
		x.domains[d] = len(x.domainNames)
		x.domainNames = append(x.domainNames, d)
	}
}

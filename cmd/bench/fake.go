package main

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/route"
	"github.com/teaselstream/teaselstream/vtime"
)

type (
	// fakeFleet runs streams on servers that batch, joined by links with a rate, under a virtual clock.
	fakeFleet struct {
		clock   *vtime.Queue
		doc     *teaselstream.Document
		servers map[teaselstream.ServerID]*fakeServer
		links   map[[2]teaselstream.DomainID]*fakeLink
		// cacheSize is the number of prefixes that each server keeps.
		cacheSize int
		onCache   func(teaselstream.ServerID, teaselstream.CacheEvent)
		// cut reports domains that cannot reach each other; nil means none.
		cut func(a, b teaselstream.DomainID) bool
	}

	// fakeServer runs up to MaxConcurrent steps at once, by priority and in the order of their arrival.
	fakeServer struct {
		spec    teaselstream.Server
		pending []*fakeStream
		busy    bool
		// resident is the number of streams that have a hop on the server.
		resident int
		// slowdown multiplies the time of each step; wrong makes answers wrong.
		slowdown float64
		wrong    bool
		// down loses all streams and takes no more.
		down     bool
		cache    map[teaselstream.Digest]time.Time
		sequence teaselstream.Sequence
	}

	fakeLink struct {
		spec teaselstream.Link
		free time.Time
	}

	// fakeStream passes its chain once for each part of the prompt and each token of the answer.
	fakeStream struct {
		chain    []teaselstream.Hop
		hop      int
		passes   int
		prompt   int
		tokens   int
		priority teaselstream.Priority
		first    time.Time
		wrong    bool
		token    func(s *fakeStream, index int)
		done     func(s *fakeStream)
		// lost is told of the first server of the chain that is down or cut off when the stream reaches it; it may be nil.
		lost func(s *fakeStream, server teaselstream.ServerID)
		// ended marks a stream that was canceled or lost.
		ended bool
	}
)

var epoch = time.Unix(1_700_000_000, 0)

func newFakeFleet(d *teaselstream.Document) *fakeFleet {
	f := &fakeFleet{
		clock:   vtime.NewQueue(epoch),
		doc:     d,
		servers: map[teaselstream.ServerID]*fakeServer{},
		links:   map[[2]teaselstream.DomainID]*fakeLink{},
	}
	for id, s := range d.Servers {
		f.servers[id] = &fakeServer{spec: s, slowdown: 1, cache: map[teaselstream.Digest]time.Time{}}
	}
	for _, l := range d.Links {
		f.links[[2]teaselstream.DomainID{l.A, l.B}] = &fakeLink{spec: l}
		f.links[[2]teaselstream.DomainID{l.B, l.A}] = &fakeLink{spec: l}
	}
	return f
}

// start begins a stream; prompt counts the tokens whose prefill no cache saves.
func (f *fakeFleet) start(s *fakeStream) {
	s.passes = -(s.prompt + route.PrefillTokensPerStep - 1) / route.PrefillTokensPerStep
	for _, h := range s.chain {
		f.servers[h.Server].resident++
	}
	f.enter(s)
}

// cancel ends a stream, which frees its places; it may have ended already.
func (f *fakeFleet) cancel(s *fakeStream) {
	if s.ended {
		return
	}
	s.ended = true
	for _, h := range s.chain {
		f.servers[h.Server].resident--
	}
}

// fail takes a server down with all that waits on it.
func (f *fakeFleet) fail(v *fakeServer) {
	v.down = true
	for _, s := range v.pending {
		f.lose(s, v)
	}
}

func (f *fakeFleet) lose(s *fakeStream, v *fakeServer) {
	if s.ended {
		return
	}
	f.cancel(s)
	if s.lost != nil {
		s.lost(s, v.spec.Name)
	}
}

func (f *fakeFleet) enter(s *fakeStream) {
	v := f.servers[s.chain[s.hop].Server]
	if v.down {
		f.lose(s, v)
	}
	if s.ended {
		return
	}
	// Engines honour priorities; streams of one priority keep their order.
	i := len(v.pending)
	for i > 0 && v.pending[i-1].priority < s.priority {
		i--
	}
	v.pending = slices.Insert(v.pending, i, s)
	if !v.busy {
		f.step(v)
	}
}

// step runs one batch and passes its streams on.
func (f *fakeFleet) step(v *fakeServer) {
	v.pending = slices.DeleteFunc(v.pending, func(s *fakeStream) bool { return s.ended })
	n := min(len(v.pending), v.spec.MaxConcurrent)
	if n == 0 {
		v.busy = false
		return
	}
	v.busy = true
	batch := v.pending[:n:n]
	v.pending = v.pending[n:]
	layers := 0
	for _, s := range batch {
		h := s.chain[s.hop]
		layers = max(layers, int(h.To-h.From))
	}
	d := time.Duration(float64(v.spec.TimePerLayer) * float64(layers) * v.slowdown)
	f.clock.After(d, func() {
		for _, s := range batch {
			s.wrong = s.wrong || v.wrong
			switch {
			case s.ended:
			case v.down:
				f.lose(s, v)
			default:
				f.pass(s, v)
			}
		}
		f.step(v)
	})
}

// pass moves a stream's activations to the next hop, or ends the pass after the last.
func (f *fakeFleet) pass(s *fakeStream, v *fakeServer) {
	s.hop++
	if s.hop < len(s.chain) {
		tokens := 1
		if s.passes < 0 {
			tokens = route.PrefillTokensPerStep
		}
		next := f.servers[s.chain[s.hop].Server]
		if f.cut != nil && f.cut(v.spec.Domain, next.spec.Domain) {
			f.lose(s, next)
			return
		}
		f.clock.After(f.transfer(v.spec, next.spec, tokens), func() { f.enter(s) })
		return
	}
	s.hop = 0
	s.passes++
	if s.passes > 0 {
		if s.passes == 1 {
			s.first = f.clock.Now()
		}
		if s.token != nil {
			s.token(s, s.passes)
		}
	}
	if s.passes < s.tokens {
		f.enter(s)
		return
	}
	f.cancel(s)
	s.done(s)
}

func (f *fakeFleet) transfer(a, b teaselstream.Server, tokens int) time.Duration {
	l := f.links[[2]teaselstream.DomainID{a.Domain, b.Domain}]
	if l == nil {
		return 0
	}
	now := f.clock.Now()
	if l.spec.Rate > 0 {
		bytes := float64(f.doc.Models[b.Model].ActivationBytes) * float64(tokens)
		if l.free.Before(now) {
			l.free = now
		}
		l.free = l.free.Add(time.Duration(bytes / float64(l.spec.Rate) * float64(time.Second)))
		return l.free.Sub(now) + l.spec.Latency
	}
	return l.spec.Latency
}

package main

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/route"
	"github.com/teaselstream/teaselstream/vtime"
)

type (
	// fakeFleet simulates servers that run streams in batches, and links of limited rate between them, under a virtual
	// clock.
	fakeFleet struct {
		clock   *vtime.Queue
		doc     *teaselstream.Document
		servers map[teaselstream.ServerID]*fakeServer
		links   map[[2]teaselstream.DomainID]*fakeLink
		// cacheSize is the number of prefixes that each server keeps.
		cacheSize    int
		onCacheEvent func(teaselstream.ServerID, teaselstream.CacheEvent)
		// cut reports whether two domains cannot reach each other; nil means that all can.
		cut func(a, b teaselstream.DomainID) bool
	}

	// fakeServer runs batches of up to MaxConcurrent steps, ordered by priority and then by arrival.
	fakeServer struct {
		spec    teaselstream.Server
		pending []*fakeStream
		busy    bool
		// resident is the number of streams that have a hop on the server.
		resident int
		// slowdown multiplies the time of each step; wrong corrupts all answers.
		slowdown float64
		wrong    bool
		// down makes the server lose all its streams and accept no new ones.
		down     bool
		cache    map[teaselstream.Digest]time.Time
		sequence teaselstream.Sequence
	}

	fakeLink struct {
		spec   teaselstream.Link
		freeAt time.Time
	}

	// fakeStream runs through its chain once for each chunk of the prompt and each token of the answer. The field passes is
	// negative during prefill and counts tokens afterwards.
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
		// lost is called with the first server of the chain that is down or unreachable; it may be nil.
		lost func(s *fakeStream, server teaselstream.ServerID)
		// ended marks a stream that was completed, canceled or lost.
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

// start begins a stream, whose prompt field counts only the tokens that no cache holds.
func (f *fakeFleet) start(s *fakeStream) {
	s.passes = -(s.prompt + route.PrefillTokensPerStep - 1) / route.PrefillTokensPerStep
	for _, h := range s.chain {
		f.servers[h.Server].resident++
	}
	f.enqueue(s)
}

// cancel ends a stream and frees its places on the servers; it does nothing if the stream has already ended.
func (f *fakeFleet) cancel(s *fakeStream) {
	if s.ended {
		return
	}
	s.ended = true
	for _, h := range s.chain {
		f.servers[h.Server].resident--
	}
}

// fail takes a server down and loses all streams in its queue.
func (f *fakeFleet) fail(v *fakeServer) {
	v.down = true
	for _, s := range v.pending {
		f.loseStream(s, v)
	}
}

func (f *fakeFleet) loseStream(s *fakeStream, v *fakeServer) {
	if s.ended {
		return
	}
	f.cancel(s)
	if s.lost != nil {
		s.lost(s, v.spec.Name)
	}
}

func (f *fakeFleet) enqueue(s *fakeStream) {
	v := f.servers[s.chain[s.hop].Server]
	if v.down {
		f.loseStream(s, v)
	}
	if s.ended {
		return
	}
	// Engines honour priorities; streams of equal priority keep their order of arrival.
	i := len(v.pending)
	for i > 0 && v.pending[i-1].priority < s.priority {
		i--
	}
	v.pending = slices.Insert(v.pending, i, s)
	if !v.busy {
		f.runBatch(v)
	}
}

// runBatch runs one batch, moves its streams on and starts the next batch.
func (f *fakeFleet) runBatch(v *fakeServer) {
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
				f.loseStream(s, v)
			default:
				f.advance(s, v)
			}
		}
		f.runBatch(v)
	})
}

// advance moves a stream to its next hop after the transfer of the activations, or ends the pass after the last hop.
func (f *fakeFleet) advance(s *fakeStream, v *fakeServer) {
	s.hop++
	if s.hop < len(s.chain) {
		tokens := 1
		if s.passes < 0 {
			tokens = route.PrefillTokensPerStep
		}
		next := f.servers[s.chain[s.hop].Server]
		if f.cut != nil && f.cut(v.spec.Domain, next.spec.Domain) {
			f.loseStream(s, next)
			return
		}
		f.clock.After(f.transferTime(v.spec, next.spec, tokens), func() { f.enqueue(s) })
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
		f.enqueue(s)
		return
	}
	f.cancel(s)
	s.done(s)
}

// transferTime reserves the link between two servers and returns the time until the activations arrive.
func (f *fakeFleet) transferTime(a, b teaselstream.Server, tokens int) time.Duration {
	l := f.links[[2]teaselstream.DomainID{a.Domain, b.Domain}]
	if l == nil {
		return 0
	}
	now := f.clock.Now()
	if l.spec.Rate > 0 {
		bytes := float64(f.doc.Models[b.Model].ActivationBytes) * float64(tokens)
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(bytes / float64(l.spec.Rate) * float64(time.Second)))
		return l.freeAt.Sub(now) + l.spec.Latency
	}
	return l.spec.Latency
}

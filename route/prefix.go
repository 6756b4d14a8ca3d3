package route

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Prefixes indexes the prompt prefixes that servers report as cached; the zero value works.
	Prefixes struct {
		mu      sync.RWMutex
		servers map[teaselstream.ServerID]*prefixSet
	}

	prefixSet struct {
		last teaselstream.Sequence
		// kept is the chance that an entry from before the first gap is still cached; gaps lower it.
		kept    float64
		entries map[teaselstream.Digest]prefixEntry
		order   []teaselstream.Digest
	}

	prefixEntry struct {
		tokens int
		// kept is the value of the set's kept when the entry was reported.
		kept float64
	}
)

// maxPrefixes bounds the entries kept per server.
const maxPrefixes = 4096

// Apply takes events of a server in the order of arrival; events older than the last one are dropped.
// A jump of the sequence is a gap, which may hide evictions of what was reported before.
func (p *Prefixes) Apply(_ time.Time, id teaselstream.ServerID, events []teaselstream.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers == nil {
		p.servers = map[teaselstream.ServerID]*prefixSet{}
	}
	s := p.servers[id]
	if s == nil {
		s = &prefixSet{kept: 1, entries: map[teaselstream.Digest]prefixEntry{}}
		p.servers[id] = s
	}
	for _, e := range events {
		s.apply(e)
	}
}

// Forget drops all entries of a server, for example after it restarted.
func (p *Prefixes) Forget(id teaselstream.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, id)
}

// ExpectedTokens returns the expected number of prompt tokens that a server has cached, given the prompt's prefixes.
func (p *Prefixes) ExpectedTokens(id teaselstream.ServerID, prefixes []teaselstream.Digest) float64 {
	if len(prefixes) == 0 {
		return 0
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	s := p.servers[id]
	if s == nil {
		return 0
	}
	best := 0.0
	for _, d := range prefixes {
		e, ok := s.entries[d]
		if !ok {
			continue
		}
		best = max(best, float64(e.tokens)*s.kept/e.kept)
	}
	return best
}

func (s *prefixSet) apply(e teaselstream.CacheEvent) {
	if e.Sequence <= s.last {
		return
	}
	if s.last != 0 && e.Sequence != s.last+1 {
		s.age(float64(e.Sequence - s.last - 1))
	}
	s.last = e.Sequence
	if e.Evicted {
		delete(s.entries, e.Prefix)
		return
	}
	if _, ok := s.entries[e.Prefix]; !ok {
		s.order = append(s.order, e.Prefix)
	}
	s.entries[e.Prefix] = prefixEntry{tokens: e.Tokens, kept: s.kept}
	for len(s.order) > maxPrefixes {
		delete(s.entries, s.order[0])
		s.order = s.order[1:]
	}
}

// age lowers the chance of all entries by missing events, each of which may have evicted one of them.
func (s *prefixSet) age(missing float64) {
	n := float64(len(s.entries))
	if n == 0 {
		return
	}
	s.kept *= n / (n + missing)
	// Sets without a reliable entry start afresh, before the chances become too small to divide.
	if s.kept < 1e-100 {
		clear(s.entries)
		s.kept = 1
	}
}

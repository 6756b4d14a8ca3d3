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

	// prefixSet holds the cached prefixes of one server.
	prefixSet struct {
		lastSequence teaselstream.Sequence
		// survival is the probability that an entry from before the first gap is still cached; each gap lowers it.
		survival       float64
		entries        map[teaselstream.Digest]prefixEntry
		insertionOrder []teaselstream.Digest
	}

	prefixEntry struct {
		tokens int
		// survival is the set's survival at the time of the report, so that only later gaps lower the entry's probability.
		survival float64
	}
)

// maxPrefixes bounds the entries that are stored for each server.
const maxPrefixes = 4096

// Apply applies events of a server in the order of arrival and drops events older than the last one.
// Missing sequence numbers may stand for evictions of entries that were reported before.
func (p *Prefixes) Apply(_ time.Time, id teaselstream.ServerID, events []teaselstream.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers == nil {
		p.servers = map[teaselstream.ServerID]*prefixSet{}
	}
	s := p.servers[id]
	if s == nil {
		s = &prefixSet{survival: 1, entries: map[teaselstream.Digest]prefixEntry{}}
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
		best = max(best, float64(e.tokens)*s.survival/e.survival)
	}
	return best
}

func (s *prefixSet) apply(e teaselstream.CacheEvent) {
	if e.Sequence <= s.lastSequence {
		return
	}
	if s.lastSequence != 0 && e.Sequence != s.lastSequence+1 {
		s.ageEntries(float64(e.Sequence - s.lastSequence - 1))
	}
	s.lastSequence = e.Sequence
	if e.Evicted {
		delete(s.entries, e.Prefix)
		return
	}
	if _, ok := s.entries[e.Prefix]; !ok {
		s.insertionOrder = append(s.insertionOrder, e.Prefix)
	}
	s.entries[e.Prefix] = prefixEntry{tokens: e.Tokens, survival: s.survival}
	for len(s.insertionOrder) > maxPrefixes {
		delete(s.entries, s.insertionOrder[0])
		s.insertionOrder = s.insertionOrder[1:]
	}
}

// ageEntries lowers the probability of all entries by a number of missing events, each of which may have evicted one.
func (s *prefixSet) ageEntries(missing float64) {
	n := float64(len(s.entries))
	if n == 0 {
		return
	}
	s.survival *= n / (n + missing)
	// Below this survival no entry is likely to be cached, and dividing by the survival would lose precision.
	if s.survival < 1e-100 {
		clear(s.entries)
		s.survival = 1
	}
}

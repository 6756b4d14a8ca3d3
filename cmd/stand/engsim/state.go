package engsim

import (
	"context"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// maxRequests is the number of states at which a new request evicts the idle ones.
	maxRequests = 8192
	idleTimeout = time.Minute
)

// state is the state that an engine keeps of a request: its newest attempt and the extent of its KV cache.
type state struct {
	attempt  teaselstream.Attempt
	canceled bool
	finished bool
	// tokens is the number of prompt and answer tokens that the KV cache covers.
	tokens int
	// index is the number of answer tokens among them.
	index    teaselstream.TokenIndex
	lastUsed time.Time
	// stop cancels the stream of the newest attempt if this engine is the first of its chain.
	stop context.CancelFunc
}

// beginAttempt returns the state of a request, or nil if there is a newer attempt or this one is canceled.
// A newer attempt than the known one cancels that one's stream.
func (e *Engine) beginAttempt(id teaselstream.RequestID, a teaselstream.Attempt) *state {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.requests[id]
	if s == nil {
		e.dropIdle()
		s = &state{attempt: a}
		e.requests[id] = s
	}
	s.lastUsed = time.Now()
	switch {
	case a < s.attempt || a == s.attempt && s.canceled:
		return nil
	case a > s.attempt:
		if s.stop != nil {
			s.stop()
		}
		s.attempt, s.canceled, s.finished, s.stop = a, false, false, nil
	}
	return s
}

func (e *Engine) dropIdle() {
	if len(e.requests) < maxRequests {
		return
	}
	for id, s := range e.requests {
		if time.Since(s.lastUsed) > idleTimeout {
			delete(e.requests, id)
		}
	}
}

// cancelAttempt stops an attempt and rejects its later steps; newer attempts are not affected.
func (e *Engine) cancelAttempt(id teaselstream.RequestID, a teaselstream.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.requests[id]
	if s == nil {
		s = &state{lastUsed: time.Now()}
		e.requests[id] = s
	}
	if a < s.attempt {
		return
	}
	if s.stop != nil {
		s.stop()
	}
	s.attempt, s.canceled, s.stop = a, true, nil
}

// extendCache extends the KV cache of a request up to an index and returns the number of tokens to compute, at least 1.
func (e *Engine) extendCache(s *state, prompt int, index teaselstream.TokenIndex, cached int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := prompt + int(index)
	lacking := tokens - max(s.tokens, cached)
	s.tokens, s.index = tokens, index
	return max(1, lacking)
}

func (e *Engine) cachedTokens(s *state) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.tokens
}

// update modifies a state under the engine's lock.
func (e *Engine) update(s *state, f func(*state)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(s)
}

package engsim

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// prefixBytes is the length in bytes of the chunks in which prompts share cached prefixes.
	prefixBytes = 256
	// maxPrefixes is the largest number of prefixes of one prompt.
	maxPrefixes = 64
	// maxEvents is the number of cache events kept for readers; older ones are dropped.
	maxEvents = 4096
)

type (
	// cache is an LRU cache of prompt prefixes; it publishes an event for each entry added or evicted.
	cache struct {
		// limit is the largest number of prefixes held.
		limit int
		// lag is the delay after which an event becomes visible.
		lag time.Duration
		// dropEvery drops one event in dropEvery; 0 drops none.
		dropEvery int

		mu           sync.Mutex
		prefixes     []prefix
		lastSequence teaselstream.Sequence
		events       []timedEvent
	}

	prefix struct {
		digest teaselstream.Digest
		tokens int
	}

	timedEvent struct {
		teaselstream.CacheEvent
		at time.Time
	}
)

// Prefixes returns the digests that identify the prefixes of a prompt in cache events, shortest first.
//
// There is one digest for each whole chunk of 256 bytes, at most 64; it covers the model's name and the prompt up to the chunk's end.
func Prefixes(model teaselstream.ModelID, prompt string) []teaselstream.Digest {
	var out []teaselstream.Digest
	for n := prefixBytes; n <= len(prompt) && len(out) < maxPrefixes; n += prefixBytes {
		sum := sha256.Sum256([]byte(string(model) + "\n" + prompt[:n]))
		out = append(out, teaselstream.Digest(hex.EncodeToString(sum[:])))
	}
	return out
}

// lookup returns the number of prompt tokens that the cache holds, and adds the prompt's prefixes.
func (c *cache) lookup(model teaselstream.ModelID, prompt string) int {
	digests := Prefixes(model, prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := 0
	for i, d := range digests {
		p := prefix{digest: d, tokens: countTokens(prompt[:(i+1)*prefixBytes])}
		if j := slices.IndexFunc(c.prefixes, func(h prefix) bool { return h.digest == d }); j >= 0 {
			c.prefixes = slices.Delete(c.prefixes, j, j+1)
			hit = p.tokens
		} else {
			c.publish(p, false)
		}
		c.prefixes = append(c.prefixes, p)
	}
	for len(c.prefixes) > c.limit {
		c.publish(c.prefixes[0], true)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	return hit
}

func (c *cache) publish(p prefix, evicted bool) {
	c.lastSequence++
	if c.dropEvery > 0 && int(c.lastSequence)%c.dropEvery == 0 {
		return
	}
	c.events = append(c.events, timedEvent{
		CacheEvent: teaselstream.CacheEvent{Sequence: c.lastSequence, Prefix: p.digest, Tokens: p.tokens, Evicted: evicted},
		at:         time.Now(),
	})
	if len(c.events) > maxEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxEvents)
	}
}

// after returns the visible events with a higher sequence number than s.
func (c *cache) after(s teaselstream.Sequence) []teaselstream.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []teaselstream.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > s && time.Since(e.at) >= c.lag {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

// freeShare returns the share of the cache that is unused.
func (c *cache) freeShare() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 1 - float64(len(c.prefixes))/float64(max(1, c.limit))
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes, c.events = nil, nil
}

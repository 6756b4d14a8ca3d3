package serve

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// prefixBytes and maxPrefixes match the engines, which name cached prefixes by one digest for each whole chunk of
	// prefixBytes, up to maxPrefixes chunks.
	prefixBytes = 256
	maxPrefixes = 64
	// prefixPollPeriod and prefixServersPerRound limit the calls for cache events to a few milliseconds of CPU time per
	// second.
	prefixPollPeriod      = time.Second
	prefixServersPerRound = 32
	cacheEventsTimeout    = 500 * time.Millisecond
)

type (
	// prefixPoller reads the KV cache events of the servers that this VM uses.
	prefixPoller struct {
		mu sync.Mutex
		// queue lists the servers that were used since their events were last read, oldest first.
		queue     []teaselstream.ServerID
		queued    map[teaselstream.ServerID]bool
		positions map[teaselstream.ServerID]readPosition
	}

	// readPosition is the sequence number of the last cache event read from one incarnation of a server.
	readPosition struct {
		incarnation teaselstream.Incarnation
		sequence    teaselstream.Sequence
	}
)

// prefixesOf returns the digests that cache events use for the prefixes of a prompt, shortest first.
func prefixesOf(m teaselstream.ModelID, prompt string) []teaselstream.Digest {
	h := sha256.New()
	_, _ = h.Write([]byte(string(m) + "\n"))
	var out []teaselstream.Digest
	for at := 0; at+prefixBytes <= len(prompt) && len(out) < maxPrefixes; at += prefixBytes {
		_, _ = h.Write([]byte(prompt[at : at+prefixBytes]))
		out = append(out, teaselstream.Digest(hex.EncodeToString(h.Sum(nil))))
	}
	return out
}

// enqueue adds a server that has completed a stream, which has changed its cache.
func (p *prefixPoller) enqueue(s teaselstream.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queued == nil {
		p.queued = make(map[teaselstream.ServerID]bool)
	}
	if !p.queued[s] {
		p.queued[s] = true
		p.queue = append(p.queue, s)
	}
}

// takeRound removes the servers of one polling round from the queue and returns them.
func (p *prefixPoller) takeRound() []teaselstream.ServerID {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.queue), prefixServersPerRound)
	round := append([]teaselstream.ServerID(nil), p.queue[:n]...)
	p.queue = append(p.queue[:0], p.queue[n:]...)
	for _, s := range round {
		delete(p.queued, s)
	}
	return round
}

// run polls for cache events until ctx ends.
func (p *prefixPoller) run(ctx context.Context, o *Options) {
	t := time.NewTicker(prefixPollPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.pollRound(ctx, o)
		}
	}
}

func (p *prefixPoller) pollRound(ctx context.Context, o *Options) {
	s := o.Snapshot()
	if s == nil {
		return
	}
	if p.positions == nil {
		p.positions = make(map[teaselstream.ServerID]readPosition)
	}
	for _, id := range p.takeRound() {
		if v, ok := s.Servers[id]; ok && v.State.TakesNewWork() {
			p.readEvents(ctx, o, v)
			continue
		}
		delete(p.positions, id)
		o.Prefixes.Forget(id)
	}
}

func (p *prefixPoller) readEvents(ctx context.Context, o *Options, v teaselstream.ServerView) {
	at := p.positions[v.Name]
	if at.incarnation != v.Incarnation {
		at = readPosition{incarnation: v.Incarnation}
		o.Prefixes.Forget(v.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, cacheEventsTimeout)
	defer cancel()
	events, err := o.Engine.CacheEvents(ctx, v.Address, at.sequence)
	if err != nil {
		slog.Debug("reading cache events failed", "server", v.Name, "error", err)
		return
	}
	o.Prefixes.Apply(time.Now(), v.Name, events)
	for _, e := range events {
		at.sequence = max(at.sequence, e.Sequence)
	}
	p.positions[v.Name] = at
}

package spread

import (
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

type (
	document struct {
		generation teaselstream.Generation
		digest     teaselstream.Digest
		canonical  []byte
	}

	watch struct {
		after    teaselstream.Revision
		inFlight bool
		at       time.Time
		retryAt  time.Time
		failures int
	}

	fetch struct {
		active bool
		// from is the peer that was asked; empty for the store.
		from  teaselstream.VMID
		until time.Time
		parts [][]byte
		got   int
	}

	slot struct {
		trial bool
		have  document
		// want is the newest document known to exist.
		want document
		// holders are peers that have want.
		holders []teaselstream.VMID
		// stored reports that want was read in the store; the body is read there at readAt.
		stored   bool
		readAt   time.Time
		staged   document
		fetching fetch
		steps    []wire.Delta
		rejected teaselstream.Digest
		watch    watch
	}
)

func isAbsent(err error) bool { return errors.Is(err, teaselstream.ErrNotFound) }

// same compares digests of which either may be shortened.
func same(a, b teaselstream.Digest) bool {
	n := min(len(a), len(b))
	return n > 0 && a[:n] == b[:n]
}

// learn notes that a document exists at a peer, or in the store if from is empty.
func (h *Syncer) learn(now time.Time, s *slot, g teaselstream.Generation, d teaselstream.Digest, from teaselstream.VMID) {
	known := s.want
	if s.have.generation > 0 && (known.generation == 0 || h.newer(s.have.generation, known.generation)) {
		known = s.have
	}
	switch {
	case h.newer(g, known.generation):
		s.want = document{generation: g, digest: d}
		s.holders, s.stored = nil, false
	case g != known.generation || g == s.have.generation:
		return
	case !same(d, known.digest):
		slog.Error("two documents have the same generation", "generation", g, "digest", d, "known", known.digest)
		return
	}
	if from != "" {
		if !slices.Contains(s.holders, from) {
			s.holders = append(s.holders, from)
		}
		return
	}
	if !s.stored {
		s.want.digest = d
		s.stored, s.readAt = true, now.Add(h.readDelay(g))
	}
}

// readDelay spreads the body reads of the watchers. The order depends on the
// generation, so that the cost of reading whole bodies moves among the watchers.
func (h *Syncer) readDelay(g teaselstream.Generation) time.Duration {
	r := teaselstream.Rendezvous(strconv.FormatUint(uint64(g), 10), h.watchers)
	return time.Duration(max(slices.Index(r, h.c.VM), 0)) * readStep
}

// fetch asks a source for the wanted document unless an answer is still awaited.
func (h *Syncer) fetch(now time.Time, s *slot) []teaselstream.Cmd {
	if !h.newer(s.want.generation, s.have.generation) || s.rejected != "" && same(s.want.digest, s.rejected) {
		return nil
	}
	if same(s.want.digest, s.have.digest) {
		// The same content was promoted again, which no delta expresses.
		return h.adopt(now, s, document{s.want.generation, s.have.digest, s.have.canonical}, nil)
	}
	if s.fetching.active {
		if now.Before(s.fetching.until) {
			return nil
		}
		h.dropSource(now, s)
	}
	if len(s.holders) > 0 {
		from := s.holders[h.c.Rand.IntN(len(s.holders))]
		s.fetching = fetch{active: true, from: from, until: now.Add(fetchTimeout)}
		base := s.base()
		if base.generation == 0 {
			return []teaselstream.Cmd{PullBody{To: from, Pull: wire.BodyPull{Environment: h.c.Environment, Trial: s.trial}}}
		}
		return []teaselstream.Cmd{PullDelta{To: from, Pull: wire.DeltaPull{Environment: h.c.Environment, Trial: s.trial, Have: base.digest}}}
	}
	if s.stored && !now.Before(s.readAt) {
		s.fetching = fetch{active: true, until: now.Add(fetchTimeout)}
		return []teaselstream.Cmd{ReadBody{Trial: s.trial, Digest: s.want.digest}}
	}
	return nil
}

// base returns the newest document that deltas can be applied to.
func (s *slot) base() document {
	if s.staged.generation > 0 {
		return s.staged
	}
	return s.have
}

// dropSource gives up a source that did not answer; a heartbeat or a watch names it again.
func (h *Syncer) dropSource(now time.Time, s *slot) {
	if f := s.fetching.from; f != "" {
		s.holders = slices.DeleteFunc(s.holders, func(v teaselstream.VMID) bool { return v == f })
	} else {
		s.readAt = now.Add(teaselstream.Backoff(h.c.Rand, watchBase, watchLimit, 1))
	}
	s.fetching, s.staged = fetch{}, document{}
}

func (h *Syncer) bodyRead(now time.Time, x BodyRead) []teaselstream.Cmd {
	s := h.slot(x.Trial)
	if x.Digest != s.want.digest {
		return nil
	}
	if x.Err != nil || h.c.Format.DigestOf(x.Canonical) != x.Digest {
		if s.fetching.active && s.fetching.from == "" {
			s.watch.failures++
			s.fetching = fetch{}
			s.readAt = now.Add(teaselstream.Backoff(h.c.Rand, watchBase, watchLimit, s.watch.failures))
		}
		return nil
	}
	return h.adopt(now, s, document{s.want.generation, x.Digest, x.Canonical}, nil)
}

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
	// document is one generation in its canonical encoding.
	document struct {
		generation teaselstream.Generation
		digest     teaselstream.Digest
		canonical  []byte
	}

	// watch is the state of the watch of a slot in the store.
	watch struct {
		after     teaselstream.Revision
		inFlight  bool
		startedAt time.Time
		retryAt   time.Time
		failures  int
	}

	// fetch is the transfer in progress of a document.
	fetch struct {
		active bool
		// source is the peer that was asked, or empty for the store.
		source   teaselstream.VMID
		deadline time.Time
		parts    [][]byte
		received int
	}

	// slot is the state of the production or of the trial document.
	slot struct {
		trial   bool
		current document
		// target is the newest document known to exist.
		target document
		// sources are peers that have the target.
		sources []teaselstream.VMID
		// inStore reports that the slot in the store names the target. This VM reads the document there at readAt
		// unless a peer has sent it before.
		inStore bool
		readAt  time.Time
		// staged is the result of deltas before the target; it is not in force.
		staged   document
		fetching fetch
		// deltas lead from earlier documents to the current one, oldest first.
		deltas []wire.Delta
		// rejectedDigest is the digest of a document that could not be parsed.
		rejectedDigest teaselstream.Digest
		watch          watch
	}
)

func isNotFound(err error) bool { return errors.Is(err, teaselstream.ErrNotFound) }

// sameDigest compares two digests, either of which may be shortened.
func sameDigest(a, b teaselstream.Digest) bool {
	n := min(len(a), len(b))
	return n > 0 && a[:n] == b[:n]
}

// noteGeneration records that a document with generation g and digest d exists at a peer, or in the store if from is
// empty.
func (sy *Syncer) noteGeneration(now time.Time, s *slot, g teaselstream.Generation, d teaselstream.Digest, from teaselstream.VMID) {
	known := s.target
	if s.current.generation > 0 && (known.generation == 0 || sy.newer(s.current.generation, known.generation)) {
		known = s.current
	}
	switch {
	case sy.newer(g, known.generation):
		s.target = document{generation: g, digest: d}
		s.sources, s.inStore = nil, false
	case g != known.generation || g == s.current.generation:
		return
	case !sameDigest(d, known.digest):
		slog.Error("two documents have the same generation", "generation", g, "digest", d, "known", known.digest)
		return
	}
	if from != "" {
		if !slices.Contains(s.sources, from) {
			s.sources = append(s.sources, from)
		}
		return
	}
	if !s.inStore {
		s.target.digest = d
		s.inStore, s.readAt = true, now.Add(sy.readDelay(g))
	}
}

// readDelay staggers the watchers' reads of a document from the store. Their order depends on the
// generation, so that the watchers share the cost of the reads.
func (sy *Syncer) readDelay(g teaselstream.Generation) time.Duration {
	r := teaselstream.RendezvousOrder(strconv.FormatUint(uint64(g), 10), sy.watchers)
	return time.Duration(max(slices.Index(r, sy.c.VM), 0)) * readStagger
}

// fetch asks a source for the target document unless an answer is still awaited.
func (sy *Syncer) fetch(now time.Time, s *slot) []teaselstream.Cmd {
	if !sy.newer(s.target.generation, s.current.generation) || s.rejectedDigest != "" && sameDigest(s.target.digest, s.rejectedDigest) {
		return nil
	}
	if sameDigest(s.target.digest, s.current.digest) {
		// The same content was promoted again, for which there is no delta.
		return sy.adopt(now, s, document{s.target.generation, s.current.digest, s.current.canonical}, nil)
	}
	if s.fetching.active {
		if now.Before(s.fetching.deadline) {
			return nil
		}
		sy.dropSource(now, s)
	}
	if len(s.sources) > 0 {
		source := s.sources[sy.c.Rand.IntN(len(s.sources))]
		s.fetching = fetch{active: true, source: source, deadline: now.Add(fetchTimeout)}
		base := s.base()
		if base.generation == 0 {
			return []teaselstream.Cmd{PullBody{To: source, Pull: wire.BodyPull{Environment: sy.c.Environment, Trial: s.trial}}}
		}
		return []teaselstream.Cmd{PullDelta{To: source, Pull: wire.DeltaPull{Environment: sy.c.Environment, Trial: s.trial, Have: base.digest}}}
	}
	if s.inStore && !now.Before(s.readAt) {
		s.fetching = fetch{active: true, deadline: now.Add(fetchTimeout)}
		return []teaselstream.Cmd{ReadBody{Trial: s.trial, Digest: s.target.digest}}
	}
	return nil
}

// base returns the newest document that deltas can be applied to.
func (s *slot) base() document {
	if s.staged.generation > 0 {
		return s.staged
	}
	return s.current
}

// dropSource drops a peer that did not send the document, or delays the next read if the source is the store. A later
// heartbeat can add the peer again.
func (sy *Syncer) dropSource(now time.Time, s *slot) {
	if f := s.fetching.source; f != "" {
		s.sources = slices.DeleteFunc(s.sources, func(v teaselstream.VMID) bool { return v == f })
	} else {
		s.readAt = now.Add(teaselstream.Backoff(sy.c.Rand, retryBase, retryLimit, 1))
	}
	s.fetching, s.staged = fetch{}, document{}
}

func (sy *Syncer) bodyRead(now time.Time, x BodyRead) []teaselstream.Cmd {
	s := sy.slot(x.Trial)
	if x.Digest != s.target.digest {
		return nil
	}
	if x.Err != nil || sy.c.Format.DigestOf(x.Canonical) != x.Digest {
		if s.fetching.active && s.fetching.source == "" {
			s.watch.failures++
			s.fetching = fetch{}
			s.readAt = now.Add(teaselstream.Backoff(sy.c.Rand, retryBase, retryLimit, s.watch.failures))
		}
		return nil
	}
	return sy.adopt(now, s, document{s.target.generation, x.Digest, x.Canonical}, nil)
}

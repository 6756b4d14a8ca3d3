package spread

import (
	"log/slog"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

// recordDelta keeps the delta to a new document, to answer peers that are one or more generations behind.
func (s *slot) recordDelta(c Config, to document, via *wire.Delta) {
	if s.current.generation == 0 {
		return
	}
	if via == nil || via.Base != s.current.digest {
		d, err := c.Format.MakeDelta(s.current.canonical, to.canonical)
		if err != nil {
			slog.Error("cannot compute delta; peers pull the whole document instead", "error", err)
			s.deltas = nil
			return
		}
		via = &wire.Delta{Sections: d}
	}
	if len(s.deltas) == maxDeltas {
		s.deltas = append(s.deltas[:0], s.deltas[1:]...)
	}
	s.deltas = append(s.deltas, wire.Delta{
		Environment: c.Environment, Trial: s.trial, Base: s.current.digest,
		Generation: to.generation, Digest: to.digest, Sections: via.Sections,
	})
}

// answerPull sends the deltas since the peer's document, or the whole document.
func (sy *Syncer) answerPull(to teaselstream.VMID, p wire.DeltaPull) []teaselstream.Cmd {
	s := sy.slot(p.Trial)
	if p.Environment != sy.c.Environment || s.current.generation == 0 || p.Have == s.current.digest {
		return nil
	}
	// A rollback brings an earlier digest back, so the search starts at the newest delta.
	for i := len(s.deltas) - 1; i >= 0; i-- {
		if s.deltas[i].Base != p.Have {
			continue
		}
		var out []teaselstream.Cmd
		size := 0
		for _, n := range s.deltas[i:] {
			size += len(n.Sections)
			out = append(out, SendDelta{To: to, Delta: n})
		}
		if size <= maxDeltaBytes {
			return out
		}
		break
	}
	return sy.sendBody(to, s)
}

// sendBody sends a peer all parts of the document in force.
func (sy *Syncer) sendBody(to teaselstream.VMID, s *slot) []teaselstream.Cmd {
	if s.current.generation == 0 {
		return nil
	}
	parts, err := sy.c.Format.Encode(s.current.canonical)
	if err != nil {
		slog.Error("cannot encode document for a peer", "error", err)
		return nil
	}
	out := make([]teaselstream.Cmd, 0, len(parts))
	for i, p := range parts {
		out = append(out, SendBody{To: to, Body: wire.Body{
			Environment: sy.c.Environment, Trial: s.trial, Generation: s.current.generation, Digest: s.current.digest,
			Part: i, Parts: len(parts), Data: p,
		}})
	}
	return out
}

// deltaReceived applies one delta. Documents before the target generation are only staged, because putting a
// document in force costs a parse.
func (sy *Syncer) deltaReceived(now time.Time, x DeltaReceived) []teaselstream.Cmd {
	d := x.Delta
	s := sy.slot(d.Trial)
	base := s.base()
	if d.Environment != sy.c.Environment || !sy.newer(d.Generation, s.current.generation) || d.Base != base.digest {
		// This delta is late, a duplicate, or follows a lost one. In the last case the fetch times out.
		return nil
	}
	c, err := sy.c.Format.Apply(base.canonical, d.Sections)
	if err != nil || sy.c.Format.DigestOf(c) != d.Digest {
		slog.Warn("delta does not produce the stated document; pulling the whole document", "from", x.From, "generation", d.Generation, "error", err)
		s.staged = document{}
		s.fetching = fetch{active: true, source: x.From, deadline: now.Add(fetchTimeout)}
		return []teaselstream.Cmd{PullBody{To: x.From, Pull: wire.BodyPull{Environment: sy.c.Environment, Trial: s.trial}}}
	}
	next := document{d.Generation, d.Digest, c}
	if sy.newer(s.target.generation, d.Generation) {
		s.staged = next
		s.fetching.deadline = now.Add(fetchTimeout)
		return nil
	}
	return sy.adopt(now, s, next, &d)
}

// bodyReceived collects the parts of a whole document.
func (sy *Syncer) bodyReceived(now time.Time, x BodyReceived) []teaselstream.Cmd {
	b := x.Body
	s := sy.slot(b.Trial)
	f := &s.fetching
	if b.Environment != sy.c.Environment || !f.active || f.source != x.From || b.Parts < 1 || b.Parts > maxParts || b.Part < 0 || b.Part >= b.Parts {
		return nil
	}
	if len(f.parts) != b.Parts {
		f.parts, f.received = make([][]byte, b.Parts), 0
	}
	if f.parts[b.Part] == nil {
		f.received++
	}
	f.parts[b.Part] = b.Data
	f.deadline = now.Add(fetchTimeout)
	if f.received < b.Parts {
		return nil
	}
	c, err := sy.c.Format.Decode(f.parts)
	if err != nil || sy.c.Format.DigestOf(c) != b.Digest {
		slog.Warn("document from peer does not match its digest", "from", x.From, "generation", b.Generation, "error", err)
		sy.dropSource(now, s)
		return sy.fetch(now, s)
	}
	return sy.adopt(now, s, document{b.Generation, b.Digest, c}, nil)
}

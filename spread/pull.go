package spread

import (
	"log/slog"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

// keepStep remembers the change to a document, to answer peers that are one or more steps behind.
func (s *slot) keepStep(c Config, to document, via *wire.Delta) {
	if s.have.generation == 0 {
		return
	}
	if via == nil || via.Base != s.have.digest {
		d, err := c.Format.MakeDelta(s.have.canonical, to.canonical)
		if err != nil {
			slog.Error("delta cannot be made; peers will pull the whole document", "error", err)
			s.steps = nil
			return
		}
		via = &wire.Delta{Sections: d}
	}
	if len(s.steps) == stepsKept {
		s.steps = append(s.steps[:0], s.steps[1:]...)
	}
	s.steps = append(s.steps, wire.Delta{
		Environment: c.Environment, Trial: s.trial, Base: s.have.digest,
		Generation: to.generation, Digest: to.digest, Sections: via.Sections,
	})
}

// answerPull sends the steps since the peer's document, or the whole document.
func (h *Syncer) answerPull(to teaselstream.VMID, p wire.DeltaPull) []teaselstream.Cmd {
	s := h.slot(p.Trial)
	if p.Environment != h.c.Environment || s.have.generation == 0 || p.Have == s.have.digest {
		return nil
	}
	// A rollback brings the same digest back, so the last step from it counts.
	for i := len(s.steps) - 1; i >= 0; i-- {
		if s.steps[i].Base != p.Have {
			continue
		}
		var out []teaselstream.Cmd
		size := 0
		for _, n := range s.steps[i:] {
			size += len(n.Sections)
			out = append(out, SendDelta{To: to, Delta: n})
		}
		if size <= deltaLimit {
			return out
		}
		break
	}
	return h.answerBody(to, s)
}

func (h *Syncer) answerBody(to teaselstream.VMID, s *slot) []teaselstream.Cmd {
	if s.have.generation == 0 {
		return nil
	}
	parts, err := h.c.Format.Encode(s.have.canonical)
	if err != nil {
		slog.Error("document cannot be encoded", "error", err)
		return nil
	}
	out := make([]teaselstream.Cmd, 0, len(parts))
	for i, p := range parts {
		out = append(out, SendBody{To: to, Body: wire.Body{
			Environment: h.c.Environment, Trial: s.trial, Generation: s.have.generation, Digest: s.have.digest,
			Part: i, Parts: len(parts), Data: p,
		}})
	}
	return out
}

// delta applies one step; steps before the wanted generation are only staged, because each document costs a parse.
func (h *Syncer) delta(now time.Time, x DeltaReceived) []teaselstream.Cmd {
	d := x.Delta
	s := h.slot(d.Trial)
	base := s.base()
	if d.Environment != h.c.Environment || !h.newer(d.Generation, s.have.generation) || d.Base != base.digest {
		// Not the expected step: late, duplicated or after a lost one. The fetch times out if it was the latter.
		return nil
	}
	c, err := h.c.Format.Apply(base.canonical, d.Sections)
	if err != nil || h.c.Format.DigestOf(c) != d.Digest {
		slog.Warn("delta does not give the stated document; pulling it whole", "from", x.From, "generation", d.Generation, "error", err)
		s.staged = document{}
		s.fetching = fetch{active: true, from: x.From, until: now.Add(fetchTimeout)}
		return []teaselstream.Cmd{PullBody{To: x.From, Pull: wire.BodyPull{Environment: h.c.Environment, Trial: s.trial}}}
	}
	next := document{d.Generation, d.Digest, c}
	if h.newer(s.want.generation, d.Generation) {
		s.staged = next
		s.fetching.until = now.Add(fetchTimeout)
		return nil
	}
	return h.adopt(now, s, next, &d)
}

// bodyPart collects the parts of a whole document.
func (h *Syncer) bodyPart(now time.Time, x BodyReceived) []teaselstream.Cmd {
	b := x.Body
	s := h.slot(b.Trial)
	f := &s.fetching
	if b.Environment != h.c.Environment || !f.active || f.from != x.From || b.Parts < 1 || b.Parts > partLimit || b.Part < 0 || b.Part >= b.Parts {
		return nil
	}
	if len(f.parts) != b.Parts {
		f.parts, f.got = make([][]byte, b.Parts), 0
	}
	if f.parts[b.Part] == nil {
		f.got++
	}
	f.parts[b.Part] = b.Data
	f.until = now.Add(fetchTimeout)
	if f.got < b.Parts {
		return nil
	}
	c, err := h.c.Format.Decode(f.parts)
	if err != nil || h.c.Format.DigestOf(c) != b.Digest {
		slog.Warn("peer sent a document that does not match its digest", "from", x.From, "generation", b.Generation, "error", err)
		h.dropSource(now, s)
		return h.fetch(now, s)
	}
	return h.adopt(now, s, document{b.Generation, b.Digest, c}, nil)
}

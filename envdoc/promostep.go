package envdoc

import (
	"errors"
	"time"

	"github.com/teaselstream/teaselstream"
)

func (p *Promotion) readDone(now time.Time, x ReadDone) []teaselstream.Cmd {
	absent := errors.Is(x.Err, teaselstream.ErrNotFound)
	failed := x.Err != nil && !absent
	switch p.phase {
	case verifying, readingHistory:
		if failed {
			return p.waitAndVerify(x.Err)
		}
	case readingBody, readingTrial, readingSlot:
		// This operation has not written anything yet.
		if failed {
			return p.finish(StoreDown, Slot{}, x.Err)
		}
	default:
		return nil
	}
	if p.phase == readingBody {
		if absent {
			return p.finish(NotStored, Slot{}, nil)
		}
		return p.read(readingSlot, p.key)
	}
	var s Slot
	if !absent {
		var err error
		if s, err = DecodeSlot(x.Record.Value); err != nil {
			return p.malformed(err)
		}
	}
	switch p.phase {
	case readingTrial:
		if s.Digest != p.requested.Digest {
			return p.finish(NotInTrial, s, nil)
		}
		return p.read(readingSlot, p.key)
	case readingSlot:
		p.old, p.oldSlot, p.expected = x.Record, s, x.Record.Revision
		return p.replace(now)
	case verifying:
		return p.verify(s, x.Record.Revision)
	default:
		return p.verifyByHistory(s, absent)
	}
}

// verifyByHistory decides from the history record of this operation's generation, after a later generation has replaced it.
func (p *Promotion) verifyByHistory(s Slot, absent bool) []teaselstream.Cmd {
	switch {
	case absent:
		// Every promotion first stores the history record of its predecessor, so a missing record means that something else wrote to the store.
		return p.finish(Unsettled, p.current, teaselstream.ErrNotFound)
	case s.Operation == p.slot.Operation:
		return p.finish(Done, p.current, nil)
	default:
		return p.finish(Lost, p.current, nil)
	}
}

// malformed ends an operation because of a record that cannot be decoded.
func (p *Promotion) malformed(err error) []teaselstream.Cmd {
	if p.answerLost {
		return p.finish(Unsettled, Slot{}, err)
	}
	return p.finish(Malformed, Slot{}, err)
}

// replace builds the new slot from the one that it replaces and starts to write it.
func (p *Promotion) replace(now time.Time) []teaselstream.Cmd {
	if w := p.requested.Replaces; w != nil && *w != p.oldSlot.Generation {
		return p.finish(Lost, p.oldSlot, nil)
	}
	p.slot = Slot{
		Generation: p.oldSlot.Generation + 1, Digest: p.requested.Digest, Operation: p.config.Operation,
		Base: p.oldSlot.Generation, Writer: p.config.Writer, Time: now,
	}
	if p.promoting() && p.oldSlot.Generation > 0 {
		return p.archiveOld()
	}
	return p.writeSlot()
}

func (p *Promotion) archiveOld() []teaselstream.Cmd {
	return p.write(archivingOld, HistoryKey(p.config.Environment, p.oldSlot.Generation), 0, p.old.Value)
}

func (p *Promotion) writeDone(x WriteDone) []teaselstream.Cmd {
	conflict := errors.Is(x.Err, teaselstream.ErrConflict)
	switch p.phase {
	case writingParts, archivingOld:
		if x.Err != nil && !conflict {
			return p.retryRecord(x.Err)
		}
		// A conflict means that the record exists, and its key determines its content.
		if p.phase == archivingOld {
			return p.writeSlot()
		}
		p.parts = p.parts[:len(p.parts)-1]
		return p.writePart()
	case writingSlot:
		return p.slotWritten(x, conflict)
	case archivingNew:
		// If this write fails, the next promotion writes the record before it replaces the slot.
		return p.finish(Done, p.slot, nil)
	}
	return nil
}

// retryRecord writes a record again whose key determines its content; it gives up if the store refused the write or after maxRetries retries.
func (p *Promotion) retryRecord(cause error) []teaselstream.Cmd {
	p.retries++
	if errors.Is(cause, teaselstream.ErrUnavailable) || p.retries > maxRetries {
		return p.finish(StoreDown, Slot{}, cause)
	}
	if p.phase == archivingOld {
		return p.archiveOld()
	}
	return p.writePart()
}

func (p *Promotion) slotWritten(x WriteDone, conflict bool) []teaselstream.Cmd {
	switch {
	case x.Err == nil:
		return p.completeWrite()
	case conflict:
		return p.read(verifying, p.key)
	case errors.Is(x.Err, teaselstream.ErrUnavailable):
		if !p.answerLost {
			return p.finish(StoreDown, Slot{}, x.Err)
		}
		return p.waitAndVerify(x.Err)
	default:
		p.answerLost = true
		return p.waitAndVerify(x.Err)
	}
}

func (p *Promotion) completeWrite() []teaselstream.Cmd {
	data, err := p.slot.Encode()
	if !p.promoting() || err != nil {
		return p.finish(Done, p.slot, err)
	}
	return p.write(archivingNew, HistoryKey(p.config.Environment, p.slot.Generation), 0, data)
}

// verify decides from the slot in the store whose write took effect.
func (p *Promotion) verify(s Slot, revision teaselstream.Revision) []teaselstream.Cmd {
	switch {
	case s.Operation == p.slot.Operation:
		return p.completeWrite()
	case revision == p.expected:
		// The write has not taken effect yet. If it still does, the retry conflicts and the slot is read again.
		p.retries++
		if p.retries > maxRetries {
			return p.finish(Unsettled, s, teaselstream.ErrConflict)
		}
		return p.writeSlot()
	case p.answerLost && p.promoting() && s.Generation > p.slot.Generation:
		p.current = s
		return p.read(readingHistory, HistoryKey(p.config.Environment, p.slot.Generation))
	default:
		return p.finish(Lost, s, nil)
	}
}

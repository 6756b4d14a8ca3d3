package order

import (
	"errors"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

// writeShard seals a full head, or else writes the queued changes.
func (l *Log) writeShard(sh *shard) {
	sh.busy = true
	if sh.size >= l.config.SealBytes && sh.sealed == 0 {
		l.seal(sh)
		return
	}
	b := l.batch(sh)
	es := append(sh.entries[b.sealed:len(sh.entries):len(sh.entries)], b.entries...)
	h := Head{Next: b.next, First: b.first, Segment: sh.segment, Cutoff: b.cutoff, Entries: rawsOf(es)}
	if b.sealed > 0 {
		h.Segment++
	}
	sh.openWrites = append(sh.openWrites, b)
	l.write(HeadKey(sh.id), sh.revision, encode(h), func(r result) {
		sh.busy = false
		l.headWritten(sh, b, r)
	})
}

// batch moves queued changes to a batch, up to the size limit of one write.
func (l *Log) batch(sh *shard) *batch {
	l.id++
	b := &batch{operation: l.id, at: l.now, next: sh.next, first: sh.first, cutoff: sh.cutoff, sealed: sh.sealed}
	if b.sealed > 0 {
		l.prune(sh, b)
	}
	// Changes that a caller waits for go first when not everything fits.
	for _, first := range []bool{true, false} {
		for _, it := range sh.queue {
			if it.queued && it.callerWaits() == first && b.size < DefaultSealBytes {
				l.addToBatch(sh, b, it)
			}
		}
	}
	sh.queue = slices.DeleteFunc(slices.Clone(sh.queue), func(it *change) bool { return !it.queued })
	sh.writeDue = time.Time{}
	for _, it := range sh.queue {
		sh.schedule(it)
	}
	return b
}

// callerWaits reports whether a caller waits until the change is durable.
func (it *change) callerWaits() bool { return it.flight != nil || it.urgent }

// addToBatch moves a queued change to a batch.
func (l *Log) addToBatch(sh *shard, b *batch, it *change) {
	it.queued = false
	r := it.record
	if it.flight != nil {
		s, ok := sh.index[r.Key]
		l.config.Invariants.Check(!ok || s.state == Released || l.mayRenew(it.flight, s), invar.AtMostOnce, "claim over state %d of key %x", s.state, r.Key)
		r.Claim, r.State = b.next, Claimed
		b.next += 2
	}
	r.VM, r.Incarnation, r.Operation = l.config.VM, l.config.Incarnation, b.operation
	if r.State != Released {
		r.At = l.now.UnixMilli()
	}
	e := entry{raw: encode(r), record: r}
	b.changes, b.entries, b.size = append(b.changes, it), append(b.entries, e), b.size+len(e.raw)
}

// prune advances the batch's cutoff and first segment past records that no accepted key can refer to.
func (l *Log) prune(sh *shard, b *batch) {
	b.cutoff = max(b.cutoff, l.cutoffAt(l.now))
	b.first = sh.firstRetained(b.cutoff)
}

// headWritten handles the result of a write of the head.
func (l *Log) headWritten(sh *shard, b *batch, r result) {
	switch {
	case r.err == nil:
		sh.failures = 0
		l.applyBatch(sh, b, r.record.Revision)
	case errors.Is(r.err, teaselstream.ErrUnavailable):
		sh.removeWrite(b)
		l.requeue(sh, b)
		l.backOff(sh)
	case errors.Is(r.err, teaselstream.ErrConflict):
		sh.stale = true
	default:
		// The write may have taken effect or may still do so; the next read of the head shows it.
		sh.stale = true
		l.backOff(sh)
	}
}

func (sh *shard) removeWrite(b *batch) {
	for n, a := range sh.openWrites {
		if a == b {
			sh.openWrites = append(sh.openWrites[:n:n], sh.openWrites[n+1:]...)
			return
		}
	}
}

// requeue puts the changes of a batch back into the queue, except claims that no caller waits for any more.
func (l *Log) requeue(sh *shard, b *batch) {
	for _, it := range b.changes {
		if it.flight == nil || !it.flight.removed {
			l.enqueue(sh, it)
		}
	}
}

// applyBatch applies a successful batch to the shard's copy, at the revision that the store returned.
func (l *Log) applyBatch(sh *shard, b *batch, rev teaselstream.Revision) {
	if b.sealed > 0 {
		if sum := l.addSegmentKeys(sh, newSegmentKeys(sh.entries[:b.sealed], sh.segment)); sum != nil {
			l.writeSummary(sh, sum)
		}
		sh.segment++
		sh.sealed = 0
		sh.entries = append([]entry(nil), sh.entries[b.sealed:]...)
		l.applyAll(sh, sh.entries, sh.segment)
	}
	sh.entries = append(sh.entries, b.entries...)
	sh.revision, sh.confirmedAt, sh.stale = rev, b.at, false
	l.queueObsolete(sh, sh.first, b.first)
	sh.next, sh.first = b.next, b.first
	sh.cutoff = max(sh.cutoff, b.cutoff)
	l.applyAll(sh, b.entries, sh.segment)
	if b.sealed > 0 {
		sh.expireSealedKeys()
		l.evict(sh)
	}
	sh.updateSize()
	l.settleWrites(sh, b)
}

func (sh *shard) updateSize() {
	sh.size = 0
	for _, e := range sh.entries {
		sh.size += len(e.raw)
	}
}

// settleWrites ends all open writes: b took effect, or none did if b is nil. No other can take effect any more.
func (l *Log) settleWrites(sh *shard, b *batch) {
	writes := sh.openWrites
	sh.openWrites = nil
	clear(sh.applied)
	if b != nil {
		l.Counts.Records += len(b.changes)
		for n, it := range b.changes {
			it.done = true
			if it.queued {
				sh.dequeue(it)
			}
			if it.flight != nil {
				l.Counts.Claims++
				l.claimDurable(it.flight, &b.entries[n].record, b.at)
				continue
			}
			l.Counts.FinalRecords++
			l.Counts.FinalRecordWait += l.now.Sub(it.queuedAt)
			if it.durable != nil {
				it.durable()
			}
		}
	}
	for _, a := range writes {
		l.requeue(sh, a)
	}
	l.evaluateWaiting(sh)
}

package order

import (
	"errors"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

// writeShard seals a full head or writes the queue.
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
	sh.attempts = append(sh.attempts, b)
	l.write(HeadKey(sh.id), sh.revision, encode(h), func(r result) {
		sh.busy = false
		l.written(sh, b, r)
	})
}

// batch takes the queue, up to the bound of one write.
func (l *Log) batch(sh *shard) *batch {
	l.id++
	b := &batch{operation: l.id, at: l.now, next: sh.next, first: sh.first, cutoff: sh.cutoff, sealed: sh.sealed}
	if b.sealed > 0 {
		l.prune(sh, b)
	}
	// Callers wait for claims, so these go first when not everything fits.
	for _, first := range []bool{true, false} {
		for _, it := range sh.queue {
			if it.queued && it.hurried() == first && b.size < DefaultSealBytes {
				l.add(sh, b, it)
			}
		}
	}
	sh.queue = slices.DeleteFunc(slices.Clone(sh.queue), func(it *item) bool { return !it.queued })
	sh.due = time.Time{}
	for _, it := range sh.queue {
		sh.schedule(it)
	}
	return b
}

// hurried reports whether a caller waits for the item to be durable.
func (it *item) hurried() bool { return it.flight != nil || it.urgent }

// add moves an item of the queue to a batch.
func (l *Log) add(sh *shard, b *batch, it *item) {
	it.queued = false
	r := it.record
	if it.flight != nil {
		s, ok := sh.index[r.Key]
		l.config.Invariants.Check(!ok || s.state == Released || l.renews(it.flight, s), invar.AtMostOnce, "claim over state %d of key %x", s.state, r.Key)
		r.Claim, r.State = b.next, Claimed
		b.next += 2
	}
	r.VM, r.Incarnation, r.Operation = l.config.VM, l.config.Incarnation, b.operation
	if r.State != Released {
		r.At = l.now.UnixMilli()
	}
	e := entry{raw: encode(r), record: r}
	b.items, b.entries, b.size = append(b.items, it), append(b.entries, e), b.size+len(e.raw)
}

// prune drops segments that no accepted key can refer to.
func (l *Log) prune(sh *shard, b *batch) {
	b.cutoff = max(b.cutoff, l.cutoffAt(l.now))
	b.first = sh.pruneBefore(b.cutoff)
}

// written handles the result of a write of the head.
func (l *Log) written(sh *shard, b *batch, r result) {
	switch {
	case r.err == nil:
		sh.fails = 0
		l.land(sh, b, r.record.Revision)
	case errors.Is(r.err, teaselstream.ErrUnavailable):
		sh.drop(b)
		l.requeue(sh, b)
		l.failed(sh)
	case errors.Is(r.err, teaselstream.ErrConflict):
		sh.dirty = true
	default:
		// The write may have taken effect or do so later: only the head can tell.
		sh.dirty = true
		l.failed(sh)
	}
}

func (sh *shard) drop(b *batch) {
	for n, a := range sh.attempts {
		if a == b {
			sh.attempts = append(sh.attempts[:n:n], sh.attempts[n+1:]...)
			return
		}
	}
}

// requeue puts the changes of a batch back, except claims that no caller waits for any more.
func (l *Log) requeue(sh *shard, b *batch) {
	for _, it := range b.items {
		if it.flight == nil || !it.flight.gone {
			l.enqueue(sh, it)
		}
	}
}

// land makes the effect of a batch part of the copy, at the revision that the store gave it.
func (l *Log) land(sh *shard, b *batch, rev teaselstream.Revision) {
	if b.sealed > 0 {
		if sum := l.addRun(sh, newRun(sh.entries[:b.sealed], sh.segment)); sum != nil {
			l.writeSum(sh, sum)
		}
		sh.segment++
		sh.sealed = 0
		sh.entries = append([]entry(nil), sh.entries[b.sealed:]...)
		l.foldAll(sh, sh.entries, sh.segment)
	}
	sh.entries = append(sh.entries, b.entries...)
	sh.revision, sh.confirmed, sh.dirty = rev, b.at, false
	l.blankSegments(sh, sh.first, b.first)
	sh.next, sh.first = b.next, b.first
	sh.cutoff = max(sh.cutoff, b.cutoff)
	l.foldAll(sh, b.entries, sh.segment)
	if b.sealed > 0 {
		sh.expireRuns()
		l.evict(sh)
	}
	sh.measure()
	l.settle(sh, b)
}

func (sh *shard) measure() {
	sh.size = 0
	for _, e := range sh.entries {
		sh.size += len(e.raw)
	}
}

// settle ends all open attempts: b took effect, or none did if b is nil. No other can take effect any more.
func (l *Log) settle(sh *shard, b *batch) {
	open := sh.attempts
	sh.attempts = nil
	clear(sh.landed)
	if b != nil {
		l.Counts.Records += len(b.items)
		for n, it := range b.items {
			it.done = true
			if it.queued {
				sh.dequeue(it)
			}
			if it.flight != nil {
				l.Counts.Claims++
				l.claimed(it.flight, &b.entries[n].record, b.at)
				continue
			}
			l.Counts.FinalRecords++
			l.Counts.FinalRecordWait += l.now.Sub(it.queuedAt)
			if it.durable != nil {
				it.durable()
			}
		}
	}
	for _, a := range open {
		l.requeue(sh, a)
	}
	l.wake(sh)
}

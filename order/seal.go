package order

import (
	"bytes"
	"errors"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

// seal writes the head's entries as an immutable segment. Another VM may already have sealed fewer of them under the
// same number.
func (l *Log) seal(sh *shard) {
	all, number := len(sh.entries), sh.segment
	l.write(SegmentKey(sh.id, number), 0, encode(rawsOf(sh.entries)), func(r result) {
		switch {
		case r.err == nil:
			sh.busy = false
			sh.sealed = all
		case errors.Is(r.err, teaselstream.ErrUnavailable):
			sh.busy = false
			l.backOff(sh)
		default:
			l.readSealed(sh)
		}
	})
}

// readSealed reads a segment after its write was refused or had an unknown outcome.
func (l *Log) readSealed(sh *shard) {
	l.read(SegmentKey(sh.id, sh.segment), func(r result) {
		sh.busy = false
		if r.err != nil {
			l.backOff(sh)
			return
		}
		es, err := decodeSegment(r.record.Value)
		if err != nil || len(es) == 0 {
			l.backOff(sh)
			return
		}
		if len(es) > len(sh.entries) {
			// The segment was sealed from a later head than this VM's copy.
			sh.stale = true
			return
		}
		last := len(es) - 1
		if !l.config.Invariants.Check(bytes.Equal(es[last].raw, sh.entries[last].raw), invar.AtMostOnce, "segment %d of shard %d is not a prefix of the head", sh.segment, sh.id) {
			sh.ready, sh.stale = false, true
			return
		}
		sh.sealed = len(es)
	})
}

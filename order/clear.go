package order

import (
	"errors"

	"github.com/teaselstream/teaselstream"
)

// queueObsolete queues the store keys of segments that no head refers to any more. The store cannot delete a key, so
// their values are replaced by empty ones. Segments still queued when a VM dies keep their values.
func (l *Log) queueObsolete(sh *shard, from, to uint64) {
	size := uint64(l.config.SummarySegments)
	for n := from; n < to; n++ {
		sh.obsoleteKeys = append(sh.obsoleteKeys, SegmentKey(sh.id, n))
		if size > 1 && (n+1)%size == 0 {
			sh.obsoleteKeys = append(sh.obsoleteKeys, SummaryKey(sh.id, n+1-size))
		}
	}
}

// clearNext replaces one obsolete value by an empty one. If the value is a segment, it also queues the large answers
// that the segment refers to.
func (l *Log) clearNext(sh *shard) {
	key := sh.obsoleteKeys[0]
	sh.obsoleteKeys = sh.obsoleteKeys[1:]
	sh.clearing = true
	l.read(key, func(r result) {
		done := func(err error) {
			sh.clearing = false
			if err != nil && !errors.Is(err, teaselstream.ErrNotFound) && !errors.Is(err, teaselstream.ErrConflict) {
				sh.obsoleteKeys = append(sh.obsoleteKeys, key)
				l.backOff(sh)
			}
		}
		if r.err != nil || len(r.record.Value) == 0 {
			done(r.err)
			return
		}
		es, _ := decodeSegment(r.record.Value)
		for n := range es {
			if es[n].record.Large {
				sh.obsoleteKeys = append(sh.obsoleteKeys, AnswerKey(sh.id, es[n].record.Claim))
			}
		}
		l.write(key, r.record.Revision, nil, func(w result) { done(w.err) })
	})
}

package order

import (
	"errors"

	"github.com/teaselstream/teaselstream"
)

// blankSegments queues segments that no head refers to any more. The store has no call that deletes a key, so
// their values are replaced by empty ones. What a VM leaves undone when it dies stays in the store.
func (l *Log) blankSegments(sh *shard, from, to uint64) {
	size := uint64(l.config.SummarySegments)
	for n := from; n < to; n++ {
		sh.blanks = append(sh.blanks, SegmentKey(sh.id, n))
		if size > 1 && (n+1)%size == 0 {
			sh.blanks = append(sh.blanks, SummaryKey(sh.id, n+1-size))
		}
	}
}

// blankNext empties one value, and queues the large answers that a segment refers to.
func (l *Log) blankNext(sh *shard) {
	key := sh.blanks[0]
	sh.blanks = sh.blanks[1:]
	sh.blanking = true
	l.read(key, func(r result) {
		again := func(err error) {
			sh.blanking = false
			if err != nil && !errors.Is(err, teaselstream.ErrNotFound) && !errors.Is(err, teaselstream.ErrConflict) {
				sh.blanks = append(sh.blanks, key)
				l.failed(sh)
			}
		}
		if r.err != nil || len(r.record.Value) == 0 {
			again(r.err)
			return
		}
		es, _ := decodeSegment(r.record.Value)
		for n := range es {
			if es[n].record.Large {
				sh.blanks = append(sh.blanks, AnswerKey(sh.id, es[n].record.Claim))
			}
		}
		l.write(key, r.record.Revision, nil, func(w result) { again(w.err) })
	})
}

package order

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

// replay answers a flight with the stored answer of its key.
func (l *Log) replay(f *flight, s keyState) {
	f.enter(replaying)
	if s.state == Ran {
		l.replyAndRemove(f, nil, l.lostError(f))
		return
	}
	if uint64(s.segment) == f.shard.segment {
		l.replayFrom(f, s, f.shard.entries)
		return
	}
	l.read(SegmentKey(f.shard.id, uint64(s.segment)), func(r result) {
		es, err := decodeSegment(r.record.Value)
		if f.removed {
			return
		}
		if r.err != nil || err != nil {
			l.replayLater(f)
			return
		}
		l.replayFrom(f, s, es)
	})
}

// replayLater schedules another try after a failure of the store.
func (l *Log) replayLater(f *flight) {
	f.advanceAt = l.now.Add(lookUpInterval)
	f.retry = func() { l.evaluate(f) }
}

// replayFrom finds the answer among the entries of a segment.
func (l *Log) replayFrom(f *flight, s keyState, es []entry) {
	for n := range es {
		r := &es[n].record
		if r.Key != f.key || r.Claim != s.claim || r.State != Done {
			continue
		}
		if r.Large {
			l.replayLarge(f, r)
			return
		}
		l.replayed(f, r, r.Answer)
		return
	}
	l.replayLater(f)
}

func (l *Log) replayLarge(f *flight, rec *Record) {
	l.read(AnswerKey(f.shard.id, rec.Claim), func(r result) {
		var a Answer
		if f.removed {
			return
		}
		if r.err != nil || cbor.Unmarshal(r.record.Value, &a) != nil {
			l.replayLater(f)
			return
		}
		l.replayed(f, rec, &a)
	})
}

func (l *Log) replayed(f *flight, r *Record, a *Answer) {
	own := l.config.Invariants.Check(r.Key == f.key && r.Body == f.body, invar.AnswerOwnership, "stored answer of key %x for key %x", r.Key, f.key)
	if !own || a == nil {
		l.replyAndRemove(f, nil, newError(teaselstream.CodeInternal, teaselstream.Ran, fmt.Sprintf("the stored answer of claim %d is damaged", r.Claim)))
		return
	}
	l.replyAndRemove(f, &teaselstream.ServiceAnswer{Status: a.Status, Header: a.Header, Body: a.Body}, nil)
}

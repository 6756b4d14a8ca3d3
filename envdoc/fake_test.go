package envdoc

import (
	"fmt"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/vtime"
)

const (
	oneWay  = time.Millisecond
	timeout = 2 * time.Second
	// lateTime is when a write that its client has given up still takes effect.
	lateTime = 3 * time.Second
)

// fate is what happens to one call.
type fate int

const (
	answered fate = iota
	refused
	loseAnswer
	dropWrite
	lateWrite
)

// fakeStore serves promotions under a virtual clock.
type fakeStore struct {
	queue    *vtime.Queue
	records  map[string]teaselstream.Record
	revision teaselstream.Revision
	// fate decides what happens to a call.
	fate func(write bool) fate
	log  func(format string, args ...any)
}

// start runs a promotion to its Finish.
func (f *fakeStore) start(name string, p *Promotion, m teaselstream.Msg, done func(Result)) {
	send := func(m teaselstream.Msg) { f.start(name, p, m, done) }
	for _, c := range p.Update(f.queue.Now(), m) {
		switch x := c.(type) {
		case Read:
			f.log("%s reads %s", name, x.Key)
			f.read(x, send)
		case Write:
			f.log("%s writes %s over revision %d", name, x.Key, x.Expected)
			f.write(x, send)
		case Wait:
			f.log("%s waits %v", name, x.Duration)
			f.queue.After(x.Duration, func() { send(teaselstream.Tick{}) })
		case Finish:
			f.log("%s ends: %s", name, describe(x.Result))
			done(x.Result)
		}
	}
}

func (f *fakeStore) read(x Read, send func(teaselstream.Msg)) {
	if f.fate(false) != answered {
		f.queue.After(2*oneWay, func() { send(ReadDone{Err: teaselstream.ErrUnavailable}) })
		return
	}
	f.queue.After(oneWay, func() {
		r, ok := f.records[x.Key]
		d := ReadDone{Record: r}
		if !ok {
			d.Err = teaselstream.ErrNotFound
		}
		f.queue.After(oneWay, func() { send(d) })
	})
}

func (f *fakeStore) write(x Write, send func(teaselstream.Msg)) {
	unknown := func() { send(WriteDone{Err: teaselstream.ErrOutcomeUnknown}) }
	switch f.fate(true) {
	case refused:
		f.queue.After(2*oneWay, func() { send(WriteDone{Err: teaselstream.ErrUnavailable}) })
	case loseAnswer:
		f.queue.After(oneWay, func() { f.swap(x) })
		f.queue.After(timeout, unknown)
	case dropWrite:
		f.queue.After(timeout, unknown)
	case lateWrite:
		f.queue.After(timeout, unknown)
		f.queue.After(lateTime, func() { f.swap(x) })
	default:
		f.queue.After(oneWay, func() {
			d := f.swap(x)
			f.queue.After(oneWay, func() { send(d) })
		})
	}
}

func (f *fakeStore) swap(x Write) WriteDone {
	if r := f.records[x.Key]; r.Revision != x.Expected {
		return WriteDone{Revision: r.Revision, Err: teaselstream.ErrConflict}
	}
	f.revision++
	f.records[x.Key] = teaselstream.Record{Value: x.Value, Revision: f.revision}
	return WriteDone{Revision: f.revision}
}

func describe(r Result) string {
	out := string(r.Outcome)
	for _, s := range []struct {
		what string
		Slot
	}{{"own", r.Slot}, {"current", r.Current}} {
		if s.Generation > 0 {
			out += fmt.Sprintf(", %s %d by %s over %d", s.what, s.Generation, s.Operation, s.Base)
		}
	}
	if r.Cause != nil {
		out += " (" + r.Cause.Error() + ")"
	}
	return strings.TrimSpace(out)
}

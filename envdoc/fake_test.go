package envdoc

import (
	"fmt"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/vtime"
)

const (
	oneWayDelay   = time.Millisecond
	clientTimeout = 2 * time.Second
	// lateWriteDelay is the time after which a write takes effect that its client has given up on.
	lateWriteDelay = 3 * time.Second
)

// callResult is what happens to one call of the store.
type callResult int

const (
	answered callResult = iota
	refused
	loseAnswer
	dropWrite
	lateWrite
)

// fakeStore is an in-memory store for promotions that runs on a virtual clock.
type fakeStore struct {
	queue    *vtime.Queue
	records  map[string]teaselstream.Record
	revision teaselstream.Revision
	// callResult decides what happens to a call.
	callResult func(write bool) callResult
	log        func(format string, args ...any)
}

// start passes a message to a promotion and executes its commands until Finish.
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
	if f.callResult(false) != answered {
		f.queue.After(2*oneWayDelay, func() { send(ReadDone{Err: teaselstream.ErrUnavailable}) })
		return
	}
	f.queue.After(oneWayDelay, func() {
		r, ok := f.records[x.Key]
		d := ReadDone{Record: r}
		if !ok {
			d.Err = teaselstream.ErrNotFound
		}
		f.queue.After(oneWayDelay, func() { send(d) })
	})
}

func (f *fakeStore) write(x Write, send func(teaselstream.Msg)) {
	unknown := func() { send(WriteDone{Err: teaselstream.ErrOutcomeUnknown}) }
	switch f.callResult(true) {
	case refused:
		f.queue.After(2*oneWayDelay, func() { send(WriteDone{Err: teaselstream.ErrUnavailable}) })
	case loseAnswer:
		f.queue.After(oneWayDelay, func() { f.swap(x) })
		f.queue.After(clientTimeout, unknown)
	case dropWrite:
		f.queue.After(clientTimeout, unknown)
	case lateWrite:
		f.queue.After(clientTimeout, unknown)
		f.queue.After(lateWriteDelay, func() { f.swap(x) })
	default:
		f.queue.After(oneWayDelay, func() {
			d := f.swap(x)
			f.queue.After(oneWayDelay, func() { send(d) })
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

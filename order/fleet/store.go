package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/vtime"
)

// storeTimeout is when a client of the store gives up an operation.
const storeTimeout = 500 * time.Millisecond

type (
	// Store is a fake of the platform's store; its zero value answers without faults after Latency.
	Store struct {
		Latency time.Duration
		// WritesPerSecond bounds the writes per second of all clients if it is not 0; excess writes wait.
		WritesPerSecond float64
		// Writes and Reads count operations, and Bytes the bytes written.
		Writes int
		Reads  int
		Bytes  int64

		queue *vtime.Queue
		free  time.Time
		data  map[string]teaselstream.Record
	}

	// StoreFault says what goes wrong with one operation of the store.
	StoreFault struct {
		// Refuse answers ErrUnavailable without effect.
		Refuse bool
		// Hang gives no answer, so that the client times out.
		Hang bool
		// Lose applies a write and gives no answer.
		Lose bool
		// Delay postpones the effect, possibly beyond the client's timeout.
		Delay time.Duration
	}
)

func newStore(q *vtime.Queue) *Store {
	return &Store{Latency: 3 * time.Millisecond, queue: q, data: make(map[string]teaselstream.Record)}
}

// Size returns the bytes of all values.
func (s *Store) Size() int64 {
	var n int64
	for _, r := range s.data {
		n += int64(len(r.Value))
	}
	return n
}

func (s *Store) segments() int {
	n := 0
	for k := range s.data {
		if strings.Contains(k, "/seg/") {
			n++
		}
	}
	return n
}

// do runs an operation with an effect and calls done exactly once.
func (s *Store) do(e StoreFault, write bool, run func() (teaselstream.Record, error), done func(teaselstream.Record, error)) {
	answered := false
	answer := func(r teaselstream.Record, err error) {
		if !answered {
			answered = true
			done(r, err)
		}
	}
	if e.Refuse {
		s.queue.After(s.Latency, func() { answer(teaselstream.Record{}, fmt.Errorf("fake store: %w", teaselstream.ErrUnavailable)) })
		return
	}
	s.queue.After(storeTimeout, func() { answer(teaselstream.Record{}, fmt.Errorf("fake store: %w", teaselstream.ErrOutcomeUnknown)) })
	if e.Hang {
		return
	}
	at := s.queue.Now().Add(s.Latency / 2)
	if s.WritesPerSecond > 0 && write {
		if s.free.Before(at) {
			s.free = at
		}
		at = s.free
		s.free = s.free.Add(time.Duration(float64(time.Second) / s.WritesPerSecond))
	}
	s.queue.After(at.Sub(s.queue.Now())+e.Delay, func() {
		r, err := run()
		if !e.Lose {
			s.queue.After(s.Latency/2, func() { answer(r, err) })
		}
	})
}

func (s *Store) read(key string, e StoreFault, done func(teaselstream.Record, error)) {
	s.Reads++
	s.do(e, false, func() (teaselstream.Record, error) {
		r, ok := s.data[key]
		if !ok {
			return r, fmt.Errorf("fake store: %w", teaselstream.ErrNotFound)
		}
		return r, nil
	}, done)
}

func (s *Store) write(key string, expected teaselstream.Revision, value []byte, e StoreFault, done func(teaselstream.Record, error)) {
	s.Writes++
	s.do(e, true, func() (teaselstream.Record, error) {
		if s.data[key].Revision != expected {
			return teaselstream.Record{}, fmt.Errorf("fake store: %w", teaselstream.ErrConflict)
		}
		s.Bytes += int64(len(value))
		r := teaselstream.Record{Value: value, Revision: expected + 1}
		s.data[key] = r
		return teaselstream.Record{Revision: r.Revision}, nil
	}, done)
}

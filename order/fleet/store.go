package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/vtime"
)

// storeTimeout is the timeout of a store operation at the client.
const storeTimeout = 500 * time.Millisecond

type (
	// Store is a fake of the platform's store, which answers after Latency unless a fault is injected.
	Store struct {
		Latency time.Duration
		// Rate bounds the writes per second of all clients if it is not 0; excess writes wait.
		Rate float64
		// Writes and Reads count operations, and Bytes the bytes written.
		Writes int
		Reads  int
		Bytes  int64

		queue       *vtime.Queue
		nextWriteAt time.Time
		data        map[string]teaselstream.Record
	}

	// StoreOpFault describes the faults of one store operation.
	StoreOpFault struct {
		// Refuse answers ErrUnavailable without effect.
		Refuse bool
		// Hang gives no answer and has no effect; the client times out.
		Hang bool
		// Lose performs the operation and gives no answer.
		Lose bool
		// Delay postpones the effect, possibly beyond the client's timeout.
		Delay time.Duration
	}
)

func newStore(q *vtime.Queue) *Store {
	return &Store{Latency: 3 * time.Millisecond, queue: q, data: make(map[string]teaselstream.Record)}
}

// Size returns the total size of all values in bytes.
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

// do runs an operation with its faults and calls done exactly once.
func (s *Store) do(e StoreOpFault, write bool, run func() (teaselstream.Record, error), done func(teaselstream.Record, error)) {
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
	if s.Rate > 0 && write {
		if s.nextWriteAt.Before(at) {
			s.nextWriteAt = at
		}
		at = s.nextWriteAt
		s.nextWriteAt = s.nextWriteAt.Add(time.Duration(float64(time.Second) / s.Rate))
	}
	s.queue.After(at.Sub(s.queue.Now())+e.Delay, func() {
		r, err := run()
		if !e.Lose {
			s.queue.After(s.Latency/2, func() { answer(r, err) })
		}
	})
}

func (s *Store) read(key string, e StoreOpFault, done func(teaselstream.Record, error)) {
	s.Reads++
	s.do(e, false, func() (teaselstream.Record, error) {
		r, ok := s.data[key]
		if !ok {
			return r, fmt.Errorf("fake store: %w", teaselstream.ErrNotFound)
		}
		return r, nil
	}, done)
}

func (s *Store) write(key string, expected teaselstream.Revision, value []byte, e StoreOpFault, done func(teaselstream.Record, error)) {
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

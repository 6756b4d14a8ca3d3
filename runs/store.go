package runs

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/vtime"
)

type (
	// Store is a fake of the platform's store in virtual time.
	Store struct {
		// Down refuses all calls; Slow delays their answers; LoseAnswers is the
		// share of writes whose answer is lost after they took effect.
		Down             bool
		Delay            time.Duration
		LostResponseRate float64

		queue   *vtime.Queue
		rand    *rand.Rand
		records map[string]teaselstream.Record
		next    teaselstream.Revision
		leases  map[teaselstream.LeaseID]*lease
		waiters map[string][]*waiter

		// Reads and Writes count calls by second of virtual time; a watch is one read.
		Reads, Writes map[int64]int
		Calls         int
	}

	lease struct {
		until time.Time
		ttl   time.Duration
		keys  []string
	}

	waiter struct {
		after teaselstream.Revision
		done  func(teaselstream.Record, error)
		gone  bool
	}
)

const (
	storeLatency = 2 * time.Millisecond
	watchTime    = 30 * time.Second
	callTimeout  = 2 * time.Second
)

func newStore(q *vtime.Queue, r *rand.Rand) *Store {
	return &Store{
		queue: q, rand: r, records: map[string]teaselstream.Record{}, leases: map[teaselstream.LeaseID]*lease{},
		waiters: map[string][]*waiter{}, Reads: map[int64]int{}, Writes: map[int64]int{},
	}
}

// call performs f at the store; fail takes the error if it cannot be reached or its answer is lost.
func (s *Store) call(write bool, f func() func(), fail func(error)) {
	s.Calls++
	if write {
		s.Writes[s.queue.Now().Unix()]++
	} else {
		s.Reads[s.queue.Now().Unix()]++
	}
	if s.Down {
		s.queue.After(storeLatency, func() { fail(teaselstream.ErrUnavailable) })
		return
	}
	s.queue.After(storeLatency/2, func() {
		done := f()
		switch {
		case write && s.rand.Float64() < s.LostResponseRate, s.Delay > callTimeout:
			s.queue.After(callTimeout, func() { fail(teaselstream.ErrOutcomeUnknown) })
		default:
			s.queue.After(storeLatency/2+s.Delay, done)
		}
	})
}

// Get reads a key.
func (s *Store) Get(key string, done func(teaselstream.Record, error)) {
	s.call(false, func() func() {
		r, err := s.read(key)
		return func() { done(r, err) }
	}, func(err error) { done(teaselstream.Record{}, err) })
}

// CompareAndSwap writes a key.
func (s *Store) CompareAndSwap(key string, expected teaselstream.Revision, value []byte, id teaselstream.LeaseID, done func(teaselstream.Revision, error)) {
	s.call(true, func() func() {
		v, err := s.write(key, expected, value, id)
		return func() { done(v, err) }
	}, func(err error) { done(0, err) })
}

// Grant creates a lease.
func (s *Store) Grant(ttl time.Duration, done func(teaselstream.LeaseID, error)) {
	s.call(true, func() func() {
		s.next++
		id := teaselstream.LeaseID(s.next)
		s.leases[id] = &lease{until: s.queue.Now().Add(ttl), ttl: ttl}
		s.queue.After(ttl, func() { s.lapse(id) })
		return func() { done(id, nil) }
	}, func(err error) { done(0, err) })
}

// KeepAlive prolongs a lease.
func (s *Store) KeepAlive(id teaselstream.LeaseID, done func(error)) {
	s.call(true, func() func() {
		l := s.leases[id]
		if l == nil {
			return func() { done(teaselstream.ErrNotFound) }
		}
		l.until = s.queue.Now().Add(l.ttl)
		s.queue.After(l.ttl, func() { s.lapse(id) })
		return func() { done(nil) }
	}, done)
}

// Watch waits for a revision above after; cancelled by the returned function.
func (s *Store) Watch(key string, after teaselstream.Revision, done func(teaselstream.Record, error)) func() {
	w := &waiter{after: after}
	w.done = func(r teaselstream.Record, err error) {
		if !w.gone {
			w.gone = true
			done(r, err)
		}
	}
	s.call(false, func() func() {
		r, err := s.read(key)
		if err == nil && r.Revision > after {
			return func() { w.done(r, nil) }
		}
		s.waiters[key] = append(s.waiters[key], w)
		s.queue.After(watchTime, func() { w.done(s.read(key)) })
		return func() {}
	}, func(err error) { w.done(teaselstream.Record{}, err) })
	return func() { w.gone = true }
}

// SetDown starts or ends an outage; waiting watches fail at its start.
func (s *Store) SetDown(down bool) {
	s.Down = down
	if !down {
		return
	}
	for _, k := range slices.Sorted(maps.Keys(s.waiters)) {
		for _, w := range s.waiters[k] {
			s.queue.After(storeLatency/2, func() { w.done(teaselstream.Record{}, teaselstream.ErrUnavailable) })
		}
		delete(s.waiters, k)
	}
}

func (s *Store) read(key string) (teaselstream.Record, error) {
	r, ok := s.records[key]
	if !ok {
		return r, teaselstream.ErrNotFound
	}
	return r, nil
}

func (s *Store) write(key string, expected teaselstream.Revision, value []byte, id teaselstream.LeaseID) (teaselstream.Revision, error) {
	if s.records[key].Revision != expected {
		return 0, teaselstream.ErrConflict
	}
	if id != 0 {
		l := s.leases[id]
		if l == nil {
			return 0, teaselstream.ErrNotFound
		}
		l.keys = append(l.keys, key)
	}
	s.next++
	r := teaselstream.Record{Value: value, Revision: s.next}
	s.records[key] = r
	for _, w := range s.waiters[key] {
		s.queue.After(storeLatency/2+s.Delay, func() { w.done(r, nil) })
	}
	delete(s.waiters, key)
	return r.Revision, nil
}

// lapse removes a lease and its keys unless it was prolonged.
func (s *Store) lapse(id teaselstream.LeaseID) {
	l := s.leases[id]
	if l == nil || s.queue.Now().Before(l.until) {
		return
	}
	for _, k := range l.keys {
		delete(s.records, k)
	}
	delete(s.leases, id)
}

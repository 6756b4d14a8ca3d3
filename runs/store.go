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
	// Store is a fake of the platform's key-value store that runs in virtual time.
	Store struct {
		// Down fails all calls; Delay is added to each response; LostResponseRate is
		// the share of writes that take effect but whose response is lost.
		Down             bool
		Delay            time.Duration
		LostResponseRate float64

		queue        *vtime.Queue
		rand         *rand.Rand
		records      map[string]teaselstream.Record
		lastRevision teaselstream.Revision
		leases       map[teaselstream.LeaseID]*lease
		waiters      map[string][]*waiter

		// Reads and Writes count calls per second of virtual time; a watch counts as one read.
		Reads, Writes map[int64]int
		Calls         int
	}

	lease struct {
		expiresAt time.Time
		ttl       time.Duration
		keys      []string
	}

	waiter struct {
		after    teaselstream.Revision
		done     func(teaselstream.Record, error)
		finished bool
	}
)

const (
	storeLatency = 2 * time.Millisecond
	watchTimeout = 30 * time.Second
	callTimeout  = 2 * time.Second
)

func newStore(q *vtime.Queue, r *rand.Rand) *Store {
	return &Store{
		queue: q, rand: r, records: map[string]teaselstream.Record{}, leases: map[teaselstream.LeaseID]*lease{},
		waiters: map[string][]*waiter{}, Reads: map[int64]int{}, Writes: map[int64]int{},
	}
}

// call executes f at the store and then the function that f returns, which delivers the response.
// If the store is unavailable or the response is lost, call reports the error to fail instead.
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

// CompareAndSwap writes a key if its revision is the expected one.
func (s *Store) CompareAndSwap(key string, expected teaselstream.Revision, value []byte, id teaselstream.LeaseID, done func(teaselstream.Revision, error)) {
	s.call(true, func() func() {
		v, err := s.write(key, expected, value, id)
		return func() { done(v, err) }
	}, func(err error) { done(0, err) })
}

// Grant creates a lease.
func (s *Store) Grant(ttl time.Duration, done func(teaselstream.LeaseID, error)) {
	s.call(true, func() func() {
		s.lastRevision++
		id := teaselstream.LeaseID(s.lastRevision)
		s.leases[id] = &lease{expiresAt: s.queue.Now().Add(ttl), ttl: ttl}
		s.queue.After(ttl, func() { s.expireLease(id) })
		return func() { done(id, nil) }
	}, func(err error) { done(0, err) })
}

// KeepAlive renews a lease, which then expires after its time to live from now.
func (s *Store) KeepAlive(id teaselstream.LeaseID, done func(error)) {
	s.call(true, func() func() {
		l := s.leases[id]
		if l == nil {
			return func() { done(teaselstream.ErrNotFound) }
		}
		l.expiresAt = s.queue.Now().Add(l.ttl)
		s.queue.After(l.ttl, func() { s.expireLease(id) })
		return func() { done(nil) }
	}, done)
}

// Watch reports a key once its revision exceeds after, or as it is after watchTimeout; the returned function cancels the watch.
func (s *Store) Watch(key string, after teaselstream.Revision, done func(teaselstream.Record, error)) func() {
	w := &waiter{after: after}
	w.done = func(r teaselstream.Record, err error) {
		if !w.finished {
			w.finished = true
			done(r, err)
		}
	}
	s.call(false, func() func() {
		r, err := s.read(key)
		if err == nil && r.Revision > after {
			return func() { w.done(r, nil) }
		}
		s.waiters[key] = append(s.waiters[key], w)
		s.queue.After(watchTimeout, func() { w.done(s.read(key)) })
		return func() {}
	}, func(err error) { w.done(teaselstream.Record{}, err) })
	return func() { w.finished = true }
}

// SetDown starts or ends an outage; pending watches fail at its start.
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
	s.lastRevision++
	r := teaselstream.Record{Value: value, Revision: s.lastRevision}
	s.records[key] = r
	for _, w := range s.waiters[key] {
		s.queue.After(storeLatency/2+s.Delay, func() { w.done(r, nil) })
	}
	delete(s.waiters, key)
	return r.Revision, nil
}

// expireLease removes a lease and its keys unless the lease was extended meanwhile.
func (s *Store) expireLease(id teaselstream.LeaseID) {
	l := s.leases[id]
	if l == nil || s.queue.Now().Before(l.expiresAt) {
		return
	}
	for _, k := range l.keys {
		delete(s.records, k)
	}
	delete(s.leases, id)
}

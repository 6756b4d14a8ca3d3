package kvsim

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Store holds the records and leases; its zero value is an empty store that uses the system clock.
	Store struct {
		// Now returns the current time; nil means the system clock.
		Now func() time.Time

		mu       sync.Mutex
		revision teaselstream.Revision
		records  map[string]record
		leases   map[teaselstream.LeaseID]lease
		lastID   teaselstream.LeaseID
		// changed is closed and replaced at every change of a record.
		changed chan struct{}
	}

	record struct {
		teaselstream.Record
		lease teaselstream.LeaseID
	}

	lease struct {
		ttl       time.Duration
		expiresAt time.Time
	}
)

func (s *Store) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// lock locks the store and removes expired leases and their records.
func (s *Store) lock() {
	s.mu.Lock()
	if s.records == nil {
		s.records = map[string]record{}
		s.leases = map[teaselstream.LeaseID]lease{}
		s.changed = make(chan struct{})
	}
	now := s.now()
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		for key, r := range s.records {
			if r.lease == id {
				delete(s.records, key)
				s.notify()
			}
		}
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get returns a record, whether it exists, and a channel that is closed when any record changes.
func (s *Store) Get(key string) (teaselstream.Record, bool, <-chan struct{}) {
	s.lock()
	defer s.mu.Unlock()
	r, ok := s.records[key]
	return r.Record, ok, s.changed
}

// CompareAndSwap writes a record if its revision is the expected one, and returns the new revision.
//
// The error is ErrConflict, with the key's current revision, or ErrNotFound if the lease has
// expired. All keys share one revision counter, so a key that is deleted and written again gets a
// new revision.
func (s *Store) CompareAndSwap(key string, expected teaselstream.Revision, value []byte, id teaselstream.LeaseID) (teaselstream.Revision, error) {
	s.lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, teaselstream.ErrNotFound
	}
	if r := s.records[key]; r.Revision != expected {
		return r.Revision, teaselstream.ErrConflict
	}
	s.revision++
	s.records[key] = record{
		Record: teaselstream.Record{Value: append([]byte(nil), value...), Revision: s.revision},
		lease:  id,
	}
	s.notify()
	return s.revision, nil
}

// Grant creates a lease.
func (s *Store) Grant(ttl time.Duration) teaselstream.LeaseID {
	s.lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = lease{ttl: ttl, expiresAt: s.now().Add(ttl)}
	return s.lastID
}

// KeepAlive extends a lease to its time to live from now, and returns false if it has expired.
func (s *Store) KeepAlive(id teaselstream.LeaseID) bool {
	s.lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if ok {
		l.expiresAt = s.now().Add(l.ttl)
		s.leases[id] = l
	}
	return ok
}

// Len returns the number of records.
func (s *Store) Len() int {
	s.lock()
	defer s.mu.Unlock()
	return len(s.records)
}

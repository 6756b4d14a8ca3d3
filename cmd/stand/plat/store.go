package plat

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// Store simulates the platform's key-value store; its zero value is an empty store at revision 0.
	Store struct {
		mu       sync.Mutex
		revision uint64
		items    map[string]*item
		history  []item
		leases   map[uint64]*time.Timer
		ttl      map[uint64]time.Duration
		changed  chan struct{}
		// down makes all calls fail with 503.
		down bool
		// compactedRevision is the revision up to which the history is dropped; a watch from before it gets 410.
		compactedRevision uint64
		// restored counts how often the store came back from an older copy.
		restored uint64
	}

	// Copy is the state of a store at one moment, from which it can come back.
	Copy struct {
		revision uint64
		items    map[string]*item
		history  []item
		ttl      map[uint64]time.Duration
	}

	item struct {
		Key      string
		Value    []byte `json:",omitempty"`
		Revision uint64
		Created  uint64 `json:",omitempty"`
		Lease    uint64 `json:",omitempty"`
		Deleted  bool   `json:",omitempty"`
	}

	transaction struct {
		Expected []struct {
			Key      string
			Revision uint64
		}
		Write []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
)

// Put writes a key with the JSON encoding of a value, without a lease.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		b = []byte(err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, b, 0)
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// SetDown starts or ends an outage, in which all calls fail with 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// Compact drops the history of changes up to the current revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history), ttl: make(map[uint64]time.Duration)}
	for id := range s.leases {
		c.ttl[id] = s.ttl[id]
	}
	return c
}

// Restore replaces the store by an older copy. What was written since is gone, leases too, and revisions go back to those of the copy.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.leases {
		t.Stop()
	}
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
	s.leases, s.ttl = make(map[uint64]*time.Timer), maps.Clone(c.ttl)
	for id, ttl := range c.ttl {
		s.leases[id] = time.AfterFunc(ttl, func() { s.expireLease(id) })
	}
	s.restored++
	s.notifyWatchers()
}

// firstEra is the value of Store-Era before the first restore.
const firstEra = 1

func (s *Store) era() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.FormatUint(firstEra+s.restored, 10)
}

// Keys returns the keys with a prefix in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Store) notifyWatchers() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *Store) write(key string, value []byte, lease uint64) {
	if s.items == nil {
		s.items = make(map[string]*item)
	}
	s.revision++
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	s.items[key] = &item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.history = append(s.history, *s.items[key])
	s.notifyWatchers()
}

func (s *Store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.notifyWatchers()
}

// ServeHTTP handles one call of the store's API.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	w.Header().Set("Store-Era", s.era())
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.URL.Path == "/v1/kv-key":
		s.get(w, r)
	case r.URL.Path == "/v1/kv-range":
		s.list(w, r)
	case r.URL.Path == "/v1/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/v1/kv-txn":
		s.transact(w, r)
	case r.URL.Path == "/v1/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		s.keepAlive(w, strings.TrimPrefix(r.URL.Path, "/v1/kv-keep/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		// The caller has disconnected, so the error cannot be reported.
		return
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[r.URL.Query().Get("Key")]
	if i == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

// pageSize is the number of items per page; it is small, so that tests need more than one page.
const pageSize = 5

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	keys := s.Keys(r.URL.Query().Get("Prefix"))
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Items   []item
		HasMore bool
		At      uint64
	}{At: s.revision}
	for _, k := range keys {
		if i := s.items[k]; i != nil && k > r.URL.Query().Get("After") {
			if len(page.Items) == pageSize {
				page.HasMore = true
				break
			}
			page.Items = append(page.Items, *i)
		}
	}
	reply(w, http.StatusOK, page)
}

func parseUint(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := parseUint(q.Get("After"))
	limit := time.After(time.Duration(parseUint(q.Get("WaitMs"))) * time.Millisecond)
	s.mu.Lock()
	began := s.restored
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if after < s.compactedRevision || after > s.revision || s.restored != began || s.down {
			status := http.StatusGone
			if s.down {
				status = http.StatusServiceUnavailable
			}
			s.mu.Unlock()
			w.WriteHeader(status)
			return
		}
		var events []item
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("Prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": events, "At": at}
		if len(events) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-limit:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		current := uint64(0)
		if i := s.items[e.Key]; i != nil {
			current = i.Revision
		}
		if current != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"Items": []item{}})
			return
		}
	}
	for _, x := range t.Write {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	reply(w, http.StatusOK, map[string]uint64{"Revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct{ TtlMs uint64 } //nolint:revive // The name on the wire.
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		s.leases, s.ttl = make(map[uint64]*time.Timer), make(map[uint64]time.Duration)
	}
	s.revision++
	id, ttl := s.revision, time.Duration(q.TtlMs)*time.Millisecond
	s.ttl[id] = ttl
	s.leases[id] = time.AfterFunc(ttl, func() { s.expireLease(id) })
	reply(w, http.StatusOK, map[string]uint64{"Lease": id, "TtlMs": q.TtlMs})
}

func (s *Store) expireLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

func (s *Store) keepAlive(w http.ResponseWriter, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := parseUint(text)
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id].Reset(s.ttl[id])
	reply(w, http.StatusOK, map[string]uint64{"TtlMs": uint64(s.ttl[id].Milliseconds())})
}

package kvsim

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/cmd/stand/reply"
)

const (
	// maxValueBytes is the platform's limit on the size of a value.
	maxValueBytes = 1 << 20
	// maxWait is the longest time that a watch waits.
	maxWait = time.Minute
	// leaseCheckPeriod is the period at which a pending watch checks for expired leases.
	leaseCheckPeriod = 200 * time.Millisecond
)

type (
	// Faults are the injected faults of the store.
	Faults struct {
		// Down answers 503 to every call and to pending watches.
		Down bool
		// SlowMillis is the delay in milliseconds before each call is handled.
		SlowMillis int
		// LoseAnswers is the number of writes that take effect but whose connection is closed without a response.
		LoseAnswers int
		// RefuseWrites is the number of writes whose connection is closed before they take effect.
		RefuseWrites int
		// Prefix restricts the faults to keys that start with it.
		Prefix string
		// WritesPerSecond and ReadsPerSecond are rate limits above which calls get 503; 0 means no limit.
		WritesPerSecond float64
		ReadsPerSecond  float64
	}

	// Stats holds counters of calls since the start, and the current state.
	Stats struct {
		Reads, Writes, Conflicts, Watches, Refused int64
		// Waiting is the number of pending watches.
		Waiting int64
		Records int
	}

	// Handler serves a store over HTTP.
	Handler struct {
		Store  *Store
		Faults reply.Switches[Faults]

		mux                                        http.ServeMux
		reads, writes, conflicts, watches, refused atomic.Int64
		waiting                                    atomic.Int64
		writeLimit, readLimit                      rate.Limiter
	}
)

// NewHandler returns a handler with an empty store.
func NewHandler() *Handler {
	h := &Handler{Store: &Store{}}
	h.mux.HandleFunc("GET /v1/kv/{key...}", h.get)
	h.mux.HandleFunc("PUT /v1/kv/{key...}", h.put)
	h.mux.HandleFunc("POST /v1/leases", h.grant)
	h.mux.HandleFunc("PUT /v1/leases/{id}", h.keepAlive)
	h.mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, http.StatusOK, h.Stats()) })
	h.mux.Handle("/v1/faults", &h.Faults)
	return h
}

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Stats returns the counters.
func (h *Handler) Stats() Stats {
	return Stats{
		Reads: h.reads.Load(), Writes: h.writes.Load(), Conflicts: h.conflicts.Load(), Watches: h.watches.Load(),
		Refused: h.refused.Load(), Waiting: h.waiting.Load(), Records: h.Store.Len(),
	}
}

// admit counts a call, applies the injected delay and outage and reports whether to handle the call.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, key string, count *atomic.Int64) bool {
	count.Add(1)
	f := h.Faults.Get()
	if !strings.HasPrefix(key, f.Prefix) {
		return true
	}
	limit, perSecond := &h.readLimit, f.ReadsPerSecond
	if count == &h.writes {
		limit, perSecond = &h.writeLimit, f.WritesPerSecond
	}
	limit.SetLimit(rate.Limit(perSecond))
	limit.SetBurst(max(1, int(perSecond/10)))
	if !reply.Sleep(r.Context(), time.Duration(f.SlowMillis)*time.Millisecond) {
		reply.Abort()
	}
	if f.Down || perSecond > 0 && !limit.Allow() {
		h.refused.Add(1)
		reply.Error(w, http.StatusServiceUnavailable, "the store is unavailable")
		return false
	}
	return true
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if !h.admit(w, r, key, &h.reads) {
		return
	}
	rec, ok, _ := h.Store.Get(key)
	if q := r.URL.Query(); q.Has("wait") {
		after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, err2 := time.ParseDuration(q.Get("wait"))
		if err1 != nil || err2 != nil {
			reply.Error(w, http.StatusBadRequest, "watch: accepted: ?after=REVISION&wait=DURATION")
			return
		}
		h.watches.Add(1)
		rec, ok = h.wait(r, key, teaselstream.Revision(after), min(wait, maxWait))
		if h.Faults.Get().Down {
			reply.Error(w, http.StatusServiceUnavailable, "the store is unavailable")
			return
		}
	}
	if !ok {
		reply.Error(w, http.StatusNotFound, "no record %q", key)
		return
	}
	setRevision(w, rec.Revision)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(rec.Value)
}

// wait returns the record once its revision exceeds after, or as it is after d or when the caller disconnects.
func (h *Handler) wait(r *http.Request, key string, after teaselstream.Revision, d time.Duration) (teaselstream.Record, bool) {
	h.waiting.Add(1)
	defer h.waiting.Add(-1)
	end := time.NewTimer(d)
	defer end.Stop()
	check := time.NewTicker(leaseCheckPeriod)
	defer check.Stop()
	for {
		rec, ok, changed := h.Store.Get(key)
		if rec.Revision > after || h.Faults.Get().Down {
			return rec, ok
		}
		select {
		case <-changed:
		case <-check.C:
		case <-end.C:
			return rec, ok
		case <-r.Context().Done():
			return rec, ok
		}
	}
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if !h.admit(w, r, key, &h.writes) {
		return
	}
	q := r.URL.Query()
	expected, err1 := strconv.ParseUint(q.Get("revision"), 10, 64)
	lease, err2 := parseLease(q.Get("lease"))
	if key == "" || err1 != nil || err2 != nil {
		reply.Error(w, http.StatusBadRequest, "write: accepted: /v1/kv/KEY?revision=REVISION&lease=LEASE")
		return
	}
	value, ok := reply.Body(w, r, maxValueBytes)
	if !ok {
		return
	}
	if h.consumeFault(key, func(f *Faults) *int { return &f.RefuseWrites }) {
		reply.Abort()
	}
	rev, err := h.Store.CompareAndSwap(key, teaselstream.Revision(expected), value, lease)
	if h.consumeFault(key, func(f *Faults) *int { return &f.LoseAnswers }) {
		reply.Abort()
	}
	setRevision(w, rev)
	switch {
	case errors.Is(err, teaselstream.ErrConflict):
		h.conflicts.Add(1)
		reply.Error(w, http.StatusConflict, "the revision of %q is %d, not %d", key, rev, expected)
	case err != nil:
		reply.Error(w, http.StatusConflict, "lease %d has lapsed", lease)
	default:
		reply.JSON(w, http.StatusOK, struct{ Revision teaselstream.Revision }{rev})
	}
}

// consumeFault decrements a fault's counter and reports true if the fault applies to this write.
func (h *Handler) consumeFault(key string, count func(*Faults) *int) (taken bool) {
	h.Faults.Change(func(f *Faults) {
		if n := count(f); *n > 0 && strings.HasPrefix(key, f.Prefix) {
			*n--
			taken = true
		}
	})
	return taken
}

func setRevision(w http.ResponseWriter, rev teaselstream.Revision) {
	w.Header().Set("Store-Revision", strconv.FormatUint(uint64(rev), 10))
}

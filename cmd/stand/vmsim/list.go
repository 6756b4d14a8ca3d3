package vmsim

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/cmd/stand/reply"
)

type (
	// Faults are the injected faults of the list.
	Faults struct {
		// Down answers 503 to every read.
		Down bool
		// SlowMillis is the delay in milliseconds before each read.
		SlowMillis int
		// LagMillis is the time in milliseconds after which a change becomes visible.
		LagMillis int
	}

	// Handler serves the list over HTTP.
	//
	// GET /v1/vms reads it, POST /v1/vms adds or replaces an entry, and
	// DELETE /v1/vms/{name} removes one.
	Handler struct {
		Faults reply.Switches[Faults]

		mux     http.ServeMux
		mu      sync.Mutex
		entries map[string]teaselstream.ListEntry
		pending []change
	}

	change struct {
		at    time.Time
		apply func(map[string]teaselstream.ListEntry)
	}
)

// NewHandler returns a handler with the given entries.
func NewHandler(entries ...teaselstream.ListEntry) *Handler {
	h := &Handler{entries: map[string]teaselstream.ListEntry{}}
	for _, e := range entries {
		h.entries[e.Name] = e
	}
	h.mux.HandleFunc("GET /v1/vms", h.list)
	h.mux.HandleFunc("POST /v1/vms", h.post)
	h.mux.HandleFunc("DELETE /v1/vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		h.Remove(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	h.mux.Handle("/v1/faults", &h.Faults)
	return h
}

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Put adds or replaces an entry; the change is visible after LagMillis.
func (h *Handler) Put(e teaselstream.ListEntry) {
	h.schedule(func(m map[string]teaselstream.ListEntry) { m[e.Name] = e })
}

// Remove removes an entry; the change is visible after LagMillis.
func (h *Handler) Remove(name string) {
	h.schedule(func(m map[string]teaselstream.ListEntry) { delete(m, name) })
}

func (h *Handler) schedule(f func(map[string]teaselstream.ListEntry)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, change{at: time.Now(), apply: f})
}

// Entries returns the visible entries, sorted by name.
func (h *Handler) Entries() []teaselstream.ListEntry {
	lag := time.Duration(h.Faults.Get().LagMillis) * time.Millisecond
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.pending) > 0 && time.Since(h.pending[0].at) >= lag {
		h.pending[0].apply(h.entries)
		h.pending = h.pending[1:]
	}
	return slices.SortedFunc(maps.Values(h.entries), func(a, b teaselstream.ListEntry) int {
		return strings.Compare(a.Name, b.Name)
	})
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	f := h.Faults.Get()
	if !reply.Sleep(r.Context(), time.Duration(f.SlowMillis)*time.Millisecond) {
		reply.Abort()
	}
	if f.Down {
		reply.Error(w, http.StatusServiceUnavailable, "the list is unavailable")
		return
	}
	reply.JSON(w, http.StatusOK, h.Entries())
}

func (h *Handler) post(w http.ResponseWriter, r *http.Request) {
	var e teaselstream.ListEntry
	if !reply.ReadJSON(w, r, &e) {
		return
	}
	if e.Name == "" || e.Address == "" || e.State != teaselstream.ListLive && e.State != teaselstream.ListLeaving {
		reply.Error(w, http.StatusBadRequest, "entry: accepted: Name, Address and State Live or Leaving")
		return
	}
	h.Put(e)
	reply.JSON(w, http.StatusOK, e)
}

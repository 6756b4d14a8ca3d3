package svcsim

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/cmd/stand/reply"
)

// maxOrderBytes limits the body of an order.
const maxOrderBytes = 1 << 20

type (
	// Faults are the injected faults of one replica.
	Faults struct {
		// Down closes the connection of every call without a response.
		Down bool
		// LoseAnswers is the number of calls that take effect but whose connection is closed without a response.
		LoseAnswers int
		// DropConnections is the number of calls whose connection is closed before they take effect.
		DropConnections int
		// SlowMillis is the delay in milliseconds before each call takes effect.
		SlowMillis int
		// Draining is reported in load reports.
		Draining bool
	}

	// Options configure a replica.
	Options struct {
		Name          teaselstream.ServerID
		ChecksFencing bool
		Incarnation   teaselstream.Incarnation
	}

	// Handler serves one replica.
	Handler struct {
		Faults reply.Switches[Faults]

		options Options
		store   *OrderStore
		mux     http.ServeMux
		running atomic.Int64
	}

	echo struct {
		Server teaselstream.ServerID
		Method string
		Path   string
	}
)

// NewHandler returns a replica that uses the given order store.
func NewHandler(orders *OrderStore, o Options) *Handler {
	h := &Handler{options: o, store: orders}
	h.mux.HandleFunc("POST /orders", h.call(h.order))
	h.mux.HandleFunc("GET /orders/{key}", h.call(h.status))
	h.mux.HandleFunc("/", h.call(func(w http.ResponseWriter, r *http.Request) {
		reply.JSON(w, http.StatusOK, echo{Server: o.Name, Method: r.Method, Path: r.URL.Path})
	}))
	h.mux.HandleFunc("GET /v1/load", h.load)
	h.mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, http.StatusOK, orders.Orders()) })
	h.mux.Handle("/v1/faults", &h.Faults)
	return h
}

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// call wraps a handler with the injected faults and the count of running calls.
func (h *Handler) call(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.running.Add(1)
		defer h.running.Add(-1)
		var drop, lose bool
		var slow time.Duration
		h.Faults.Change(func(x *Faults) {
			drop = x.Down || x.DropConnections > 0
			x.DropConnections = max(0, x.DropConnections-1)
			lose = !drop && x.LoseAnswers > 0
			if lose {
				x.LoseAnswers--
			}
			slow = time.Duration(x.SlowMillis) * time.Millisecond
		})
		if drop || !reply.Sleep(r.Context(), slow) {
			reply.Abort()
		}
		f(w, r)
		if lose {
			reply.Abort()
		}
	}
}

// rejectOldFencing raises the key's fencing number to that of the call; if the call's number is lower,
// it answers 409 and returns true.
func (h *Handler) rejectOldFencing(w http.ResponseWriter, r *http.Request, key string) bool {
	n, err := strconv.ParseUint(r.Header.Get("Fencing-Number"), 10, 64)
	if err != nil || !h.options.ChecksFencing || h.store.raiseFencing(key, teaselstream.Fencing(n)) {
		return false
	}
	reply.Error(w, http.StatusConflict, "fencing number %d is too old", n)
	return true
}

func (h *Handler) order(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		reply.Error(w, http.StatusBadRequest, "Idempotency-Key: the header is missing")
		return
	}
	body, ok := reply.Body(w, r, maxOrderBytes)
	if !ok || h.rejectOldFencing(w, r, key) {
		return
	}
	reply.JSON(w, http.StatusCreated, h.store.execute(key, h.options.Name, string(body)))
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if h.rejectOldFencing(w, r, key) {
		return
	}
	o, ok := h.store.Order(key)
	if !ok {
		reply.Error(w, http.StatusNotFound, "no order %q", key)
		return
	}
	reply.JSON(w, http.StatusOK, o)
}

func (h *Handler) load(w http.ResponseWriter, _ *http.Request) {
	f := h.Faults.Get()
	if f.Down {
		reply.Abort()
	}
	reply.JSON(w, http.StatusOK, struct {
		Running, Waiting int64
		Draining         bool
		Incarnation      teaselstream.Incarnation
	}{Running: h.running.Load(), Draining: f.Draining, Incarnation: h.options.Incarnation})
}

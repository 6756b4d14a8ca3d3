package engsim

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/cmd/stand/reply"
)

const (
	defaultConcurrency = 32
	defaultPrefixes    = 1024
)

// errCrashed ends the calls that run when the engine crashes.
var errCrashed = errors.New("the engine crashed")

type (
	// Options describe an engine.
	Options struct {
		Name    teaselstream.ServerID
		Model   teaselstream.ModelID
		Version string
		Layers  teaselstream.LayerRange
		// TimePerLayer is the time to run one layer for one token.
		TimePerLayer  time.Duration
		MaxConcurrent int
		// LoadLag is the age that a load report may have.
		LoadLag time.Duration
		// EventLag delays cache events, and every EventGap-th is dropped if it is not 0.
		EventLag time.Duration
		EventGap int
		// Prefixes is the number of prompt prefixes that the cache holds.
		Prefixes int
		// LayerLoadTime is the time to load one layer's weights after an order.
		LayerLoadTime time.Duration
		ChecksFencing bool
		// AnswerTokens ends each answer after this many tokens; 0 ends it at the request's MaxTokens only.
		AnswerTokens int
		// Key is checked against the bearer token of the router's calls if it is not empty.
		Key         string
		Incarnation teaselstream.Incarnation
		// Exit ends the process at a crash if it is not nil; otherwise the engine only breaks its connections.
		Exit func()
	}

	// Faults are an engine's fault switches.
	Faults struct {
		// Stall holds every step until it is switched off.
		Stall bool
		// CrashAfter crashes the engine at this step from now; 0 means never.
		CrashAfter int
		// CrashOn crashes the engine at each prompt that contains the text.
		CrashOn string
		// Slow multiplies the time of each step; 0 means 1.
		Slow float64
		// Wrong gives other tokens than the engine's own.
		Wrong bool
		// Draining is reported as load.
		Draining bool
		// RestartMillis brings a crashed engine back after this time, empty and with a new incarnation; 0 means never.
		RestartMillis int
	}

	// Engine serves one range of layers over HTTP.
	Engine struct {
		Faults reply.Switches[Faults]

		options Options
		mux     http.ServeMux
		slots   slots
		cache   cache
		client  *http.Client
		steps   atomic.Int64

		mu          sync.Mutex
		requests    map[teaselstream.RequestID]*state
		exports     map[string]export
		order       teaselstream.PlacementOrder
		layers      teaselstream.LayerRange
		incarnation teaselstream.Incarnation
		report      report
		lastExport  int
		// life ends when the engine crashes; it is nil while the engine is down.
		life  context.Context
		crash context.CancelFunc
	}
)

// New returns an engine that holds its layers.
func New(o Options) *Engine {
	if o.MaxConcurrent == 0 {
		o.MaxConcurrent = defaultConcurrency
	}
	if o.Prefixes == 0 {
		o.Prefixes = defaultPrefixes
	}
	e := &Engine{
		options: o,
		slots:   slots{free: o.MaxConcurrent},
		cache:   cache{limit: o.Prefixes, lag: o.EventLag, gap: o.EventGap},
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		order: teaselstream.PlacementOrder{
			Model: o.Model, Version: o.Version, From: o.Layers.From, To: o.Layers.To,
		},
		layers:      o.Layers,
		incarnation: max(o.Incarnation, 1),
	}
	e.start()
	e.mux.HandleFunc("POST /v1/streams", e.guarded(e.stream))
	e.mux.HandleFunc("DELETE /v1/streams/{request}", e.guarded(e.cancel))
	e.mux.HandleFunc("POST /v1/steps", e.alive(e.step))
	e.mux.HandleFunc("GET /v1/load", e.guarded(e.load))
	e.mux.HandleFunc("GET /v1/events", e.guarded(e.events))
	e.mux.HandleFunc("POST /v1/kv/export", e.guarded(e.export))
	e.mux.HandleFunc("POST /v1/kv/import", e.guarded(e.importCache))
	e.mux.HandleFunc("GET /v1/kv/exports/{id}", e.alive(e.readExport))
	e.mux.HandleFunc("POST /v1/orders", e.guarded(e.postOrder))
	e.mux.HandleFunc("GET /v1/orders", e.guarded(e.getOrder))
	e.mux.Handle("/v1/faults", &e.Faults)
	return e
}

// ServeHTTP serves one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Steps returns the number of steps that the engine has run.
func (e *Engine) Steps() int64 { return e.steps.Load() }

func (e *Engine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = map[teaselstream.RequestID]*state{}
	e.exports = map[string]export{}
	e.life, e.crash = context.WithCancel(context.Background())
}

// Crash breaks all connections and loses all state until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.life == nil {
		e.mu.Unlock()
		return
	}
	e.life = nil
	e.crash()
	e.mu.Unlock()
	if e.options.Exit != nil {
		e.options.Exit()
	}
	if d := e.Faults.Get().RestartMillis; d > 0 {
		time.AfterFunc(time.Duration(d)*time.Millisecond, e.Restart)
	}
}

// Restart brings a crashed engine back with a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	if e.life != nil {
		e.mu.Unlock()
		return
	}
	e.incarnation++
	e.mu.Unlock()
	e.cache.clear()
	e.start()
}

// alive breaks the connection of calls while the engine is down, and of running calls when it crashes.
func (e *Engine) alive(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		life := e.life
		e.mu.Unlock()
		if life == nil {
			reply.Abort()
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(life, func() { cancel(errCrashed) })()
		f(w, r.WithContext(ctx))
		breakIfCrashed(ctx)
	}
}

// breakIfCrashed breaks the connection of a call during which the engine crashed, so that it gets no answer.
func breakIfCrashed(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errCrashed) {
		reply.Abort()
	}
}

// guarded also checks the router's key.
func (e *Engine) guarded(f http.HandlerFunc) http.HandlerFunc {
	return e.alive(func(w http.ResponseWriter, r *http.Request) {
		if e.options.Key != "" && r.Header.Get("Authorization") != "Bearer "+e.options.Key {
			reply.Error(w, http.StatusUnauthorized, "the key is missing or wrong")
			return
		}
		f(w, r)
	})
}

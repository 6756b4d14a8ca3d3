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

// errCrashed is the cause with which a crash cancels the calls in progress.
var errCrashed = errors.New("the engine crashed")

type (
	// Options configure an engine.
	Options struct {
		Name    teaselstream.ServerID
		Model   teaselstream.ModelID
		Version string
		Layers  teaselstream.LayerRange
		// TimePerLayer is the time to compute one layer for one token.
		TimePerLayer  time.Duration
		MaxConcurrent int
		// LoadLag is the age at which a load report is replaced by a new one.
		LoadLag time.Duration
		// EventLag delays cache events; if EventGap is not 0, one event in EventGap is dropped.
		EventLag time.Duration
		EventGap int
		// Prefixes is the number of prompt prefixes that the cache holds.
		Prefixes int
		// LayerLoadTime is the time to load one layer's weights after an order.
		LayerLoadTime time.Duration
		ChecksFencing bool
		// AnswerTokens ends each answer after this many tokens; 0 ends it at the request's MaxTokens only.
		AnswerTokens int
		// Key is the bearer token that the router's calls must carry; an empty one turns the check off.
		Key         string
		Incarnation teaselstream.Incarnation
		// Exit is called at a crash to end the process; if it is nil, the engine only breaks its connections.
		Exit func()
	}

	// Faults are the injected faults of an engine.
	Faults struct {
		// Stall blocks every step while it is set.
		Stall bool
		// CrashAfter crashes the engine at the n-th step from now; 0 means never.
		CrashAfter int
		// CrashOn crashes the engine at each step whose prompt contains the text; an empty text means never.
		CrashOn string
		// Slow is a factor on the time of each step; 0 means 1.
		Slow float64
		// Wrong makes the engine generate wrong tokens.
		Wrong bool
		// Draining is reported in load reports.
		Draining bool
		// RestartMillis restarts a crashed engine after this time, without state and with a new incarnation; 0 means never.
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
		loadReport  loadReport
		lastExport  int
		// lifetime is canceled when the engine crashes; it is nil while the engine is down.
		lifetime context.Context
		crash    context.CancelFunc
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
		cache:   cache{limit: o.Prefixes, lag: o.EventLag, dropEvery: o.EventGap},
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		order: teaselstream.PlacementOrder{
			Model: o.Model, Version: o.Version, From: o.Layers.From, To: o.Layers.To,
		},
		layers:      o.Layers,
		incarnation: max(o.Incarnation, 1),
	}
	e.start()
	e.mux.HandleFunc("POST /v1/streams", e.authenticated(e.stream))
	e.mux.HandleFunc("DELETE /v1/streams/{request}", e.authenticated(e.cancel))
	e.mux.HandleFunc("POST /v1/steps", e.whileRunning(e.step))
	e.mux.HandleFunc("GET /v1/load", e.authenticated(e.load))
	e.mux.HandleFunc("GET /v1/events", e.authenticated(e.events))
	e.mux.HandleFunc("POST /v1/kv/export", e.authenticated(e.export))
	e.mux.HandleFunc("POST /v1/kv/import", e.authenticated(e.importCache))
	e.mux.HandleFunc("GET /v1/kv/exports/{id}", e.whileRunning(e.readExport))
	e.mux.HandleFunc("POST /v1/orders", e.authenticated(e.postOrder))
	e.mux.HandleFunc("GET /v1/orders", e.authenticated(e.getOrder))
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
	e.lifetime, e.crash = context.WithCancel(context.Background())
}

// Crash breaks all connections and drops all state; calls fail until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.lifetime == nil {
		e.mu.Unlock()
		return
	}
	e.lifetime = nil
	e.crash()
	e.mu.Unlock()
	if e.options.Exit != nil {
		e.options.Exit()
	}
	if d := e.Faults.Get().RestartMillis; d > 0 {
		time.AfterFunc(time.Duration(d)*time.Millisecond, e.Restart)
	}
}

// Restart starts a crashed engine again, without state and with a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	if e.lifetime != nil {
		e.mu.Unlock()
		return
	}
	e.incarnation++
	e.mu.Unlock()
	e.cache.clear()
	e.start()
}

// whileRunning breaks the connection of calls that arrive while the engine is down, and of calls in progress when it crashes.
func (e *Engine) whileRunning(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		lifetime := e.lifetime
		e.mu.Unlock()
		if lifetime == nil {
			reply.Abort()
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(lifetime, func() { cancel(errCrashed) })()
		f(w, r.WithContext(ctx))
		breakIfCrashed(ctx)
	}
}

// breakIfCrashed breaks the connection of a call during which the engine crashed, so that the caller gets no response.
func breakIfCrashed(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errCrashed) {
		reply.Abort()
	}
}

// authenticated adds the check of the router's key to whileRunning.
func (e *Engine) authenticated(f http.HandlerFunc) http.HandlerFunc {
	return e.whileRunning(func(w http.ResponseWriter, r *http.Request) {
		if e.options.Key != "" && r.Header.Get("Authorization") != "Bearer "+e.options.Key {
			reply.Error(w, http.StatusUnauthorized, "the key is missing or wrong")
			return
		}
		f(w, r)
	})
}

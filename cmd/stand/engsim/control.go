package engsim

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/cmd/stand/reply"
)

const (
	// runningWindow is the time after its last step for which a request counts as running.
	runningWindow = time.Second
	// maxExports is the number of exports kept; older ones are dropped, as a real engine has to free their memory.
	maxExports = 1024
)

type (
	// loadReport is a load report and the step counter at its time.
	loadReport struct {
		at    time.Time
		steps int64
		load  loadBody
	}

	loadBody struct {
		Running         int
		Waiting         int
		TokensPerSecond float64
		CacheFree       float64
		Draining        bool
		Incarnation     teaselstream.Incarnation
	}

	// export describes a copy of a request's KV cache.
	export struct {
		Request teaselstream.RequestID
		Tokens  int
		Index   teaselstream.TokenIndex
		Layers  teaselstream.LayerRange
	}

	exportAnswer struct {
		// Name is "ADDRESS/NUMBER": the address of the exporting engine and the number of the export.
		Name string
		// Tokens is the number of answer tokens that the KV cache covers.
		Tokens teaselstream.TokenIndex
	}

	importBody struct {
		Request teaselstream.RequestID
		Attempt teaselstream.Attempt
		Name    string
	}
)

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	draining := e.Faults.Get().Draining
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if age := now.Sub(e.loadReport.at); age >= e.options.LoadLag {
		steps := e.steps.Load()
		l := loadBody{Waiting: e.slots.queued(), CacheFree: e.cache.freeShare(), Incarnation: e.incarnation}
		if !e.loadReport.at.IsZero() && age > 0 {
			l.TokensPerSecond = float64(steps-e.loadReport.steps) / age.Seconds()
		}
		for _, s := range e.requests {
			if !s.finished && !s.canceled && now.Sub(s.lastUsed) < runningWindow {
				l.Running++
			}
		}
		e.loadReport = loadReport{at: now, steps: steps, load: l}
	}
	l := e.loadReport.load
	l.Draining, l.Incarnation = draining, e.incarnation
	reply.JSON(w, http.StatusOK, l)
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		reply.Error(w, http.StatusBadRequest, "events: accepted: ?after=SEQUENCE")
		return
	}
	reply.JSON(w, http.StatusOK, e.cache.after(teaselstream.Sequence(after)))
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var q struct{ Request teaselstream.RequestID }
	if !reply.ReadJSON(w, r, &q) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.requests[q.Request]
	if s == nil || s.tokens == 0 {
		reply.Error(w, http.StatusNotFound, "no KV cache of request %s", q.Request)
		return
	}
	e.lastExport++
	id := strconv.Itoa(e.lastExport)
	delete(e.exports, strconv.Itoa(e.lastExport-maxExports))
	e.exports[id] = export{Request: q.Request, Tokens: s.tokens, Index: s.index, Layers: e.layers}
	reply.JSON(w, http.StatusOK, exportAnswer{Name: r.Host + "/" + id, Tokens: s.index})
}

func (e *Engine) readExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.exports[r.PathValue("id")]
	if !ok {
		reply.Error(w, http.StatusNotFound, "no export %q", r.PathValue("id"))
		return
	}
	reply.JSON(w, http.StatusOK, x)
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var q importBody
	if !reply.ReadJSON(w, r, &q) {
		return
	}
	st := e.beginAttempt(q.Request, q.Attempt)
	if st == nil {
		// The attempt may also be canceled.
		reply.Error(w, http.StatusConflict, "a newer attempt of request %s has been seen", q.Request)
		return
	}
	e.mu.Lock()
	hop := teaselstream.Hop{From: e.layers.From, To: e.layers.To}
	e.mu.Unlock()
	if !e.fetchExport(r.Context(), st, q.Name, hop) {
		reply.Error(w, http.StatusNotFound, "no export %q of layers %d-%d", q.Name, hop.From, hop.To)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply.JSON(w, http.StatusOK, exportAnswer{Name: q.Name, Tokens: st.index})
}

// fetchExport imports an export from another engine if it covers the hop's layers, and returns false otherwise;
// the engine then recomputes the KV cache.
func (e *Engine) fetchExport(ctx context.Context, st *state, name string, hop teaselstream.Hop) bool {
	host, id, ok := strings.Cut(name, "/")
	if !ok {
		return false
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/v1/kv/exports/"+id, nil)
	if err != nil {
		return false
	}
	resp, err := e.client.Do(q)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var x export
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&x) != nil {
		return false
	}
	if x.Layers.From > hop.From || x.Layers.To < hop.To {
		return false
	}
	e.update(st, func(s *state) { s.tokens, s.index = x.Tokens, x.Index })
	return true
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o teaselstream.PlacementOrder
	if !reply.ReadJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && o.Fencing < e.order.Fencing {
		reply.Error(w, http.StatusConflict, "fencing number %d is too old; the newest is %d", o.Fencing, e.order.Fencing)
		return
	}
	held := e.layers
	if o.Model != e.order.Model || o.Version != e.order.Version {
		held = teaselstream.LayerRange{}
	}
	e.order = o
	want := teaselstream.LayerRange{From: o.From, To: o.To}
	keep := teaselstream.LayerRange{From: max(held.From, want.From), To: min(held.To, want.To)}
	if keep.To < keep.From {
		keep = teaselstream.LayerRange{}
	}
	e.layers = keep
	missing := want.Len() - keep.Len()
	time.AfterFunc(time.Duration(missing)*e.options.LayerLoadTime, func() { e.completeOrder(o) })
	reply.JSON(w, http.StatusAccepted, o)
}

// completeOrder makes an order's layers available unless a different order has replaced it.
func (e *Engine) completeOrder(o teaselstream.PlacementOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.order == o {
		e.layers = teaselstream.LayerRange{From: o.From, To: o.To}
	}
}

func (e *Engine) getOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply.JSON(w, http.StatusOK, e.order)
}

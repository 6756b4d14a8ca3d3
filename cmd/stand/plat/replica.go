package plat

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// eventPause is the time between two events of a stream.
	eventPause = 15 * time.Millisecond
	// stallTime is how long a request waits for a part that does not answer.
	stallTime = 3 * time.Second
	// loadTime is the time to load a range of layers.
	loadTime = 100 * time.Millisecond
	// callTime is the time of a plain call.
	callTime = 5 * time.Millisecond
)

type (
	// Fleet is a set of replicas that know each other; its zero value is empty.
	Fleet struct {
		Store *Store
		// ModelService names the model service, Plain the plain one, and Layers the model's size.
		ModelService string
		PlainService string
		Layers       int
		// ListAddress returns the address that a replica is listed at, such as that of a forwarder; nil means its own.
		ListAddress func(id, address string) (string, error)

		mu       sync.Mutex
		replicas map[string]*Replica
		ran      map[string]int
		faults   []string
	}

	// Replica is one backend server at an address of its own.
	Replica struct {
		fleet    *Fleet
		id       string
		kind     string
		zone     string
		address  string
		listener net.Listener
		server   *http.Server

		mu       sync.Mutex
		born     int64
		from, to int
		orders   uint64
		busy     bool
		silent   bool
		draining bool
		// killed replicas do not write to the store any more.
		killed  bool
		running map[string]*stream
	}

	stream struct {
		path    string
		stalled string
	}
)

// Add starts a replica of the model service, or of the plain one if kind is empty, and lists it.
func (f *Fleet) Add(id, zone, kind string) (*Replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	address := l.Addr().String()
	if f.ListAddress != nil {
		if address, err = f.ListAddress(id, address); err != nil {
			return nil, errors.Join(fmt.Errorf("list replica %s: %w", id, err), l.Close())
		}
	}
	r := &Replica{fleet: f, id: id, kind: kind, zone: zone, address: address, listener: l, born: time.Now().UnixMilli(), running: make(map[string]*stream)}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: stallTime}
	f.mu.Lock()
	if f.replicas == nil {
		f.replicas, f.ran = make(map[string]*Replica), make(map[string]int)
	}
	f.replicas[r.address] = r
	f.mu.Unlock()
	go func() {
		if err := r.server.Serve(l); err != nil && err != http.ErrServerClosed {
			f.fault("replica %s: %v", id, err)
		}
	}()
	r.list()
	return r, nil
}

// Ran returns how often requests with an attempt id began to run.
func (f *Fleet) Ran(attempt string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[attempt]
}

// CallerErrors returns what callers of the replicas did wrong.
func (f *Fleet) CallerErrors() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.faults...)
}

func (f *Fleet) fault(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// Close stops all replicas.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		if err := r.server.Close(); err != nil {
			f.faults = append(f.faults, err.Error())
		}
	}
}

// Address returns the replica's "IP:port".
func (r *Replica) Address() string { return r.address }

// HeldLayers returns the layers that the replica holds.
func (r *Replica) HeldLayers() (from, to int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.from, r.to
}

// SetUnresponsive switches whether the replica answers nobody; its entry stays listed, as it does for some seconds.
func (r *Replica) SetUnresponsive(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}

// Kill ends the replica as a crash does; its entry stays until Remove.
func (r *Replica) Kill() error {
	r.fleet.mu.Lock()
	delete(r.fleet.replicas, r.address)
	r.fleet.mu.Unlock()
	r.mu.Lock()
	r.killed = true
	r.mu.Unlock()
	if err := r.server.Close(); err != nil {
		return fmt.Errorf("kill replica %s: %w", r.id, err)
	}
	return nil
}

// Remove deletes the replica's entry.
func (r *Replica) Remove() { r.fleet.Store.Remove("servers/" + r.id) }

// Drain lists the replica as leaving.
func (r *Replica) Drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.list()
}

// list writes the replica's entry.
func (r *Replica) list() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.killed {
		return
	}
	e := map[string]any{
		"Service": r.fleet.PlainService, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": 64, "State": "ready",
		"ColdLeftMs": 0, "Sequence": r.orders, "born": r.born,
	}
	if r.draining {
		e["State"] = "draining"
	}
	if r.kind != "" {
		e["Service"], e["RouteKind"], e["Layers"] = r.fleet.ModelService, r.kind, r.layers()
	}
	r.fleet.Store.Put("servers/"+r.id, e)
}

func (r *Replica) layers() any {
	if r.to <= r.from {
		return nil
	}
	return map[string]int{"Source": r.from, "To": r.to, "Version": 1}
}

func (r *Replica) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

// ServeHTTP answers requests, orders and reports.
func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if r.isSilent() {
		<-q.Context().Done()
		return
	}
	if expected := q.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/v1/report":
		r.report(w)
	case q.URL.Path == "/v1/order":
		r.order(w, q)
	case r.kind == "":
		r.call(w, q)
	default:
		r.stream(w, q)
	}
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stalled := []map[string]string{}
	for id, s := range r.running {
		if s.stalled != "" {
			stalled = append(stalled, map[string]string{"Id": id, "Address": s.stalled})
		}
	}
	reply(w, http.StatusOK, map[string]any{
		"Layers": r.layers(), "Busy": r.busy, "Sequence": r.orders, "Running": len(r.running), "Waiting": 0, "KvInUse": len(r.running),
		"KvCapacityTotal": 1000, "pace": 1, "born": r.born, "Stalled": stalled,
	})
}

func (r *Replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation string
		Source    int
		To        int
		Expected  *uint64
		Id        string //nolint:revive // The name on the wire.
		Path      string
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Operation == "repath" {
		s := r.running[o.Id]
		if s == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.path, s.stalled = o.Path, ""
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if o.Expected != nil && *o.Expected != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders++
	r.busy = true
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		r.from, r.to, r.busy = o.Source, o.To, false
		r.mu.Unlock()
		r.list()
	})
	w.WriteHeader(http.StatusAccepted)
}

func (r *Replica) begin(q *http.Request) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.fleet.ran[q.Header.Get("X-Attempt-Id")]++
}

func (r *Replica) call(w http.ResponseWriter, q *http.Request) {
	r.begin(q)
	time.Sleep(callTime)
	if q.URL.Query().Get("lose") != "" {
		// The call ran, and its answer is lost with the connection.
		panic(http.ErrAbortHandler)
	}
	r.stamp(w, q)
	if _, err := fmt.Fprintf(w, "%s %s by team %s", q.Method, q.URL.Path, q.Header.Get("X-Tenant-Name")); err != nil {
		return
	}
}

func (r *Replica) stamp(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Attempt-Id", q.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Replica-Stamp", "stamp-"+r.id)
	w.Header().Set("X-Replica-Load", "1,0,64")
}

// fault returns the part of a path that stops the request, "" if there is none, and whether it is misplaced.
func (r *Replica) pathFault(path string) (address string, misplaced bool) {
	at := 0
	for hop := range strings.SplitSeq(path, ",") {
		where, layers, _ := strings.Cut(hop, "=")
		var from, to int
		if n, err := fmt.Sscanf(layers, "%d-%d", &from, &to); n != 2 || err != nil || from != at {
			r.fleet.fault("path %q does not run every layer once and in order", path)
			return where, true
		}
		at = to
		r.fleet.mu.Lock()
		part := r.fleet.replicas[where]
		r.fleet.mu.Unlock()
		if part == nil || part.isSilent() {
			return where, false
		}
		if a, b := part.HeldLayers(); from < a || to > b {
			return where, true
		}
	}
	if at != r.fleet.Layers {
		r.fleet.fault("path %q does not run every layer once and in order", path)
	}
	return "", false
}

// stream answers with numbered events; the query's n says how many.
func (r *Replica) stream(w http.ResponseWriter, q *http.Request) {
	path, id := q.Header.Get("X-Hop-Count"), q.Header.Get("X-Attempt-Id")
	if fault, misplaced := r.pathFault(path); fault != "" && misplaced {
		w.Header().Set("At-Server", fault)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.begin(q)
	s := &stream{path: path}
	r.mu.Lock()
	r.running[id] = s
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.running, id)
		r.mu.Unlock()
	}()
	r.stamp(w, q)
	w.Header().Set("Content-Type", "text/event-stream")
	after, err := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	for n := after + 1; n <= int(number(q.URL.Query().Get("n"))); n++ {
		if !r.step(q, s) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
}

// step makes one event; it waits while a part does not answer, and gives up after the stall time.
func (r *Replica) step(q *http.Request, s *stream) bool {
	for limit := time.Now().Add(stallTime); time.Now().Before(limit); {
		time.Sleep(eventPause)
		r.mu.Lock()
		path, silent := s.path, r.silent
		r.mu.Unlock()
		if q.Context().Err() != nil {
			return false
		}
		if silent {
			continue
		}
		fault, _ := r.pathFault(path)
		if fault == "" {
			return true
		}
		r.mu.Lock()
		s.stalled = fault
		r.mu.Unlock()
	}
	return false
}

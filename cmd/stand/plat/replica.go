package plat

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// eventPeriod is the time between two events of a stream.
	eventPeriod = 15 * time.Millisecond
	// stallTimeout is the time that a stream waits for a replica on its path that does not respond.
	stallTimeout = 3 * time.Second
	// loadTime is the time that a replica takes to load a range of layers.
	loadTime = 100 * time.Millisecond
	// callDuration is the time that a call of the plain service takes, besides the milliseconds that its query names.
	callDuration = 5 * time.Millisecond
)

type (
	// Fleet is a set of replicas that can look each other up by address; its zero value is empty.
	Fleet struct {
		Store *Store
		// ModelService and PlainService are the names of the services, and Layers is the number of layers of the model.
		ModelService string
		PlainService string
		Layers       int
		// ListAddress returns the address to list a replica at, for example that of a proxy; nil means the replica's own.
		ListAddress func(id, address string) (string, error)
		// Crashes reports whether a request crashes the replica that begins to answer it; nil means never. It must be set before
		// the first request.
		Crashes func(*http.Request) bool

		mu           sync.Mutex
		replicas     map[string]*Replica
		executions   map[string]int
		ranOn        map[string]map[string]bool
		callerErrors []string
		crashes      crashLog
		closed       bool
	}

	// Replica is one backend server with its own listener.
	Replica struct {
		fleet    *Fleet
		id       string
		kind     string
		zone     string
		address  string
		listener net.Listener
		server   *http.Server
		pause    pause

		mu            sync.Mutex
		incarnation   int64
		from, to      int
		appliedOrders uint64
		heartbeats    uint64
		busy          bool
		unresponsive  bool
		// draining replicas say so in their answers, and in their entry unless silent is set.
		draining bool
		silent   bool
		// killed replicas no longer write to the store.
		killed  bool
		running map[string]*stream
		// limit is the number of requests a second that the replica names in its answers; 0 means none.
		limit float64
		// slots bounds the streams that the replica runs as the first of their path; 0 means no bound.
		slots int
		// arrived holds when requests arrived at the replica as the first of their path and were not refused for wrong layers.
		arrived []time.Time
		reached []Arrival
		// turnsAway is the Retry-After with which the replica turns all requests away until turnsAwayUntil; turnedAway holds these
		// answers.
		turnsAway      time.Duration
		turnsAwayUntil time.Time
		turnedAway     []Refusal
	}

	stream struct {
		path    string
		stalled string
	}
)

// Add starts a replica and lists it. It serves the model service on accelerators of the kind, or the plain service if kind is empty.
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
	r := &Replica{fleet: f, id: id, kind: kind, zone: zone, address: address, listener: l, incarnation: time.Now().UnixMilli(), running: make(map[string]*stream)}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: stallTimeout}
	f.mu.Lock()
	if f.replicas == nil {
		f.replicas, f.executions = make(map[string]*Replica), make(map[string]int)
		f.ranOn = make(map[string]map[string]bool)
	}
	f.replicas[r.address] = r
	f.mu.Unlock()
	go func() {
		if err := r.server.Serve(pausedListener{l, &r.pause}); err != nil && !errors.Is(err, http.ErrServerClosed) {
			f.recordError("replica %s: %v", id, err)
		}
	}()
	r.writeEntry()
	return r, nil
}

// Ran returns the number of requests with an attempt id that a replica began to execute.
func (f *Fleet) Ran(attempt string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executions[attempt]
}

// RanOn returns, by attempt id, the number of different replicas that began to execute each request as the first of its path.
func (f *Fleet) RanOn() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int, len(f.ranOn))
	for id, replicas := range f.ranOn {
		counts[id] = len(replicas)
	}
	return counts
}

// CallerErrors returns the protocol errors of callers, and errors of the replicas' HTTP servers.
func (f *Fleet) CallerErrors() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.callerErrors...)
}

func (f *Fleet) recordError(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callerErrors = append(f.callerErrors, fmt.Sprintf(format, args...))
}

// Close stops all replicas.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, r := range f.replicas {
		if err := r.server.Close(); err != nil {
			f.callerErrors = append(f.callerErrors, err.Error())
		}
	}
}

// ID returns the replica's id.
func (r *Replica) ID() string { return r.id }

// Replicas returns the replicas that run, sorted by id.
func (f *Fleet) Replicas() []*Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*Replica
	for _, r := range f.replicas {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Replica) int { return strings.Compare(a.id, b.id) })
	return all
}

// Address returns the "IP:port" at which the replica is listed.
func (r *Replica) Address() string { return r.address }

// HeldLayers returns the range of layers that the replica holds, excluding to.
func (r *Replica) HeldLayers() (from, to int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.from, r.to
}

// SetUnresponsive makes the replica stop or resume answering; its entry stays listed, as that of a
// failed replica does for some seconds.
func (r *Replica) SetUnresponsive(unresponsive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive = unresponsive
}

// Kill stops the replica as a crash does, without a drain; its entry stays listed until Remove.
func (r *Replica) Kill() error {
	r.fleet.mu.Lock()
	delete(r.fleet.replicas, r.address)
	r.fleet.mu.Unlock()
	r.mu.Lock()
	r.killed = true
	r.mu.Unlock()
	r.Pause(0)
	if err := r.server.Close(); err != nil {
		return fmt.Errorf("kill replica %s: %w", r.id, err)
	}
	return nil
}

// Remove deletes the replica's entry from the store.
func (r *Replica) Remove() { r.fleet.Store.Remove("servers/" + r.id) }

// writeEntry writes the replica's entry to the store unless the replica was killed.
func (r *Replica) writeEntry() {
	r.pause.wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.killed {
		return
	}
	r.heartbeats++
	e := map[string]any{
		"Service": r.fleet.PlainService, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": 64, "State": "ready",
		"ColdLeftMs": 0, "Sequence": r.heartbeats, "born": r.incarnation,
	}
	if r.draining && !r.silent {
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

func (r *Replica) isUnresponsive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unresponsive || r.pause.active()
}

// ServeHTTP handles requests, placement orders and load reports.
func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.pause.wait()
	if r.isUnresponsive() {
		<-q.Context().Done()
		return
	}
	if id := q.Header.Get("X-Attempt-Id"); id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	r.recordReached(q)
	r.announceLeaving(w)
	if expected := q.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.fleet.recordArrival(q)
	if r.turnAway(w, q) {
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
	stalled := []map[string]string{}
	for id, s := range r.running {
		if s.stalled != "" {
			stalled = append(stalled, map[string]string{"Id": id, "Address": s.stalled})
		}
	}
	body := map[string]any{
		"Layers": r.layers(), "Busy": r.busy, "Sequence": r.appliedOrders, "Running": len(r.running), "Waiting": 0, "KvInUse": len(r.running),
		"KvCapacityTotal": 1000, "pace": 1, "born": r.incarnation, "Stalled": stalled,
	}
	r.mu.Unlock()
	// A pause may hold the reply, and must not hold the lock with it: other replicas take it for the steps of their streams.
	reply(w, http.StatusOK, body)
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
	if o.Operation == "repath" {
		r.repath(w, o.Id, o.Path)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Expected != nil && *o.Expected != r.appliedOrders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.appliedOrders++
	r.busy = true
	time.AfterFunc(loadTime, func() {
		r.pause.wait()
		r.mu.Lock()
		r.from, r.to, r.busy = o.Source, o.To, false
		r.mu.Unlock()
		r.writeEntry()
	})
	w.WriteHeader(http.StatusAccepted)
}

// repath moves a running stream to another path, unless a new part of it does not hold its layers.
func (r *Replica) repath(w http.ResponseWriter, id, path string) {
	r.mu.Lock()
	s, old := r.running[id], ""
	if s != nil {
		old = s.path
	}
	r.mu.Unlock()
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if blocked, misplaced := r.blockedHop(path, old); misplaced {
		reply(w, http.StatusConflict, map[string]string{"Address": blocked})
		return
	}
	r.mu.Lock()
	s.path, s.stalled = path, ""
	r.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
}

func (r *Replica) recordStart(q *http.Request) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	id := q.Header.Get("X-Attempt-Id")
	r.fleet.executions[id]++
	if id != "" && r.fleet.ranOn[id] == nil {
		r.fleet.ranOn[id] = make(map[string]bool)
	}
	if id != "" {
		r.fleet.ranOn[id][r.id] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived = append(r.arrived, time.Now())
}

// SetLimit makes the replica name a limit of requests a second in its answers, or none if it is 0.
func (r *Replica) SetLimit(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = perSecond
}

// SetSlots bounds the streams that the replica runs as the first of their path; it refuses more of them. 0 means no bound.
func (r *Replica) SetSlots(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots = n
}

// Arrivals returns when requests arrived at the replica as the first of their path.
func (r *Replica) Arrivals() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.arrived...)
}

func (r *Replica) call(w http.ResponseWriter, q *http.Request) {
	r.recordStart(q)
	select {
	case <-time.After(callDuration + time.Duration(parseUint(q.URL.Query().Get("ms")))*time.Millisecond):
	case <-q.Context().Done():
		return
	}
	r.pause.wait()
	r.crashIfHarmful(q)
	if q.URL.Query().Get("lose") != "" {
		// The call has been executed, and the response is lost with the connection.
		panic(http.ErrAbortHandler)
	}
	r.setReplicaHeaders(w, q)
	if _, err := fmt.Fprintf(w, "%s %s by team %s", q.Method, q.URL.Path, q.Header.Get("X-Tenant-Name")); err != nil {
		return
	}
}

func (r *Replica) setReplicaHeaders(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Attempt-Id", q.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Replica-Stamp", "stamp-"+r.id)
	w.Header().Set("X-Replica-Load", "1,0,64")
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(r.limit, 'f', 2, 64))
	}
}

// blockedHop returns the address of the first hop of a path that cannot run the request, or "" if there is none.
// The hop is misplaced if it does not hold its layers or does not continue the path; otherwise it does not
// respond or does not exist. Hops of the path admitted may have given up their layers since: they wait for what passes through them.
func (r *Replica) blockedHop(path, admitted string) (address string, misplaced bool) {
	at := 0
	for hop := range strings.SplitSeq(path, ",") {
		where, layers, _ := strings.Cut(hop, "=")
		var from, to int
		if n, err := fmt.Sscanf(layers, "%d-%d", &from, &to); n != 2 || err != nil || from != at {
			r.fleet.recordError("path %q does not run every layer once and in order", path)
			return where, true
		}
		at = to
		r.fleet.mu.Lock()
		replica := r.fleet.replicas[where]
		r.fleet.mu.Unlock()
		if replica == nil || replica.isUnresponsive() {
			return where, false
		}
		if a, b := replica.HeldLayers(); (from < a || to > b) && !slices.Contains(strings.Split(admitted, ","), hop) {
			return where, true
		}
	}
	if at != r.fleet.Layers {
		r.fleet.recordError("path %q does not run every layer once and in order", path)
	}
	return "", false
}

// stream answers with numbered events up to the query's n, after the Last-Event-Id header.
func (r *Replica) stream(w http.ResponseWriter, q *http.Request) {
	path, id := q.Header.Get("X-Hop-Count"), q.Header.Get("X-Attempt-Id")
	if path == "" {
		r.fleet.recordError("%s got %s %s without a path from %s, attempt %q, host %q", r.id, q.Method, q.RequestURI, q.RemoteAddr, id, q.Host)
	}
	if blocked, misplaced := r.blockedHop(path, ""); blocked != "" && misplaced {
		w.Header().Set("At-Server", blocked)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s := &stream{path: path}
	r.mu.Lock()
	full := r.slots > 0 && len(r.running) >= r.slots
	if !full {
		r.running[id] = s
	}
	r.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Executed", "busy")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.recordStart(q)
	defer func() {
		r.mu.Lock()
		delete(r.running, id)
		r.mu.Unlock()
	}()
	r.setReplicaHeaders(w, q)
	w.Header().Set("Content-Type", "text/event-stream")
	if r.fleet.harmful(q) {
		w.WriteHeader(http.StatusOK)
		flush(w)
		r.step(q, s)
		r.crashIfHarmful(q)
	}
	after, err := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	for n := after + 1; n <= int(parseUint(q.URL.Query().Get("n"))); n++ {
		if !r.step(q, s) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		flush(w)
	}
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// step waits for the time of one event and while a hop of the path is blocked; it returns false after stallTimeout.
func (r *Replica) step(q *http.Request, s *stream) bool {
	for limit := time.Now().Add(stallTimeout); time.Now().Before(limit); {
		time.Sleep(eventPeriod)
		unresponsive := r.isUnresponsive()
		r.mu.Lock()
		path := s.path
		r.mu.Unlock()
		if q.Context().Err() != nil {
			return false
		}
		if unresponsive {
			continue
		}
		blocked, _ := r.blockedHop(path, path)
		if blocked == "" {
			return true
		}
		r.mu.Lock()
		s.stalled = blocked
		r.mu.Unlock()
	}
	return false
}

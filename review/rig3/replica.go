//go:build review

package main

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// expiry is the time without a heartbeat after which the platform removes an entry: three ping intervals.
	expiry   = 3 * heartbeat
	loadTime = 300 * time.Millisecond
	// callTime is the time of a call of the plain service.
	callTime = 15 * time.Millisecond
	// layers is the number of layers of the model; every replica has room for all of them.
	layers    = 4
	slots     = 192
	eventGap  = 30 * time.Millisecond
	firstWait = 40 * time.Millisecond
)

type (
	// replica is a replica of a model, or of the plain service, as PROTOCOL.md describes it.
	replica struct {
		world   *world
		id      string
		service string
		// address stays the same when the replica starts again under its id.
		address string

		mu       sync.Mutex
		born     int64
		sequence uint64
		orders   uint64
		from, to int
		busy     bool
		leaving  bool
		// limit is the Server-Limit that the replica names in its answers; a negative one is not named.
		limit   float64
		up      bool
		running int
		conns   map[net.Conn]bool
		server  *http.Server
		// ended is closed when this lifetime ends.
		ended chan struct{}
		// ackAt is when the store accepted that the replica is draining.
		ackAt time.Time
	}

	// arrival is a client's request that reached a replica.
	arrival struct {
		at      time.Time
		replica string
		born    int64
		attempt string
		harmful bool
		status  int
	}
)

// start begins a lifetime: the replica is empty and its counts start anew.
// Its first heartbeat, which lists it, follows after the given time.
func (r *replica) start(sequence uint64, born time.Time, first time.Duration) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return fmt.Errorf("start replica %s: %w", r.id, err)
	}
	r.mu.Lock()
	r.address = l.Addr().String()
	r.born, r.sequence, r.orders, r.from, r.to, r.busy, r.leaving, r.up, r.running = born.UnixMilli(), sequence, 0, 0, 0, false, false, true, 0
	r.ackAt = time.Time{}
	r.conns, r.ended = make(map[net.Conn]bool), make(chan struct{})
	ended := r.ended
	r.server = &http.Server{Handler: r, ConnState: r.track}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	if first == 0 {
		r.write()
	}
	go func() {
		if first > 0 {
			select {
			case <-ended:
				return
			case <-time.After(first):
				r.write()
			}
		}
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-ended:
				return
			case <-t.C:
				r.mu.Lock()
				r.sequence++
				r.mu.Unlock()
			}
		}
	}()
	return nil
}

func (r *replica) track(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s {
	case http.StateNew:
		r.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, c)
	}
}

// write puts the replica's entry into the store; it is called when more than Sequence has changed.
func (r *replica) write() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.sequence++
	state := "ready"
	if r.leaving {
		state = "draining"
	}
	e := map[string]any{
		"Service": r.service, "Address": r.address, "Zone": zone, "Version": "v1", "Slots": slots, "State": state, "ColdLeftMs": 0,
		"Sequence": r.sequence, "born": r.born,
	}
	if r.service != desk {
		e["RouteKind"], e["Phase"] = "acc", "combined"
		e["Models"] = []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}
	}
	if r.to > r.from {
		e["Layers"] = map[string]int{"Source": r.from, "To": r.to, "Version": 1}
	}
	r.world.store.Put("servers/"+r.id, e)
}

// end ends this lifetime as a crash does: all connections are reset and new ones are refused.
func (r *replica) end() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	close(r.ended)
	server := r.server
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	r.mu.Unlock()
	_ = server.Close()
	r.world.note("replica %s ends", r.id)
}

// drain reports the replica as draining; it goes on for the linger time after the store has accepted that, and then exits.
func (r *replica) drain(linger time.Duration) {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.write()
	r.mu.Lock()
	r.ackAt = time.Now()
	r.mu.Unlock()
	r.world.note("replica %s drains", r.id)
	time.AfterFunc(linger, func() {
		r.end()
		r.world.store.Remove("servers/" + r.id)
	})
}

// ServeHTTP handles reports, orders and requests.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	leaving, ended := r.leaving, r.ended
	r.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if id := q.Header.Get("X-Attempt-Id"); id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if x := q.Header.Get("X-Expect-Replica"); x != "" && x != r.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/v1/report":
		r.report(w)
	case "/v1/order":
		r.order(w, q)
	case "/healthz":
		w.Header().Set("X-Replica-Id", r.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	default:
		if r.service == desk {
			r.call(w, q, ended)
			return
		}
		r.stream(w, q, ended)
	}
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	body := map[string]any{
		"Phase": "combined", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Busy": r.busy,
		"Sequence": r.orders, "Waiting": 0, "Running": r.running, "KvInUse": r.running * 1000 * layers, "KvCapacityTotal": 100000 * layers,
		"Handles": 0, "pace": 1, "born": r.born, "Stalled": []string{},
	}
	if r.to > r.from {
		body["Layers"] = map[string]int{"Source": r.from, "To": r.to, "Version": 1}
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation  string
		Source, To int
		Expected   *uint64
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Operation != "place" && o.Operation != "repath" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.Operation == "repath" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Expected != nil && *o.Expected != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if o.Source == r.from && o.To == r.to {
		return
	}
	r.orders++
	r.busy = true
	born := r.born
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		same := r.born == born && r.up
		if same {
			r.from, r.to, r.busy = o.Source, o.To, false
		}
		r.mu.Unlock()
		if same {
			r.write()
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// checkPath returns the status with which the replica refuses a path, and the replica at fault, or 0.
func (r *replica) checkPath(path string) (status int, at string) {
	for i, part := range strings.Split(path, ",") {
		address, span, _ := strings.Cut(part, "=")
		var from, to int
		if n, err := fmt.Sscanf(span, "%d-%d", &from, &to); n != 2 || err != nil || i == 0 && address != r.address {
			return http.StatusBadRequest, address
		}
		x := r.world.byAddress(address)
		if x == nil {
			return http.StatusServiceUnavailable, address
		}
		x.mu.Lock()
		up, held := x.up, from >= x.from && to <= x.to
		x.mu.Unlock()
		if !up {
			return http.StatusServiceUnavailable, address
		}
		if !held {
			return http.StatusMisdirectedRequest, address
		}
	}
	return 0, ""
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, ended chan struct{}) {
	harmful := q.URL.Path == r.world.harmfulPath
	r.mu.Lock()
	a := arrival{at: time.Now(), replica: r.id, born: r.born, attempt: q.Header.Get("X-Attempt-Id"), harmful: harmful}
	r.mu.Unlock()
	path := q.Header.Get("X-Hop-Count")
	if path == "" {
		path = fmt.Sprintf("%s=0-%d", r.address, layers)
	}
	status, at := r.checkPath(path)
	a.status = status
	r.world.arrived(a)
	if status != 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("At-Server", at)
		w.WriteHeader(status)
		return
	}
	r.mu.Lock()
	r.running++
	running := r.running
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	if !r.pause(q, ended, firstWait) {
		panic(http.ErrAbortHandler)
	}
	if harmful {
		r.world.crash(r)
		panic(http.ErrAbortHandler)
	}
	r.world.ran(a)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Replica-Stamp", "stamp-"+r.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", running, slots))
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	n, _ := strconv.Atoi(q.URL.Query().Get("n"))
	spoiled := 0
	if r.world.spoils != nil && n > after+2 && r.world.spoils(r) {
		spoiled = after + 2 + rand.IntN(n-after-2)
		r.world.note("replica %s spoils event %d of %s", r.id, spoiled, a.attempt)
	}
	for i := after + 1; i <= n; i++ {
		name := "id"
		if i == spoiled {
			name = "ix"
		}
		if _, err := fmt.Fprintf(w, "%s: %d\ndata: token %d\n\n", name, i, i); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		if i < n && !r.pause(q, ended, eventGap) {
			panic(http.ErrAbortHandler)
		}
	}
}

// call runs a call of the plain service; encodes says for which of its answers a replica in trouble encodes the body.
func (r *replica) call(w http.ResponseWriter, q *http.Request, ended chan struct{}) {
	a := arrival{at: time.Now(), replica: r.id, attempt: q.Header.Get("X-Attempt-Id")}
	r.world.arrived(a)
	if !r.pause(q, ended, callTime) {
		panic(http.ErrAbortHandler)
	}
	r.world.ran(a)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Replica-Stamp", "stamp-"+r.id)
	body := []byte(answerTo(a.attempt))
	if r.world.encodes != nil && r.world.encodes(r) {
		var b bytes.Buffer
		z := gzip.NewWriter(&b)
		_, _ = z.Write(body)
		_ = z.Close()
		body = b.Bytes()
		w.Header().Set("Content-Encoding", "gzip")
		r.world.note("replica %s encodes its answer to %s", r.id, a.attempt)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// answerTo is the body of the plain service's answer to an attempt.
func answerTo(attempt string) string {
	return fmt.Sprintf(`{"Order":%q,"State":"recorded","Lines":%q}`, attempt, strings.Repeat("foil ", 150))
}

// pause waits, and returns false if the caller has left or the replica has ended.
func (r *replica) pause(q *http.Request, ended chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-q.Context().Done():
		return false
	case <-ended:
		return false
	case <-t.C:
		return true
	}
}

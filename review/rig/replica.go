//go:build review

package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loadTime is the time that a replica takes to load layers.
	loadTime = 200 * time.Millisecond
	// callTime is the time of one call of the plain service.
	callTime = 15 * time.Millisecond
	slots    = 192
)

type (
	// ReplicaOptions describes a replica.
	ReplicaOptions struct {
		ID      string
		Zone    string
		Service string
		// Linked puts a proxy in front of the replica, at the address that the store lists.
		Linked bool
		// Store is the address of the platform's store.
		Store string
		// Pause is the time between two events of a stream.
		Pause time.Duration
		// Unframed answers of streams have neither a length nor chunks and end with their connection.
		Unframed bool
		// Harmful reports whether a request crashes the replica once it begins to run it; nil means never.
		Harmful func(*http.Request) bool
		// Log gets one line for each request that arrives, is refused, runs or ends, and for orders.
		Log func(line string)
		// Ran is called when a request begins to run; nil means nobody has to know.
		Ran func(r *Replica, q *http.Request, body []byte)
		// Crashed is called after a request has crashed the replica.
		Crashed func(r *Replica)
	}

	// Replica is one lifetime of a backend server of the model or plain service.
	Replica struct {
		ReplicaOptions
		// Address is the address that the store lists.
		Address string
		// Link is the proxy in front of the replica, or nil.
		Link *Link

		born     int64
		listener net.Listener
		server   *http.Server
		// garbageRate is the rate in bytes a second of bytes that are no answer, which come in place of answers; 0 means none.
		garbageRate atomic.Int64

		mu      sync.Mutex
		from    int
		to      int
		orders  uint64
		beats   uint64
		busy    bool
		ended   bool
		running int
	}
)

// NewReplica starts a replica on a free port of a loopback address and registers it.
func NewReplica(o ReplicaOptions) (*Replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for replica %s: %w", o.ID, err)
	}
	r := &Replica{ReplicaOptions: o, Address: l.Addr().String(), born: time.Now().UnixMilli(), listener: l}
	if o.Linked {
		if r.Link, err = NewLink(r.Address); err != nil {
			return nil, err
		}
		r.Address = r.Link.Address()
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	if err := r.writeEntry(); err != nil {
		return nil, err
	}
	go r.beat()
	return r, nil
}

// beat writes the entry again until the replica has ended.
func (r *Replica) beat() {
	for {
		time.Sleep(HeartbeatPeriod)
		r.mu.Lock()
		over := r.ended
		r.mu.Unlock()
		if over {
			return
		}
		if err := r.writeEntry(); err != nil {
			r.Log(fmt.Sprintf("%s: entry not written: %v", r.ID, err))
		}
	}
}

func (r *Replica) layers() any {
	if r.to <= r.from {
		return nil
	}
	return map[string]int{"Source": r.from, "To": r.to, "Version": 1}
}

func (r *Replica) writeEntry() error {
	r.mu.Lock()
	r.beats++
	e := map[string]any{
		"Service": r.Service, "Address": r.Address, "Zone": r.Zone, "Version": "v7", "Slots": slots, "State": "ready", "ColdLeftMs": 0,
		"Sequence": r.beats, "born": r.born,
	}
	if r.Service == ModelService {
		e["RouteKind"], e["Layers"] = "a100", r.layers()
	}
	r.mu.Unlock()
	b, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	return r.transact(map[string]any{"Expected": []any{}, "Write": []map[string]any{{"Key": r.key(), "Value": b}}, "Remove": []string{}})
}

func (r *Replica) key() string { return "servers/" + r.ID }

func (r *Replica) transact(t map[string]any) error {
	b, err := json.Marshal(t)
	if err != nil {
		return fmt.Errorf("encode write: %w", err)
	}
	a, err := http.Post("http://"+r.Store+"/v1/kv-txn", "application/json", bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("write entry: %w", err)
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("write entry: status %d", a.StatusCode)
	}
	return nil
}

// Crash ends the replica: its listener and all connections close.
func (r *Replica) Crash() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	_ = r.server.Close()
}

// ServeHTTP answers requests, orders, reports and health probes.
func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := q.Header.Get("X-Expect-Replica"); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	switch {
	case q.URL.Path == "/healthz":
		w.Header().Set("X-Replica-Id", r.ID)
		r.setLoad(w)
	case q.URL.Path == "/v1/report":
		r.report(w)
	case q.URL.Path == "/v1/order":
		r.order(w, body)
	case id == "":
		w.Header().Set("X-Not-Executed", "no id")
		w.WriteHeader(http.StatusBadRequest)
	case r.Service == ModelService:
		r.stream(w, q, body)
	default:
		r.call(w, q, body)
	}
}

func (r *Replica) setLoad(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", r.running, slots))
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	body := map[string]any{
		"Phase": "combined", "Models": []map[string]any{{"Name": "draft-70b", "Version": 1, "Adapters": []string{}}}, "RouteKind": "a100",
		"Layers": r.layers(), "Busy": r.busy, "Sequence": r.orders, "Waiting": 0, "Running": r.running, "KvInUse": 1000 * Layers * r.running,
		"KvCapacityTotal": 260000 * Layers, "Handles": 0, "pace": 1, "born": r.born, "Stalled": []any{},
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (r *Replica) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Operation string
		Source    int
		To        int
		Expected  *uint64
	}
	if err := json.Unmarshal(body, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Log(fmt.Sprintf("%s got order %s", r.ID, body))
	if o.Operation != "place" {
		// Paths have one part, so that a request has no other path with the same first part.
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || o.Expected != nil && *o.Expected != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders++
	r.busy = true
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		r.from, r.to, r.busy = o.Source, o.To, false
		ended := r.ended
		r.mu.Unlock()
		if ended {
			return
		}
		if err := r.writeEntry(); err != nil {
			r.Log(fmt.Sprintf("%s: entry not written: %v", r.ID, err))
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// begin records that a request begins to run; the returned function records its end.
func (r *Replica) begin(q *http.Request, body []byte) func(how string) {
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	r.Log(fmt.Sprintf("%s runs %s %s %s", r.ID, q.Header.Get("X-Attempt-Id"), q.Method, q.RequestURI))
	if r.Ran != nil {
		r.Ran(r, q, body)
	}
	return func(how string) {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
		r.Log(fmt.Sprintf("%s ends %s: %s", r.ID, q.Header.Get("X-Attempt-Id"), how))
	}
}

func (r *Replica) call(w http.ResponseWriter, q *http.Request, body []byte) {
	end := r.begin(q, body)
	select {
	case <-time.After(callTime):
	case <-q.Context().Done():
		end("caller left")
		return
	}
	w.Header().Set("X-Replica-Stamp", r.stamp(q))
	r.setLoad(w)
	if _, err := fmt.Fprintf(w, "%s %s: %d bytes taken", q.Method, q.URL.Path, len(body)); err != nil {
		end("answer not written")
		return
	}
	end("answered")
}

func (r *Replica) stamp(q *http.Request) string { return r.ID + "." + q.Header.Get("X-Attempt-Id") }

// Events returns the number of events of a stream with the given X-Token-Counts, at three tokens an event.
func Events(tokenCounts string) int {
	_, out, _ := strings.Cut(tokenCounts, ",")
	n, err := strconv.Atoi(out)
	if err != nil {
		return 0
	}
	return (n + 2) / 3
}

// stream answers with numbered events after Last-Event-Id.
func (r *Replica) stream(w http.ResponseWriter, q *http.Request, body []byte) {
	r.mu.Lock()
	path, own := q.Header.Get("X-Hop-Count"), fmt.Sprintf("%s=0-%d", r.Address, Layers)
	holds := r.from == 0 && r.to == Layers
	r.mu.Unlock()
	if path != own && path != "" || !holds {
		w.Header().Set("At-Server", r.Address)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	end := r.begin(q, body)
	if r.Harmful != nil && r.Harmful(q) {
		time.Sleep(r.Pause)
		end("replica crashed")
		r.Crash()
		if r.Crashed != nil {
			r.Crashed(r)
		}
		panic(http.ErrAbortHandler)
	}
	if r.garbageRate.Load() > 0 {
		r.garbage(w, q)
		end("caller closed")
		return
	}
	events := Events(q.Header.Get("X-Token-Counts"))
	after, err := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	var out io.Writer = w
	flush := func() error { return http.NewResponseController(w).Flush() }
	ctx := q.Context()
	if r.Unframed {
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			end("not hijacked: " + err.Error())
			return
		}
		defer func() { _ = c.Close() }()
		out, flush = rw, rw.Flush
		var left context.CancelFunc
		ctx, left = context.WithCancel(context.Background())
		defer left()
		go func() {
			// The caller sends nothing more, so that a read ends when it leaves.
			_, _ = c.Read(make([]byte, 1))
			left()
		}()
		fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Replica-Stamp: %s\r\nConnection: close\r\n\r\n",
			q.Header.Get("X-Attempt-Id"), r.stamp(q))
	} else {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Replica-Stamp", r.stamp(q))
		r.setLoad(w)
	}
	for n := after + 1; n <= events; n++ {
		select {
		case <-time.After(r.Pause):
		case <-ctx.Done():
			end(fmt.Sprintf("caller left before event %d of %d", n, events))
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: words %d of %s\n\n", n, n, q.Header.Get("X-Attempt-Id")); err != nil {
			end("event not written")
			return
		}
		if err := flush(); err != nil {
			end("event not written")
			return
		}
	}
	end(fmt.Sprintf("all %d events written", events))
}

// SetGarbage makes the replica answer streams with bytes that are no answer, at a rate in bytes a second, until the caller closes.
func (r *Replica) SetGarbage(rate int64) { r.garbageRate.Store(rate) }

// garbage writes bytes that are no answer until the caller closes.
func (r *Replica) garbage(w http.ResponseWriter, q *http.Request) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n\r\n", q.Header.Get("X-Attempt-Id"))
	const period = 10 * time.Millisecond
	piece := bytes.Repeat([]byte{'#'}, int(r.garbageRate.Load()/100))
	for {
		if _, err := rw.Write(piece); err != nil {
			return
		}
		if rw.Flush() != nil {
			return
		}
		time.Sleep(period)
	}
}

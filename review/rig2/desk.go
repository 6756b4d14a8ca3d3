//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/sock"
)

const (
	deskService = "order-desk"
	// heartbeat is the platform's HeartbeatMs.
	heartbeat = 1200 * time.Millisecond
	// workTime is how long a replica works on a request.
	workTime = 15 * time.Millisecond
)

type (
	// desk is the replicas of a plain service.
	desk struct {
		bench *bench
		// fails reports whether a replica in trouble spoils its answer to a request, and spoil writes what it sends instead.
		fails func(replica int) bool
		spoil func(w http.ResponseWriter, q *http.Request)

		mu sync.Mutex
		// ran holds how often each attempt ran, and orders how often each order was recorded.
		ran, orders map[string]int
		servers     []*http.Server
		closed      chan struct{}
	}
)

// startDesk starts replicas and lists them.
func (b *bench) startDesk(n int) (*desk, error) {
	d := &desk{bench: b, ran: make(map[string]int), orders: make(map[string]int), closed: make(chan struct{})}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen for a replica: %w", err)
		}
		id := fmt.Sprintf("i-desk%d", i)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { d.serve(w, q, id, i) }), ReadHeaderTimeout: time.Second}
		d.servers = append(d.servers, s)
		go func() { _ = s.Serve(l) }()
		go d.beat(id, l.Addr().String())
	}
	return d, nil
}

// beat writes the replica's entry once a heartbeat.
func (d *desk) beat(id, address string) {
	born := time.Now().UnixMilli()
	for n := 1; ; n++ {
		d.bench.store.Put("servers/"+id, map[string]any{
			"Service": deskService, "Address": address, "Zone": zone, "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 0,
			"Sequence": n, "born": born,
		})
		select {
		case <-time.After(heartbeat):
		case <-d.closed:
			return
		}
	}
}

func (d *desk) close() {
	close(d.closed)
	for _, s := range d.servers {
		sock.Discard(s)
	}
}

// serve runs a request: it records the order that the path names.
func (d *desk) serve(w http.ResponseWriter, q *http.Request, id string, replica int) {
	attempt := q.Header.Get("X-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if x := q.Header.Get("X-Expect-Replica"); x != "" && x != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/healthz" {
		w.Header().Set("X-Replica-Id", id)
		w.Header().Set("X-Replica-Load", "0,0,6")
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if attempt == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	d.ran[attempt]++
	d.orders[q.URL.Path]++
	d.mu.Unlock()
	time.Sleep(workTime)
	d.bench.record("replica %s ran attempt %s: %s %s, %d bytes", id, attempt, q.Method, q.URL.Path, len(body))
	w.Header().Set("X-Replica-Stamp", "stamp-"+id)
	w.Header().Set("X-Replica-Load", "1,0,6")
	if d.fails != nil && d.fails(replica) {
		d.bench.record("replica %s spoils its answer to attempt %s", id, attempt)
		d.spoil(w, q)
		return
	}
	if _, err := io.WriteString(w, receipt(q.URL.Path)); err != nil {
		d.bench.record("replica %s could not answer attempt %s: %v", id, attempt, err)
	}
}

// receipt is the answer to an order.
func receipt(path string) string { return path + " is recorded\n" }

// runs returns how often an attempt ran, and how often the order of a path was recorded.
func (d *desk) runs(attempt, path string) (ran, recorded int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ran[attempt], d.orders[path]
}

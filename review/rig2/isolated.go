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

func init() { cases["isolated"] = isolated }

const (
	// crashesOfContent is the number of crashes from which a request that returns unchanged counts.
	crashesOfContent = 3
	harmfulPath      = "/order/crash"
	harmfulBody      = `{"foil":"crash"}`
	// soundWork is how long a replica works on a sound order.
	soundWork = 100 * time.Millisecond
	// partitionTime is how long the machines of a zone are partitioned from all replicas. The cuts of machines of the site last up to 12 s.
	partitionTime = 8 * time.Second
	// tryPeriod is the time between two tries of the request that crashes replicas.
	tryPeriod = 500 * time.Millisecond
	// orderBack is the time after a crash until a new replica is there in place of the crashed one.
	orderBack = 2 * time.Second
	// orderPeriod is the time between two sound orders.
	orderPeriod = 10 * time.Millisecond
)

// zones holds the zone of each gate. Those of the first zone are partitioned from all replicas.
var (
	zones         = []string{zone, zone, zone, "zone-b", "zone-b"}
	isolatedGates = []int{0, 1, 2}
)

type (
	// crashDesk is the replicas of a plain service in both zones; one order crashes each replica that begins to run it.
	crashDesk struct {
		bench     *bench
		partition partition

		mu      sync.Mutex
		started int
		arrived []time.Time
		crashed []time.Time
		closed  bool
		running map[*crashReplica]bool
	}

	crashReplica struct {
		desk     *crashDesk
		id, zone string
		server   *http.Server
		ended    chan struct{}
		once     sync.Once
	}
)

// start starts a replica and lists it.
func (d *crashDesk) start(zone string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for a replica: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		sock.Discard(l)
		return nil
	}
	r := &crashReplica{desk: d, id: fmt.Sprintf("i-desk%d", d.started), zone: zone, ended: make(chan struct{})}
	d.started++
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
	if d.running == nil {
		d.running = make(map[*crashReplica]bool)
	}
	d.running[r] = true
	go func() { _ = r.server.Serve(cutListener{l, &d.partition}) }()
	go r.beat(l.Addr().String())
	return nil
}

// beat writes the replica's entry once a heartbeat, and removes it some time after the replica has ended.
func (r *crashReplica) beat(address string) {
	born := time.Now().UnixMilli()
	for n := 1; ; n++ {
		r.desk.bench.store.Put("servers/"+r.id, map[string]any{
			"Service": deskService, "Address": address, "Zone": r.zone, "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 0,
			"Sequence": n, "born": born,
		})
		select {
		case <-time.After(heartbeat):
		case <-r.ended:
			time.Sleep(entryGone)
			r.desk.bench.store.Remove("servers/" + r.id)
			return
		}
	}
}

// crash ends the replica, with all its connections. Another one comes in its place.
func (r *crashReplica) crash(attempt string) {
	r.once.Do(func() {
		d := r.desk
		d.bench.record("replica %s crashes on attempt %s", r.id, attempt)
		d.mu.Lock()
		d.crashed = append(d.crashed, time.Now())
		delete(d.running, r)
		d.mu.Unlock()
		close(r.ended)
		sock.Discard(r.server)
		time.AfterFunc(orderBack, func() {
			if err := d.start(r.zone); err != nil {
				d.bench.record("%v", err)
			}
		})
	})
}

// ServeHTTP runs an order.
func (r *crashReplica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("X-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if x := q.Header.Get("X-Expect-Replica"); x != "" && x != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/healthz" {
		w.Header().Set("X-Replica-Id", r.id)
		w.Header().Set("X-Replica-Load", "0,0,6")
		return
	}
	if _, err := io.ReadAll(q.Body); err != nil {
		return
	}
	if q.URL.Path == harmfulPath {
		r.desk.bench.record("the order that crashes replicas reached replica %s as attempt %s", r.id, attempt)
		r.desk.mu.Lock()
		r.desk.arrived = append(r.desk.arrived, time.Now())
		r.desk.mu.Unlock()
		r.crash(attempt)
		return
	}
	time.Sleep(soundWork)
	w.Header().Set("X-Replica-Stamp", "stamp-"+r.id)
	w.Header().Set("X-Replica-Load", "1,0,6")
	if _, err := io.WriteString(w, receipt(q.URL.Path)); err != nil {
		r.desk.bench.record("replica %s could not answer attempt %s: %v", r.id, attempt, err)
	}
}

func (d *crashDesk) times() (arrived, crashed []time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time(nil), d.arrived...), append([]time.Time(nil), d.crashed...)
}

func (d *crashDesk) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for r := range d.running {
		sock.Discard(r.server)
	}
}

// isolated sends sound orders to all gates, and an order that crashes each replica that begins to run it to those of one zone, with the same
// path, caller and body each time. The disruption is that these gates are partitioned from all replicas meanwhile.
func isolated(b *bench) (bool, error) {
	b.configure([]map[string]any{orderRoute(deskService)}, []map[string]any{{"Name": deskService, "HealthPath": "/healthz", "MaxConns": 100}})
	d := &crashDesk{bench: b}
	defer d.close()
	for i := range deskReplicas {
		if err := d.start(zones[len(zones)*i/deskReplicas]); err != nil {
			return false, err
		}
	}
	b.zones = zones
	if err := b.startGates(len(zones)); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	l := &promptLoad{bench: b}
	stop := make(chan struct{})
	l.every(stop, orderPeriod, func(n int) {
		l.sendCallAt(n%len(b.gates), n, "sound", fmt.Sprintf("/order/%d", n), fmt.Sprintf(`{"foil":"crest %d"}`, n))
	})
	time.Sleep(time.Second)
	if b.trouble {
		b.record("gates %v are partitioned from all replicas for %s", isolatedGates, partitionTime)
		d.partition.begin(b.pids(isolatedGates))
	}
	l.harmfulFrom = time.Now()
	l.every(stop, tryPeriod, func(n int) {
		l.sendCallAt(isolatedGates[n%len(isolatedGates)], n, "harmful", harmfulPath, harmfulBody)
	})
	time.Sleep(time.Until(l.harmfulFrom.Add(partitionTime)))
	l.harmfulTo = time.Now()
	close(stop)
	l.wait.Wait()
	d.partition.end()
	b.record("the partition has ended")
	var counted time.Time
	arrived, crashed := d.times()
	if len(crashed) >= crashesOfContent {
		counted = crashed[crashesOfContent-1].Add(contactTime)
		b.record("crash %d; the request counts from %.3f s", crashesOfContent, counted.Sub(b.from).Seconds())
	}
	return l.judge(b, counted, arrived, crashed)
}

// sendCallAt sends an order with an attempt of its own to a gate.
func (l *promptLoad) sendCallAt(gate, n int, kind, path, body string) {
	attempt := fmt.Sprintf("%s-%d", kind, n)
	sent := time.Now()
	a := call(l.bench.gates[gate].callers, text(http.MethodPost, path, attempt, orderWait, body, length(body)), orderWait)
	ok := a.status == http.StatusOK && a.err == nil
	l.add(kind, ok)
	if kind == "sound" {
		l.mu.Lock()
		l.sound = append(l.sound, soundRequest{sent, ok})
		l.mu.Unlock()
	}
	if !ok || kind != "sound" {
		l.bench.record("caller sent %s, %s, to gate %d and got %q, error %v", attempt, path, gate, a.line, a.err)
	}
}

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
	"github.com/teaselstream/teaselstream/config"
)

const (
	testLayers = 40
	testKey    = "key-a"
	// startTime limits the start of a gate and the placement of all layers.
	startTime = 15 * time.Second
)

// testPlatform is a simulated platform with gates in front of it.
type testPlatform struct {
	store   *plat.Store
	fleet   *plat.Fleet
	network plat.Network
	// domainOf returns the failure domain of a gate; nil means zone-a.
	domainOf      func(gate int) string
	modelReplicas []*plat.Replica
	gateAddresses []string
	storeAddress  string
	stopGates     []func()
	gateLog       requestLog
	// bounds holds the settings of the gates' section Bounds.
	bounds string
}

// requestLog collects the gates' log; a failed test prints the lines about its request.
type requestLog struct {
	mu    sync.Mutex
	lines []string
}

// Write appends one line.
func (l *requestLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(b))
	return len(b), nil
}

// linesAbout returns the lines about one request.
func (l *requestLog) linesAbout(attempt string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out strings.Builder
	for _, line := range l.lines {
		if strings.Contains(line, fmt.Sprintf("%q", attempt)) {
			out.WriteString(line)
		}
	}
	return out.String()
}

// startPlatform starts a store, replicas in one failure domain and the given number of gates, and waits until a stream succeeds.
func startPlatform(t *testing.T, gates int) *testPlatform {
	t.Helper()
	return startPlatformWith(t, gates, func(*testPlatform) {})
}

// startPlatformWith starts a platform as startPlatform does, after configure has changed its fleet or its bounds.
func startPlatformWith(t *testing.T, gates int, configure func(*testPlatform)) *testPlatform {
	t.Helper()
	s := &testPlatform{store: &plat.Store{}, bounds: "RetrySlack = 600"}
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.storeAddress = storeListener.Addr().String()
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: startTime}
	go func() { _ = server.Serve(storeListener) }()
	s.fleet = &plat.Fleet{Store: s.store, ModelService: "model", PlainService: "plain", Layers: testLayers}
	configure(s)
	s.fleet.Configure(1, testKey)
	for i := range 4 {
		r, err := s.fleet.Add(fmt.Sprintf("m%d", i), "zone-a", "acc")
		if err != nil {
			t.Fatal(err)
		}
		s.modelReplicas = append(s.modelReplicas, r)
	}
	for i := range 2 {
		if _, err := s.fleet.Add(fmt.Sprintf("p%d", i), "zone-a", ""); err != nil {
			t.Fatal(err)
		}
	}
	for i := range gates {
		s.startGate(t, i, storeListener.Addr().String())
	}
	t.Cleanup(func() {
		// A planned stop waits for the balancer, so that gates that stop in turn would add seconds each.
		var stopped sync.WaitGroup
		for _, stop := range s.stopGates {
			stopped.Go(stop)
		}
		stopped.Wait()
		s.fleet.Close()
		if err := server.Close(); err != nil {
			t.Log(err)
		}
		for _, f := range s.fleet.CallerErrors() {
			t.Errorf("replicas detected: %s", f)
		}
	})
	for limit := time.Now().Add(startTime); ; time.Sleep(100 * time.Millisecond) {
		if a := s.get(0, "/draft/?n=1", "ready-"+time.Now().String()); a.complete && a.status == http.StatusOK {
			return s
		}
		if time.Now().After(limit) {
			t.Fatal("no stream succeeds within the start time")
		}
	}
}

func (s *testPlatform) startGate(t *testing.T, n int, store string) {
	t.Helper()
	const perGate = 4
	domain := "zone-a"
	if s.domainOf != nil {
		domain = s.domainOf(n)
	}
	addresses, err := plat.FreeAddresses(perGate)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "gate.ini")
	text := fmt.Sprintf("[VM]\nName = vm%d\nDomain = %s\n[Listen]\nCallers = %s\nReady = %s\nPeers = %s\nRelay = %s\n[Store]\nAddresses = %s\n[Bounds]\n%s\n", n, domain, addresses[0], addresses[1], addresses[2], addresses[3], store, s.bounds)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	settings, err := config.LoadGate(file)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := serveUntil(ctx, file, settings, slog.New(slog.NewJSONHandler(&s.gateLog, nil)).With("vm", string(settings.VM.Name)), s.network.Dial(settings.Listen.Callers)); err != nil {
			t.Error(err)
		}
	}()
	s.gateAddresses = append(s.gateAddresses, settings.Listen.Callers)
	s.stopGates = append(s.stopGates, func() { cancel(); <-done })
}

// callerResponse is the response that a caller receives.
type callerResponse struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
	attempt  string
	// gate is the address of the gate, and headAt when the head of the response arrived; only requests of gateLoad have them.
	gate   string
	headAt time.Time
}

// get sends a GET request with the test key to a gate; do sends any method and key.
func (s *testPlatform) get(gate int, path, attempt string) callerResponse {
	return s.do(gate, http.MethodGet, path, attempt, testKey)
}

func (s *testPlatform) do(gate int, method, path, attempt, key string) callerResponse {
	return s.request(gate, method, path, attempt, key, 6*time.Second)
}

// doFor sends a request with the test key to a gate, and waits for its answer for the given time.
func (s *testPlatform) doFor(gate int, method, path, attempt string, wait time.Duration) callerResponse {
	return s.request(gate, method, path, attempt, testKey, wait)
}

func (s *testPlatform) request(gate int, method, path, attempt, key string, wait time.Duration) callerResponse {
	q, err := http.NewRequest(method, "http://"+s.gateAddresses[gate]+path, nil)
	if err != nil {
		return callerResponse{err: err, attempt: attempt}
	}
	q.Host = "test.example"
	plat.SetRequestHeaders(q.Header, attempt, key, wait)
	p, err := http.DefaultTransport.(*http.Transport).Clone().RoundTrip(q)
	if err != nil {
		return callerResponse{err: err, attempt: attempt}
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	return callerResponse{status: p.StatusCode, header: p.Header, body: string(b), complete: err == nil, err: err, attempt: attempt}
}

// checkEvents reports events that are missing, repeated or out of order.
func (s *testPlatform) checkEvents(t *testing.T, a callerResponse, n int) {
	t.Helper()
	if a.status != http.StatusOK || !a.complete {
		t.Fatalf("status %d, complete %t, error %v, %d bytes; log of the request:\n%s", a.status, a.complete, a.err, len(a.body), s.gateLog.linesAbout(a.attempt))
	}
	next := 1
	for sc := bufio.NewScanner(strings.NewReader(a.body)); sc.Scan(); {
		if id, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			if id != fmt.Sprint(next) {
				t.Fatalf("got event %s, want %d", id, next)
			}
			next++
		}
	}
	if next != n+1 {
		t.Fatalf("%d events, want %d", next-1, n)
	}
}

// Guards against errors anywhere between caller and replica: routes, keys, forwarding, the team's name and the replica's stamp.
func TestWholePath(t *testing.T) {
	s := startPlatform(t, 1)
	s.checkEvents(t, s.get(0, "/draft/?n=20", "a1"), 20)
	a := s.do(0, http.MethodPost, "/order/7", "a2", testKey)
	if a.status != http.StatusOK || a.body != "POST /order/7 by team team-a" || !strings.HasPrefix(plat.ReplicaID(a.header), "p") {
		t.Errorf("order: status %d, body %q, stamp %q", a.status, a.body, plat.ReplicaID(a.header))
	}
	if a := s.do(0, http.MethodGet, "/look/7", "a3", "key-b"); a.status != http.StatusUnauthorized {
		t.Errorf("unknown key: status %d, want 401", a.status)
	}
	if a := s.get(0, "/elsewhere/7", "a4"); a.status != http.StatusNotFound {
		t.Errorf("unknown route: status %d, want 404", a.status)
	}
	for _, id := range []string{"a1", "a2"} {
		if n := s.fleet.Ran(id); n != 1 {
			t.Errorf("request %s ran %d times, want once", id, n)
		}
	}
}

// Guards against a non-idempotent call whose response is lost being run twice or refused as not run, and against an
// idempotent call that is not retried after its response is lost.
func TestLostAnswer(t *testing.T) {
	s := startPlatform(t, 1)
	a := s.do(0, http.MethodPost, "/order/7?lose=1", "b1", testKey)
	if a.status != http.StatusBadGateway {
		t.Errorf("lost response of an order: status %d, want 502, which leaves the outcome open", a.status)
	}
	if n := s.fleet.Ran("b1"); n != 1 {
		t.Errorf("the order ran %d times, want once", n)
	}
	if a := s.get(0, "/look/7?lose=1", "b2"); a.status != http.StatusBadGateway {
		t.Errorf("lost responses of a look-up: status %d, want 502", a.status)
	}
	if n := s.fleet.Ran("b2"); n != 2 {
		t.Errorf("the look-up ran %d times, want twice as its route allows", n)
	}
}

// Guards against streams that end or lose events when a server that holds the first layers stops responding.
func TestPartFallsSilent(t *testing.T) {
	s := startPlatform(t, 1)
	var busy *plat.Replica
	for _, r := range s.modelReplicas {
		if from, to := r.HeldLayers(); to > from && from == 0 {
			busy = r
		}
	}
	var wait sync.WaitGroup
	answers := make([]callerResponse, 6)
	for i := range answers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[i] = s.get(0, "/draft/?n=80", fmt.Sprintf("c%d", i))
		}()
	}
	time.Sleep(300 * time.Millisecond)
	busy.SetUnresponsive(true)
	wait.Wait()
	for i := range answers {
		s.checkEvents(t, answers[i], 80)
	}
	s.checkEvents(t, s.get(0, "/draft/?n=5", "c9"), 5)
}

// Guards against requests that fail while the store is unreachable, and against a configuration that is not applied
// after the store has compacted its history.
func TestStoreAway(t *testing.T) {
	s := startPlatform(t, 1)
	s.store.SetDown(true)
	for i := range 5 {
		s.checkEvents(t, s.get(0, "/draft/?n=3", fmt.Sprintf("d%d", i)), 3)
		time.Sleep(200 * time.Millisecond)
	}
	s.store.Compact()
	s.fleet.Configure(2, "key-b")
	s.store.SetDown(false)
	for limit := time.Now().Add(5 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if s.get(0, "/look/1", "d8").status == http.StatusUnauthorized {
			break
		}
		if time.Now().After(limit) {
			t.Fatal("the removed key is still accepted")
		}
	}
	if a := s.do(0, http.MethodGet, "/look/1", "d9", "key-b"); a.status != http.StatusOK {
		t.Errorf("new key: status %d, want 200", a.status)
	}
}

// Guards against a planned stop that aborts a stream, and against a stopped VM that keeps others from placing layers.
func TestPlannedStop(t *testing.T) {
	s := startPlatform(t, 2)
	var wait sync.WaitGroup
	wait.Add(1)
	var a callerResponse
	go func() {
		defer wait.Done()
		a = s.get(0, "/draft/?n=120", "e1")
	}()
	time.Sleep(300 * time.Millisecond)
	s.stopGates[0]()
	wait.Wait()
	s.checkEvents(t, a, 120)
	s.stopGates = s.stopGates[1:]
	if _, err := s.fleet.Add("m9", "zone-a", "acc"); err != nil {
		t.Fatal(err)
	}
	for limit := time.Now().Add(startTime); len(s.store.Keys("vm/")) > 1; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the stopped VM is still registered")
		}
	}
	s.checkEvents(t, s.get(1, "/draft/?n=5", "e2"), 5)
}

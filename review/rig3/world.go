//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

const (
	zone = "dar-msasani"
	// The bounds of a small site.
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	key         = "k1"
	// restartTime is how long a replica that a request has crashed is away.
	restartTime = 3 * time.Second
	gates       = 3
	sharedPart  = "5c1e:40"
	soundPath   = "/draft/x"
	// soundGap is the time between two sound requests of a VM.
	soundGap    = 150 * time.Millisecond
	soundEvents = 15
	// garbleTime is at most the length of garble in the site file, 5.5 s; the bench may play it more than once.
	garbleTime  = 5 * time.Second
	garblePause = 2 * time.Second
	writer      = "writer"
	desk        = "desk"
)

type (
	// world holds the stand-ins and the processes of one run.
	world struct {
		dir      string
		store    *plat.Store
		storeURL string
		// harmfulPath is the path of requests that crash replicas, or empty.
		harmfulPath string
		// encodes reports whether a replica of the plain service encodes its next answer; nil means never.
		encodes func(*replica) bool
		// spoils reports whether a model replica writes one wrong byte into its next stream; nil means never.
		spoils   func(*replica) bool
		began    time.Time
		program  string
		template string

		mu       sync.Mutex
		record   *bufio.Writer
		replicas []*replica
		arrivals []arrival
		runs     []arrival
		crashes  []time.Time
		vms      []*vm
		attempts int
		// answers holds what clients got, by attempt.
		answers map[string]answer
		closed  bool
	}

	// vm is one gate process.
	vm struct {
		name, callers, ready string
		command              *exec.Cmd
		ended                chan error
	}

	// answer is what a client got.
	answer struct {
		vm, attempt string
		sent        time.Time
		status      int
		events      int
		whole       bool
		body        []byte
		header      http.Header
		err         error
		took        time.Duration
	}
)

func newWorld(dir, record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	w := &world{dir: dir, store: &plat.Store{}, began: time.Now(), answers: make(map[string]answer), record: bufio.NewWriter(f)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for store: %w", err)
	}
	w.storeURL = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	w.store.Put("op/config", configuration(1, true))
	return w, nil
}

// configuration is a manifest with a model route, whose streams may be resumed or not, and a route for orders that may run once.
func configuration(version int, resumable bool) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []map[string]any{
			{
				"Name": "draft", "Host": "w.example", "Prefix": "/draft/", "RouteKind": "streaming", "TimeoutMs": 20000, "FullValueMs": 500,
				"GapTargetMs": 200, "Priority": 1, "Service": writer, "MaxAttempts": 2, "Resumable": resumable, "Sticky": true,
			},
			{
				"Name": "order", "Host": "w.example", "Prefix": "/order/", "RouteKind": "non_idempotent", "TimeoutMs": 1000, "FullValueMs": 100,
				"Priority": 2, "Service": desk, "MaxAttempts": 1,
			},
		},
		"Services": []map[string]any{
			{"Name": writer, "HealthPath": "/healthz", "MaxConns": 1068, "Engine": map[string]any{
				"Layers": layers, "LayerMb": 1750.0, "KvBytes": 918000.0, "ActivationBytes": 45900.0, "Stride": 3, "step_ms": 1.02,
				"per_seq_ms": 0.00714, "read_per_s": 105000, "loads_at_once": 4, "report_lag_ms": 200, "chunk": 512,
				"usual": map[string]int{"prompt": 800, "answer": 60}, "Models": []map[string]any{{"Name": "m", "LoadS": 1}},
				"Kinds": []map[string]any{{"Name": "acc", "SizeMb": 200000, "pace": 2.4, "ReadFactor": 3.2}},
			}},
			{"Name": desk, "HealthPath": "/healthz", "MaxConns": 100},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "team", "ApiKeys": []string{key}}},
	}
}

// garbled reports whether replicas hand out wrong bytes now: for garbleTime at a time, again and again.
func (w *world) garbled() bool {
	return time.Since(w.began)%(garbleTime+garblePause) < garbleTime
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// result writes the last line of the record, and prints it. The caller holds the lock.
func (w *world) result(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Fprintf(w.record, "%9.3f result: %s\n", time.Since(w.began).Seconds(), text)
	fmt.Println(text)
}

func (w *world) byAddress(address string) *replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.replicas {
		if r.address == address {
			return r
		}
	}
	return nil
}

func (w *world) arrived(a arrival) {
	w.note("request %s reaches %s (born %d) harmful=%t status=%d", a.attempt, a.replica, a.born, a.harmful, a.status)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
}

func (w *world) ran(a arrival) {
	w.note("request %s runs on %s", a.attempt, a.replica)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, a)
}

// add starts a replica of a service that has run for some time.
func (w *world) add(service, id string, sequence uint64, age time.Duration) (*replica, error) {
	r := &replica{world: w, service: service, id: id, address: "127.0.0.1:0"}
	if err := r.start(sequence, time.Now().Add(-age), 0); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	w.note("replica %s starts at %s", id, r.address)
	return r, nil
}

// crash ends a replica because of a request; an empty one with a new id comes some seconds later.
func (w *world) crash(r *replica) {
	r.mu.Lock()
	up := r.up
	r.mu.Unlock()
	if !up {
		return
	}
	w.mu.Lock()
	w.crashes = append(w.crashes, time.Now())
	n := len(w.crashes)
	w.mu.Unlock()
	w.note("replica %s crashes", r.id)
	r.end()
	time.AfterFunc(expiry, func() { w.store.Remove("servers/" + r.id) })
	time.AfterFunc(restartTime, func() {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if closed {
			return
		}
		if _, err := w.add(r.service, fmt.Sprintf("%s.%d", strings.SplitN(r.id, ".", 2)[0], n), 0, 0); err != nil {
			w.note("%v", err)
		}
	})
}

var (
	section     = regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// settings fills in the template of the deploy file as the platform does.
func (w *world) settings(template, name, ip string, ports []int) string {
	values := map[string]string{
		"NodeName": name, "Zone": zone, "Ip": ip, "Listen.Frontend": fmt.Sprintf("%s:%d", ip, ports[0]), "Listen.Ready": fmt.Sprintf("%s:%d", ip, ports[1]),
		"PortRange.0": fmt.Sprint(ports[2]), "PortRange.1": fmt.Sprint(ports[3]), "Platform.Address": w.storeURL, "Bounds.DrainMs": "2000",
		"Bounds.GraceS": "8", "Bounds.RetryRatio": "0.2", "Bounds.RetryWindowS": "10", "Bounds.RetrySlack": "198", "Limits.MemoryMb": "284",
	}
	text := section.ReplaceAllStringFunc(template, func(t string) string {
		m := section.FindStringSubmatch(t)
		return strings.ReplaceAll(m[2], "{{.}}", values[m[1]])
	})
	return placeholder.ReplaceAllStringFunc(text, func(t string) string { return values[placeholder.FindStringSubmatch(t)[1]] })
}

// startVMs starts gate processes on loopback addresses of their own and waits until they are ready.
func (w *world) startVMs(program, templateFile string, n int) error {
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return fmt.Errorf("read template: %w", err)
	}
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, (os.Getpid()/200)%250, 10+i)
		ports, err := freePorts(ip, 4)
		if err != nil {
			return err
		}
		v := &vm{name: fmt.Sprintf("edge-%d", i+1), callers: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]), ended: make(chan error, 1)}
		file := filepath.Join(w.dir, v.name+".ini")
		if err := os.WriteFile(file, []byte(w.settings(string(template), v.name, ip, ports)), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		log, err := os.Create(filepath.Join(w.dir, v.name+".log"))
		if err != nil {
			return fmt.Errorf("create log: %w", err)
		}
		v.command = exec.Command(program)
		v.command.Env = append(os.Environ(), "TEASELSTREAM_SETTINGS="+file)
		v.command.Stdout, v.command.Stderr = log, log
		if err := v.command.Start(); err != nil {
			return fmt.Errorf("start gate: %w", err)
		}
		go func() { v.ended <- v.command.Wait() }()
		w.vms = append(w.vms, v)
	}
	for _, v := range w.vms {
		if err := v.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, fmt.Errorf("find free port: %w", err)
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range open {
		_ = l.Close()
	}
	return ports, nil
}

func (v *vm) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		q, err := http.Get("http://" + v.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = q.Body.Close()
		if q.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", v.name, limit)
}

// close ends all processes that the run has started and writes the record.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	vms := w.vms
	w.mu.Unlock()
	for _, v := range vms {
		if v.command.Process != nil {
			_ = v.command.Process.Signal(syscall.SIGKILL)
			<-v.ended
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
}

func (w *world) attempt() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts++
	return fmt.Sprintf("%016x", w.attempts)
}

// send sends one model request of n events to a VM on a new connection and reads the whole answer.
func (w *world) send(v *vm, n int, parts ...string) answer {
	return w.sendTo(v, soundPath, "", n, parts...)
}

// sendTo is send with a path and a body; without a body the request has one of its own.
func (w *world) sendTo(v *vm, path, body string, n int, parts ...string) answer {
	a := answer{vm: v.name, attempt: w.attempt(), sent: time.Now()}
	if body == "" {
		body = "prompt " + a.attempt
	}
	q, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s?n=%d&sent=%s", v.callers, path, n, a.attempt), strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	q.Host = "w.example"
	q.Header.Set("X-Attempt-Id", a.attempt)
	q.Header.Set("X-Api-Key", key)
	q.Header.Set("X-Deadline-Ms", "20000")
	q.Header.Set("X-Model-Name", "m")
	q.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", 400*(1+len(parts)), 3*n))
	q.Header.Set("X-Prefix-Hash", strings.Join(append(parts, a.attempt+":400"), ","))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 20 * time.Second}
	w.note("client sends %s to %s parts=%v", a.attempt, v.name, parts)
	p, err := client.Do(q)
	if err == nil {
		a.status = p.StatusCode
		var body []byte
		body, err = io.ReadAll(p.Body)
		_ = p.Body.Close()
		a.body, a.header = body, p.Header
		a.events = strings.Count(string(body), "\n\n")
		a.whole = err == nil && (a.status != http.StatusOK || a.events == n)
	}
	a.err, a.took = err, time.Since(a.sent)
	w.note("client gets %s status=%d events=%d whole=%t err=%v", a.attempt, a.status, a.events, a.whole, err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers[a.attempt] = a
	return a
}

// awaitService waits until every VM serves a request.
func (w *world) awaitService(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, v := range w.vms {
		for {
			if a := w.send(v, 2); a.status == http.StatusOK && a.whole {
				break
			}
			if time.Now().After(end) {
				return errors.New("no request is served before the disruption")
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	return nil
}

// lost returns the number of requests that ended with a broken answer or 502. The caller holds the lock.
func (w *world) lost() int {
	n := 0
	for _, a := range w.answers {
		if a.status == http.StatusBadGateway || a.status == http.StatusOK && !a.whole {
			n++
		}
	}
	return n
}

// load sends sound requests to every VM at intervals, until the returned function is called, which waits for the answers.
func (w *world) load(gap time.Duration, events int, parts ...string) (stop func()) {
	done := make(chan struct{})
	var sent sync.WaitGroup
	for _, v := range w.vms {
		sent.Go(func() {
			t := time.NewTicker(gap)
			defer t.Stop()
			for {
				select {
				case <-done:
					return
				case <-t.C:
					sent.Go(func() { w.send(v, events, parts...) })
				}
			}
		})
	}
	return func() {
		close(done)
		sent.Wait()
	}
}

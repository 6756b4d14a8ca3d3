//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
	"github.com/teaselstream/teaselstream/sock"
)

const (
	host = "test.example"
	// key and otherKey are the keys of the two tenants.
	key, otherKey = "key-a", "key-b"
	// startTime bounds the start of a gate until it is ready.
	startTime = 20 * time.Second
	// stopTime is the platform's GraceS: a gate that runs on after a SIGTERM is killed.
	stopTime = 8 * time.Second
	zone     = "zone-a"
)

// bounds are those of the smallest site, in the format of deploy/gate.ini.
const bounds = "[Bounds]\nDrainTime = 2000ms\nGraceTime = 8s\nRetryRatio = 0.2\nRetryWindow = 10s\nRetrySlack = 198\nMemoryMB = 284\n"

// bench is one run of a case: a store, gates and a record.
type bench struct {
	// trouble is false if the disruption is left out.
	trouble bool
	root    string
	store   *plat.Store
	address string
	server  *http.Server
	gates   []*gate
	// zones holds the zones of the gates; without it, all are in zone.
	zones []string
	files string

	mu   sync.Mutex
	out  *os.File
	from time.Time
}

// gate is one process of the system.
type gate struct {
	callers, ready string
	cmd            *exec.Cmd
	done           chan struct{}
}

func newBench(folder string, trouble bool) (*bench, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, fmt.Errorf("find folder: %w", err)
	}
	root := filepath.Dir(filepath.Dir(folder))
	if _, err := os.Stat(filepath.Join(root, "deploy", "gate.ini")); err != nil {
		return nil, fmt.Errorf("find the template of the settings: %w", err)
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("open record: %w", err)
	}
	b := &bench{trouble: trouble, root: root, store: &plat.Store{}, out: out, from: time.Now()}
	if b.files, err = os.MkdirTemp("", "rig2-"); err != nil {
		return nil, fmt.Errorf("make folder for settings: %w", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	b.address = l.Addr().String()
	b.server = &http.Server{Handler: b.store, ReadHeaderTimeout: time.Second}
	go func() { _ = b.server.Serve(l) }()
	b.record("disruption: %t", b.trouble)
	return b, nil
}

// record writes a line with the time since the start of the run.
func (b *bench) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.out, "%8.3f s  %s\n", time.Since(b.from).Seconds(), fmt.Sprintf(format, args...))
}

// startGates starts gates with the command of the deploy file and waits until all are ready.
func (b *bench) startGates(n int) error {
	for i := range n {
		if err := b.startGate(i); err != nil {
			return err
		}
	}
	for limit := time.Now().Add(startTime); ; time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(b.gates, func(g *gate) bool { return !g.isReady() }) {
			b.record("%d gates are ready", n)
			return nil
		}
		if time.Now().After(limit) {
			return errors.New("gates are not ready in time")
		}
	}
}

func (b *bench) startGate(i int) error {
	template, err := os.ReadFile(filepath.Join(b.root, "deploy", "gate.ini"))
	if err != nil {
		return fmt.Errorf("read template: %w", err)
	}
	addresses, err := plat.FreeAddresses(4)
	if err != nil {
		return err
	}
	var ports []int
	for _, a := range addresses[2:] {
		n, err := net.ResolveTCPAddr("tcp", a)
		if err != nil {
			return fmt.Errorf("parse address: %w", err)
		}
		ports = append(ports, n.Port)
	}
	domain := zone
	if i < len(b.zones) {
		domain = b.zones[i]
	}
	text, err := plat.ProcessSettings{
		Name: fmt.Sprintf("edge-%d", i), Domain: domain, Callers: addresses[0], Ready: addresses[1], Ports: ports, Store: b.address,
	}.Fill(string(template))
	if err != nil {
		return err
	}
	// The stand-in fills in no bounds.
	before, after, _ := strings.Cut(text, "[Bounds]")
	text = before + bounds + after[max(strings.Index(after, "["), 0):]
	file := filepath.Join(b.files, fmt.Sprintf("gate-%d.ini", i))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.Create(filepath.Join(b.files, fmt.Sprintf("gate-%d.log", i)))
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer sock.Discard(log)
	cmd := exec.Command(filepath.Join(b.root, "target", "gate"))
	cmd.Dir, cmd.Stdout, cmd.Stderr = b.root, log, log
	cmd.Env = append(os.Environ(), "TEASELSTREAM_SETTINGS="+file)
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start gate: %w", err)
	}
	g := &gate{callers: addresses[0], ready: addresses[1], cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(g.done)
	}()
	b.gates = append(b.gates, g)
	return nil
}

func (g *gate) isReady() bool {
	p, err := http.Get("http://" + g.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	sock.Discard(p.Body)
	return p.StatusCode == http.StatusOK
}

// ended reports whether the process has ended.
func (g *gate) ended() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// close ends all processes and reports whether one had ended by itself.
func (b *bench) close() error {
	var err error
	for i, g := range b.gates {
		if g.ended() {
			err = fmt.Errorf("gate %d has ended by itself: %s", i, g.cmd.ProcessState)
			continue
		}
		_ = g.cmd.Process.Signal(syscall.SIGTERM)
	}
	limit := time.After(stopTime)
	for _, g := range b.gates {
		select {
		case <-g.done:
		case <-limit:
			_ = g.cmd.Process.Kill()
			<-g.done
		}
	}
	sock.Discard(b.server)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.files)
	} else {
		b.record("settings and logs are in %s", b.files)
	}
	return err
}

// configure writes a configuration as the operator does.
func (b *bench) configure(routes, services []map[string]any) {
	b.store.Put("op/config", map[string]any{
		"Version": 1, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "team-a", "ApiKeys": []string{key}}, {"Name": "team-b", "ApiKeys": []string{otherKey}}},
	})
}

// orderRoute is a route for orders, which may run once.
func orderRoute(service string) map[string]any {
	return map[string]any{
		"Name": "order", "Host": host, "Prefix": "/order/", "RouteKind": "non_idempotent", "TimeoutMs": 2000, "FullValueMs": 100,
		"Service": service, "MaxAttempts": 1,
	}
}

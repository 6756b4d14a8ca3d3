package main

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
	"github.com/teaselstream/teaselstream/sock"
)

const (
	// defaultVMs is too few for readers; with 5 or more, VMs follow the store through one of them.
	defaultVMs   = 3
	modelCount   = 6
	plainCount   = 2
	layers       = 40
	callersPerVM = 4
	// startTimeout bounds the time until all layers are placed after the start.
	startTimeout = 15 * time.Second
	// recoveryTime is the time after the last fault within which every VM must serve again; the platform allows 12 s.
	recoveryTime = 12 * time.Second
	// requiredStreams is the number of consecutive streams that each VM must then serve.
	requiredStreams = 10
)

// testRun is the environment of one run: simulators of the platform, VMs as processes, links between them, and callers.
type testRun struct {
	directory string
	store     *plat.Store
	fleet     *plat.Fleet
	server    *http.Server
	replicas  map[string]*plat.Replica
	links     map[string]*link
	vms       []*vm
	callers   *callers
	version   int
	builds    builds

	mu sync.Mutex
	// claimed holds the names of the targets that a fault currently affects.
	claimed map[string]bool
	// starts counts the starts of each replica, which gets a new id each time.
	starts map[string]int
	// started holds all replicas that ran.
	started []*plat.Replica
}

func newTestRun(seed uint64, directory string, b builds, o options) (*testRun, error) {
	w := &testRun{
		directory: directory, store: &plat.Store{}, replicas: make(map[string]*plat.Replica), links: make(map[string]*link),
		claimed: make(map[string]bool), starts: make(map[string]int), version: 1, builds: b,
	}
	w.fleet = &plat.Fleet{Store: w.store, ModelService: "model", PlainService: "plain", Layers: layers, ListAddress: w.addLink}
	w.callers = &callers{fleet: w.fleet}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for store: %w", err)
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: startTimeout}
	go func() {
		if err := w.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			w.callers.recordViolation("store: %v", err)
		}
	}()
	w.fleet.Configure(w.version, testKey)
	for i := range modelCount + plainCount {
		if err := w.startReplica(fmt.Sprintf("m%d", i), i); err != nil {
			return w, err
		}
	}
	vmCount := cmp.Or(o.VMs, defaultVMs)
	for i, first := range b.drawFirst(seed, o.Replace, vmCount) {
		// Each call returns addresses of another host, since the template of the settings has a fixed port.
		addresses, err := plat.FreeAddresses(vmAddresses)
		if err != nil {
			return w, err
		}
		store, err := newLink(l.Addr().String())
		if err != nil {
			return w, err
		}
		v, err := newVM(fmt.Sprintf("vm%d", i), o.domain(i, vmCount), directory, first, addresses, store)
		if err != nil {
			return w, err
		}
		w.vms = append(w.vms, v)
	}
	return w, nil
}

// addLink puts a link in front of a replica and returns the link's address.
func (w *testRun) addLink(id, address string) (string, error) {
	k, err := newLink(address)
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links[replicaNameOf(id)] = k
	return k.address(), nil
}

// replicaNameOf returns the name of a replica, which stays the same across restarts.
func replicaNameOf(id string) string { return id[:2] }

// startReplica starts a replica under a new id. Numbers from modelCount on are replicas of the plain service.
func (w *testRun) startReplica(name string, number int) error {
	w.mu.Lock()
	w.starts[name]++
	id := fmt.Sprintf("%s-%d", name, w.starts[name])
	w.mu.Unlock()
	kind := "acc"
	if number >= modelCount {
		kind = ""
	}
	r, err := w.fleet.Add(id, "zone-a", kind)
	if err != nil {
		return fmt.Errorf("start replica: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicas[name] = r
	w.started = append(w.started, r)
	return nil
}

// replica returns the replica that currently has a name.
func (w *testRun) replica(name string) *plat.Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replicas[name]
}

// link returns the link in front of the replica that currently has a name.
func (w *testRun) link(name string) *link {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links[name]
}

// replace removes the entry of a crashed replica and starts a new one, which holds no layers.
func (w *testRun) replace(name string) error {
	w.mu.Lock()
	old, k := w.replicas[name], w.links[name]
	w.mu.Unlock()
	old.Remove()
	k.close()
	var number int
	if _, err := fmt.Sscanf(name, "m%d", &number); err != nil {
		return fmt.Errorf("parse number of replica %s: %w", name, err)
	}
	if err := w.startReplica(name, number); err != nil {
		return err
	}
	w.release(name)
	return nil
}

// writeAgain writes what the operator and the replicas have written last, and removes the entries of replicas that ended.
func (w *testRun) writeAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configure()
	for _, r := range w.started {
		if w.replicas[replicaNameOf(r.ID())] == r {
			r.Heartbeat()
		} else {
			r.Remove()
		}
	}
}

// configure writes the newest configuration. The caller holds the lock.
func (w *testRun) configure() {
	w.fleet.Configure(w.version, testKey, fmt.Sprintf("key-%d", w.version))
}

func (w *testRun) claim(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.claimed[name] {
		return false
	}
	w.claimed[name] = true
	return true
}

// claimReplica claims a replica unless fewer than minUndisturbed replicas of the model would then be without a fault. That
// many replicas can hold all layers.
func (w *testRun) claimReplica(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	disturbed := 0
	for i := range modelCount {
		if w.claimed[fmt.Sprintf("m%d", i)] {
			disturbed++
		}
	}
	if w.claimed[name] || disturbed >= modelCount-minUndisturbed {
		return false
	}
	w.claimed[name] = true
	return true
}

func (w *testRun) release(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.claimed, name)
}

// claimVM claims a random VM, or returns nil if another fault already affects it.
func (w *testRun) claimVM(r *rand.Rand) *vm {
	v := w.vms[r.IntN(len(w.vms))]
	if !w.claim(v.name) {
		return nil
	}
	return v
}

func (w *testRun) replicaName(r *rand.Rand) string { return fmt.Sprintf("m%d", r.IntN(modelCount)) }

// serves reports whether a VM serves a number of consecutive streams before a time.
func (w *testRun) serves(v *vm, streams int, limit time.Time) bool {
	t := &http.Transport{DisableCompression: true}
	defer t.CloseIdleConnections()
	for n := 0; n < streams; {
		if time.Now().After(limit) {
			return false
		}
		if w.callers.stream(t, v, shortStream) {
			n++
			continue
		}
		n = 0
		time.Sleep(refusedWait)
	}
	return true
}

// checkKeys checks that every VM applies the newest configuration: it accepts the new key and refuses the previous one.
func (w *testRun) checkKeys() {
	t := &http.Transport{DisableCompression: true}
	defer t.CloseIdleConnections()
	for _, v := range w.vms {
		for key, want := range map[string]bool{fmt.Sprintf("key-%d", w.version): true, fmt.Sprintf("key-%d", w.version-1): false} {
			id := w.callers.nextID(v.name)
			p, err := w.callers.send(t, v, http.MethodGet, "/look/"+id, id, key)
			if err != nil {
				w.callers.recordViolation("%s: %v", v.name, err)
				continue
			}
			sock.Discard(p.Body)
			if taken := p.StatusCode != http.StatusUnauthorized; w.version > 1 && taken != want {
				w.callers.recordViolation("%s: key %s with configuration version %d: accepted is %t", v.name, key, w.version, taken)
			}
		}
	}
}

// checkRegistered records a violation if a VM is not registered by a time.
func (w *testRun) checkRegistered(deadline time.Time) {
	n := len(w.store.Keys("vm/"))
	for ; n < len(w.vms) && time.Now().Before(deadline); n = len(w.store.Keys("vm/")) {
		time.Sleep(refusedWait)
	}
	if n < len(w.vms) {
		w.callers.recordViolation("%d of %d VMs are registered %s after the last fault", n, len(w.vms), recoveryTime)
	}
}

// close kills all VM processes, each by its id, and stops the simulators.
func (w *testRun) close() error {
	var errs []error
	for _, v := range w.vms {
		v.signal(syscall.SIGKILL, true)
		errs = append(errs, v.wait())
		v.store.close()
	}
	w.mu.Lock()
	for _, k := range w.links {
		k.close()
	}
	w.mu.Unlock()
	w.fleet.Close()
	return errors.Join(append(errs, w.server.Close())...)
}

// keepLogs prints the directory with the logs of a failed run, or removes the logs of a successful one.
func (w *testRun) keepLogs(failed bool) error {
	if failed {
		fmt.Println("logs:", w.directory)
		return nil
	}
	if err := os.RemoveAll(w.directory); err != nil {
		return fmt.Errorf("remove logs: %w", err)
	}
	return nil
}

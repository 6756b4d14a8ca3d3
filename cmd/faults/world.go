package main

import (
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
	vmCount      = 3
	modelCount   = 6
	plainCount   = 2
	layers       = 40
	callersPerVM = 4
	// startTime bounds the placement of all layers after the start.
	startTime = 15 * time.Second
	// healTime is the time after the last fault in which everything must serve again; the platform allows 12 s.
	healTime = 12 * time.Second
	// provingStreams is the number of streams that each VM must serve then.
	provingStreams = 10
)

// world is one run: stand-ins of the platform, VMs as processes, links between them, and callers.
type world struct {
	directory string
	store     *plat.Store
	fleet     *plat.Fleet
	server    *http.Server
	replicas  map[string]*plat.Replica
	links     map[string]*link
	vms       []*vm
	callers   *callers
	version   int

	mu sync.Mutex
	// busy names what a fault has in its hands.
	busy map[string]bool
	// generations counts the lives of each replica, whose ids are new each time.
	generations map[string]int
}

func newWorld(directory, program string) (*world, error) {
	w := &world{
		directory: directory, store: &plat.Store{}, replicas: make(map[string]*plat.Replica), links: make(map[string]*link),
		busy: make(map[string]bool), generations: make(map[string]int), version: 1,
	}
	w.fleet = &plat.Fleet{Store: w.store, ModelService: "model", PlainService: "plain", Layers: layers, ListAddress: w.through}
	w.callers = &callers{fleet: w.fleet}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: startTime}
	go func() {
		if err := w.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			w.callers.violate("store: %v", err)
		}
	}()
	w.fleet.Configure(w.version, testKey)
	for i := range modelCount + plainCount {
		if err := w.add(fmt.Sprintf("m%d", i), i); err != nil {
			return w, err
		}
	}
	for i := range vmCount {
		store, err := newLink(l.Addr().String())
		if err != nil {
			return w, err
		}
		v, err := newVM(fmt.Sprintf("vm%d", i), directory, program, store)
		if err != nil {
			return w, err
		}
		w.vms = append(w.vms, v)
	}
	return w, nil
}

// through puts a link before a replica.
func (w *world) through(id, address string) (string, error) {
	k, err := newLink(address)
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links[nameOf(id)] = k
	return k.address(), nil
}

// nameOf returns the name of a replica, which its lives share.
func nameOf(id string) string { return id[:2] }

// add starts a life of a replica; the last plainCount numbers are those of the plain service.
func (w *world) add(name string, number int) error {
	w.mu.Lock()
	w.generations[name]++
	id := fmt.Sprintf("%s-%d", name, w.generations[name])
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
	return nil
}

// replace removes the entry of a replica that has crashed and starts a new one, which is empty.
func (w *world) replace(name string) error {
	w.mu.Lock()
	old, k := w.replicas[name], w.links[name]
	w.mu.Unlock()
	old.Remove()
	k.close()
	var number int
	if _, err := fmt.Sscanf(name, "m%d", &number); err != nil {
		return fmt.Errorf("number of %s: %w", name, err)
	}
	if err := w.add(name, number); err != nil {
		return err
	}
	w.release(name)
	return nil
}

func (w *world) claim(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[name] {
		return false
	}
	w.busy[name] = true
	return true
}

// claimReplica leaves enough replicas of the model alone that its layers can be held.
func (w *world) claimReplica(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	disturbed := 0
	for i := range modelCount {
		if w.busy[fmt.Sprintf("m%d", i)] {
			disturbed++
		}
	}
	if w.busy[name] || disturbed >= modelCount-leastHolders {
		return false
	}
	w.busy[name] = true
	return true
}

func (w *world) release(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.busy, name)
}

// freeVM claims a VM that no other fault has, or returns nil.
func (w *world) freeVM(r *rand.Rand) *vm {
	v := w.vms[r.IntN(len(w.vms))]
	if !w.claim(v.name) {
		return nil
	}
	return v
}

func (w *world) replicaName(r *rand.Rand) string { return fmt.Sprintf("m%d", r.IntN(modelCount)) }

// serves reports whether a VM serves a number of streams in a row before a time.
func (w *world) serves(v *vm, streams int, limit time.Time) bool {
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

// judgeKeys checks that every VM follows the newest configuration: keys that it dropped are refused, and its own serve.
func (w *world) judgeKeys() {
	t := &http.Transport{DisableCompression: true}
	defer t.CloseIdleConnections()
	for _, v := range w.vms {
		for key, want := range map[string]bool{fmt.Sprintf("key-%d", w.version): true, fmt.Sprintf("key-%d", w.version-1): false} {
			id := w.callers.nextID(v.name)
			p, err := w.callers.send(t, v, http.MethodGet, "/look/"+id, id, key)
			if err != nil {
				w.callers.violate("%s: %v", v.name, err)
				continue
			}
			sock.Discard(p.Body)
			if taken := p.StatusCode != http.StatusUnauthorized; w.version > 1 && taken != want {
				w.callers.violate("%s: key %s of version %d taken: %t", v.name, key, w.version, taken)
			}
		}
	}
}

// close ends all processes, each by its id, and the stand-ins.
func (w *world) close() error {
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

// keepLogs says where the logs of a failed run are, or removes those of a good one.
func (w *world) keepLogs(failed bool) error {
	if failed {
		fmt.Println("logs:", w.directory)
		return nil
	}
	if err := os.RemoveAll(w.directory); err != nil {
		return fmt.Errorf("remove logs: %w", err)
	}
	return nil
}

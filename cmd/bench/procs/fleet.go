package procs

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/teaselstream/teaselstream"
)

type (
	// Fleet is a set of processes on a loopback address that no other fleet uses.
	Fleet struct {
		programs  Programs
		directory string
		host      string
		network   *network
		processes map[string]*process
		owners    atomic.Pointer[[]ownedProcess]
	}

	// node is a process or replica with its own ports, which derive from its number. A node with an empty domain is in no
	// failure domain.
	node struct {
		number int
		domain string
	}

	ownedProcess struct {
		process *process
		peer    peer
	}
)

const (
	vmCount     = 4
	storeNumber = 501
	listNumber  = 502
	// A VM listens for callers at callerPort plus the last two digits of its number, and for operators 50 ports higher.
	callerPort = 7100
	// A node listens at directPort plus its number; VMs reach it through a forwarder at forwardPort plus its number.
	directPort  = 7000
	forwardPort = 8000
)

//go:embed testdata/fleet.ini
var environmentDocument string

var (
	fleets atomic.Uint32
	// nodes lists all nodes by name; each has a forwarder.
	nodes = map[string]node{
		"store": {storeNumber, ""}, "list": {listNumber, ""},
		"a1": {301, "zone-a"}, "a2": {302, "zone-a"}, "b1": {303, "zone-b"}, "b2": {304, "zone-b"}, "c1": {305, "zone-c"},
		"s1": {401, "zone-a"}, "s2": {402, "zone-b"}, "s3": {403, "zone-c"},
		"vm1": {201, "zone-a"}, "vm2": {202, "zone-b"}, "vm3": {203, "zone-c"}, "vm4": {204, "zone-a"},
	}
	engines = []string{"a1", "a2", "b1", "b2", "c1"}
)

// NewFleet returns a fleet without processes. Each fleet has its own loopback address, so that concurrent runs do not collide.
func NewFleet(p Programs) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "procs")
	if err != nil {
		return nil, fmt.Errorf("make directory: %w", err)
	}
	pid := os.Getpid()
	f := &Fleet{
		programs: p, directory: dir, processes: map[string]*process{},
		host: fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, fleets.Add(1)&255),
	}
	f.owners.Store(&[]ownedProcess{})
	f.network = newNetwork(f.ownerOf)
	for name := range nodes {
		if err := f.network.forward(f.forwarded(name), f.direct(name), f.peer(name)); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	direct := strings.NewReplacer("HOST", f.host, "MAXTOKENS", "1024").Replace(environmentDocument)
	return f, errors.Join(f.write("secret", "procs-secret"), f.write("key", "procs-key"), f.write("own.ini", direct))
}

func (f *Fleet) at(port int) string { return fmt.Sprintf("%s:%d", f.host, port) }

func (f *Fleet) direct(name string) string { return f.at(directPort + nodes[name].number) }

func (f *Fleet) forwarded(name string) string { return f.at(forwardPort + nodes[name].number) }

func (f *Fleet) callerAddr(vm string) string { return f.at(callerPort + nodes[vm].number%100) }

func (f *Fleet) operatorAddr(vm string) string { return f.at(callerPort + 50 + nodes[vm].number%100) }

func (f *Fleet) peer(name string) peer { return peer{name: name, domain: nodes[name].domain} }

func (f *Fleet) write(name, text string) error {
	if err := os.WriteFile(filepath.Join(f.directory, name), []byte(text), 0o600); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

func (f *Fleet) file(name string) string { return filepath.Join(f.directory, name) }

// ownerOf returns the fleet process at the remote end of a connection. Connections of the script itself belong to no
// failure domain and give an empty peer.
func (f *Fleet) ownerOf(c net.Conn) peer {
	s, ok := peerSocket(c)
	if !ok {
		return peer{}
	}
	for _, o := range *f.owners.Load() {
		if o.process.running() && o.process.hasSocket(s) {
			return o.peer
		}
	}
	return peer{}
}

// document writes version n of the environment document, with forwarded addresses, and returns its path.
func (f *Fleet) document(n int) (string, error) {
	name := fmt.Sprintf("document%d.ini", n)
	text := strings.NewReplacer("HOST:7", f.host+":8", "MAXTOKENS", fmt.Sprint(1024+n)).Replace(environmentDocument)
	return f.file(name), f.write(name, text)
}

// Start starts one process. It also enters a VM into the platform's list.
func (f *Fleet) Start(name string) error {
	if p := f.processes[name]; p != nil && p.running() {
		return fmt.Errorf("%s is already running", name)
	}
	args := map[string][]string{
		"store":  {"store", "--listen", f.direct("store")},
		"list":   {"vmlist", "--listen", f.direct("list")},
		"orders": {"service", "--document", f.file("own.ini"), "--name", "orders"},
	}[name]
	program := "stand"
	switch {
	case strings.HasPrefix(name, "vm"):
		program, args = "entry", []string{"--config", f.file(name + ".ini")}
		if err := errors.Join(f.write(name+".ini", f.settings(name)), f.SetListState(name, teaselstream.ListLive)); err != nil {
			return err
		}
	case args == nil:
		args = []string{"engine", "--document", f.file("own.ini"), "--name", name, "--load-lag", "100ms", "--exit-on-crash"}
	}
	p, err := f.programs.start(f.directory, name, program, args...)
	if err != nil {
		return err
	}
	f.processes[name] = p
	t := append([]ownedProcess(nil), *f.owners.Load()...)
	t = append(t, ownedProcess{p, f.peer(name)})
	f.owners.Store(&t)
	return nil
}

func (f *Fleet) settings(vm string) string {
	var peers []string
	for n := range vmCount {
		peers = append(peers, f.forwarded(fmt.Sprintf("vm%d", n+1)))
	}
	return fmt.Sprintf(`[VM]
Name = %s
Domain = %s
Region = north
Environment = demo
[Listen]
Callers = %s
Operators = %s
Peers = %s
[Store]
Addresses = %s
[List]
Address = %s
[Peers]
Addresses = %s
SecretFile = secret
[Operators]
KeyFile = key
[Limits]
BalancerDelay = 500ms
DrainTimeout = 20s
`, vm, nodes[vm].domain, f.callerAddr(vm), f.operatorAddr(vm), f.direct(vm),
		f.forwarded("store"), f.forwarded("list"), strings.Join(peers, ", "))
}

// SetListState enters a VM or server into the platform's list with a state; the state "Absent" removes its entry.
func (f *Fleet) SetListState(name, state string) error {
	if state == "Absent" {
		return f.request("list", http.MethodDelete, "/v1/vms/"+name, nil)
	}
	e := teaselstream.ListEntry{
		Name: name, Kind: teaselstream.ListKindVM, Domain: teaselstream.DomainID(nodes[name].domain),
		Address: f.forwarded(name), State: state, Incarnation: 1,
	}
	if !strings.HasPrefix(name, "vm") {
		e.Kind = string(teaselstream.KindModel)
		if name[0] == 's' {
			e.Kind = string(teaselstream.KindService)
		}
		// VMs ignore a list entry with the incarnation of an earlier process.
		_, body, err := get(f.direct(name), "/v1/load")
		if err != nil {
			return err
		}
		var load struct{ Incarnation teaselstream.Incarnation }
		if err := json.Unmarshal(body, &load); err != nil {
			return fmt.Errorf("parse load of %s: %w", name, err)
		}
		e.Incarnation = load.Incarnation
	}
	return f.post("list", "/v1/vms", e)
}

// post sends a value as JSON to the direct address of a simulator.
func (f *Fleet) post(name, path string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	return f.request(name, http.MethodPost, path, data)
}

func (f *Fleet) request(name, method, path string, body []byte) error {
	q, err := http.NewRequest(method, "http://"+f.direct(name)+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := client.Do(q)
	if err != nil {
		return fmt.Errorf("%s of %s: %w", path, name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s of %s: status %s", path, name, resp.Status)
	}
	return nil
}

// Close kills all processes that still run, each by its process id, and deletes the fleet's files.
func (f *Fleet) Close() error {
	f.network.close()
	var errs []error
	for _, p := range f.processes {
		if p.running() {
			_, err := p.signalAndWait(syscall.SIGKILL)
			errs = append(errs, err)
		}
	}
	return errors.Join(append(errs, os.RemoveAll(f.directory))...)
}

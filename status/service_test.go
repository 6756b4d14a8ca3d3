package status

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/ramp"
)

// testVM is a Service on loopback that keeps the messages to its control loop.
type testVM struct {
	Service
	listener net.Listener
	stop     context.CancelFunc
	mu       sync.Mutex
	messages []teaselstream.Msg
	peers    []fleet.Peer
}

func (v *testVM) setPeers(peers []fleet.Peer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peers = peers
}

func (v *testVM) currentPeers() []fleet.Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.peers
}

func (v *testVM) post(m teaselstream.Msg) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.messages = append(v.messages, m)
}

// knows reports whether the VM was told of a server in a state.
func (v *testVM) knows(id teaselstream.ServerID, state fleet.Reachability) bool {
	return v.has(func(m teaselstream.Msg) bool {
		o, ok := m.(fleet.Observed)
		return ok && slices.ContainsFunc(o.Observations, func(x fleet.Observation) bool { return x.Server == id && x.State == state })
	})
}

func (v *testVM) has(f func(teaselstream.Msg) bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.ContainsFunc(v.messages, f)
}

// startVMs starts VMs of one domain in the order in which they observe. The last one is of an old build if wanted, which does not know
// the paths of this package.
func startVMs(t *testing.T, count int, old func(rank int) bool) []*testVM {
	t.Helper()
	return startVMsIn(t, "near", count, old)
}

func startVMsIn(t *testing.T, domain teaselstream.DomainID, count int, old func(rank int) bool) []*testVM {
	t.Helper()
	var peers []fleet.Peer
	byName := make(map[teaselstream.VMID]*testVM)
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := fleet.Peer{Name: teaselstream.VMID(fmt.Sprintf("%s-vm%d", domain, i)), Domain: domain, Address: l.Addr().String()}
		peers = append(peers, p)
		byName[p.Name] = &testVM{listener: l, Service: Service{Self: p}}
	}
	var names []teaselstream.VMID
	for _, p := range peers {
		names = append(names, p.Name)
	}
	var vms []*testVM
	for rank, name := range teaselstream.RendezvousOrder("status/"+string(domain), names) {
		v := byName[name]
		v.setPeers(peers)
		v.Peers = v.currentPeers
		v.Post, v.Log = v.post, slog.New(slog.NewTextHandler(io.Discard, nil))
		v.Teams = func() []TeamLoad { return []TeamLoad{{"model", "alpha", 1}} }
		v.SetTeams = func([]TeamLoad) {}
		v.Samples = func() []ramp.Sample { return []ramp.Sample{{Server: "s9", OnTime: 1}} }
		v.Shares = func() []Share { return []Share{{Server: "s9", Share: 0.5}} }
		v.Unanswered = func(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
		v.Isolated = func() bool { return false }
		v.DomainOf = func(id teaselstream.ServerID) teaselstream.DomainID {
			_, d, _ := strings.Cut(string(id), "-")
			return teaselstream.DomainID(d)
		}
		v.ReadReport = func(teaselstream.ServerID) (teaselstream.ReplicaReport, error) {
			return teaselstream.ReplicaReport{Running: 3}, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		v.stop = cancel
		t.Cleanup(cancel)
		v.serve(t, old != nil && old(rank))
		if old == nil || !old(rank) {
			go v.Run(ctx)
		}
		vms = append(vms, v)
	}
	return vms
}

func (v *testVM) serve(t *testing.T, old bool) {
	handlers := v.Handlers()
	s := &fasthttp.Server{CloseOnShutdown: true, Handler: func(c *fasthttp.RequestCtx) {
		if h := handlers[string(c.Path())]; h != nil && !old {
			h(c)
			return
		}
		c.SetStatusCode(fasthttp.StatusBadRequest)
	}}
	go func() { _ = s.Serve(v.listener) }()
	t.Cleanup(func() { _ = s.Shutdown() })
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for limit := time.Now().Add(5 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("never: " + what)
		}
	}
}

// Guards against news about a server that does not reach the other VMs of the domain at once, and against loads that never do.
func TestNewsReachesAllVMs(t *testing.T) {
	vms := startVMs(t, 6, nil)
	eventually(t, "first VM observes", vms[0].Observes)
	for _, v := range vms[1:] {
		eventually(t, "VM knows the observer", v.Known)
	}
	vms[0].Publish(Publish{Record: Record{Server: "s1", State: fleet.Ended}, News: true})
	for _, v := range vms[1:] {
		eventually(t, "VM knows that the server ended", func() bool { return v.knows("s1", fleet.Ended) })
	}
	vms[0].Publish(Publish{Record: Record{Server: "s2", Running: 4}})
	eventually(t, "VM knows the load", func() bool { return vms[5].knows("s2", fleet.Answering) })
	vms[4].Stalled([]teaselstream.ServerID{"s3"})
	eventually(t, "observer knows that a stream stands still", func() bool {
		return vms[0].has(func(m teaselstream.Msg) bool { _, ok := m.(StreamStalled); return ok })
	})
	eventually(t, "observer has the counts of another VM", func() bool {
		return vms[0].has(func(m teaselstream.Msg) bool { x, ok := m.(ramp.Samples); return ok && len(x.Counts) == 1 })
	})
	eventually(t, "VM has the share that the observer found", func() bool {
		return vms[5].has(func(m teaselstream.Msg) bool { x, ok := m.(ramp.Shared); return ok && x.Share == 0.5 })
	})
	if r, ok, err := vms[5].Report("s1"); !ok || err != nil || r.Running != 3 {
		t.Errorf("Report() = %+v, %t, %v; want that of the observer", r, ok, err)
	}
	if _, ok, _ := vms[0].Report("s1"); ok {
		t.Error("the observer asks another VM for a report")
	}
}

// Guards against a domain that is left without news when the observing VM is killed, and against two VMs that both observe for long.
func TestObserverIsKilled(t *testing.T) {
	vms := startVMs(t, 6, nil)
	eventually(t, "VM knows the observer", vms[5].Known)
	vms[0].stop()
	if err := vms[0].listener.Close(); err != nil {
		t.Fatal(err)
	}
	vms[0].observing.Store(false)
	eventually(t, "second VM observes", vms[1].Observes)
	vms[1].Publish(Publish{Record: Record{Server: "s1", State: fleet.Silent}, News: true})
	eventually(t, "VM has news of the second", func() bool { return vms[5].knows("s1", fleet.Silent) })
	if vms[2].Observes() {
		t.Error("the third VM observes although the second does")
	}
}

// Guards against VMs beside an old build, which does not know the messages, that have no observer: the next one in rank observes.
func TestOldBuildIsFirst(t *testing.T) {
	vms := startVMs(t, 6, func(rank int) bool { return rank == 0 })
	eventually(t, "second VM observes", vms[1].Observes)
	for _, v := range vms[2:] {
		eventually(t, "VM knows the observer", v.Known)
	}
}

// Guards against a small domain, or one whose VMs that may observe are all old, in which VMs rely on news that never comes.
func TestNoObserver(t *testing.T) {
	few := startVMs(t, 4, nil)
	old := startVMs(t, 6, func(rank int) bool { return rank < observersPerDomain })
	time.Sleep(2 * retryPause)
	for _, v := range slices.Concat(few, old[observersPerDomain:]) {
		if v.Known() || v.Observes() {
			t.Errorf("VM %s relies on an observer", v.Self.Name)
		}
	}
}

// Guards against a connection whose end is not noticed, or is reported by a VM that does not observe.
func TestConnectionEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns Conns
	c, err := conns.Dial((&net.Dialer{}).DialContext)(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan string, 4)
	go conns.Run(ctx, func() bool { return true }, func(a string) { ended <- a })
	time.Sleep(3 * endCheckPeriod)
	if len(ended) > 0 {
		t.Fatal("an open connection was reported")
	}
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	if a := <-ended; a != l.Addr().String() {
		t.Errorf("reported %s, want %s", a, l.Addr())
	}
}

// Guards against a VM that does not learn of a server of another failure domain, on which its streams may run too, and against records that go
// back and forth between two domains.
func TestNewsOfOtherDomains(t *testing.T) {
	near, far := startVMs(t, 5, nil), startVMsIn(t, "far", 5, nil)
	all := append(slices.Clone(near[0].Peers()), far[0].Peers()...)
	for _, v := range slices.Concat(near, far) {
		v.setPeers(all)
	}
	for _, v := range slices.Concat(near[1:], far[1:]) {
		eventually(t, "VM knows the observer", v.Known)
	}
	eventually(t, "observer knows that of the other domain", func() bool { _, ok := near[0].foreign.get("far"); return ok })
	far[0].Publish(Publish{Record: Record{Server: "s-far", State: fleet.Ended}, News: true})
	eventually(t, "VM knows that the other domain's server ended", func() bool { return near[4].knows("s-far", fleet.Ended) })
	near[4].Stalled([]teaselstream.ServerID{"s-near", "s-far"})
	eventually(t, "the other domain's observer knows that a stream stands still", func() bool {
		return far[0].has(func(m teaselstream.Msg) bool {
			s, ok := m.(StreamStalled)
			return ok && slices.Equal(s.Servers, []teaselstream.ServerID{"s-far"})
		})
	})
	if a := near[0].journal.since(time.Now(), 0, 0, true); len(a.Records) != 0 {
		t.Errorf("the other domain is told of its own servers: %+v", a.Records)
	}
}

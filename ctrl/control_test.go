package ctrl

import (
	"context"
	"os"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/envdoc"
	"github.com/teaselstream/teaselstream/wire"
)

type (
	// fakeStore keeps records in memory. Its watches wait until the key changes, and it grants no leases.
	fakeStore struct {
		teaselstream.Store
		mu      sync.Mutex
		records map[string]teaselstream.Record
		changed chan struct{}
	}

	fakeEngine struct{ teaselstream.Engine }

	noList struct{}
)

func (fakeEngine) Load(context.Context, string) (teaselstream.Load, error) {
	return teaselstream.Load{Incarnation: 1}, nil
}

func (noList) List(context.Context) ([]teaselstream.ListEntry, error) { return nil, nil }

func (*fakeStore) Grant(context.Context, time.Duration) (teaselstream.LeaseID, error) {
	return 0, teaselstream.ErrUnavailable
}

func (s *fakeStore) put(key string, v []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[key] = teaselstream.Record{Value: v, Revision: s.records[key].Revision + 1}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Get(_ context.Context, key string) (teaselstream.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[key]; ok {
		return r, nil
	}
	return teaselstream.Record{}, teaselstream.ErrNotFound
}

func (s *fakeStore) Watch(ctx context.Context, key string, after teaselstream.Revision) (teaselstream.Record, error) {
	for {
		s.mu.Lock()
		r, wait := s.records[key], s.changed
		s.mu.Unlock()
		if r.Revision > after {
			return r, nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return teaselstream.Record{}, ctx.Err()
		}
	}
}

func (s *fakeStore) promote(t *testing.T, g teaselstream.Generation, data []byte) {
	t.Helper()
	c, err := envdoc.Canonical(data)
	if err != nil {
		t.Fatal(err)
	}
	parts, err := envdoc.EncodeBody(c)
	if err != nil {
		t.Fatal(err)
	}
	d := envdoc.DigestOf(c)
	for i, p := range parts {
		s.put(envdoc.PartKey("demo", d, i), p)
	}
	b, err := envdoc.Slot{Generation: g, Digest: d}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.put(envdoc.ProdKey("demo"), b)
}

func start(t *testing.T, s *fakeStore, vm teaselstream.VMID, seeds ...string) *Control {
	t.Helper()
	c, err := Start(context.Background(), Options{
		VM: vm, Domain: "zone-a", Environment: "demo", Store: s, Engine: fakeEngine{}, List: noList{},
		ListenPeers: "127.0.0.1:0", Secret: []byte("secret"), Seeds: seeds, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// eventually polls f until it is true, without a limit of its own: the test binary's timeout ends a hang.
func eventually(f func() bool) {
	for !f() {
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against documents that don't reach the snapshot, VMs that don't find each other, messages
// that are lost between VMs, and goroutines that outlive Stop.
func TestTwoVMs(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
	data, err := os.ReadFile("../examples/three-domains.ini")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeStore{records: map[string]teaselstream.Record{}, changed: make(chan struct{})}
	s.promote(t, 1, data)
	a := start(t, s, "a")
	b := start(t, s, "b", a.PeerAddress())
	generation := func(c *Control, g teaselstream.Generation) func() bool {
		return func() bool { x := c.Snapshot(); return x != nil && x.LiveVMs == 2 && x.Document.Generation == g }
	}
	eventually(generation(a, 1))
	eventually(generation(b, 1))
	serving := func() bool {
		for _, v := range b.Snapshot().Servers {
			if !v.State.TakesNewWork() {
				return false
			}
		}
		return len(b.Snapshot().Servers) == len(b.Snapshot().Document.Servers)
	}
	eventually(serving)
	s.promote(t, 2, append(data, "\n[Team gamma]\nKeyDigests = abababababababababababababababababababababababababababababababab\n"...))
	eventually(generation(a, 2))
	eventually(generation(b, 2))

	got := make(chan wire.Message, 1)
	a.SetReceiver(func(_ teaselstream.VMID, m wire.Message) { got <- m })
	eventually(func() bool { return b.Send("a", wire.OrderForward{Payload: wire.Payload{Request: "r"}}) == nil })
	if m, ok := (<-got).(wire.OrderForward); !ok || m.Request != "r" {
		t.Errorf("received %v, want the forwarded order", m)
	}
	for _, c := range []*Control{a, b} {
		if err := c.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	}
}

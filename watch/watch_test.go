package watch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/crash"
	"github.com/teaselstream/teaselstream/fleet"
)

// scriptedStore answers List from a map and each call of Follow with the next scripted answer.
type scriptedStore struct {
	teaselstream.Directory
	mu      sync.Mutex
	entries []teaselstream.Entry
	listed  []teaselstream.Freshness
	follows []follow
	done    func()
	granted int
	swaps   []teaselstream.Revision
	keep    error
	era     teaselstream.Era
}

type follow struct {
	entries []teaselstream.Entry
	err     error
	// restored is the number of times that the store comes back from an older copy before the answer.
	restored teaselstream.Era
}

func (s *scriptedStore) List(_ context.Context, _ string, f teaselstream.Freshness) ([]teaselstream.Entry, teaselstream.Position, error) {
	s.listed = append(s.listed, f)
	return s.entries, teaselstream.Position{Era: 1, Revision: 10}, nil
}

func (s *scriptedStore) Follow(_ context.Context, _ string, after teaselstream.Position, _ time.Duration) ([]teaselstream.Entry, teaselstream.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.follows) == 0 {
		s.done()
		return nil, after, nil
	}
	f := s.follows[0]
	s.follows = s.follows[1:]
	after.Revision++
	after.Era += f.restored
	return f.entries, after, f.err
}

func (s *scriptedStore) Era() teaselstream.Era { return s.era }

func (s *scriptedStore) Grant(context.Context, time.Duration) (teaselstream.LeaseID, error) {
	s.granted++
	return teaselstream.LeaseID(s.granted), nil
}

func (s *scriptedStore) KeepAlive(context.Context, teaselstream.LeaseID) error { return s.keep }

func (s *scriptedStore) Get(context.Context, string) (teaselstream.Record, error) {
	return teaselstream.Record{Revision: 7}, nil
}

func (s *scriptedStore) CompareAndSwap(_ context.Context, _ string, expected teaselstream.Revision, _ []byte, _ teaselstream.LeaseID) (teaselstream.Revision, error) {
	s.swaps = append(s.swaps, expected)
	if expected != 7 {
		return 0, teaselstream.ErrConflict
	}
	return 8, nil
}

// Guards against changes that are lost when the store compacts its history or does not answer, against an unreadable entry
// that hides the others, and against changes that reach the core before the message that the store was lost, regained or restored.
func TestFollower(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &scriptedStore{done: cancel, entries: []teaselstream.Entry{
		{Key: "cfg", Value: []byte("1")}, {Key: "srv/a"}, {Key: "srv/bad"}, {Key: "vm/x", Value: []byte(`{"Name":"x"}`)},
	}, follows: []follow{
		{entries: []teaselstream.Entry{{Key: "srv/b"}, {Key: "srv/bad"}, {Key: "srv/a", Deleted: true}, {Key: "other"}}},
		{err: teaselstream.ErrUnavailable},
		{entries: []teaselstream.Entry{{Key: "cfg", Value: []byte("2")}, {Key: "vm/x", Deleted: true}}},
		{entries: []teaselstream.Entry{{Key: "srv/b", Deleted: true}}, restored: 1},
		{err: teaselstream.ErrCompacted},
	}}
	var got []string
	f := &Follower{
		Directory: s, RoutingKey: "cfg", ReplicaPrefix: "srv/", Rand: rand.New(rand.NewPCG(1, 2)), Log: slog.New(slog.DiscardHandler),
		DecodeRouting: func(v []byte) (*teaselstream.Routing, error) {
			return &teaselstream.Routing{Generation: teaselstream.Generation(v[0] - '0')}, nil
		},
		DecodeReplica: func(key string, _ []byte) (teaselstream.Replica, error) {
			if key == "srv/bad" {
				return teaselstream.Replica{}, errors.New("unreadable")
			}
			return teaselstream.Replica{ID: teaselstream.ServerID(strings.TrimPrefix(key, "srv/"))}, nil
		},
		Post: func(m teaselstream.Msg) { got = append(got, describe(m)) },
	}
	f.Run(ctx)
	want := "config 1; list [a]; 1 VMs; record at 1.0; changed b; removed a; lost; regained; config 2; 0 VMs; restored; removed b; restored; config 1; list [a]; 1 VMs; record at 1.0"
	if text := strings.Join(got, "; "); text != want {
		t.Errorf("messages:\n%s\nwant:\n%s", text, want)
	}
	// A stale list after the loss of the history could bring back a server that is known to be leaving.
	if len(s.listed) != 2 || s.listed[0] != teaselstream.Stale || s.listed[1] != teaselstream.Current {
		t.Errorf("freshness of the lists is %v, want stale at the start and current later", s.listed)
	}
}

// Guards against lists in a tight loop from a store that never has the changes since the last one.
func TestListsAreSpaced(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &scriptedStore{done: cancel}
	for range 4 {
		s.follows = append(s.follows, follow{err: teaselstream.ErrCompacted})
	}
	f := &Follower{Directory: s, Rand: rand.New(rand.NewPCG(1, 2)), Log: slog.New(slog.DiscardHandler), Post: func(teaselstream.Msg) {}}
	began := time.Now()
	f.Run(ctx)
	if took := time.Since(began); took < minBackoff {
		t.Errorf("%d lists within %s, want a backoff after the second", len(s.listed), took)
	}
}

// Guards against VMs that count fewer of them, and take larger parts of what they share, while the others register again with a store that
// has come back from an older copy, and against VMs that are counted for good although they ended.
func TestPeersOfARestoredStore(t *testing.T) {
	vm := func(name string) teaselstream.Entry {
		return teaselstream.Entry{Key: vmPrefix + name, Value: []byte(`{"Name":"` + name + `"}`)}
	}
	s := &scriptedStore{entries: []teaselstream.Entry{vm("x"), vm("y"), vm("z")}}
	var peers []fleet.Peer
	f := &Follower{Directory: s, RoutingKey: "cfg", ReplicaPrefix: "srv/", Log: slog.New(slog.DiscardHandler), Post: func(m teaselstream.Msg) {
		if p, ok := m.(fleet.PeersListed); ok {
			peers = p.Peers
		}
	}}
	step := func(listed bool, changes follow) int {
		s.follows = []follow{changes}
		if err := f.step(context.Background(), listed); err != nil {
			t.Fatal(err)
		}
		return len(peers)
	}
	gone := func(name string) teaselstream.Entry { return teaselstream.Entry{Key: vmPrefix + name, Deleted: true} }
	if n := step(false, follow{}); n != 3 {
		t.Fatalf("%d VMs, want 3", n)
	}
	if n := step(true, follow{entries: []teaselstream.Entry{gone("y"), gone("z")}, restored: 1}); n != 3 {
		t.Errorf("%d VMs after the store has lost two of them, want 3", n)
	}
	if n := step(true, follow{entries: []teaselstream.Entry{vm("y")}}); n != 3 {
		t.Errorf("%d VMs after one has registered again, want 3", n)
	}
	f.restoredAt = f.restoredAt.Add(-reregisterTime)
	f.missing[vmPrefix+"z"] = f.restoredAt
	if n := step(true, follow{}); n != 2 {
		t.Errorf("%d VMs after the last one has not registered again, want 2", n)
	}
	if n := step(true, follow{entries: []teaselstream.Entry{gone("y")}}); n != 1 {
		t.Errorf("%d VMs after one has ended, want 1", n)
	}
}

func describe(m teaselstream.Msg) string {
	switch m := m.(type) {
	case fleet.RoutingRead:
		return fmt.Sprintf("config %d", m.Routing.Generation)
	case fleet.ReplicasListed:
		var ids []teaselstream.ServerID
		for _, r := range m.Replicas {
			ids = append(ids, r.ID)
		}
		return fmt.Sprintf("list %v", ids)
	case fleet.ReplicaChanged:
		return "changed " + string(m.Replica.ID)
	case fleet.ReplicaRemoved:
		return "removed " + string(m.Server)
	case fleet.PeersListed:
		return fmt.Sprintf("%d VMs", len(m.Peers))
	case fleet.StoreLost:
		return "lost"
	case fleet.StoreRegained:
		return "regained"
	case crash.RecordRead:
		return fmt.Sprintf("record at %d.%d", m.At.Era, m.At.Revision)
	case fleet.StoreRestored:
		return "restored"
	}
	return fmt.Sprintf("%T", m)
}

// Guards against a VM that stays unregistered because an earlier run left its entry, because its lease expired, or because the store has
// come back from a copy that holds its lease without its entry.
func TestRegistrar(t *testing.T) {
	s := &scriptedStore{}
	r := &Registrar{Directory: s, Self: fleet.Peer{Name: "x"}, Log: slog.New(slog.DiscardHandler)}
	if err := r.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(s.swaps) != "[0 7]" {
		t.Errorf("writes expected revisions %v, want 0 for an absent key and then 7 for the entry of the earlier run", s.swaps)
	}
	if err := r.step(context.Background()); err != nil || s.granted != 1 {
		t.Errorf("renewal: error %v, %d leases, want one", err, s.granted)
	}
	s.keep = teaselstream.ErrNotFound
	if err := r.step(context.Background()); err != nil || s.granted != 2 {
		t.Errorf("expired lease: error %v, %d leases, want two", err, s.granted)
	}
	s.keep, s.era = nil, 2
	if err := r.step(context.Background()); err != nil || s.granted != 3 {
		t.Errorf("restored store: error %v, %d leases, want three", err, s.granted)
	}
	if err := r.step(context.Background()); err != nil || s.granted != 3 {
		t.Errorf("renewal in the new era: error %v, %d leases, want three", err, s.granted)
	}
	s.keep = teaselstream.ErrUnavailable
	if err := r.step(context.Background()); !errors.Is(err, teaselstream.ErrUnavailable) || s.granted != 3 {
		t.Errorf("store unavailable: error %v, %d leases, want the lease kept", err, s.granted)
	}
}

// publishStore is a store with one key, whose first writes fail as scripted.
type publishStore struct {
	teaselstream.Store
	mu       sync.Mutex
	revision teaselstream.Revision
	errs     []error
	written  chan string
}

func (s *publishStore) Get(context.Context, string) (teaselstream.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision == 0 {
		return teaselstream.Record{}, teaselstream.ErrNotFound
	}
	return teaselstream.Record{Revision: s.revision}, nil
}

func (s *publishStore) CompareAndSwap(_ context.Context, _ string, expected teaselstream.Revision, value []byte, _ teaselstream.LeaseID) (teaselstream.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.errs) > 0 {
		err := s.errs[0]
		s.errs = s.errs[1:]
		return 0, err
	}
	if expected != s.revision {
		return 0, teaselstream.ErrConflict
	}
	s.revision++
	s.written <- string(value)
	return s.revision, nil
}

// Guards against a report that is not written because an earlier one of the VM is in the store or has expired with its lease,
// because the VM is not registered yet, or because the store did not answer, and against one that is gone with the VM's earlier lease.
func TestPublisher(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &publishStore{revision: 5, written: make(chan string, 1), errs: []error{teaselstream.ErrUnavailable}}
	var lease atomic.Uint64
	p := &Publisher{
		Store: s, Key: "k", Lease: func() teaselstream.LeaseID { return teaselstream.LeaseID(lease.Load()) },
		Rand: rand.New(rand.NewPCG(1, 2)), Log: slog.New(slog.DiscardHandler),
	}
	go p.Run(ctx)
	p.Publish("a")
	lease.Store(1)
	for i, want := range []string{"a", "b", "c"} {
		select {
		case got := <-s.written:
			if got != strconv.Quote(want) {
				t.Errorf("wrote %q, want %q", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%q is not written", want)
		}
		if i == 1 {
			s.mu.Lock()
			s.revision = 0
			s.mu.Unlock()
		}
		if i < 2 {
			p.Publish(string(want[0] + 1))
		}
	}
	s.mu.Lock()
	s.revision = 0
	s.mu.Unlock()
	lease.Store(2)
	select {
	case got := <-s.written:
		if got != strconv.Quote("c") {
			t.Errorf("wrote %q under the VM's new lease, want the last value", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("the last value is not written under the VM's new lease")
	}
}

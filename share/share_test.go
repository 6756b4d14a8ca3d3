package share

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// Guards against changes that are skipped, repeated, or offered although the log does not reach back.
func TestLog(t *testing.T) {
	var l Log
	now := time.Unix(1000, 0)
	if _, _, ok := l.Since(now, "", 0); ok {
		t.Error("an empty log covers revision 0")
	}
	l.Add(now, 5, 7, []teaselstream.Entry{{Key: "a/1", Revision: 6}, {Key: "b/1", Revision: 7}})
	l.Add(now, 7, 9, []teaselstream.Entry{{Key: "a/2", Revision: 9}})
	for _, x := range []struct {
		prefix string
		after  teaselstream.Revision
		keys   string
		at     teaselstream.Revision
		ok     bool
	}{
		{"", 5, "[a/1 b/1 a/2]", 9, true}, {"a/", 6, "[a/2]", 9, true}, {"", 9, "[]", 9, true}, {"", 12, "[]", 12, true}, {"", 4, "[]", 0, false},
	} {
		entries, at, ok := l.Since(now, x.prefix, x.after)
		var keys []string
		for _, e := range entries {
			keys = append(keys, e.Key)
		}
		if fmt.Sprint(keys) != x.keys || at != x.at || ok != x.ok {
			t.Errorf("Since(%q, %d) = %v, %d, %t; want %s, %d, %t", x.prefix, x.after, keys, at, ok, x.keys, x.at, x.ok)
		}
	}
	l.Add(now, 20, 21, []teaselstream.Entry{{Key: "a/3", Revision: 21}})
	if _, _, ok := l.Since(now, "", 9); ok {
		t.Error("the log covers a gap between two answers")
	}
}

// fakeStore is a store at one revision whose calls are counted.
type fakeStore struct {
	teaselstream.Directory
	mu    sync.Mutex
	at    teaselstream.Revision
	calls int
	down  bool
}

func (s *fakeStore) Follow(_ context.Context, _ string, after teaselstream.Revision, _ time.Duration) ([]teaselstream.Entry, teaselstream.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, teaselstream.ErrUnavailable
	}
	var entries []teaselstream.Entry
	for r := after + 1; r <= s.at; r++ {
		entries = append(entries, teaselstream.Entry{Key: fmt.Sprintf("k/%d", r), Revision: r})
	}
	return entries, s.at, nil
}

// domainOf starts the directories of n VMs of one domain before a store.
func domainOf(t *testing.T, n int, store *fakeStore) []*Directory {
	t.Helper()
	var peers []fleet.Peer
	var all []*Directory
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		p := fleet.Peer{Name: teaselstream.VMID(fmt.Sprintf("vm%d", i)), Domain: "zone", Address: l.Addr().String()}
		peers = append(peers, p)
		d := &Directory{Directory: store, Self: p, Peers: func() []fleet.Peer { return peers }, Log: slog.New(slog.DiscardHandler)}
		go func() { _ = d.Serve(l) }()
		all = append(all, d)
	}
	return all
}

// Guards against store calls that grow with the VMs of a domain, and against VMs that miss changes behind a reader.
func TestFollowThroughReaders(t *testing.T) {
	store := &fakeStore{at: 3}
	all := domainOf(t, 12, store)
	var asking []*Directory
	for _, d := range all {
		from, shares := d.sources()
		if !shares {
			t.Fatal("a domain of 12 VMs does not share readers")
		}
		if from != nil {
			asking = append(asking, d)
			continue
		}
		if _, _, err := d.Follow(context.Background(), "", 0, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if len(asking) != 12-readers {
		t.Fatalf("%d VMs ask readers, want %d", len(asking), 12-readers)
	}
	before := store.calls
	for _, d := range asking {
		entries, at, err := d.Follow(context.Background(), "", 0, time.Second)
		if err != nil || len(entries) != 3 || at != 3 {
			t.Errorf("Follow() = %d entries at %d, %v; want 3 at 3", len(entries), at, err)
		}
	}
	if store.calls != before {
		t.Errorf("%d store calls by VMs that are not readers, want none", store.calls-before)
	}
}

// Guards against VMs that know nothing new because their readers have lost the store.
func TestReadersWithoutStore(t *testing.T) {
	store := &fakeStore{at: 3}
	all := domainOf(t, 8, store)
	var asking *Directory
	for _, d := range all {
		if from, _ := d.sources(); from != nil {
			asking = d
		}
	}
	if _, at, err := asking.Follow(context.Background(), "", 0, time.Second); err != nil || at != 3 {
		t.Errorf("Follow() at %d, %v, want the store's own answer", at, err)
	}
	store.down = true
	if _, _, err := asking.Follow(context.Background(), "", 3, time.Second); !errors.Is(err, teaselstream.ErrUnavailable) {
		t.Errorf("Follow() error %v, want %v", err, teaselstream.ErrUnavailable)
	}
}

// Guards against small domains that depend on another VM without need.
func TestSmallDomainReadsItself(t *testing.T) {
	all := domainOf(t, leastVMs-1, &fakeStore{at: 1})
	for _, d := range all {
		if from, shares := d.sources(); from != nil || shares {
			t.Errorf("%s asks %v", d.Self.Name, from)
		}
	}
}

// Guards against ages that add up over VMs that take each other for readers, which kept a configuration back for 3.4 s
// on scale-2 of the grown deployment.
func TestAgeIsPassedOn(t *testing.T) {
	d := &Directory{Log: slog.New(slog.DiscardHandler)}
	d.changes.Add(time.Now().Add(-staleTime/2), 0, 3, []teaselstream.Entry{{Key: "k", Revision: 3}})
	x, status := d.answer("", 0)
	if status != 200 || x.Age < staleTime/2 {
		t.Errorf("answer() = age %s, status %d; want the age of the store's answer", x.Age, status)
	}
	began := time.Now()
	if _, status := d.answer("", 3); status != 503 || time.Since(began) > staleTime {
		t.Errorf("answer() = status %d after %s; want 503 once the store's answer is too old", status, time.Since(began))
	}
}

// Guards against a VM that counts a server's drain time from when a reader told it, up to a second after the notice: a
// request then reached the server 3,040 ms after it, over the platform's bound of 3 s.
func TestAgeOfChanges(t *testing.T) {
	store := &fakeStore{at: 3}
	d := &Directory{Directory: store, Self: fleet.Peer{Name: "vm0"}, Peers: func() []fleet.Peer { return nil }, Log: slog.New(slog.DiscardHandler)}
	if _, _, err := d.Follow(context.Background(), "", 3, time.Second); err != nil {
		t.Fatal(err)
	}
	const gap = 60 * time.Millisecond
	time.Sleep(gap)
	store.at = 4
	entries, _, err := d.Follow(context.Background(), "", 3, time.Second)
	if err != nil || len(entries) != 1 {
		t.Fatalf("Follow() = %d entries, %v, want 1", len(entries), err)
	}
	if entries[0].Age < gap {
		t.Errorf("age %s of a change made in the last %s, want at least that", entries[0].Age, gap)
	}
	time.Sleep(gap)
	relayed, _ := d.answer("", 3)
	if len(relayed.Entries) != 1 || relayed.Entries[0].Age < 2*gap {
		t.Errorf("a reader passes on %v, want one change with an age of at least %s", relayed.Entries, 2*gap)
	}
}

// Guards against a reader whose link carries every version of a large value to every VM of its domain: during a storm of
// configurations VMs behind a reader with 20 Mbit/s got the newest one over 3 s after its acknowledgement.
func TestStormOfVersions(t *testing.T) {
	d := &Directory{Directory: &fakeStore{}, Log: slog.New(slog.DiscardHandler)}
	const versions, size = 20, 100_000
	value := bytes.Repeat([]byte(`{"Name":"route","Prefix":"/path/"},`), size/35)
	for i := range teaselstream.Revision(versions) {
		d.changes.Add(time.Now(), i, i+1, []teaselstream.Entry{{Key: "config", Revision: i + 1, Value: value, Age: time.Second}})
	}
	x, status := d.answer("", 0)
	if status != fasthttp.StatusOK || len(x.Entries) != 1 || x.Entries[0].Revision != versions || x.Entries[0].Age < time.Second {
		t.Fatalf("status %d, %d entries, want the newest one with the greatest age", status, len(x.Entries))
	}
	body, err := encode(x)
	if err != nil {
		t.Fatal(err)
	}
	if len(body) > size/4 {
		t.Errorf("%d bytes for %d versions of %d bytes, want at most a quarter of one", len(body), versions, size)
	}
	y, err := decode(body)
	if err != nil || len(y.Entries) != 1 || !bytes.Equal(y.Entries[0].Value, value) {
		t.Errorf("decode() = %d entries, %v, want the value", len(y.Entries), err)
	}
}

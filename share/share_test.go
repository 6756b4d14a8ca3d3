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

// Guards against changes that are skipped or repeated, and against answers for revisions that the log does not cover.
func TestLog(t *testing.T) {
	var l Log
	now := time.Unix(1000, 0)
	if _, _, ok := l.Since(now, "", place(0)); ok {
		t.Error("an empty log covers revision 0")
	}
	l.Add(now, place(5), place(7), []teaselstream.Entry{{Key: "a/1", At: place(6)}, {Key: "b/1", At: place(7)}})
	l.Add(now, place(7), place(9), []teaselstream.Entry{{Key: "a/2", At: place(9)}})
	for _, x := range []struct {
		prefix string
		after  teaselstream.Revision
		keys   string
		at     teaselstream.Revision
		ok     bool
	}{
		{"", 5, "[a/1 b/1 a/2]", 9, true}, {"a/", 6, "[a/2]", 9, true}, {"", 9, "[]", 9, true}, {"", 12, "[]", 12, true}, {"", 4, "[]", 0, false},
	} {
		entries, at, ok := l.Since(now, x.prefix, place(x.after))
		var keys []string
		for _, e := range entries {
			keys = append(keys, e.Key)
		}
		if fmt.Sprint(keys) != x.keys || at.Revision != x.at || ok != x.ok {
			t.Errorf("Since(%q, %d) = %v, %d, %t; want %s, %d, %t", x.prefix, x.after, keys, at.Revision, ok, x.keys, x.at, x.ok)
		}
	}
	l.Add(now, place(20), place(21), []teaselstream.Entry{{Key: "a/3", At: place(21)}})
	if _, _, ok := l.Since(now, "", place(9)); ok {
		t.Error("Since() answers across a gap between two answers of the store")
	}
}

// place returns a position of the store's first era.
func place(r teaselstream.Revision) teaselstream.Position {
	return teaselstream.Position{Era: 1, Revision: r}
}

// fakeStore holds one change for each revision up to the field at, and counts its calls.
type fakeStore struct {
	teaselstream.Directory
	mu    sync.Mutex
	at    teaselstream.Revision
	calls int
	down  bool
}

func (s *fakeStore) Follow(_ context.Context, _ string, after teaselstream.Position, _ time.Duration) ([]teaselstream.Entry, teaselstream.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, teaselstream.Position{}, teaselstream.ErrUnavailable
	}
	var entries []teaselstream.Entry
	for r := after.Revision + 1; r <= s.at; r++ {
		entries = append(entries, teaselstream.Entry{Key: fmt.Sprintf("k/%d", r), At: place(r)})
	}
	return entries, place(s.at), nil
}

// startDomain starts the directories of n VMs of one failure domain on a store.
func startDomain(t *testing.T, n int, store *fakeStore) []*Directory {
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

// Guards against store calls that grow with the VMs of a failure domain, and against VMs that miss changes behind a reader.
func TestFollowThroughReaders(t *testing.T) {
	store := &fakeStore{at: 3}
	all := startDomain(t, 12, store)
	var asking []*Directory
	for _, d := range all {
		r := d.role()
		if !r.sharing {
			t.Fatal("a domain of 12 VMs does not share readers")
		}
		if !r.reader {
			asking = append(asking, d)
			continue
		}
		if _, _, err := d.Follow(context.Background(), "", place(0), time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if len(asking) != 12-readersPerDomain {
		t.Fatalf("%d VMs ask readers, want %d", len(asking), 12-readersPerDomain)
	}
	before := store.calls
	for _, d := range asking {
		entries, at, err := d.Follow(context.Background(), "", place(0), time.Second)
		if err != nil || len(entries) != 3 || at != place(3) {
			t.Errorf("Follow() = %d entries at %d, %v; want 3 at 3", len(entries), at.Revision, err)
		}
	}
	if store.calls != before {
		t.Errorf("%d store calls by VMs that are not readers, want none", store.calls-before)
	}
}

// Guards against VMs that get no changes because their readers have lost the store.
func TestReadersWithoutStore(t *testing.T) {
	store := &fakeStore{at: 3}
	all := startDomain(t, 8, store)
	var asking *Directory
	for _, d := range all {
		if r := d.role(); !r.reader && !r.standby {
			asking = d
		}
	}
	if _, at, err := asking.Follow(context.Background(), "", place(0), time.Second); err != nil || at != place(3) {
		t.Errorf("Follow() at %d, %v, want the store's own answer", at.Revision, err)
	}
	store.down = true
	if _, _, err := asking.Follow(context.Background(), "", place(3), time.Second); !errors.Is(err, teaselstream.ErrUnavailable) {
		t.Errorf("Follow() error %v, want %v", err, teaselstream.ErrUnavailable)
	}
}

// Guards against small failure domains whose VMs depend on readers.
func TestSmallDomainReadsItself(t *testing.T) {
	all := startDomain(t, minSharingVMs-1, &fakeStore{at: 1})
	for _, d := range all {
		if r := d.role(); r.upstreams != nil || r.sharing {
			t.Errorf("%s asks %v", d.Self.Name, r.upstreams)
		}
	}
}

// Guards against ages that add up over VMs which use each other as readers; this delayed a configuration by 3.4 s on scale-2
// of the grown deployment.
func TestAgeIsPassedOn(t *testing.T) {
	d := &Directory{Log: slog.New(slog.DiscardHandler)}
	d.changes.Add(time.Now().Add(-maxStoreAge/2), place(0), place(3), []teaselstream.Entry{{Key: "k", At: place(3)}})
	x, status := d.awaitChanges("", place(0))
	if status != 200 || x.Age < maxStoreAge/2 {
		t.Errorf("awaitChanges() = age %s, status %d; want the age of the store's answer", x.Age, status)
	}
	began := time.Now()
	if _, status := d.awaitChanges("", place(3)); status != 503 || time.Since(began) > maxStoreAge {
		t.Errorf("awaitChanges() = status %d after %s; want 503 once the store's answer is too old", status, time.Since(began))
	}
}

// Guards against a drain time that counts from the reader's answer, up to a second after the drain notice: a request then
// reached the draining server 3,040 ms after the notice, over the platform's bound of 3 s.
func TestAgeOfChanges(t *testing.T) {
	store := &fakeStore{at: 3}
	d := &Directory{Directory: store, Self: fleet.Peer{Name: "vm0"}, Peers: func() []fleet.Peer { return nil }, Log: slog.New(slog.DiscardHandler)}
	if _, _, err := d.Follow(context.Background(), "", place(3), time.Second); err != nil {
		t.Fatal(err)
	}
	const gap = 60 * time.Millisecond
	time.Sleep(gap)
	store.at = 4
	entries, _, err := d.Follow(context.Background(), "", place(3), time.Second)
	if err != nil || len(entries) != 1 {
		t.Fatalf("Follow() = %d entries, %v, want 1", len(entries), err)
	}
	if entries[0].Age < gap {
		t.Errorf("age %s of a change made in the last %s, want at least that", entries[0].Age, gap)
	}
	time.Sleep(gap)
	answer, _ := d.awaitChanges("", place(3))
	if len(answer.Entries) != 1 || answer.Entries[0].Age < 2*gap {
		t.Errorf("a reader passes on %v, want one change with an age of at least %s", answer.Entries, 2*gap)
	}
}

// Guards against a reader that sends every version of a large value to every VM of its failure domain: during rapid
// configuration changes, VMs behind a reader with a 20 Mbit/s link got the newest one over 3 s after its acknowledgement.
func TestStormOfVersions(t *testing.T) {
	d := &Directory{Directory: &fakeStore{}, Log: slog.New(slog.DiscardHandler)}
	const versions, size = 20, 100_000
	value := bytes.Repeat([]byte(`{"Name":"route","Prefix":"/path/"},`), size/35)
	for i := range teaselstream.Revision(versions) {
		d.changes.Add(time.Now(), place(i), place(i+1), []teaselstream.Entry{{Key: "config", At: place(i + 1), Value: value, Age: time.Second}})
	}
	x, status := d.awaitChanges("", place(0))
	if status != fasthttp.StatusOK || len(x.Entries) != 1 || x.Entries[0].At != place(versions) || x.Entries[0].Age < time.Second {
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

// Guards against store calls of every VM of a large failure domain while the store is away (pattern: 59 VMs fall back from
// their readers to the store at the same time). They made 370 calls a second on a fleet of 295 VMs.
func TestOutageOfLargeDomain(t *testing.T) {
	store := &fakeStore{at: 3}
	all := startDomain(t, 59, store)
	store.down = true
	const rounds = 4
	began := time.Now()
	for range rounds {
		for _, d := range all {
			if _, _, err := d.Follow(context.Background(), "", place(3), time.Second); !errors.Is(err, teaselstream.ErrUnavailable) {
				t.Errorf("%s: Follow() error %v, want %v", d.Self.Name, err, teaselstream.ErrUnavailable)
			}
		}
	}
	perVM := 1 + int(time.Since(began)/(59*storeCallSpacing))
	if limit := 59*perVM + rounds*(readersPerDomain+standbysPerDomain); store.calls > limit {
		t.Errorf("%d store calls in %d rounds of 59 VMs, want at most %d", store.calls, rounds, limit)
	}
	store.down = false
	served := 0
	for _, d := range all {
		if _, at, err := d.Follow(context.Background(), "", place(3), time.Second); err == nil && at == place(3) {
			served++
		}
	}
	if served < readersPerDomain+standbysPerDomain {
		t.Errorf("%d VMs follow the store again, want all readers and standbys at once", served)
	}
}

// Guards against VMs that lose the store because their reader does not answer or is turned away by the store: the next in
// rank reads the store for all others.
func TestStandbyReads(t *testing.T) {
	store := &fakeStore{at: 3}
	all := startDomain(t, 12, store)
	var asking []*Directory
	for _, d := range all {
		r := d.role()
		switch {
		case r.reader:
			// Its log stays empty, so it answers that it cannot serve.
		case r.standby:
			if _, _, err := d.Follow(context.Background(), "", place(0), time.Second); err != nil {
				t.Fatal(err)
			}
		default:
			asking = append(asking, d)
		}
	}
	before := store.calls
	for _, d := range asking {
		if _, at, err := d.Follow(context.Background(), "", place(0), time.Second); err != nil || at != place(3) {
			t.Errorf("Follow() at %d, %v, want the standby's answer", at.Revision, err)
		}
	}
	if store.calls != before {
		t.Errorf("%d store calls by VMs behind a standby, want none", store.calls-before)
	}
}

// Guards against VMs that stay at a position of an earlier era because their reader finds nothing later (CONFIG): they get all
// differences, what the store has lost included, without a call to it. A reader of an earlier era serves no VM of a later one.
func TestReaderInALaterEra(t *testing.T) {
	store := &fakeStore{at: 3}
	all := startDomain(t, 12, store)
	era := func(e teaselstream.Era, r teaselstream.Revision) teaselstream.Position {
		return teaselstream.Position{Era: e, Revision: r}
	}
	var reader, asking *Directory
	for _, d := range all {
		if r := d.role(); r.reader {
			reader = d
		} else if !r.standby {
			asking = d
		}
	}
	asking.changes.SetState(era(1, 9), []teaselstream.Entry{
		{Key: "config", At: era(1, 9), Value: []byte("new")}, {Key: "lost", At: era(1, 8)}, {Key: "same", At: era(1, 2)},
	})
	reader.changes.SetState(era(2, 4), []teaselstream.Entry{{Key: "config", At: era(2, 4), Value: []byte("newer")}, {Key: "same", At: era(2, 2)}})
	reader.changes.Add(time.Now(), era(2, 4), era(2, 5), []teaselstream.Entry{{Key: "added", At: era(2, 5)}})
	entries, at, err := asking.Follow(context.Background(), "", era(1, 9), time.Second)
	if err != nil || at != era(2, 5) {
		t.Fatalf("Follow() at %+v, %v, want revision 5 of era 2", at, err)
	}
	got := make(map[string]string)
	for _, e := range entries {
		got[e.Key] = fmt.Sprintf("%s %t", e.Value, e.Deleted)
	}
	if want := "map[added: false config:newer false lost: true same: false]"; fmt.Sprint(got) != want {
		t.Errorf("Follow() = %v, want %s", got, want)
	}
	reader.changes.Add(time.Now(), era(2, 5), era(2, 6), []teaselstream.Entry{{Key: "next", At: era(2, 6)}})
	if entries, at, err = asking.Follow(context.Background(), "", at, time.Second); err != nil || len(entries) != 1 || at != era(2, 6) {
		t.Errorf("Follow() = %d entries at %+v, %v; want the next one", len(entries), at, err)
	}
	if store.calls > 0 {
		t.Errorf("%d store calls, want none", store.calls)
	}
	if _, status := reader.awaitChanges("", era(3, 1)); status != fasthttp.StatusGone {
		t.Errorf("a reader answers a VM of a later era with status %d, want %d", status, fasthttp.StatusGone)
	}
}

package share

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/hconn"
)

const (
	// readers is the number of VMs of a failure domain that read the store.
	readers = 2
	// leastVMs is the size from which a domain shares its readers; fewer VMs all read the store.
	leastVMs = 5
	// relayWait is how long a reader holds a call; it reads the store about twice a second.
	relayWait = 700 * time.Millisecond
	// relayTimeout bounds a call to a reader, so that one that is frozen or cut off is noticed within a second.
	relayTimeout = 950 * time.Millisecond
	// readerWait is how long a reader's call waits in the store, so that it knows soon that the store is lost.
	readerWait = 600 * time.Millisecond
	// staleTime is how long after its last answer from the store a reader serves others: over its longest time between
	// two answers, and below the platform's bound for a new configuration of 2 s.
	staleTime = 1400 * time.Millisecond
	// slowAnswer is the longest time that the store takes for an answer that does not wait for a change; the platform states
	// 4 ms, which a slow store takes 50 times.
	slowAnswer = 250 * time.Millisecond
)

type (
	// Directory follows the store through readers; Store, Self and Domain must be set.
	Directory struct {
		teaselstream.Directory
		Self fleet.Peer
		// Peers returns the VMs that are registered, this one included.
		Peers func() []fleet.Peer
		Log   *slog.Logger

		changes Log
		// answered is when the last answer came, of the store or a reader. Only Follow uses it, which is not called at the
		// same time by many goroutines.
		answered time.Time
		conn     hconn.Client
		reader   atomic.Bool
	}

	// relayed is an answer of a reader.
	relayed struct {
		Entries []teaselstream.Entry
		At      teaselstream.Revision
		// Age is how long ago the store answered the reader, so that it does not add up over several readers.
		Age time.Duration
	}
)

var errNoReader = errors.New("no reader answers")

// Follow waits for changes below a prefix; see teaselstream.Directory.
func (d *Directory) Follow(ctx context.Context, prefix string, after teaselstream.Revision, wait time.Duration) ([]teaselstream.Entry, teaselstream.Revision, error) {
	sources, shares := d.sources()
	if shares && sources == nil {
		wait = min(wait, readerWait)
	}
	if d.reader.Swap(sources == nil) != (sources == nil) {
		d.Log.Info("StoreReader", "reader", sources == nil)
	}
	for _, p := range sources {
		x, err := d.ask(ctx, p, prefix, after)
		if err == nil {
			now := time.Now()
			d.changes.Add(now, after, x.At, x.Entries)
			d.changes.SetUpdatedAt(now.Add(-x.Age))
			d.answered = now.Add(-x.Age)
			return x.Entries, x.At, nil
		}
		d.Log.Info("ReaderFailed", "reader", string(p.Name), "error", err.Error(), "revision", uint64(after))
	}
	began := time.Now()
	entries, at, err := d.Directory.Follow(ctx, prefix, after, wait)
	if err != nil {
		return nil, 0, fmt.Errorf("follow store: %w", err)
	}
	now := time.Now()
	d.date(entries, began, now)
	d.changes.Add(now, after, at, entries)
	return newest(entries), at, nil
}

// date sets the ages of changes that the store has returned. They were made after its last answer; if the call waited,
// they were made at its end.
func (d *Directory) date(entries []teaselstream.Entry, began, now time.Time) {
	var age time.Duration
	switch {
	case now.Sub(began) > slowAnswer:
		age = slowAnswer
	case !d.answered.IsZero():
		age = now.Sub(d.answered)
	}
	for i := range entries {
		entries[i].Age = age
	}
	d.answered = now
}

// sources returns the readers to ask, or none if this VM reads the store itself; shares says whether the domain has readers.
func (d *Directory) sources() (from []fleet.Peer, shares bool) {
	near := make(map[teaselstream.VMID]fleet.Peer)
	var names []teaselstream.VMID
	for _, p := range d.Peers() {
		if p.Domain == d.Self.Domain && p.Address != "" {
			near[p.Name] = p
			names = append(names, p.Name)
		}
	}
	if len(names) < leastVMs {
		return nil, false
	}
	for _, name := range teaselstream.Rendezvous("reader/"+string(d.Self.Domain), names)[:readers] {
		if name == d.Self.Name {
			return nil, true
		}
		from = append(from, near[name])
	}
	return from, true
}

func (d *Directory) ask(ctx context.Context, p fleet.Peer, prefix string, after teaselstream.Revision) (relayed, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI("http://" + p.Address + changesPath)
	q.URI().QueryArgs().Set("prefix", prefix)
	q.URI().QueryArgs().SetUint("after", int(after))
	if err := d.conn.Do(ctx, q, a); err != nil {
		return relayed{}, fmt.Errorf("ask reader %s: %w", p.Name, err)
	}
	if a.StatusCode() != fasthttp.StatusOK {
		return relayed{}, fmt.Errorf("ask reader %s: status %d: %w", p.Name, a.StatusCode(), errNoReader)
	}
	x, err := decode(a.Body())
	if err != nil {
		return relayed{}, fmt.Errorf("answer of reader %s: %w", p.Name, err)
	}
	return x, nil
}

package share

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/hconn"
)

const (
	// readersPerDomain is the number of VMs of a failure domain that always read the store, and standbysPerDomain the number
	// that read it while those before them do not answer. A standby knows as much as any other VM, so it needs no calls of
	// its own until then.
	readersPerDomain  = 1
	standbysPerDomain = 3
	// failedReaderPause is how long a reader that did not answer is not asked, so that its timeouts do not add up.
	failedReaderPause = 3 * time.Second
	// storeCallSpacing, times the VMs of the domain, is the least time between two store calls of a VM whose readers and
	// standbys all do not answer. While the store is away, a domain then makes 1/storeCallSpacing calls a second at most; the
	// platform gives a VM several seconds to apply a configuration after a disturbance of the store.
	storeCallSpacing = 60 * time.Millisecond
	// minSharingVMs is the number of VMs from which a failure domain uses readers; with fewer, each VM reads the store.
	minSharingVMs = 5
	// readerHoldTime is how long a reader holds a call without changes; a reader reads the store about twice a second.
	readerHoldTime = 700 * time.Millisecond
	// readerCallTimeout bounds a call to a reader, so that a frozen or unreachable reader is detected within a second.
	readerCallTimeout = 950 * time.Millisecond
	// readerFollowWait is how long the store holds a reader's call without changes; a short wait detects a lost store early.
	readerFollowWait = 600 * time.Millisecond
	// maxStoreAge is how long after the store's last answer a reader serves other VMs. It exceeds the longest time between
	// two answers and is below the 2 s within which the platform requires a new configuration to apply.
	maxStoreAge = 1400 * time.Millisecond
	// maxAnswerTime is the longest time that the store takes for an answer that does not wait for a change; the platform
	// specifies 4 ms, and a slow store takes 50 times that.
	maxAnswerTime = 250 * time.Millisecond
)

type (
	// Directory is a teaselstream.Directory that follows the store through readers; all exported fields but Handlers must be set.
	Directory struct {
		teaselstream.Directory
		Self fleet.Peer
		// Peers returns the registered VMs, this one included.
		Peers func() []fleet.Peer
		Log   *slog.Logger
		// Handlers serves further paths of the listener for other VMs; it may be nil.
		Handlers map[string]fasthttp.RequestHandler

		changes Log
		// answeredAt is when the store last answered this VM or the reader that it asked. Only Follow uses it, which must not
		// be called concurrently.
		answeredAt time.Time
		// pausedUntil holds the time until which a reader is not asked, and nextStoreCall the earliest time of this VM's next
		// store call. Only Follow uses them.
		pausedUntil   map[teaselstream.VMID]time.Time
		nextStoreCall time.Time
		conn          hconn.Client
		reader        atomic.Bool
	}

	// role says how a VM follows the store: it asks the VMs in upstreams in turn, and the store itself after them.
	role struct {
		upstreams []fleet.Peer
		// sharing reports whether the failure domain uses readers; with reader or standby, this VM is one of them.
		sharing         bool
		reader, standby bool
		// vms is the number of VMs in the failure domain.
		vms int
	}

	// readerAnswer is a reader's answer to another VM.
	readerAnswer struct {
		Entries []teaselstream.Entry
		At      teaselstream.Position
		// Whole means that Entries holds all entries, since the reader does not know all changes since the caller's position.
		Whole bool
		// Age is how long ago the store itself answered, so that ages do not add up when one reader asks another.
		Age time.Duration
	}
)

var errNoReader = errors.New("no reader answers")

// List returns all entries, as teaselstream.Directory describes, and keeps them for other VMs.
func (d *Directory) List(ctx context.Context, prefix string, f teaselstream.Freshness) ([]teaselstream.Entry, teaselstream.Position, error) {
	entries, at, err := d.Directory.List(ctx, prefix, f)
	if err != nil {
		return nil, teaselstream.Position{}, fmt.Errorf("list store: %w", err)
	}
	d.changes.SetState(at, entries)
	return entries, at, nil
}

// Follow waits for changes below a prefix, as teaselstream.Directory describes. Its error wraps ErrUnavailable without a call
// if no reader answers and it is too soon for a store call of this VM.
func (d *Directory) Follow(ctx context.Context, prefix string, after teaselstream.Position, wait time.Duration) ([]teaselstream.Entry, teaselstream.Position, error) {
	r := d.role()
	if d.reader.Swap(r.reader) != r.reader {
		d.Log.Info("StoreReader", "reader", r.reader)
	}
	for _, p := range r.upstreams {
		if time.Now().Before(d.pausedUntil[p.Name]) {
			continue
		}
		x, err := d.askReader(ctx, p, prefix, after)
		if err == nil {
			return d.apply(p, after, x)
		}
		d.Log.Info("ReaderFailed", "reader", string(p.Name), "error", err.Error(), "revision", uint64(after.Revision), "era", uint64(after.Era))
		if !errors.Is(err, errNoReader) {
			d.pauseReader(p.Name)
		}
	}
	began := time.Now()
	if r.sharing {
		wait = min(wait, readerFollowWait)
		if !r.reader && !r.standby && began.Before(d.nextStoreCall) {
			return nil, teaselstream.Position{}, fmt.Errorf("follow store: %w: %w", teaselstream.ErrUnavailable, errNoReader)
		}
		d.nextStoreCall = began.Add(time.Duration(r.vms) * storeCallSpacing)
	}
	entries, at, err := d.Directory.Follow(ctx, prefix, after, wait)
	if err != nil {
		return nil, teaselstream.Position{}, fmt.Errorf("follow store: %w", err)
	}
	now := time.Now()
	d.nextStoreCall = time.Time{}
	d.setAges(entries, began, now)
	d.changes.Add(now, after, at, entries)
	return latestPerKey(entries), at, nil
}

// apply records a reader's answer and returns the changes in it.
func (d *Directory) apply(p fleet.Peer, after teaselstream.Position, x readerAnswer) ([]teaselstream.Entry, teaselstream.Position, error) {
	now := time.Now()
	entries := x.Entries
	if x.Whole {
		var age time.Duration
		if !d.answeredAt.IsZero() {
			age = now.Sub(d.answeredAt)
		}
		var ok bool
		if entries, ok = d.changes.Replace(now, x.At, x.Entries, age); !ok {
			return nil, teaselstream.Position{}, fmt.Errorf("all entries from reader %s: %w", p.Name, teaselstream.ErrCompacted)
		}
		d.Log.Info("StateFromReader", "reader", string(p.Name), "changes", len(entries), "revision", uint64(x.At.Revision), "era", uint64(x.At.Era),
			"before", uint64(after.Revision), "eraBefore", uint64(after.Era))
	} else {
		d.changes.Add(now, after, x.At, x.Entries)
	}
	d.changes.SetUpdatedAt(now.Add(-x.Age))
	d.answeredAt = now.Add(-x.Age)
	return entries, x.At, nil
}

func (d *Directory) pauseReader(id teaselstream.VMID) {
	if d.pausedUntil == nil {
		d.pausedUntil = make(map[teaselstream.VMID]time.Time)
	}
	d.pausedUntil[id] = time.Now().Add(failedReaderPause)
}

// setAges sets the greatest possible ages of changes that the store has returned. The changes were made after the store's
// last answer; if the call took longer than maxAnswerTime, it waited and they were made within maxAnswerTime of its end.
func (d *Directory) setAges(entries []teaselstream.Entry, began, now time.Time) {
	var age time.Duration
	switch {
	case now.Sub(began) > maxAnswerTime:
		age = maxAnswerTime
	case !d.answeredAt.IsZero():
		age = now.Sub(d.answeredAt)
	}
	for i := range entries {
		entries[i].Age = age
	}
	d.answeredAt = now
}

// role derives this VM's role from the registered VMs. The order of readers and standbys is the same on every VM that knows
// the same peers; a VM that knows others reads from the store more often, and nothing else.
func (d *Directory) role() role {
	peers := make(map[teaselstream.VMID]fleet.Peer)
	var names []teaselstream.VMID
	for _, p := range d.Peers() {
		if p.Domain == d.Self.Domain && p.Address != "" {
			peers[p.Name] = p
			names = append(names, p.Name)
		}
	}
	r := role{vms: len(names)}
	if r.vms < minSharingVMs {
		r.reader = true
		return r
	}
	r.sharing = true
	for rank, name := range teaselstream.RendezvousOrder("reader/"+string(d.Self.Domain), names)[:readersPerDomain+standbysPerDomain] {
		if name == d.Self.Name {
			r.reader, r.standby = rank < readersPerDomain, rank >= readersPerDomain
			break
		}
		r.upstreams = append(r.upstreams, peers[name])
	}
	if r.reader {
		r.upstreams = nil
	}
	return r
}

func (d *Directory) askReader(ctx context.Context, p fleet.Peer, prefix string, after teaselstream.Position) (readerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, readerCallTimeout)
	defer cancel()
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI("http://" + p.Address + changesPath)
	q.URI().QueryArgs().Set("prefix", prefix)
	q.URI().QueryArgs().Set("after", strconv.FormatUint(uint64(after.Revision), 10))
	q.URI().QueryArgs().Set("era", strconv.FormatUint(uint64(after.Era), 10))
	if err := d.conn.Do(ctx, q, a); err != nil {
		return readerAnswer{}, fmt.Errorf("ask reader %s: %w", p.Name, err)
	}
	if a.StatusCode() != fasthttp.StatusOK {
		return readerAnswer{}, fmt.Errorf("ask reader %s: status %d: %w", p.Name, a.StatusCode(), errNoReader)
	}
	x, err := decode(a.Body())
	if err != nil {
		return readerAnswer{}, fmt.Errorf("answer of reader %s: %w", p.Name, err)
	}
	return x, nil
}

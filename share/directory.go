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
	// readersPerDomain is the number of VMs of a failure domain that read the store.
	readersPerDomain = 2
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
	// Directory is a teaselstream.Directory that follows the store through readers; all exported fields must be set.
	Directory struct {
		teaselstream.Directory
		Self fleet.Peer
		// Peers returns the registered VMs, this one included.
		Peers func() []fleet.Peer
		Log   *slog.Logger

		changes Log
		// answeredAt is when the store last answered this VM or the reader that it asked. Only Follow uses it, which must not
		// be called concurrently.
		answeredAt time.Time
		conn       hconn.Client
		reader     atomic.Bool
	}

	// readerAnswer is a reader's answer to another VM.
	readerAnswer struct {
		Entries []teaselstream.Entry
		At      teaselstream.Revision
		// Age is how long ago the store itself answered, so that ages do not add up when one reader asks another.
		Age time.Duration
	}
)

var errNoReader = errors.New("no reader answers")

// Follow waits for changes below a prefix, as teaselstream.Directory describes.
func (d *Directory) Follow(ctx context.Context, prefix string, after teaselstream.Revision, wait time.Duration) ([]teaselstream.Entry, teaselstream.Revision, error) {
	upstreams, sharing := d.upstreams()
	if sharing && upstreams == nil {
		wait = min(wait, readerFollowWait)
	}
	if d.reader.Swap(upstreams == nil) != (upstreams == nil) {
		d.Log.Info("StoreReader", "reader", upstreams == nil)
	}
	for _, p := range upstreams {
		x, err := d.askReader(ctx, p, prefix, after)
		if err == nil {
			now := time.Now()
			d.changes.Add(now, after, x.At, x.Entries)
			d.changes.SetUpdatedAt(now.Add(-x.Age))
			d.answeredAt = now.Add(-x.Age)
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
	d.setAges(entries, began, now)
	d.changes.Add(now, after, at, entries)
	return latestPerKey(entries), at, nil
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

// upstreams returns the readers to ask, or nil if this VM reads the store itself; sharing reports whether the failure domain
// uses readers.
func (d *Directory) upstreams() (from []fleet.Peer, sharing bool) {
	peers := make(map[teaselstream.VMID]fleet.Peer)
	var names []teaselstream.VMID
	for _, p := range d.Peers() {
		if p.Domain == d.Self.Domain && p.Address != "" {
			peers[p.Name] = p
			names = append(names, p.Name)
		}
	}
	if len(names) < minSharingVMs {
		return nil, false
	}
	for _, name := range teaselstream.RendezvousOrder("reader/"+string(d.Self.Domain), names)[:readersPerDomain] {
		if name == d.Self.Name {
			return nil, true
		}
		from = append(from, peers[name])
	}
	return from, true
}

func (d *Directory) askReader(ctx context.Context, p fleet.Peer, prefix string, after teaselstream.Revision) (readerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, readerCallTimeout)
	defer cancel()
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI("http://" + p.Address + changesPath)
	q.URI().QueryArgs().Set("prefix", prefix)
	q.URI().QueryArgs().SetUint("after", int(after))
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

package watch

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/crash"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/quota"
)

const (
	// followWait is how long the store holds a call without changes; a call that gets no answer fails soon after.
	followWait = 1500 * time.Millisecond
	// followInterval is the least time between two calls, so that one answer carries the heartbeats of many replicas.
	followInterval = 450 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// reregisterTime is how long VMs whose entries a restored store lacks are kept. They read of it within the longest backoff and the
	// outage of their readers, and register again within reregisterSpread; the bound is that of a VM that ends.
	reregisterTime = leaseTTL
	// unknownAge is the age of the entries of the first list. The VM cannot know how long a server has been draining and
	// assumes that its drain time is over.
	unknownAge = time.Minute
	// firstEra is the era of a store that has never come back from an older copy.
	firstEra = 1
)

type (
	// Follower turns the store's entries into messages for fleet.Core.
	Follower struct {
		Directory teaselstream.Directory
		// RoutingKey is the key of the configuration, and ReplicaPrefix the prefix of the keys of the replicas.
		RoutingKey    string
		ReplicaPrefix string
		DecodeRouting func(value []byte) (*teaselstream.Routing, error)
		DecodeReplica func(key string, value []byte) (teaselstream.Replica, error)
		Post          func(teaselstream.Msg)
		// Restored is called when the store has come back from an older copy; nil means that nobody has to know.
		Restored func()
		Rand     teaselstream.Rand
		Log      *slog.Logger

		// position is the place in the store's history up to which this VM has read.
		position teaselstream.Position
		// answeredAt is when the store last answered.
		answeredAt time.Time
		peers      map[string]fleet.Peer
		// restoredAt is when this VM read that the store has come back from an older copy, and missing holds since when the entries of
		// VMs are missing from it.
		restoredAt     time.Time
		missing        map[string]time.Time
		storeLost      bool
		storeChangedAt time.Time
	}
)

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.storeChangedAt = time.Now()
	failures, losses := 0, 0
	listed := false
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx, listed)
		wait := followInterval - time.Since(began)
		switch {
		case err == nil:
			if !listed {
				// The list may be stale, so the changes since are read at once.
				wait = 0
			} else {
				losses = 0
			}
			listed, failures, f.answeredAt = true, 0, time.Now()
			f.markRegained()
		case errors.Is(err, teaselstream.ErrCompacted):
			f.Log.Warn("StoreHistoryLost", "error", err.Error(), "revision", uint64(f.position.Revision), "era", uint64(f.position.Era))
			listed, wait = false, 0
			if losses > 0 {
				// Lists that do not help are not repeated at once.
				wait = teaselstream.Backoff(f.Rand, minBackoff, maxBackoff, losses)
			}
			losses++
		default:
			failures++
			f.markLost(err)
			wait = teaselstream.Backoff(f.Rand, minBackoff, maxBackoff, failures)
		}
		sleep(ctx, wait)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (f *Follower) step(ctx context.Context, listed bool) error {
	if !listed {
		return f.list(ctx)
	}
	entries, position, err := f.Directory.Follow(ctx, "", f.position, followWait)
	if err != nil {
		return err
	}
	// The core must learn that the store answers before it handles removals, which may be due to the outage.
	f.markRegained()
	f.moveTo(position)
	peers := f.dropMissing(time.Now())
	for _, e := range entries {
		peers = f.apply(e) || peers
	}
	if peers {
		f.postPeers()
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	// A VM that starts has no state which a stale list could replace by an older one. That makes the start of a whole fleet
	// cheap for the store.
	freshness := teaselstream.Current
	if f.answeredAt.IsZero() {
		freshness = teaselstream.Stale
	}
	entries, position, err := f.Directory.List(ctx, "", freshness)
	if err == nil && freshness == teaselstream.Stale && position.Era > firstEra {
		// A stale list may show the state of an earlier era, and the era beside it is not necessarily its own.
		entries, position, err = f.Directory.List(ctx, "", teaselstream.Current)
	}
	if err != nil {
		return err
	}
	f.markRegained()
	f.moveTo(position)
	before := f.peers
	f.peers, f.missing = make(map[string]fleet.Peer), nil
	listed := fleet.ReplicasListed{Age: unknownAge}
	if !f.answeredAt.IsZero() {
		listed.Age = time.Since(f.answeredAt)
	}
	recorded := false
	for _, e := range entries {
		recorded = recorded || e.Key == CrashRecordKey
		if !strings.HasPrefix(e.Key, f.ReplicaPrefix) {
			f.apply(e)
		} else if r, ok := f.decodeReplica(e); ok {
			listed.Replicas = append(listed.Replicas, r)
		}
	}
	f.Post(listed)
	for key, p := range before {
		if _, ok := f.peers[key]; !ok && f.mayReregister(time.Now(), key) {
			f.peers[key] = p
		}
	}
	f.postPeers()
	if !recorded {
		f.Post(crash.RecordRead{At: teaselstream.Position{Era: position.Era}})
	}
	return nil
}

// moveTo sets the position up to which this VM has read, and tells the core if the store has come back from an older copy.
func (f *Follower) moveTo(position teaselstream.Position) {
	if f.position.Era != 0 && position.Era != f.position.Era {
		f.Log.Warn("StoreRestored", "era", uint64(position.Era), "revision", uint64(position.Revision),
			"eraBefore", uint64(f.position.Era), "before", uint64(f.position.Revision))
		f.restoredAt = time.Now()
		f.Post(fleet.StoreRestored{})
		if f.Restored != nil {
			f.Restored()
		}
	}
	f.position = position
}

// apply posts the message for one entry and reports whether the list of VMs changed.
func (f *Follower) apply(e teaselstream.Entry) bool {
	switch {
	case e.Key == f.RoutingKey:
		f.applyRouting(e)
	case strings.HasPrefix(e.Key, f.ReplicaPrefix):
		if e.Deleted {
			f.Post(fleet.ReplicaRemoved{Server: teaselstream.ServerID(strings.TrimPrefix(e.Key, f.ReplicaPrefix)), Age: e.Age})
		} else if r, ok := f.decodeReplica(e); ok {
			f.Post(fleet.ReplicaChanged{Replica: r, Age: e.Age})
		}
	case strings.HasPrefix(e.Key, vmPrefix):
		return f.applyVM(e)
	default:
		f.applyReport(e)
	}
	return false
}

// applyReport posts what the VMs report about servers. Removed reports belong to VMs that ended; what they said still holds. The record
// of signatures is missing only from a store that has come back from a copy of before its first write.
func (f *Follower) applyReport(e teaselstream.Entry) {
	if e.Deleted {
		if e.Key == CrashRecordKey {
			f.Post(crash.RecordRead{At: teaselstream.Position{Era: e.At.Era}})
		}
		return
	}
	switch {
	case e.Key == CrashRecordKey:
		if r, ok := decode[crash.Record](f.Log, e); ok {
			f.Post(crash.RecordRead{Record: r, At: e.At})
		}
	case strings.HasPrefix(e.Key, CrashReportPrefix):
		if r, ok := decode[crash.Report](f.Log, e); ok {
			f.Post(crash.ReportRead{Report: r})
		}
	case strings.HasPrefix(e.Key, LimitReportPrefix):
		if r, ok := decode[quota.Report](f.Log, e); ok {
			f.Post(quota.ReportRead{Report: r})
		}
	}
}

// decode decodes an entry that a VM has written.
func decode[T any](log *slog.Logger, e teaselstream.Entry) (value T, ok bool) {
	if err := json.Unmarshal(e.Value, &value); err != nil {
		log.Warn("ReportUnreadable", "key", e.Key, "revision", uint64(e.At.Revision), "error", err)
		return value, false
	}
	return value, true
}

func (f *Follower) applyRouting(e teaselstream.Entry) {
	if e.Deleted {
		f.Log.Warn("RoutingRemoved", "revision", uint64(e.At.Revision))
		return
	}
	r, err := f.DecodeRouting(e.Value)
	if err != nil {
		f.Log.Error("RoutingUnreadable", "revision", uint64(e.At.Revision), "error", err)
		return
	}
	f.Post(fleet.RoutingRead{Routing: r})
}

func (f *Follower) decodeReplica(e teaselstream.Entry) (teaselstream.Replica, bool) {
	r, err := f.DecodeReplica(e.Key, e.Value)
	if err != nil {
		f.Log.Warn("ReplicaEntryUnreadable", "key", e.Key, "revision", uint64(e.At.Revision), "error", err)
		return r, false
	}
	return r, true
}

func (f *Follower) applyVM(e teaselstream.Entry) bool {
	if e.Deleted {
		if _, ok := f.peers[e.Key]; !ok || f.mayReregister(time.Now(), e.Key) {
			return false
		}
		delete(f.peers, e.Key)
		return true
	}
	delete(f.missing, e.Key)
	var p fleet.Peer
	if err := json.Unmarshal(e.Value, &p); err != nil || p.Name == "" {
		f.Log.Warn("VMEntryUnreadable", "key", e.Key, "error", err)
		return false
	}
	if f.peers[e.Key] == p {
		return false
	}
	f.peers[e.Key] = p
	return true
}

// mayReregister reports whether the entry of a VM may be missing only because the store has come back from a copy of before it was
// written; the VM then registers again. Fewer VMs would each take a larger part of what they share, such as the retry budget.
func (f *Follower) mayReregister(now time.Time, key string) bool {
	if f.restoredAt.IsZero() || now.Sub(f.restoredAt) >= reregisterTime {
		return false
	}
	if f.missing == nil {
		f.missing = make(map[string]time.Time)
	}
	f.missing[key] = now
	return true
}

// dropMissing drops VMs that have not registered again, and reports whether there were any.
func (f *Follower) dropMissing(now time.Time) bool {
	dropped := false
	for key, since := range f.missing {
		if now.Sub(since) >= reregisterTime {
			delete(f.missing, key)
			delete(f.peers, key)
			dropped = true
		}
	}
	return dropped
}

func (f *Follower) postPeers() {
	var peers []fleet.Peer
	for _, p := range f.peers {
		peers = append(peers, p)
	}
	f.Post(fleet.PeersListed{Peers: peers})
}

func (f *Follower) markLost(err error) {
	if f.storeLost {
		return
	}
	f.Log.Warn("StoreLost", "error", err, "heldMs", time.Since(f.storeChangedAt).Milliseconds(), "revision", uint64(f.position.Revision), "era", uint64(f.position.Era))
	f.storeLost, f.storeChangedAt = true, time.Now()
	f.Post(fleet.StoreLost{})
}

func (f *Follower) markRegained() {
	if !f.storeLost {
		return
	}
	f.Log.Info("StoreRegained", "lostMs", time.Since(f.storeChangedAt).Milliseconds(), "revision", uint64(f.position.Revision), "era", uint64(f.position.Era))
	f.storeLost, f.storeChangedAt = false, time.Now()
	f.Post(fleet.StoreRegained{})
}

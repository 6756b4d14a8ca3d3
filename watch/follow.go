package watch

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// followWait is how long one call waits in the store; a silent connection is noticed soon after.
	followWait = 1500 * time.Millisecond
	// followGap is the least time between two calls, so that the heartbeats of all replicas share one answer.
	followGap = 450 * time.Millisecond
	// firstBackoff and lastBackoff bound the wait after a failed call.
	firstBackoff = 150 * time.Millisecond
	lastBackoff  = 800 * time.Millisecond
	// unknownAge stands for the age of what a VM reads first: it cannot know since when a server drains, and takes the
	// drain time for over.
	unknownAge = time.Minute
)

type (
	// Follower turns the store's entries into messages for the fleet core.
	Follower struct {
		Directory teaselstream.Directory
		// RoutingKey and ReplicaPrefix say where the platform keeps its entries.
		RoutingKey    string
		ReplicaPrefix string
		DecodeRouting func(value []byte) (*teaselstream.Routing, error)
		DecodeReplica func(key string, value []byte) (teaselstream.Replica, error)
		Post          func(teaselstream.Msg)
		Rand          teaselstream.Rand
		Log           *slog.Logger

		at teaselstream.Revision
		// answered is when the last answer came.
		answered time.Time
		peers    map[string]fleet.Peer
		lost     bool
		since    time.Time
	}
)

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.since = time.Now()
	failures := 0
	listed := false
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx, listed)
		wait := followGap - time.Since(began)
		switch {
		case err == nil:
			listed, failures, f.answered = true, 0, time.Now()
			f.regained()
		case errors.Is(err, teaselstream.ErrCompacted):
			f.Log.Warn("StoreHistoryLost", "revision", uint64(f.at))
			listed, wait = false, 0
		default:
			failures++
			f.lostContact(err)
			wait = teaselstream.Backoff(f.Rand, firstBackoff, lastBackoff, failures)
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
	entries, at, err := f.Directory.Follow(ctx, "", f.at, followWait)
	if err != nil {
		return err
	}
	f.at = at
	// The store was reached, which the core must know before it judges removals.
	f.regained()
	peers := false
	for _, e := range entries {
		peers = f.take(e) || peers
	}
	if peers {
		f.postPeers()
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	routing, at, err := f.Directory.List(ctx, f.RoutingKey)
	if err != nil {
		return err
	}
	replicas, _, err := f.Directory.List(ctx, f.ReplicaPrefix)
	if err != nil {
		return err
	}
	vms, _, err := f.Directory.List(ctx, vmPrefix)
	if err != nil {
		return err
	}
	f.regained()
	f.at = at
	for _, e := range routing {
		f.take(e)
	}
	listed := fleet.ReplicasListed{Age: unknownAge}
	if !f.answered.IsZero() {
		listed.Age = time.Since(f.answered)
	}
	for _, e := range replicas {
		if r, ok := f.replica(e); ok {
			listed.Replicas = append(listed.Replicas, r)
		}
	}
	f.Post(listed)
	f.peers = make(map[string]fleet.Peer)
	for _, e := range vms {
		f.take(e)
	}
	f.postPeers()
	return nil
}

// take hands on one entry and reports whether the list of VMs changed.
func (f *Follower) take(e teaselstream.Entry) bool {
	switch {
	case e.Key == f.RoutingKey:
		f.routing(e)
	case strings.HasPrefix(e.Key, f.ReplicaPrefix):
		if e.Deleted {
			f.Post(fleet.ReplicaRemoved{Server: teaselstream.ServerID(strings.TrimPrefix(e.Key, f.ReplicaPrefix)), Age: e.Age})
		} else if r, ok := f.replica(e); ok {
			f.Post(fleet.ReplicaChanged{Replica: r, Age: e.Age})
		}
	case strings.HasPrefix(e.Key, vmPrefix):
		return f.vm(e)
	}
	return false
}

func (f *Follower) routing(e teaselstream.Entry) {
	if e.Deleted {
		f.Log.Warn("RoutingRemoved", "revision", uint64(e.Revision))
		return
	}
	r, err := f.DecodeRouting(e.Value)
	if err != nil {
		f.Log.Error("RoutingUnreadable", "revision", uint64(e.Revision), "error", err)
		return
	}
	f.Post(fleet.RoutingRead{Routing: r})
}

func (f *Follower) replica(e teaselstream.Entry) (teaselstream.Replica, bool) {
	r, err := f.DecodeReplica(e.Key, e.Value)
	if err != nil {
		f.Log.Warn("ReplicaEntryUnreadable", "key", e.Key, "revision", uint64(e.Revision), "error", err)
		return r, false
	}
	return r, true
}

func (f *Follower) vm(e teaselstream.Entry) bool {
	if e.Deleted {
		if _, ok := f.peers[e.Key]; !ok {
			return false
		}
		delete(f.peers, e.Key)
		return true
	}
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

func (f *Follower) postPeers() {
	var peers []fleet.Peer
	for _, p := range f.peers {
		peers = append(peers, p)
	}
	f.Post(fleet.PeersListed{Peers: peers})
}

func (f *Follower) lostContact(err error) {
	if f.lost {
		return
	}
	f.Log.Warn("StoreLost", "error", err, "heldMs", time.Since(f.since).Milliseconds(), "revision", uint64(f.at))
	f.lost, f.since = true, time.Now()
	f.Post(fleet.StoreLost{})
}

func (f *Follower) regained() {
	if !f.lost {
		return
	}
	f.Log.Info("StoreRegained", "lostMs", time.Since(f.since).Milliseconds(), "revision", uint64(f.at))
	f.lost, f.since = false, time.Now()
	f.Post(fleet.StoreRegained{})
}

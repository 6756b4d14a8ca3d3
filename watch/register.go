package watch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// vmPrefix is the prefix of the keys of the VMs, one for each VM.
	vmPrefix = "vm/"
	// leaseTTL is how long the store keeps the entry of a VM that stops renewing its lease.
	leaseTTL = 12 * time.Second
	// renewInterval is the time between renewals. A lost one is repeated after a short backoff, so that the lease survives
	// several.
	renewInterval = 4500 * time.Millisecond
	// reregisterSpread bounds the random delay after which a VM registers again when the store has come back from an older copy, since
	// all VMs do so then.
	reregisterSpread = time.Second
)

// Registrar keeps this VM's entry in the store while the VM runs.
type Registrar struct {
	Directory teaselstream.Directory
	Self      fleet.Peer
	Rand      teaselstream.Rand
	Log       *slog.Logger

	lease teaselstream.LeaseID
	// era is that of the store when the lease was granted.
	era teaselstream.Era
	// restored notifies Run that the store has come back from an older copy.
	restored wakeup
	// current is the lease for other goroutines.
	current atomic.Uint64
}

// Lease returns the lease of this VM's entry, or 0 while it has none. It may be called concurrently.
func (r *Registrar) Lease() teaselstream.LeaseID { return teaselstream.LeaseID(r.current.Load()) }

// StoreRestored makes the VM register again soon. It may be called concurrently.
func (r *Registrar) StoreRestored() { r.restored.notify() }

// Run keeps the entry until ctx ends; the entry then expires with its lease.
func (r *Registrar) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		wait := renewInterval
		if err := r.step(ctx); err != nil {
			failures++
			wait = teaselstream.Backoff(r.Rand, minBackoff, renewInterval, failures)
			if failures == 1 {
				r.Log.Warn("RegistrationFailed", "error", err)
			}
		} else {
			failures = 0
		}
		if r.restored.wait(ctx, wait) {
			sleep(ctx, time.Duration(r.Rand.Float64()*float64(reregisterSpread)))
		}
	}
}

func (r *Registrar) step(ctx context.Context) error {
	if r.lease != 0 {
		err := r.Directory.KeepAlive(ctx, r.lease)
		// The copy from which a store has come back may hold the lease without the entry.
		restored := err == nil && r.Directory.Era() != r.era
		if !restored && !errors.Is(err, teaselstream.ErrNotFound) {
			return err
		}
		r.Log.Warn("RegistrationLapsed", "lease", uint64(r.lease), "restored", restored)
		r.lease = 0
		r.current.Store(0)
	}
	lease, err := r.Directory.Grant(ctx, leaseTTL)
	if err != nil {
		return fmt.Errorf("register VM: %w", err)
	}
	era := r.Directory.Era()
	if err := r.write(ctx, lease); err != nil {
		return fmt.Errorf("register VM: %w", err)
	}
	r.lease, r.era = lease, era
	r.current.Store(uint64(lease))
	r.Log.Info("Registered", "lease", uint64(lease))
	return nil
}

// write writes the entry and replaces one that an earlier run of this VM left.
func (r *Registrar) write(ctx context.Context, lease teaselstream.LeaseID) error {
	value, err := json.Marshal(r.Self)
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	key := vmPrefix + string(r.Self.Name)
	_, err = r.Directory.CompareAndSwap(ctx, key, 0, value, lease)
	if !errors.Is(err, teaselstream.ErrConflict) {
		return err
	}
	old, err := r.Directory.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = r.Directory.CompareAndSwap(ctx, key, old.Revision, value, lease)
	return err
}

package watch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// vmPrefix holds one entry for each VM.
	vmPrefix = "vm/"
	// leaseTime is how long a VM's entry outlives it.
	leaseTime = 9 * time.Second
	// renewPeriod leaves room for two lost renewals.
	renewPeriod = 2800 * time.Millisecond
)

// Registrar keeps this VM's entry in the store while the VM runs.
type Registrar struct {
	Directory teaselstream.Directory
	Self      fleet.Peer
	Rand      teaselstream.Rand
	Log       *slog.Logger

	lease teaselstream.LeaseID
}

// Run keeps the entry until ctx ends, and then lets it lapse.
func (r *Registrar) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		wait := renewPeriod
		if err := r.step(ctx); err != nil {
			failures++
			wait = teaselstream.Backoff(r.Rand, firstBackoff, renewPeriod, failures)
			if failures == 1 {
				r.Log.Warn("RegistrationFailed", "error", err)
			}
		} else {
			failures = 0
		}
		sleep(ctx, wait)
	}
}

func (r *Registrar) step(ctx context.Context) error {
	if r.lease != 0 {
		err := r.Directory.KeepAlive(ctx, r.lease)
		if !errors.Is(err, teaselstream.ErrNotFound) {
			return err
		}
		r.Log.Warn("RegistrationLapsed", "lease", uint64(r.lease))
		r.lease = 0
	}
	lease, err := r.Directory.Grant(ctx, leaseTime)
	if err != nil {
		return fmt.Errorf("register VM: %w", err)
	}
	if err := r.write(ctx, lease); err != nil {
		return fmt.Errorf("register VM: %w", err)
	}
	r.lease = lease
	r.Log.Info("Registered", "lease", uint64(lease))
	return nil
}

// write replaces the entry, which an earlier run of this VM may have left.
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

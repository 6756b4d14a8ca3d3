package watch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// CrashRecordKey is the key of the signatures of requests that crash servers.
	CrashRecordKey = "crash/record"
	// CrashReportPrefix is the prefix of the keys of the VMs' reports about such requests, one for each VM.
	CrashReportPrefix = "crash/vm/"
	// LimitReportPrefix is the prefix of the keys of the VMs' reports about the limits of servers, one for each VM.
	LimitReportPrefix = "limit/vm/"
	// publishTimeout limits a write; the platform specifies 4 ms, and 60 times that while the store is slow.
	publishTimeout = time.Second
	// maxPublishBackoff bounds the wait after a failed write. A report matters for some seconds.
	maxPublishBackoff = 2 * time.Second
	// leaseCheckInterval is the time between two looks whether the VM has another lease.
	leaseCheckInterval = time.Second
)

// Publisher writes the newest value of one key, of which this VM is the only writer, under the VM's lease.
type Publisher struct {
	Store teaselstream.Store
	Key   string
	// Lease returns the VM's lease, or 0 while it has none.
	Lease func() teaselstream.LeaseID
	Rand  teaselstream.Rand
	Log   *slog.Logger

	mu      sync.Mutex
	pending []byte
	changed wakeup
	// revision is that of this VM's last write, written its value and lease its lease. Only Run uses them.
	revision teaselstream.Revision
	written  []byte
	lease    teaselstream.LeaseID
}

var errNoLease = errors.New("VM is not registered")

// Publish sets the value to write, which is encoded as JSON, in place of one that is not written yet.
func (p *Publisher) Publish(x any) {
	value, err := json.Marshal(x)
	if err != nil {
		p.Log.Error("PublishFailed", "key", p.Key, "error", err)
		return
	}
	p.mu.Lock()
	p.pending = value
	p.mu.Unlock()
	p.changed.notify()
}

// Run writes values until ctx ends. A failed write is repeated after a backoff.
func (p *Publisher) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		value, ok := p.next(ctx)
		if !ok {
			return
		}
		if err := p.write(ctx, value); err != nil {
			failures++
			if failures == 1 {
				p.Log.Warn("PublishFailed", "key", p.Key, "error", err)
			}
			p.restore(value)
			sleep(ctx, teaselstream.Backoff(p.Rand, minBackoff, maxPublishBackoff, failures))
			continue
		}
		failures = 0
	}
}

// next waits for a value to write, which is the last one again if the VM's lease is another one by now: the value went with the
// earlier lease. ok is false if ctx ends before.
func (p *Publisher) next(ctx context.Context) (value []byte, ok bool) {
	for ctx.Err() == nil {
		p.mu.Lock()
		value, p.pending = p.pending, nil
		p.mu.Unlock()
		if lease := p.Lease(); value == nil && p.written != nil && lease != 0 && lease != p.lease {
			value = p.written
		}
		if value != nil {
			return value, true
		}
		p.changed.wait(ctx, leaseCheckInterval)
	}
	return nil, false
}

// restore queues a value again that was not written, unless there is a newer one.
func (p *Publisher) restore(value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == nil {
		p.pending = value
	}
}

func (p *Publisher) write(ctx context.Context, value []byte) error {
	lease := p.Lease()
	if lease == 0 {
		return errNoLease
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	revision, err := p.Store.CompareAndSwap(ctx, p.Key, p.revision, value, lease)
	if errors.Is(err, teaselstream.ErrConflict) {
		// The key expired with an earlier lease, or a write whose answer was lost took effect.
		p.revision = 0
		switch old, getErr := p.Store.Get(ctx, p.Key); {
		case getErr == nil:
			p.revision = old.Revision
		case !errors.Is(getErr, teaselstream.ErrNotFound):
			return fmt.Errorf("read revision: %w", getErr)
		}
		revision, err = p.Store.CompareAndSwap(ctx, p.Key, p.revision, value, lease)
	}
	if err != nil {
		return fmt.Errorf("write value: %w", err)
	}
	p.revision, p.written, p.lease = revision, value, lease
	return nil
}

package detour

import (
	"errors"
	"maps"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// asideTime is how long a VM that refused an exchange, could not be reached or failed is not asked. A cut lasts for seconds.
	asideTime = time.Second
	// maxDoublings limits how often this time doubles for a VM that fails again right after it, since each new trial costs exchanges
	// that may have run.
	maxDoublings = 2
	// maxFailures is the number of exchanges with one server that fail in a row through a VM before it is put aside. Failures with two
	// servers are enough, since one server that has ended fails through every VM.
	maxFailures = 4
	// recordTime is how long failures through a VM count after the last one. It is longer than a VM is put aside.
	recordTime = 10 * time.Second
)

type (
	// PutAside says that exchanges go through other VMs for a time.
	PutAside struct {
		VM  teaselstream.VMID
		For time.Duration
		// Failures is the number of exchanges that failed in a row, or 0 if the VM refused one or could not be reached.
		Failures int
	}

	// record is what is known of a VM since a server has last answered through it.
	record struct {
		asideUntil time.Time
		failedAt   time.Time
		// failures is the number of failed exchanges since the last answer, the first of them with the server at address.
		failures int
		address  string
		// unsound means that the failures are the VM's, so that one more puts it aside again; doublings counts how often they did.
		unsound   bool
		doublings int
	}
)

// RecordRefusal puts a VM aside that does not carry exchanges now: it said so, or could not be reached.
func (c *Chooser) RecordRefusal(now time.Time, vm teaselstream.VMID) {
	c.update(now, vm, func(r *record) *PutAside {
		r.failures, r.unsound, r.doublings = 0, false, 0
		return r.putAside(now, PutAside{VM: vm, For: asideTime})
	})
}

// RecordFailure counts an exchange with the server at an address that a VM took and that brought no answer. It puts the VM aside if
// that shows that the VM cannot carry exchanges.
func (c *Chooser) RecordFailure(now time.Time, vm teaselstream.VMID, address string) {
	c.update(now, vm, func(r *record) *PutAside {
		if r.failures == 0 {
			r.address = address
		}
		r.failures++
		if now.Before(r.asideUntil) {
			// It was sent before the VM was put aside, or as a last resort.
			r.failedAt = now
			return nil
		}
		if !r.unsound && r.address == address && r.failures < maxFailures {
			r.failedAt = now
			return nil
		}
		if r.unsound {
			r.doublings = min(r.doublings+1, maxDoublings)
		}
		r.unsound = true
		return r.putAside(now, PutAside{VM: vm, For: asideTime << r.doublings, Failures: r.failures})
	})
}

// RecordAnswer records that a server has answered through a VM, which is then no longer put aside for failures. After a refusal it still
// is, since a VM that stops or carries too many exchanges finishes those that it has.
func (c *Chooser) RecordAnswer(vm teaselstream.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records[vm].failures > 0 {
		delete(c.records, vm)
	}
}

// RecordResult records what a VM answered to an exchange with the server at an address: err is that of ResultError.
func (c *Chooser) RecordResult(now time.Time, vm teaselstream.VMID, address string, err error) {
	switch {
	case err == nil:
		c.RecordAnswer(vm)
	case errors.Is(err, ErrNoVM):
		c.RecordRefusal(now, vm)
	case errors.Is(err, ErrNotSent):
		c.RecordFailure(now, vm, address)
	}
}

// update changes the record of a VM and reports that it was put aside. Records that no longer count are dropped.
func (c *Chooser) update(now time.Time, vm teaselstream.VMID, change func(*record) *PutAside) {
	c.mu.Lock()
	maps.DeleteFunc(c.records, func(_ teaselstream.VMID, r record) bool { return now.Sub(r.failedAt) >= recordTime })
	if c.records == nil {
		c.records = make(map[teaselstream.VMID]record)
	}
	r := c.records[vm]
	aside := change(&r)
	c.records[vm] = r
	c.mu.Unlock()
	if aside != nil && c.OnPutAside != nil {
		c.OnPutAside(*aside)
	}
}

// putAside keeps the VM from being chosen for a time, and returns a report of that unless the VM was put aside before.
func (r *record) putAside(now time.Time, x PutAside) *PutAside {
	reported := now.Before(r.asideUntil)
	r.failedAt = now
	if until := now.Add(x.For); until.After(r.asideUntil) {
		r.asideUntil = until
	}
	if reported {
		return nil
	}
	return &x
}

package place

import (
	"errors"
	"log/slog"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// decision is the state of one decider on this VM.
	decision struct {
		p     *Placer
		id    DeciderID
		stage stage
		// since is the start of the current stage; stages that wait end after stepTimeout.
		since    time.Time
		retryAt  time.Time
		failures int

		lease    teaselstream.LeaseID
		renewed  time.Time
		keptAt   time.Time
		keepSent time.Time
		fencing  teaselstream.Fencing

		record    Record
		revision  teaselstream.Revision
		operation string
		wrote     Record

		move     move
		gaps     map[teaselstream.Layer]time.Time
		nextLoad time.Time
		nextPlan time.Time
		nextScan int
		balanced time.Time
	}

	stage uint8
)

const (
	// idle waits for retryAt.
	idle stage = iota
	granting
	claiming
	// settling reads the lease key after a lost answer.
	settling
	reading
	enlisting
	// holding means that the lease and the fencing number are this VM's.
	holdingLease
	// checking re-reads lease and record before a move.
	checkingLease
	checkingRecord
	// asking waits for what the server of a pending entry holds.
	asking
	confirming
	intending
	ordering
	finishing
)

func (d *decision) enter(now time.Time, s stage) { d.stage, d.since = s, now }

// fail gives up the lease and retries later.
func (d *decision) fail(now time.Time) []teaselstream.Cmd {
	d.failures++
	d.lease, d.fencing, d.move = 0, 0, move{}
	d.retryAt = now.Add(teaselstream.Backoff(d.p.c.Rand, retryBase, retryLimit, d.failures))
	d.enter(now, idle)
	return nil
}

// holds reports whether this VM may still act by its own clock, also after it was paused.
func (d *decision) holds(now time.Time) bool {
	return d.fencing > 0 && now.Before(d.renewed.Add(leaseTTL-leaseMargin))
}

func (d *decision) tick(now time.Time) []teaselstream.Cmd {
	if d.stage >= holdingLease && !d.holds(now) {
		return d.fail(now)
	}
	var out []teaselstream.Cmd
	if d.stage >= holdingLease && now.Sub(d.keptAt) >= keepPeriod {
		d.keptAt, d.keepSent = now, now
		out = append(out, KeepAlive{Decider: d.id, Lease: d.lease})
	}
	switch {
	case d.stage == idle:
		if now.Before(d.retryAt) {
			return nil
		}
		d.enter(now, granting)
		d.renewed = now
		return []teaselstream.Cmd{Grant{Decider: d.id, TTL: leaseTTL}}
	case d.stage == holdingLease:
		return append(out, d.decide(now)...)
	case now.Sub(d.since) >= stepTimeout:
		if d.stage > holdingLease {
			// Only the move is given up; its intent, if written, is ordered again later.
			d.move = move{}
			d.enter(now, holdingLease)
			return out
		}
		return d.fail(now)
	}
	return out
}

func (d *decision) granted(now time.Time, x Granted) []teaselstream.Cmd {
	if d.stage != granting {
		return nil
	}
	if x.Err != nil {
		return d.fail(now)
	}
	d.lease = x.Lease
	d.enter(now, claiming)
	value := encode(holding{VM: d.p.c.VM, Lease: x.Lease})
	return []teaselstream.Cmd{WriteKey{Decider: d.id, Key: d.p.leaseKey(d.id), Value: value, Lease: x.Lease}}
}

func (d *decision) keptAlive(now time.Time, x KeptAlive) []teaselstream.Cmd {
	switch {
	case x.Lease != d.lease || d.stage < holdingLease:
	case x.Err == nil:
		d.renewed = d.keepSent
	case errors.Is(x.Err, teaselstream.ErrNotFound):
		return d.fail(now)
	}
	return nil
}

func (d *decision) written(now time.Time, x KeyWritten) []teaselstream.Cmd {
	unknown := errors.Is(x.Err, teaselstream.ErrOutcomeUnknown)
	switch d.stage {
	case claiming:
		switch {
		case x.Err == nil:
			return d.readRecord(now, reading)
		case unknown:
			d.enter(now, settling)
			return []teaselstream.Cmd{ReadKey{Decider: d.id, Key: d.p.leaseKey(d.id)}}
		}
		return d.fail(now)
	case enlisting, intending, finishing:
		switch {
		case x.Err == nil:
			d.record, d.revision = d.wrote, x.Revision
			return d.recorded(now)
		case unknown:
			// The record's operation tells whether the write took effect.
			return []teaselstream.Cmd{ReadKey{Decider: d.id, Key: d.p.recordKey(d.id.Model)}}
		case d.stage == enlisting:
			return d.readRecord(now, reading)
		}
		d.move = move{}
		d.enter(now, holdingLease)
	}
	return nil
}

func (d *decision) readRecord(now time.Time, s stage) []teaselstream.Cmd {
	d.enter(now, s)
	return []teaselstream.Cmd{ReadKey{Decider: d.id, Key: d.p.recordKey(d.id.Model)}}
}

func (d *decision) readDone(now time.Time, x KeyRead) []teaselstream.Cmd {
	absent := errors.Is(x.Err, teaselstream.ErrNotFound)
	if x.Err != nil && !absent {
		if d.stage < holdingLease {
			return d.fail(now)
		}
		d.move = move{}
		d.enter(now, holdingLease)
		return nil
	}
	if x.Key == d.p.leaseKey(d.id) {
		return d.leaseRead(now, x.Record.Value)
	}
	r, err := decodeRecord(x.Record.Value)
	if err != nil {
		slog.Error("placement record is malformed", "key", x.Key, "error", err)
		return d.fail(now)
	}
	switch d.stage {
	case reading:
		d.record, d.revision = r, x.Record.Revision
		return d.enlist(now)
	case enlisting, intending, finishing:
		if r.Operation != d.operation {
			return d.fail(now)
		}
		d.record, d.revision = r, x.Record.Revision
		return d.recorded(now)
	case checkingRecord:
		d.record, d.revision = r, x.Record.Revision
		return d.confirm(now)
	}
	return nil
}

// leaseRead settles a lost answer, or checks the lease before a move.
func (d *decision) leaseRead(now time.Time, value []byte) []teaselstream.Cmd {
	var h holding
	mine := len(value) > 0 && decoder.Unmarshal(value, &h) == nil && h.VM == d.p.c.VM && h.Lease == d.lease
	switch {
	case !mine:
		return d.fail(now)
	case d.stage == settling:
		return d.readRecord(now, reading)
	case d.stage == checkingLease:
		return d.readRecord(now, checkingRecord)
	}
	return nil
}

// enlist takes the next fencing number. Orders of the previous decider that are still pending
// may yet arrive at engines that ignore the number.
func (d *decision) enlist(now time.Time) []teaselstream.Cmd {
	r := d.record.clone()
	me := r.decider(d.id.Domain)
	me.VM, me.Fencing = d.p.c.VM, me.Fencing+1
	for i := range r.Entries {
		e := &r.Entries[i]
		s, ok := d.p.view.Document.Servers[e.Server]
		if ok && e.Pending && s.Domain == d.id.Domain && !s.ChecksFencing {
			e.Uncertain = now.Add(uncertainTime)
		}
	}
	return d.write(now, r, enlisting)
}

func (d *decision) write(now time.Time, r Record, s stage) []teaselstream.Cmd {
	d.enter(now, s)
	d.operation = d.p.operation()
	r.Operation = d.operation
	d.wrote = r
	return []teaselstream.Cmd{WriteKey{Decider: d.id, Key: d.p.recordKey(d.id.Model), Expected: d.revision, Value: encode(r)}}
}

// recorded goes on after a write of the record that took effect.
func (d *decision) recorded(now time.Time) []teaselstream.Cmd {
	out := []teaselstream.Cmd{PlacementChanged{Model: d.id.Model, Revision: d.revision, Entries: d.record.Entries}}
	switch d.stage {
	case enlisting:
		d.fencing, d.keptAt, d.failures = d.record.decider(d.id.Domain).Fencing, d.renewed, 0
		d.enter(now, holdingLease)
	case intending:
		return append(out, d.order(now)...)
	case finishing:
		d.move = move{}
		d.enter(now, holdingLease)
	}
	return out
}

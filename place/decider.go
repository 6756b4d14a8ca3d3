package place

import (
	"errors"
	"log/slog"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// deciderState is the state of one decider on this VM.
	deciderState struct {
		p     *Placer
		id    DeciderID
		stage stage
		// stageSince is the start of the current stage. A stage that waits for an answer ends after stageTimeout.
		stageSince time.Time
		retryAt    time.Time
		failures   int

		lease         teaselstream.LeaseID
		leaseRenewed  time.Time
		lastKeepAlive time.Time
		keepAliveSent time.Time
		fencing       teaselstream.Fencing

		record    Record
		revision  teaselstream.Revision
		operation string
		newRecord Record

		move           move
		uncoveredSince map[teaselstream.Layer]time.Time
		nextLoad       time.Time
		nextPlan       time.Time
		scanIndex      int
		lastBalance    time.Time
	}

	// stage is the step that a decider is at: taking the lease, waiting for work, or moving a server.
	stage uint8
)

const (
	// idle waits for retryAt.
	idle stage = iota
	grantingLease
	claimingLease
	// verifyingClaim reads the lease key because the outcome of its write is unknown.
	verifyingClaim
	readingRecord
	takingFencing
	// holdingLease means that this VM has the lease and a fencing number, and that no move is in progress.
	holdingLease
	// checkingLease and checkingRecord read the lease key and the record again before a move.
	checkingLease
	checkingRecord
	// queryingServer waits for the server of a pending entry to report what it holds.
	queryingServer
	confirmingCopies
	writingIntent
	sendingOrder
	writingResult
)

func (d *deciderState) setStage(now time.Time, s stage) { d.stage, d.stageSince = s, now }

// abandonLease stops acting on the lease and schedules the next attempt to take it.
func (d *deciderState) abandonLease(now time.Time) []teaselstream.Cmd {
	d.failures++
	d.lease, d.fencing, d.move = 0, 0, move{}
	d.retryAt = now.Add(teaselstream.Backoff(d.p.config.Rand, retryBase, retryLimit, d.failures))
	d.setStage(now, idle)
	return nil
}

// leaseValid reports whether this VM may still act on its lease. It goes by this VM's clock, so it also
// detects that the lease expired while the VM was paused.
func (d *deciderState) leaseValid(now time.Time) bool {
	return d.fencing > 0 && now.Before(d.leaseRenewed.Add(leaseTTL-leaseMargin))
}

func (d *deciderState) tick(now time.Time) []teaselstream.Cmd {
	if d.stage >= holdingLease && !d.leaseValid(now) {
		return d.abandonLease(now)
	}
	var out []teaselstream.Cmd
	if d.stage >= holdingLease && now.Sub(d.lastKeepAlive) >= keepAlivePeriod {
		d.lastKeepAlive, d.keepAliveSent = now, now
		out = append(out, KeepAlive{Decider: d.id, Lease: d.lease})
	}
	switch {
	case d.stage == idle:
		if now.Before(d.retryAt) {
			return nil
		}
		d.setStage(now, grantingLease)
		d.leaseRenewed = now
		return []teaselstream.Cmd{Grant{Decider: d.id, TTL: leaseTTL}}
	case d.stage == holdingLease:
		return append(out, d.plan(now)...)
	case now.Sub(d.stageSince) >= stageTimeout:
		if d.stage > holdingLease {
			// Only the move ends. If its intent was written, the order is sent again later.
			d.move = move{}
			d.setStage(now, holdingLease)
			return out
		}
		return d.abandonLease(now)
	}
	return out
}

func (d *deciderState) granted(now time.Time, x Granted) []teaselstream.Cmd {
	if d.stage != grantingLease {
		return nil
	}
	if x.Err != nil {
		return d.abandonLease(now)
	}
	d.lease = x.Lease
	d.setStage(now, claimingLease)
	value := encode(leaseHolder{VM: d.p.config.VM, Lease: x.Lease})
	return []teaselstream.Cmd{WriteKey{Decider: d.id, Key: d.p.leaseKey(d.id), Value: value, Lease: x.Lease}}
}

func (d *deciderState) keptAlive(now time.Time, x KeptAlive) []teaselstream.Cmd {
	switch {
	case x.Lease != d.lease || d.stage < holdingLease:
	case x.Err == nil:
		d.leaseRenewed = d.keepAliveSent
	case errors.Is(x.Err, teaselstream.ErrNotFound):
		return d.abandonLease(now)
	}
	return nil
}

func (d *deciderState) keyWritten(now time.Time, x KeyWritten) []teaselstream.Cmd {
	unknown := errors.Is(x.Err, teaselstream.ErrOutcomeUnknown)
	switch d.stage {
	case claimingLease:
		switch {
		case x.Err == nil:
			return d.readRecord(now, readingRecord)
		case unknown:
			d.setStage(now, verifyingClaim)
			return []teaselstream.Cmd{ReadKey{Decider: d.id, Key: d.p.leaseKey(d.id)}}
		}
		return d.abandonLease(now)
	case takingFencing, writingIntent, writingResult:
		switch {
		case x.Err == nil:
			d.record, d.revision = d.newRecord, x.Revision
			return d.recordWritten(now)
		case unknown:
			// The operation in the record tells whether the write took effect.
			return []teaselstream.Cmd{ReadKey{Decider: d.id, Key: d.p.recordKey(d.id.Model)}}
		case d.stage == takingFencing:
			return d.readRecord(now, readingRecord)
		}
		d.move = move{}
		d.setStage(now, holdingLease)
	}
	return nil
}

func (d *deciderState) readRecord(now time.Time, s stage) []teaselstream.Cmd {
	d.setStage(now, s)
	return []teaselstream.Cmd{ReadKey{Decider: d.id, Key: d.p.recordKey(d.id.Model)}}
}

func (d *deciderState) keyRead(now time.Time, x KeyRead) []teaselstream.Cmd {
	absent := errors.Is(x.Err, teaselstream.ErrNotFound)
	if x.Err != nil && !absent {
		if d.stage < holdingLease {
			return d.abandonLease(now)
		}
		d.move = move{}
		d.setStage(now, holdingLease)
		return nil
	}
	if x.Key == d.p.leaseKey(d.id) {
		return d.leaseRead(now, x.Record.Value)
	}
	r, err := decodeRecord(x.Record.Value)
	if err != nil {
		slog.Error("cannot decode placement record", "key", x.Key, "error", err)
		return d.abandonLease(now)
	}
	switch d.stage {
	case readingRecord:
		d.record, d.revision = r, x.Record.Revision
		return d.takeFencing(now)
	case takingFencing, writingIntent, writingResult:
		if r.Operation != d.operation {
			return d.abandonLease(now)
		}
		d.record, d.revision = r, x.Record.Revision
		return d.recordWritten(now)
	case checkingRecord:
		d.record, d.revision = r, x.Record.Revision
		return d.confirmMove(now)
	}
	return nil
}

// leaseRead checks that the lease key is this VM's, after a write of unknown outcome or before a move.
func (d *deciderState) leaseRead(now time.Time, value []byte) []teaselstream.Cmd {
	var h leaseHolder
	mine := len(value) > 0 && decoder.Unmarshal(value, &h) == nil && h.VM == d.p.config.VM && h.Lease == d.lease
	switch {
	case !mine:
		return d.abandonLease(now)
	case d.stage == verifyingClaim:
		return d.readRecord(now, readingRecord)
	case d.stage == checkingLease:
		return d.readRecord(now, checkingRecord)
	}
	return nil
}

// takeFencing writes the next fencing number into the record. Engines that don't check fencing numbers
// may still accept pending orders of the previous decider, so their entries become uncertain.
func (d *deciderState) takeFencing(now time.Time) []teaselstream.Cmd {
	r := d.record.clone()
	own := r.decider(d.id.Domain)
	own.VM, own.Fencing = d.p.config.VM, own.Fencing+1
	for i := range r.Entries {
		e := &r.Entries[i]
		s, ok := d.p.view.Document.Servers[e.Server]
		if ok && e.Pending && s.Domain == d.id.Domain && !s.ChecksFencing {
			e.Uncertain = now.Add(lateOrderTime)
		}
	}
	return d.writeRecord(now, r, takingFencing)
}

func (d *deciderState) writeRecord(now time.Time, r Record, s stage) []teaselstream.Cmd {
	d.setStage(now, s)
	d.operation = d.p.operation()
	r.Operation = d.operation
	d.newRecord = r
	return []teaselstream.Cmd{WriteKey{Decider: d.id, Key: d.p.recordKey(d.id.Model), Expected: d.revision, Value: encode(r)}}
}

// recordWritten continues after a write of the record that took effect.
func (d *deciderState) recordWritten(now time.Time) []teaselstream.Cmd {
	out := []teaselstream.Cmd{PlacementChanged{Model: d.id.Model, Revision: d.revision, Entries: d.record.Entries}}
	switch d.stage {
	case takingFencing:
		d.fencing, d.lastKeepAlive, d.failures = d.record.decider(d.id.Domain).Fencing, d.leaseRenewed, 0
		d.setStage(now, holdingLease)
	case writingIntent:
		return append(out, d.sendOrder(now)...)
	case writingResult:
		d.move = move{}
		d.setStage(now, holdingLease)
	}
	return out
}

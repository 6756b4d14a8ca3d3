package order

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// awaitingIndex waits until the shard's index is loaded.
	awaitingIndex phase = iota
	// forwarded has been passed to the shard's preferred VM.
	forwarded
	// queued waits until its claim is durable.
	queued
	// sending has a durable claim and a Send command without a result so far.
	sending
	// resolving was sent by this VM, which did not receive the answer and asks the service for the outcome.
	resolving
	// awaitingOtherClaim waits until an earlier claim of the key ends.
	awaitingOtherClaim
	// replaying reads segments or a stored answer from the store.
	replaying
	// storingResult has replied, and waits until its last record is durable.
	storingResult
	phaseCount
)

type (
	phase uint8

	// flight is a call in progress on this VM, shared by all callers that submitted its key. There is at most one for
	// each key.
	flight struct {
		key        Key
		shard      *shard
		team       teaselstream.TeamID
		service    teaselstream.ServiceSpec
		call       teaselstream.ServiceCall
		body       BodyDigest
		keyTime    time.Time
		hasKeyTime bool
		// submitted and lastSubmitted are the times of the first submission and of the last one that joined.
		submitted     time.Time
		lastSubmitted time.Time
		waiters       []waiter
		phase         phase
		// removed means that the flight is no longer in Log.flights, so nothing may be sent for it.
		removed bool

		claimChange *change
		// claimNumber is the number of the durable claim, and claimWrittenAt the time at which its write started.
		claimNumber    teaselstream.Fencing
		claimWrittenAt time.Time
		try            int
		avoid          []teaselstream.ServerID
		// holdsClaim means that the claim is durable and no send of it is in progress.
		holdsClaim bool
		// sent means that a Send command was issued, and that no result certifies that nothing was written.
		sent bool
		// mayRunOnPeer means that the peer may still run the forwarded copy.
		mayRunOnPeer bool
		forwardID    uint64
		peer         teaselstream.VMID
		accepted     bool
		forwardAt    time.Time
		// peerHeardAt is when the peer last confirmed that it works on the forwarded call, and peerQueriedAt when it
		// was last asked.
		peerHeardAt   time.Time
		peerQueriedAt time.Time
		// merged is the set of sealed segments whose records of the key are in the index.
		merged map[uint64]bool
		// ran means that the call is known to have run.
		ran bool
		// fencedClaim is a claim that the service refuses from now on and whose release is queued.
		fencedClaim teaselstream.Fencing
		lookingUp   bool
		advanceAt   time.Time
		// lookUpFailures counts consecutive failed status look-ups.
		lookUpFailures int
		answer         *teaselstream.ServiceAnswer
		// retry is called at advanceAt, for example after a failure of the store.
		retry func()
	}

	// waiter is a caller that waits for an answer, on this VM or on the peer that forwarded the call.
	waiter struct {
		request     teaselstream.RequestID
		deadline    time.Time
		submitted   time.Time
		peer        teaselstream.VMID
		id          uint64
		incarnation teaselstream.Incarnation
	}
)

func (f *flight) enter(p phase) {
	f.shard.phaseCount[f.phase]--
	f.phase = p
	f.shard.phaseCount[p]++
}

// remove deletes a flight from the log's tables. If its claim is still being written, the claim is released once it is
// durable.
func (l *Log) remove(f *flight) {
	if f.removed {
		return
	}
	f.removed = true
	if f.claimChange != nil && f.claimChange.queued {
		f.shard.dequeue(f.claimChange)
	}
	if f.holdsClaim {
		l.release(f)
	}
	delete(l.forwards, f.forwardID)
	delete(l.flights, f.key)
	f.shard.phaseCount[f.phase]--
	for n, g := range f.shard.flights {
		if g == f {
			f.shard.flights = append(f.shard.flights[:n:n], f.shard.flights[n+1:]...)
			return
		}
	}
}

// replyAndRemove answers all callers of a flight that needs no further record.
func (l *Log) replyAndRemove(f *flight, a *teaselstream.ServiceAnswer, e *teaselstream.Error) {
	l.replyAll(f, a, e)
	l.remove(f)
}

func (l *Log) replyAll(f *flight, a *teaselstream.ServiceAnswer, e *teaselstream.Error) {
	ws := f.waiters
	f.waiters = nil
	for _, w := range ws {
		l.reply(f, w, a, e)
	}
}

package order

import (
	"sort"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// writeBurst is the number of writes that a VM may issue at once after a pause.
	writeBurst = 4
	// batchDelay is how long a record that no caller waits for may be delayed, to share a write with a claim.
	batchDelay = time.Second
	// headPollInterval is the interval at which a head is read while a call waits for another VM's claim.
	headPollInterval = 200 * time.Millisecond
	// minBackoff and maxBackoff are the base and the limit of a shard's backoff while the store fails.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// startOperations starts the reads and writes that shards need, within the VM's share of the store's rates.
func (l *Log) startOperations() {
	l.refill()
	var ready, idle []*shard
	for _, sh := range l.shards {
		if sh.indexLoad != nil {
			l.readSegments(sh)
		}
		if sh.busy || l.now.Before(sh.retryAt) {
			continue
		}
		if l.needsRead(sh) {
			l.readHead(sh)
		} else if l.needsWrite(sh) {
			ready = append(ready, sh)
		} else if sh.ready && len(sh.queue) > 0 {
			idle = append(idle, sh)
		}
	}
	l.writeOldest(ready, 1)
	// Unused write capacity stores answers early, so that a resend after this VM's death is more likely to find them.
	l.writeOldest(idle, writeBurst)
	for _, sh := range l.shards {
		if len(sh.obsoleteKeys) > 0 && !sh.clearing && l.writeTokens >= writeBurst && !l.now.Before(sh.retryAt) {
			l.clearNext(sh)
		}
	}
}

// writeOldest writes shards in the order of their due times while at least minTokens write tokens remain.
func (l *Log) writeOldest(shards []*shard, minTokens float64) {
	sort.SliceStable(shards, func(a, b int) bool { return shards[a].writeDue.Before(shards[b].writeDue) })
	for _, sh := range shards {
		if l.writeTokens < minTokens {
			return
		}
		l.writeShard(sh)
	}
}

// refill adds tokens to this VM's buckets: writes in proportion to the shards for which it is the first of all
// live VMs, and index reads as an equal share among the live VMs.
func (l *Log) refill() {
	share := float64(max(l.writeShards, 1)) / Shards
	if d := l.now.Sub(l.refilledAt); d > 0 {
		l.writeTokens = min(writeBurst, l.writeTokens+d.Seconds()*share*l.config.WritesPerSecond)
		l.readTokens = min(indexReadBurst, l.readTokens+d.Seconds()*indexReadsPerSecond/float64(min(max(len(l.live), 1), Shards)))
		l.refilledAt = l.now
	}
}

func (l *Log) needsRead(sh *shard) bool {
	if sh.stale {
		return true
	}
	if !sh.ready {
		return sh.phaseCount[awaitingIndex] > 0 || l.preferred[sh.id] == l.config.VM
	}
	return sh.phaseCount[awaitingOtherClaim] > 0 && l.now.Sub(sh.confirmedAt) >= headPollInterval
}

// needsWrite reports whether a shard should be written now.
func (l *Log) needsWrite(sh *shard) bool {
	if !sh.ready {
		return false
	}
	return len(sh.openWrites) > 0 || len(sh.queue) > 0 && !sh.writeDue.After(l.now)
}

// schedule moves the time of the next write earlier if a queued change is due before it.
func (sh *shard) schedule(it *change) {
	at := it.queuedAt
	if !it.callerWaits() {
		at = at.Add(batchDelay)
	}
	if sh.writeDue.IsZero() || at.Before(sh.writeDue) {
		sh.writeDue = at
	}
}

// backOff delays the next operation of a shard after a failure of the store.
func (l *Log) backOff(sh *shard) {
	sh.failures++
	sh.retryAt = l.now.Add(teaselstream.Backoff(l.config.Rand, minBackoff, maxBackoff, sh.failures))
}

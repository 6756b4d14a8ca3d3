package order

import (
	"sort"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// burst is the number of writes that a VM may make at once after a pause.
	burst = 4
	// lazy is how long a record other than a claim may wait for a claim to share its write.
	lazy = time.Second
	// pollEvery is how often a head is read while a call waits for another VM's claim.
	pollEvery = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the retry interval of a shard while the store fails.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// pump starts the reads and writes that shards need, within the VM's share of writes.
func (l *Log) pump() {
	l.refill()
	var ready, idle []*shard
	for _, sh := range l.shards {
		if sh.loading != nil {
			l.load(sh)
		}
		if sh.busy || l.now.Before(sh.retryAt) {
			continue
		}
		if l.needsRead(sh) {
			l.readHead(sh)
		} else if l.wantsWrite(sh) {
			ready = append(ready, sh)
		} else if sh.ready && len(sh.queue) > 0 {
			idle = append(idle, sh)
		}
	}
	l.writeOldest(ready, 1)
	// A share that nobody needs stores answers early, so that a resend after the death of this VM finds them.
	l.writeOldest(idle, burst)
	for _, sh := range l.shards {
		if len(sh.blanks) > 0 && !sh.blanking && l.tokens >= burst && !l.now.Before(sh.retryAt) {
			l.blankNext(sh)
		}
	}
}

// writeOldest writes the shards that have waited longest while more than a number of writes is left.
func (l *Log) writeOldest(shards []*shard, left float64) {
	sort.SliceStable(shards, func(a, b int) bool { return shards[a].due.Before(shards[b].due) })
	for _, sh := range shards {
		if l.tokens < left {
			return
		}
		l.writeShard(sh)
	}
}

// refill grants this VM its share of writes, in proportion to the shards that prefer it.
func (l *Log) refill() {
	share := float64(max(l.own, 1)) / Shards
	if d := l.now.Sub(l.filled); d > 0 {
		l.tokens = min(burst, l.tokens+d.Seconds()*share*l.config.WritesPerSecond)
		l.loads = min(loadBurst, l.loads+d.Seconds()*loadReads/float64(min(max(len(l.live), 1), Shards)))
		l.filled = l.now
	}
}

func (l *Log) needsRead(sh *shard) bool {
	if sh.dirty {
		return true
	}
	if !sh.ready {
		return sh.phases[waiting] > 0 || l.preferred[sh.id] == l.config.VM
	}
	return sh.phases[watching] > 0 && l.now.Sub(sh.confirmed) >= pollEvery
}

// wantsWrite reports whether a shard should be written now.
func (l *Log) wantsWrite(sh *shard) bool {
	if !sh.ready {
		return false
	}
	return len(sh.attempts) > 0 || len(sh.queue) > 0 && !sh.due.After(l.now)
}

// schedule moves the time of the next write forward for an item of the queue.
func (sh *shard) schedule(it *item) {
	at := it.queuedAt
	if !it.hurried() {
		at = at.Add(lazy)
	}
	if sh.due.IsZero() || at.Before(sh.due) {
		sh.due = at
	}
}

// failed delays the next use of a shard after a failure of the store.
func (l *Log) failed(sh *shard) {
	sh.fails++
	sh.retryAt = l.now.Add(teaselstream.Backoff(l.config.Rand, minBackoff, maxBackoff, sh.fails))
}

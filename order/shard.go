package order

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// shard is this VM's copy of one log and its queue of changes. It runs one store operation on the head at a time.
	shard struct {
		id      Shard
		flights []*flight
		// phaseCount is the number of flights in each phase.
		phaseCount [phaseCount]int
		index      map[Key]keyState

		// ready means that the index covers all records up to revision; stale that the head in the store may have
		// changed since.
		ready       bool
		stale       bool
		busy        bool
		revision    teaselstream.Revision
		confirmedAt time.Time
		// next, first, segment and cutoff are those of the head.
		next    teaselstream.Fencing
		first   uint64
		segment uint64
		cutoff  int64
		entries []entry
		// size is the total size of entries in bytes.
		size int
		// sealed is the number of entries that the store holds as segment number segment; 0 if it holds none.
		sealed int
		// sealedKeys list the keys of the sealed segments.
		sealedKeys []segmentKeys
		indexLoad  *indexLoad
		// obsoleteKeys are store keys whose values are not needed any more.
		obsoleteKeys []string
		clearing     bool

		queue []*change
		// openWrites are the writes at revision whose outcome is unknown; at most one of them takes effect.
		openWrites []*batch
		applied    map[uint64]bool
		failures   int
		retryAt    time.Time
		writeDue   time.Time
	}

	// change is a record that waits to be written. Only claims have a flight.
	change struct {
		record Record
		flight *flight
		// urgent means that callers may wait for a record that has no flight.
		urgent   bool
		queuedAt time.Time
		queued   bool
		done     bool
		durable  func()
	}

	// batch is the content of one write of the head.
	batch struct {
		operation uint64
		at        time.Time
		changes   []*change
		entries   []entry
		size      int
		next      teaselstream.Fencing
		first     uint64
		cutoff    int64
		sealed    int
	}
)

// indexRetention is how long an index is kept after its last use if another VM is preferred for its shard.
const indexRetention = time.Minute

// idle reports whether no flight, change or operation uses the shard's copy.
func (sh *shard) idle() bool {
	return sh.ready && !sh.busy && !sh.clearing && sh.indexLoad == nil && len(sh.flights)+len(sh.queue)+len(sh.openWrites)+len(sh.obsoleteKeys) == 0
}

func newShard(id Shard) *shard {
	return &shard{id: id, next: 2, index: make(map[Key]keyState), applied: make(map[uint64]bool)}
}

func (l *Log) enqueue(sh *shard, it *change) {
	if it.queued || it.done {
		return
	}
	it.queued, it.queuedAt = true, l.now
	sh.queue = append(sh.queue, it)
	sh.schedule(it)
}

func (sh *shard) dequeue(it *change) {
	it.queued = false
	for n, q := range sh.queue {
		if q == it {
			sh.queue = append(sh.queue[:n:n], sh.queue[n+1:]...)
			return
		}
	}
}

package order

import (
	"errors"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// loadReads bounds the reads per second with which all VMs build indexes; the store takes 2,000 for everybody.
	loadReads = 1000
	// loadBurst is the number of such reads that a VM may make at once.
	loadBurst = 16
)

type (
	// loading is a head whose segments are being read.
	loading struct {
		head     Head
		entries  []entry
		revision teaselstream.Revision
		issued   time.Time
		todo     []block
		runs     []run
		open     int
		failed   bool
	}

	// block is a range [from, to) of sealed segments: one segment, or all whose keys are stored as one record.
	block struct {
		from uint64
		to   uint64
	}
)

// readHead reads the head, and the segments that the index lacks.
func (l *Log) readHead(sh *shard) {
	sh.busy = true
	issued := l.now
	l.read(HeadKey(sh.id), func(r result) {
		n := &loading{issued: issued, revision: r.record.Revision}
		var err error
		switch {
		case errors.Is(r.err, teaselstream.ErrNotFound) && sh.revision == 0:
			n.head.Next, n.revision = 2, 0
		case r.err != nil, r.record.Revision < sh.revision:
			// A head older than one seen before comes from a lagging replica of the store.
			l.loadFailed(sh)
			return
		default:
			if n.head, n.entries, err = decodeHead(r.record.Value); err != nil {
				l.loadFailed(sh)
				return
			}
		}
		sh.fails = 0
		if sh.ready && n.revision == sh.revision {
			l.unchanged(sh, issued)
			return
		}
		n.todo = l.blocks(sh, n.head)
		sh.loading = n
		l.load(sh)
	})
}

// blocks lists what to read before a head can be used.
//
// A copy that has been in use reads every record, because it must find its own operation ids.
func (l *Log) blocks(sh *shard, h Head) []block {
	size := uint64(l.config.SummarySegments)
	from := h.First
	if sh.ready {
		from = max(from, sh.segment)
	}
	sums := !sh.ready && len(sh.attempts) == 0
	if sums {
		from = from / size * size
	}
	var bs []block
	for from < h.Segment {
		to := from + 1
		if sums && from%size == 0 && from+size <= h.Segment {
			to = from + size
		}
		if to > h.First {
			bs = append(bs, block{from, to})
		}
		from = to
	}
	return bs
}

func (l *Log) loadFailed(sh *shard) {
	sh.busy, sh.loading = false, nil
	l.failed(sh)
}

// unchanged handles a head at the known revision: open attempts may still take effect until another write does.
func (l *Log) unchanged(sh *shard, issued time.Time) {
	sh.busy, sh.dirty, sh.confirmed = false, false, issued
	for _, b := range sh.attempts {
		l.requeue(sh, b)
	}
	l.wake(sh)
}

// load reads the next blocks within the VM's share of reads, and installs the head after the last.
func (l *Log) load(sh *shard) {
	n := sh.loading
	for len(n.todo) > 0 && !n.failed && l.loads >= 1 {
		b := n.todo[0]
		n.todo = n.todo[1:]
		n.open++
		l.loads--
		key := SegmentKey(sh.id, b.from)
		if b.to-b.from > 1 {
			key = SummaryKey(sh.id, b.from)
		}
		l.read(key, func(r result) {
			n.open--
			l.loaded(sh, n, b, r)
			l.load(sh)
		})
	}
	switch {
	case n.open > 0 || len(n.todo) > 0 && !n.failed:
	case n.failed:
		l.loadFailed(sh)
	default:
		sh.loading = nil
		l.install(sh, n)
	}
}

// loaded handles a block that has been read. A joined record may be missing; its segments are read in its place.
func (l *Log) loaded(sh *shard, n *loading, b block, r result) {
	if b.to-b.from > 1 {
		x, err := decodeSum(r.record.Value, b.from, b.to)
		switch {
		case errors.Is(r.err, teaselstream.ErrNotFound):
			for s := max(b.from, n.head.First); s < b.to; s++ {
				n.todo = append(n.todo, block{s, s + 1})
			}
		case r.err != nil || err != nil:
			n.failed = true
		default:
			n.runs = append(n.runs, x)
		}
		return
	}
	es, err := decodeSegment(r.record.Value)
	if r.err != nil || err != nil {
		n.failed = true
		return
	}
	n.runs = append(n.runs, newRun(es, b.from))
	if sh.ready || len(sh.attempts) > 0 {
		l.foldAll(sh, es, b.from)
	}
}

// install makes a newer head the copy and settles the open attempts by their operation ids.
func (l *Log) install(sh *shard, n *loading) {
	if n.head.Segment != sh.segment {
		sh.sealed = 0
	}
	if !sh.ready {
		sh.runs = nil
	}
	sortRuns(n.runs)
	for _, r := range n.runs {
		l.addRun(sh, r)
	}
	sh.entries, sh.revision, sh.confirmed = n.entries, n.revision, n.issued
	sh.next, sh.first, sh.segment, sh.cutoff = n.head.Next, n.head.First, n.head.Segment, n.head.Cutoff
	l.foldAll(sh, sh.entries, sh.segment)
	sh.busy, sh.dirty, sh.ready = false, false, true
	sh.measure()
	sh.expireRuns()
	l.evict(sh)
	var landed *batch
	for _, b := range sh.attempts {
		if sh.landed[b.operation] {
			landed = b
		}
	}
	l.settle(sh, landed)
}

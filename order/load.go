package order

import (
	"errors"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// indexReadsPerSecond bounds the reads of all VMs together for building indexes. The store takes 2,000 reads/s from
	// all of its clients.
	indexReadsPerSecond = 1000
	// indexReadBurst is the number of such reads that a VM may issue at once.
	indexReadBurst = 16
)

type (
	// indexLoad is a head whose sealed segments are being read into the index.
	indexLoad struct {
		head       Head
		entries    []entry
		revision   teaselstream.Revision
		issued     time.Time
		unread     []segmentRange
		sealedKeys []segmentKeys
		openReads  int
		failed     bool
	}

	// segmentRange is a range [from, to) of sealed segments that one read covers: a single segment, or a full block
	// whose keys are stored as a Summary.
	segmentRange struct {
		from uint64
		to   uint64
	}
)

// readHead reads the head, then the segments that the index lacks.
func (l *Log) readHead(sh *shard) {
	sh.busy = true
	issued := l.now
	l.read(HeadKey(sh.id), func(r result) {
		n := &indexLoad{issued: issued, revision: r.record.Revision}
		var err error
		switch {
		case errors.Is(r.err, teaselstream.ErrNotFound) && sh.revision == 0:
			n.head.Next, n.revision = 2, 0
		case r.err != nil, r.record.Revision < sh.revision:
			// A head that is older than a known one comes from a lagging replica of the store.
			l.loadFailed(sh)
			return
		default:
			if n.head, n.entries, err = decodeHead(r.record.Value); err != nil {
				l.loadFailed(sh)
				return
			}
		}
		sh.failures = 0
		if sh.ready && n.revision == sh.revision {
			l.headUnchanged(sh, issued)
			return
		}
		n.unread = l.segmentsToRead(sh, n.head)
		sh.indexLoad = n
		l.readSegments(sh)
	})
}

// segmentsToRead returns the reads that are needed before a head can be used.
//
// A shard with open writes reads every segment in full, because it must find its own operation ids; a Summary lacks
// them.
func (l *Log) segmentsToRead(sh *shard, h Head) []segmentRange {
	size := uint64(l.config.SummarySegments)
	from := h.First
	if sh.ready {
		from = max(from, sh.segment)
	}
	useSummaries := !sh.ready && len(sh.openWrites) == 0
	if useSummaries {
		from = from / size * size
	}
	var bs []segmentRange
	for from < h.Segment {
		to := from + 1
		if useSummaries && from%size == 0 && from+size <= h.Segment {
			to = from + size
		}
		if to > h.First {
			bs = append(bs, segmentRange{from, to})
		}
		from = to
	}
	return bs
}

func (l *Log) loadFailed(sh *shard) {
	sh.busy, sh.indexLoad = false, nil
	l.backOff(sh)
}

// headUnchanged handles a head that is still at the known revision. None of the open writes has taken effect, but each
// still may until another write succeeds.
func (l *Log) headUnchanged(sh *shard, issued time.Time) {
	sh.busy, sh.stale, sh.confirmedAt = false, false, issued
	for _, b := range sh.openWrites {
		l.requeue(sh, b)
	}
	l.evaluateWaiting(sh)
}

// readSegments issues the next reads within the VM's share, and installs the head after the last one.
func (l *Log) readSegments(sh *shard) {
	n := sh.indexLoad
	for len(n.unread) > 0 && !n.failed && l.readTokens >= 1 {
		b := n.unread[0]
		n.unread = n.unread[1:]
		n.openReads++
		l.readTokens--
		key := SegmentKey(sh.id, b.from)
		if b.to-b.from > 1 {
			key = SummaryKey(sh.id, b.from)
		}
		l.read(key, func(r result) {
			n.openReads--
			l.segmentsRead(sh, n, b, r)
			l.readSegments(sh)
		})
	}
	switch {
	case n.openReads > 0 || len(n.unread) > 0 && !n.failed:
	case n.failed:
		l.loadFailed(sh)
	default:
		sh.indexLoad = nil
		l.install(sh, n)
	}
}

// segmentsRead handles the result of one read. If a Summary is missing, its segments are read one by one.
func (l *Log) segmentsRead(sh *shard, n *indexLoad, b segmentRange, r result) {
	if b.to-b.from > 1 {
		x, err := decodeSummary(r.record.Value, b.from, b.to)
		switch {
		case errors.Is(r.err, teaselstream.ErrNotFound):
			for s := max(b.from, n.head.First); s < b.to; s++ {
				n.unread = append(n.unread, segmentRange{s, s + 1})
			}
		case r.err != nil || err != nil:
			n.failed = true
		default:
			n.sealedKeys = append(n.sealedKeys, x)
		}
		return
	}
	es, err := decodeSegment(r.record.Value)
	if r.err != nil || err != nil {
		n.failed = true
		return
	}
	n.sealedKeys = append(n.sealedKeys, newSegmentKeys(es, b.from))
	if sh.ready || len(sh.openWrites) > 0 {
		l.applyAll(sh, es, b.from)
	}
}

// install replaces the shard's local copy by a newer head, and uses the operation ids in it to determine which open
// write took effect.
func (l *Log) install(sh *shard, n *indexLoad) {
	if n.head.Segment != sh.segment {
		sh.sealed = 0
	}
	if !sh.ready {
		sh.sealedKeys = nil
	}
	sortBySegment(n.sealedKeys)
	for _, r := range n.sealedKeys {
		l.addSegmentKeys(sh, r)
	}
	sh.entries, sh.revision, sh.confirmedAt = n.entries, n.revision, n.issued
	sh.next, sh.first, sh.segment, sh.cutoff = n.head.Next, n.head.First, n.head.Segment, n.head.Cutoff
	l.applyAll(sh, sh.entries, sh.segment)
	sh.busy, sh.stale, sh.ready = false, false, true
	sh.updateSize()
	sh.expireSealedKeys()
	l.evict(sh)
	var applied *batch
	for _, b := range sh.openWrites {
		if sh.applied[b.operation] {
			applied = b
		}
	}
	l.settleWrites(sh, applied)
}

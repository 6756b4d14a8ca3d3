package order

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// DefaultSummarySegments is the number of segments in one Summary, which a VM that builds its index reads instead of
// the segments.
const DefaultSummarySegments = 32

type (
	// segmentKeys lists the keys in the sealed segments [from, to), with 8 bytes for each. The full index has only the
	// keys of the head and of calls on this VM, because a map entry takes much more memory.
	segmentKeys struct {
		from uint64
		to   uint64
		// newest is the latest Record.At in the segments, in milliseconds since 1970.
		newest int64
		// keys are sorted. Each has 48 bits of the key's digest, followed by 16 bits for the segment's offset in the
		// range.
		keys []uint64
	}

	// Summary is the stored form of segmentKeys.
	Summary struct {
		_ struct{} `cbor:",toarray"`
		// Newest is segmentKeys.newest.
		Newest int64
		// Keys are the elements of segmentKeys.keys, in 8 big-endian bytes each.
		Keys []byte
	}
)

func fingerprint(k Key) uint64 { return binary.BigEndian.Uint64(k[8:]) >> 16 << 16 }

// newSegmentKeys lists the keys of one segment.
func newSegmentKeys(es []entry, segment uint64) segmentKeys {
	r := segmentKeys{from: segment, to: segment + 1, keys: make([]uint64, 0, len(es))}
	for n := range es {
		r.keys = append(r.keys, fingerprint(es[n].record.Key))
		r.newest = max(r.newest, es[n].record.At)
	}
	r.sortAndCompact()
	return r
}

func (r *segmentKeys) sortAndCompact() {
	slices.Sort(r.keys)
	r.keys = slices.Clip(slices.Compact(r.keys))
}

// find appends the numbers of the segments that may hold the key.
func (r *segmentKeys) find(k Key, segments []uint64) []uint64 {
	p := fingerprint(k)
	n := sort.Search(len(r.keys), func(n int) bool { return r.keys[n] >= p })
	for ; n < len(r.keys) && r.keys[n]>>16 == p>>16; n++ {
		segments = append(segments, r.from+r.keys[n]&0xffff)
	}
	return segments
}

// addSegmentKeys adds the keys of sealed segments, and joins the lists of a complete block into one. It returns the
// joined list, or nil.
func (l *Log) addSegmentKeys(sh *shard, r segmentKeys) *segmentKeys {
	sh.sealedKeys = append(sh.sealedKeys, r)
	size := uint64(l.config.SummarySegments)
	if r.to%size != 0 || r.to-r.from == size {
		return nil
	}
	first := len(sh.sealedKeys) - int(size)
	if first < 0 || sh.sealedKeys[first].from != r.to-size || sh.sealedKeys[first].to != r.to-size+1 {
		return nil
	}
	block := segmentKeys{from: r.to - size, to: r.to}
	for n, x := range sh.sealedKeys[first:] {
		block.newest = max(block.newest, x.newest)
		for _, k := range x.keys {
			block.keys = append(block.keys, k|uint64(n))
		}
	}
	block.sortAndCompact()
	sh.sealedKeys = append(sh.sealedKeys[:first:first], block)
	return &block
}

// writeSummary stores the keys of a block for VMs that build their index later. A failure is ignored, because they can
// read the segments instead.
func (l *Log) writeSummary(sh *shard, r *segmentKeys) {
	s := Summary{Newest: r.newest, Keys: make([]byte, 0, 8*len(r.keys))}
	for _, k := range r.keys {
		s.Keys = binary.BigEndian.AppendUint64(s.Keys, k)
	}
	if len(s.Keys) <= MaxStoredAnswerBytes {
		l.write(SummaryKey(sh.id, r.from), 0, encode(s), func(result) {})
	}
}

func decodeSummary(b []byte, from, to uint64) (segmentKeys, error) {
	var s Summary
	if err := cbor.Unmarshal(b, &s); err != nil {
		return segmentKeys{}, err
	}
	r := segmentKeys{from: from, to: to, newest: s.Newest, keys: make([]uint64, len(s.Keys)/8)}
	for n := range r.keys {
		r.keys[n] = binary.BigEndian.Uint64(s.Keys[8*n:])
	}
	return r, nil
}

// unmerged returns the sealed segments that may have records of a flight's key and are not merged into the index yet.
//
// A segment whose newest record is older than the key's time allows has none.
func (l *Log) unmerged(f *flight) []uint64 {
	var found []uint64
	oldest := f.keyTime.Add(-MaxKeyAhead - MaxClockSkew).UnixMilli()
	for n := range f.shard.sealedKeys {
		r := &f.shard.sealedKeys[n]
		if !f.hasKeyTime || r.newest >= oldest {
			found = r.find(f.key, found)
		}
	}
	return slices.DeleteFunc(found, func(n uint64) bool { return f.merged[n] })
}

// merge reads segments and adds their records of the flight's key to the index.
func (l *Log) merge(f *flight, segments []uint64) {
	f.enter(replaying)
	left, failed := len(segments), false
	for _, number := range segments {
		l.read(SegmentKey(f.shard.id, number), func(r result) {
			left--
			es, err := decodeSegment(r.record.Value)
			if r.err != nil || err != nil {
				failed = true
			} else {
				for n := range es {
					if es[n].record.Key == f.key {
						l.apply(f.shard, &es[n].record, number)
					}
				}
				if f.merged == nil {
					f.merged = make(map[uint64]bool)
				}
				f.merged[number] = true
			}
			switch {
			case left > 0 || f.removed:
			case failed:
				l.replayLater(f)
			default:
				l.evaluate(f)
			}
		})
	}
}

// evict removes keys in sealed segments from the full index, except keys of calls on this VM and its own open claims.
func (l *Log) evict(sh *shard) {
	for k, s := range sh.index {
		h := l.holders.list[s.holder]
		open := s.state <= Unknown && h.vm == l.config.VM && h.incarnation == l.config.Incarnation
		if _, live := l.flights[k]; !live && !open && uint64(s.segment) < sh.segment {
			delete(sh.index, k)
		}
	}
}

// sortBySegment sorts key lists by their first segment, because reads may complete in any order.
func sortBySegment(rs []segmentKeys) {
	slices.SortFunc(rs, func(a, b segmentKeys) int { return cmp.Compare(a.from, b.from) })
}

// expireSealedKeys drops key lists that no accepted key can refer to.
func (sh *shard) expireSealedKeys() {
	sh.sealedKeys = slices.DeleteFunc(sh.sealedKeys, func(r segmentKeys) bool { return r.to <= sh.first && r.newest < sh.cutoff })
}

// firstRetained returns the first segment that is still needed when records before the cutoff are dropped.
func (sh *shard) firstRetained(cutoff int64) uint64 {
	first := sh.first
	for _, r := range sh.sealedKeys {
		if r.from <= first && r.newest < cutoff && r.to <= sh.segment {
			first = max(first, r.to)
		}
	}
	return first
}

// cutoffAt returns the time, in milliseconds since 1970, before which records are not needed any more.
func (l *Log) cutoffAt(now time.Time) int64 {
	return now.Add(-l.retention - 2*MaxKeyAhead).UnixMilli()
}

// SummaryKey returns the store key of the Summary of the block of segments that starts with from.
func SummaryKey(s Shard, from uint64) string { return keyOf(s, "sum", from) }

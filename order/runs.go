package order

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// DefaultSummarySegments is the number of segments whose keys are written as one record, which a VM without an index reads in their place.
const DefaultSummarySegments = 32

type (
	// run lists the keys in sealed segments [from, to). The full index holds only keys of the head and of calls on
	// this VM: 8 bytes for an older key in place of a map entry.
	run struct {
		from   uint64
		to     uint64
		newest int64
		// keys are sorted: 48 bits of the key's digest, then the segment's distance from from.
		keys []uint64
	}

	// Summary is the stored form of a run.
	Summary struct {
		_      struct{} `cbor:",toarray"`
		Newest int64
		// Keys are big-endian, 8 bytes each.
		Keys []byte
	}
)

func fingerprint(k Key) uint64 { return binary.BigEndian.Uint64(k[8:]) >> 16 << 16 }

// newRun lists the keys of one segment.
func newRun(es []entry, segment uint64) run {
	r := run{from: segment, to: segment + 1, keys: make([]uint64, 0, len(es))}
	for n := range es {
		r.keys = append(r.keys, fingerprint(es[n].record.Key))
		r.newest = max(r.newest, es[n].record.At)
	}
	r.tidy()
	return r
}

func (r *run) tidy() {
	slices.Sort(r.keys)
	r.keys = slices.Clip(slices.Compact(r.keys))
}

// find appends the segments of the run that hold the key.
func (r *run) find(k Key, segments []uint64) []uint64 {
	p := fingerprint(k)
	n := sort.Search(len(r.keys), func(n int) bool { return r.keys[n] >= p })
	for ; n < len(r.keys) && r.keys[n]>>16 == p>>16; n++ {
		segments = append(segments, r.from+r.keys[n]&0xffff)
	}
	return segments
}

// addRun adds the keys of sealed segments and joins the runs of a complete block. It returns the joined run, if any.
func (l *Log) addRun(sh *shard, r run) *run {
	sh.runs = append(sh.runs, r)
	size := uint64(l.config.SummarySegments)
	if r.to%size != 0 || r.to-r.from == size {
		return nil
	}
	first := len(sh.runs) - int(size)
	if first < 0 || sh.runs[first].from != r.to-size || sh.runs[first].to != r.to-size+1 {
		return nil
	}
	joined := run{from: r.to - size, to: r.to}
	for n, x := range sh.runs[first:] {
		joined.newest = max(joined.newest, x.newest)
		for _, k := range x.keys {
			joined.keys = append(joined.keys, k|uint64(n))
		}
	}
	joined.tidy()
	sh.runs = append(sh.runs[:first:first], joined)
	return &joined
}

// writeSum stores a run for VMs that build their index later. It need not succeed: they can read the segments.
func (l *Log) writeSum(sh *shard, r *run) {
	s := Summary{Newest: r.newest, Keys: make([]byte, 0, 8*len(r.keys))}
	for _, k := range r.keys {
		s.Keys = binary.BigEndian.AppendUint64(s.Keys, k)
	}
	if len(s.Keys) <= MaxStoredAnswerBytes {
		l.write(SummaryKey(sh.id, r.from), 0, encode(s), func(result) {})
	}
}

func decodeSum(b []byte, from, to uint64) (run, error) {
	var s Summary
	if err := cbor.Unmarshal(b, &s); err != nil {
		return run{}, err
	}
	r := run{from: from, to: to, newest: s.Newest, keys: make([]uint64, len(s.Keys)/8)}
	for n := range r.keys {
		r.keys[n] = binary.BigEndian.Uint64(s.Keys[8*n:])
	}
	return r, nil
}

// unmerged returns the sealed segments with records of a flight's key that are not part of the index yet.
//
// A segment whose newest record is older than the key allows has none.
func (l *Log) unmerged(f *flight) []uint64 {
	var found []uint64
	oldest := f.keyTime.Add(-MaxKeyAhead - MaxClockSkew).UnixMilli()
	for n := range f.shard.runs {
		r := &f.shard.runs[n]
		if !f.timed || r.newest >= oldest {
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
						l.fold(f.shard, &es[n].record, number)
					}
				}
				if f.merged == nil {
					f.merged = make(map[uint64]bool)
				}
				f.merged[number] = true
			}
			switch {
			case left > 0 || f.gone:
			case failed:
				l.replayLater(f)
			default:
				l.evaluate(f)
			}
		})
	}
}

// evict drops what the runs cover from the full index, except keys of calls on this VM and open claims of its own.
func (l *Log) evict(sh *shard) {
	for k, s := range sh.index {
		h := l.holders.list[s.holder]
		open := s.state <= Unknown && h.vm == l.config.VM && h.incarnation == l.config.Incarnation
		if _, live := l.flights[k]; !live && !open && uint64(s.segment) < sh.segment {
			delete(sh.index, k)
		}
	}
}

// sortRuns orders runs by their segments, which may have been read in any order.
func sortRuns(rs []run) {
	slices.SortFunc(rs, func(a, b run) int { return cmp.Compare(a.from, b.from) })
}

// expireRuns drops runs that no accepted key can refer to.
func (sh *shard) expireRuns() {
	sh.runs = slices.DeleteFunc(sh.runs, func(r run) bool { return r.to <= sh.first && r.newest < sh.cutoff })
}

// pruneBefore returns the first segment that is needed when records before the cutoff are dropped.
func (sh *shard) pruneBefore(cutoff int64) uint64 {
	first := sh.first
	for _, r := range sh.runs {
		if r.from <= first && r.newest < cutoff && r.to <= sh.segment {
			first = max(first, r.to)
		}
	}
	return first
}

// cutoffAt returns the time before which records are not needed any more.
func (l *Log) cutoffAt(now time.Time) int64 {
	return now.Add(-l.retention - 2*MaxKeyAhead).UnixMilli()
}

// SummaryKey returns the store key of the joined keys of the block of segments that starts with from.
func SummaryKey(s Shard, from uint64) string { return keyOf(s, "sum", from) }

package order

import (
	"github.com/teaselstream/teaselstream"
)

type (
	// keyState is the index's 32-byte entry for a key.
	keyState struct {
		claim teaselstream.Fencing
		// at is Record.At, in milliseconds since 1970.
		at      int64
		body    BodyDigest
		segment uint32
		holder  uint16
		state   State
	}

	holder struct {
		vm          teaselstream.VMID
		incarnation teaselstream.Incarnation
	}

	// holders assigns a 16-bit number to each writer of claims, to keep keyState small.
	holders struct {
		list    []holder
		numbers map[holder]uint16
	}
)

// number returns the number of a writer. Beyond 65,535 writers, all further ones share the last number, which is
// treated as a VM that is not live.
func (h *holders) number(w holder) uint16 {
	if n, ok := h.numbers[w]; ok {
		return n
	}
	if h.numbers == nil {
		h.numbers = make(map[holder]uint16)
	}
	if len(h.list) == 1<<16-1 {
		h.list = append(h.list, holder{})
	}
	if len(h.list) == 1<<16 {
		return 1<<16 - 1
	}
	n := uint16(len(h.list))
	h.list = append(h.list, w)
	h.numbers[w] = n
	return n
}

// apply applies a record to the index. It is idempotent, and records may arrive in any order.
func (l *Log) apply(sh *shard, r *Record, segment uint64) {
	if len(sh.openWrites) > 0 && l.isOwn(r) {
		sh.applied[r.Operation] = true
	}
	s, ok := sh.index[r.Key]
	switch {
	case ok && r.Claim < s.claim, ok && r.Claim == s.claim && r.State < s.state:
		return
	case ok && r.Claim == s.claim && r.State == s.state:
		s.segment = max(s.segment, uint32(segment))
	case ok && r.Claim == s.claim:
		s.state, s.segment = r.State, uint32(segment)
		if r.State == Released {
			s.at = r.At
		}
	default:
		w := l.holders.number(holder{r.VM, r.Incarnation})
		s = keyState{claim: r.Claim, at: r.At, body: r.Body, segment: uint32(segment), holder: w, state: r.State}
	}
	sh.index[r.Key] = s
}

// applyLocal advances a claim's state in the index before its record is durable, so that later calls on this VM see it.
func (l *Log) applyLocal(f *flight, claim teaselstream.Fencing, state State) {
	if s, ok := f.shard.index[f.key]; ok && s.claim == claim && s.state < state {
		s.state = state
		f.shard.index[f.key] = s
	}
}

func (l *Log) isOwn(r *Record) bool {
	return r.VM == l.config.VM && r.Incarnation == l.config.Incarnation
}

// applyAll applies the entries of a segment to the index.
func (l *Log) applyAll(sh *shard, es []entry, segment uint64) {
	for n := range es {
		l.apply(sh, &es[n].record, segment)
	}
}

package order

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselstream/teaselstream"
)

const (
	// Claimed allows only the holder to send the call.
	Claimed State = iota + 1
	// Unknown means that the holder sent the call and received no answer.
	Unknown
	// Released means that the call was not sent under this claim and never will be.
	Released
	// Ran means that the call ran and its answer is not stored.
	Ran
	// Done means that the call ran and its answer is stored.
	Done
)

type (
	// State is the state of a claim. Later states of a claim have higher numbers, so records may be applied in any
	// order.
	State uint8

	// Record is one change of a key's state in a shard's log.
	Record struct {
		_ struct{} `cbor:",toarray"`
		// Claim increases by two with each claim of a shard. The odd number after a claim is the fencing number that
		// closes it.
		Claim       teaselstream.Fencing
		Key         Key
		State       State
		VM          teaselstream.VMID
		Incarnation teaselstream.Incarnation
		// Operation identifies the write among those of this incarnation of the VM.
		Operation uint64
		// At is a time in milliseconds since 1970. In state Released it is that of the newest submission that is told
		// NotRun, plus MaxClockSkew, and submissions up to it may not claim the key any more. In other states it is the
		// time of the write.
		At   int64
		Body BodyDigest
		// Answer is present in state Done, unless Large says that it is stored under its own key.
		Answer *Answer
		Large  bool
	}

	// Answer is a stored answer of a service.
	Answer struct {
		_      struct{} `cbor:",toarray"`
		Status int
		Header [][2]string
		Body   []byte
	}

	// Head is the record of a shard that all writers update by compare-and-swap.
	Head struct {
		_ struct{} `cbor:",toarray"`
		// Next is the number of the next claim.
		Next teaselstream.Fencing
		// First is the oldest segment within retention. Segment is the number under which Entries will be sealed.
		First   uint64
		Segment uint64
		// Cutoff is a time in milliseconds since 1970; records before it may have been dropped.
		Cutoff  int64
		Entries []cbor.RawMessage
	}

	// entry is a record with its encoding, which each write of the head copies until the entry is sealed.
	entry struct {
		raw    cbor.RawMessage
		record Record
	}
)

// HeadKey returns the store key of a shard's head.
func HeadKey(s Shard) string { return fmt.Sprintf("order/%d/head", s) }

// SegmentKey returns the store key of a sealed segment.
func SegmentKey(s Shard, n uint64) string { return keyOf(s, "seg", n) }

// AnswerKey returns the store key of a large answer.
func AnswerKey(s Shard, c teaselstream.Fencing) string { return keyOf(s, "answer", uint64(c)) }

func keyOf(s Shard, kind string, n uint64) string { return fmt.Sprintf("order/%d/%s/%d", s, kind, n) }

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		// Encoding fails only for types that CBOR cannot represent, which is a bug in this package.
		panic(fmt.Errorf("encode %T: %w", v, err))
	}
	return b
}

func decodeHead(b []byte) (Head, []entry, error) {
	var h Head
	if err := cbor.Unmarshal(b, &h); err != nil {
		return h, nil, fmt.Errorf("decode head: %w", err)
	}
	e, err := decodeEntries(h.Entries)
	return h, e, err
}

func decodeSegment(b []byte) ([]entry, error) {
	var raws []cbor.RawMessage
	if err := cbor.Unmarshal(b, &raws); err != nil {
		return nil, fmt.Errorf("decode segment: %w", err)
	}
	return decodeEntries(raws)
}

func decodeEntries(raws []cbor.RawMessage) ([]entry, error) {
	es := make([]entry, len(raws))
	for n, r := range raws {
		es[n].raw = r
		if err := cbor.Unmarshal(r, &es[n].record); err != nil {
			return nil, fmt.Errorf("decode record %d: %w", n, err)
		}
	}
	return es, nil
}

func rawsOf(es []entry) []cbor.RawMessage {
	raws := make([]cbor.RawMessage, len(es))
	for n, e := range es {
		raws[n] = e.raw
	}
	return raws
}

// DecodeRecords returns the records in an encoded head, for test transcripts and inspection.
func DecodeRecords(head []byte) ([]Record, error) {
	_, es, err := decodeHead(head)
	rs := make([]Record, len(es))
	for n := range es {
		rs[n] = es[n].record
	}
	return rs, err
}

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Claimed:
		return "Claimed"
	case Unknown:
		return "Unknown"
	case Released:
		return "Released"
	case Ran:
		return "Ran"
	default:
		return "Done"
	}
}

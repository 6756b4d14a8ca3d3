package envdoc

import (
	"fmt"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselstream/teaselstream"
)

// Slot is the store record of the document that is in trial or in production.
type Slot struct {
	Generation teaselstream.Generation
	Digest     teaselstream.Digest
	// Operation identifies the write, so that its writer recognizes it after a lost answer.
	Operation string
	// Base is the generation that this one replaced; 0 means that there was none.
	Base   teaselstream.Generation
	Writer string
	Time   time.Time
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.Time = cbor.TimeRFC3339Nano
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the slot in CBOR.
func (s Slot) Encode() ([]byte, error) {
	s.Time = s.Time.UTC()
	b, err := encoder.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode slot: %w", err)
	}
	return b, nil
}

// DecodeSlot reads a slot from CBOR.
func DecodeSlot(data []byte) (Slot, error) {
	var s Slot
	if err := decoder.Unmarshal(data, &s); err != nil {
		return Slot{}, fmt.Errorf("decode slot: %w", err)
	}
	if s.Generation == 0 || !isDigest(string(s.Digest)) {
		return Slot{}, fmt.Errorf("decode slot: invalid generation %d or digest %q", s.Generation, s.Digest)
	}
	return s, nil
}

// ProdKey returns the store key of an environment's production slot.
func ProdKey(env teaselstream.Environment) string { return "env/" + string(env) + "/prod" }

// TrialKey returns the store key of an environment's trial slot.
func TrialKey(env teaselstream.Environment) string { return "env/" + string(env) + "/trial" }

// HistoryKey returns the store key of the history record of a promoted generation.
func HistoryKey(env teaselstream.Environment, g teaselstream.Generation) string {
	return "env/" + string(env) + "/hist/" + strconv.FormatUint(uint64(g), 10)
}

// BodyKey returns the store key of a document's first record.
func BodyKey(env teaselstream.Environment, d teaselstream.Digest) string {
	return "env/" + string(env) + "/body/" + string(d)
}

// PartKey returns the store key of part n of a document, as EncodeBody numbers them.
func PartKey(env teaselstream.Environment, d teaselstream.Digest, n int) string {
	if n == 0 {
		return BodyKey(env, d)
	}
	return BodyKey(env, d) + "/" + strconv.Itoa(n)
}

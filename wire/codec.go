package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselstream/teaselstream"
)

// MaxFrameBytes is the largest encoded frame in bytes.
const MaxFrameBytes = 1 << 20

var (
	// ErrMalformed reports a frame that cannot be decoded.
	ErrMalformed = errors.New("malformed frame")
	// ErrTooLarge reports a frame above MaxFrameBytes.
	ErrTooLarge = errors.New("frame too large")

	encoder = mustEncoder()
	decoder = mustDecoder()
)

// frame is encoded as a CBOR array because field names would take more bytes than the content.
type frame struct {
	_        struct{} `cbor:",toarray"`
	Kind     Kind
	Sequence teaselstream.Sequence
	Body     cbor.RawMessage
}

func mustEncoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// mustDecoder returns a decoder with bounds on nesting and lengths, so that a malicious frame cannot exhaust memory.
func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 10,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the frame for a message; the error wraps ErrTooLarge for a frame above MaxFrameBytes.
func Encode(s teaselstream.Sequence, m Message) ([]byte, error) {
	b, err := encoder.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	f, err := encoder.Marshal(frame{Kind: m.kind(), Sequence: s, Body: b})
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(f) > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(f))
	}
	return f, nil
}

// Decode returns the sequence number and message of a frame; the error wraps ErrMalformed or ErrTooLarge.
func Decode(b []byte) (teaselstream.Sequence, Message, error) {
	if len(b) > MaxFrameBytes {
		return 0, nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(b))
	}
	var f frame
	if err := decoder.Unmarshal(b, &f); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	m, err := decodeBody(f.Kind, f.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: kind %d: %w", ErrMalformed, f.Kind, err)
	}
	return f.Sequence, m, nil
}

func decodeBody(k Kind, b []byte) (Message, error) {
	switch k {
	case KindHello:
		return decodeAs[Hello](b)
	case KindProof:
		return decodeAs[Proof](b)
	case KindHeartbeat:
		return decodeAs[Heartbeat](b)
	case KindNotices:
		return decodeAs[Notices](b)
	case KindQuestion:
		return decodeAs[Question](b)
	case KindReply:
		return decodeAs[Reply](b)
	case KindDeltaPull:
		return decodeAs[DeltaPull](b)
	case KindDelta:
		return decodeAs[Delta](b)
	case KindBodyPull:
		return decodeAs[BodyPull](b)
	case KindBody:
		return decodeAs[Body](b)
	case KindOrderForward:
		return decodeAs[OrderForward](b)
	case KindOrderAnswer:
		return decodeAs[OrderAnswer](b)
	case KindPermit:
		return decodeAs[Permit](b)
	case KindPermitAnswer:
		return decodeAs[PermitAnswer](b)
	case KindGoodbye:
		return decodeAs[Goodbye](b)
	case KindPlacement:
		return decodeAs[Placement](b)
	default:
		return nil, errors.New("unknown kind")
	}
}

func decodeAs[M Message](b []byte) (Message, error) {
	var m M
	if err := decoder.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	return m, nil
}

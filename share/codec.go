package share

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// maxAnswerBytes bounds the decompressed answer of a reader; the store holds values of up to 1 MB.
const maxAnswerBytes = 16 << 20

// encode returns an answer as compressed CBOR; compression matters because a reader sends a large configuration to every
// VM of its failure domain over one link.
func encode(x readerAnswer) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress answer: %w", err)
	}
	if err := cbor.NewEncoder(w).Encode(x); err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress answer: %w", err)
	}
	return out.Bytes(), nil
}

func decode(body []byte) (readerAnswer, error) {
	var x readerAnswer
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxAnswerBytes))
	if err != nil {
		return x, fmt.Errorf("decompress answer: %w", err)
	}
	if err := cbor.Unmarshal(plain, &x); err != nil {
		return x, fmt.Errorf("decode answer: %w", err)
	}
	return x, nil
}

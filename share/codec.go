package share

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// maxAnswer bounds a decoded answer of a reader; the store holds values of up to 1 MB.
const maxAnswer = 16 << 20

// encode returns an answer in CBOR, compressed: a large configuration goes to every VM of a domain over one reader's link.
func encode(x relayed) ([]byte, error) {
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

func decode(body []byte) (relayed, error) {
	var x relayed
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxAnswer))
	if err != nil {
		return x, fmt.Errorf("decompress answer: %w", err)
	}
	if err := cbor.Unmarshal(plain, &x); err != nil {
		return x, fmt.Errorf("decode answer: %w", err)
	}
	return x, nil
}

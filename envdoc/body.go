package envdoc

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/teaselstream/teaselstream"
)

const (
	// maxPart keeps a part, with its header, under the store's and the peers' limit of 1 MB.
	maxPart = 900_000
	// maxBody bounds a document in its canonical form; the largest planned one has about 2 MB.
	maxBody = 64 << 20
)

// ErrMalformedBody reports a stored document that cannot be read.
var ErrMalformedBody = errors.New("malformed document body")

// firstRecord is the first part: either the whole body, or the number of parts that follow.
type firstRecord struct {
	Parts int    `cbor:",omitempty"`
	Data  []byte `cbor:",omitempty"`
}

// EncodeBody returns a document's deflated parts, the first record first.
func EncodeBody(canonical []byte) ([][]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("deflate document: %w", err)
	}
	if _, err := w.Write(canonical); err != nil {
		return nil, fmt.Errorf("deflate document: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("deflate document: %w", err)
	}
	if b.Len() <= maxPart {
		first, err := encoder.Marshal(firstRecord{Data: b.Bytes()})
		return [][]byte{first}, err
	}
	out := [][]byte{nil}
	for b.Len() > 0 {
		out = append(out, bytes.Clone(b.Next(maxPart)))
	}
	out[0], err = encoder.Marshal(firstRecord{Parts: len(out) - 1})
	return out, err
}

// FollowingParts returns how many parts follow a first record.
func FollowingParts(first []byte) (int, error) {
	r, err := readFirst(first)
	return r.Parts, err
}

func readFirst(first []byte) (firstRecord, error) {
	var r firstRecord
	if err := decoder.Unmarshal(first, &r); err != nil {
		return r, fmt.Errorf("%w: first record: %w", ErrMalformedBody, err)
	}
	if r.Parts < 0 || r.Parts > maxBody/maxPart || r.Parts > 0 && r.Data != nil {
		return r, fmt.Errorf("%w: first record names %d parts", ErrMalformedBody, r.Parts)
	}
	return r, nil
}

// DecodeBody returns the document of the parts that EncodeBody made; the caller checks its digest.
func DecodeBody(parts [][]byte) ([]byte, error) {
	if len(parts) == 0 {
		return nil, fmt.Errorf("%w: no first record", ErrMalformedBody)
	}
	first, err := readFirst(parts[0])
	if err != nil {
		return nil, err
	}
	if first.Parts != len(parts)-1 {
		return nil, fmt.Errorf("%w: %d of %d parts", ErrMalformedBody, len(parts)-1, first.Parts)
	}
	data := first.Data
	if first.Parts > 0 {
		data = bytes.Join(parts[1:], nil)
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBody+1))
	if err != nil {
		return nil, fmt.Errorf("%w: inflate: %w", ErrMalformedBody, err)
	}
	if len(out) > maxBody {
		return nil, fmt.Errorf("%w: above %d bytes", ErrMalformedBody, maxBody)
	}
	return out, nil
}

// Format offers the package's functions as methods, with deltas and bodies encoded for peers.
//
// The zero value works; one of NewFormat parses documents that follow one another faster.
type Format struct{ cache *IncrementalParser }

// NewFormat returns a Format with an IncrementalParser.
func NewFormat() Format { return Format{cache: &IncrementalParser{}} }

// DigestOf returns the digest of a canonical document.
func (Format) DigestOf(canonical []byte) teaselstream.Digest { return DigestOf(canonical) }

// Parse reads and checks a document.
func (f Format) Parse(canonical []byte) (*teaselstream.Document, error) {
	if f.cache != nil {
		return f.cache.Parse("document", canonical)
	}
	return Parse("document", canonical)
}

// MakeDelta returns the encoded changes from one canonical document to another.
func (Format) MakeDelta(from, to []byte) ([]byte, error) { return MakeDelta(from, to).Encode() }

// Apply returns the canonical document that an encoded delta makes of another.
func (Format) Apply(from, delta []byte) ([]byte, error) {
	d, err := DecodeDelta(delta)
	if err != nil {
		return nil, err
	}
	return Apply(from, d)
}

// Encode returns the document in parts below the frame limit.
func (Format) Encode(canonical []byte) ([][]byte, error) { return EncodeBody(canonical) }

// Decode returns the document of its parts.
func (Format) Decode(parts [][]byte) ([]byte, error) { return DecodeBody(parts) }

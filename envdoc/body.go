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
	// maxPartBytes keeps a part with its header below the 1 MB limit of store records and peer frames.
	maxPartBytes = 900_000
	// maxBodyBytes bounds a canonical document; the largest planned one has about 2 MB.
	maxBodyBytes = 64 << 20
)

// ErrMalformedBody reports a stored document that cannot be decoded.
var ErrMalformedBody = errors.New("malformed document body")

// firstRecord is the first part of a body: it holds either the whole body or the number of parts that follow.
type firstRecord struct {
	Parts int    `cbor:",omitempty"`
	Data  []byte `cbor:",omitempty"`
}

// EncodeBody compresses a canonical document with DEFLATE and returns its parts, starting with the first record.
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
	if b.Len() <= maxPartBytes {
		first, err := encoder.Marshal(firstRecord{Data: b.Bytes()})
		return [][]byte{first}, err
	}
	out := [][]byte{nil}
	for b.Len() > 0 {
		out = append(out, bytes.Clone(b.Next(maxPartBytes)))
	}
	out[0], err = encoder.Marshal(firstRecord{Parts: len(out) - 1})
	return out, err
}

// FollowingParts returns the number of parts that follow a first record.
func FollowingParts(first []byte) (int, error) {
	r, err := readFirst(first)
	return r.Parts, err
}

func readFirst(first []byte) (firstRecord, error) {
	var r firstRecord
	if err := decoder.Unmarshal(first, &r); err != nil {
		return r, fmt.Errorf("%w: first record: %w", ErrMalformedBody, err)
	}
	if r.Parts < 0 || r.Parts > maxBodyBytes/maxPartBytes || r.Parts > 0 && r.Data != nil {
		return r, fmt.Errorf("%w: first record announces %d parts", ErrMalformedBody, r.Parts)
	}
	return r, nil
}

// DecodeBody returns the canonical document from the parts that EncodeBody returned; the caller verifies its digest.
func DecodeBody(parts [][]byte) ([]byte, error) {
	if len(parts) == 0 {
		return nil, fmt.Errorf("%w: first record is missing", ErrMalformedBody)
	}
	first, err := readFirst(parts[0])
	if err != nil {
		return nil, err
	}
	if first.Parts != len(parts)-1 {
		return nil, fmt.Errorf("%w: got %d of %d parts", ErrMalformedBody, len(parts)-1, first.Parts)
	}
	data := first.Data
	if first.Parts > 0 {
		data = bytes.Join(parts[1:], nil)
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: inflate: %w", ErrMalformedBody, err)
	}
	if len(out) > maxBodyBytes {
		return nil, fmt.Errorf("%w: document exceeds %d bytes", ErrMalformedBody, maxBodyBytes)
	}
	return out, nil
}

// Format provides the package's functions as methods, with deltas and bodies encoded for transfer between peers.
//
// The zero value is ready to use. A Format from NewFormat parses successive versions of a document faster.
type Format struct{ incremental *IncrementalParser }

// NewFormat returns a Format that parses with an IncrementalParser.
func NewFormat() Format { return Format{incremental: &IncrementalParser{}} }

// DigestOf returns the digest of a canonical document.
func (Format) DigestOf(canonical []byte) teaselstream.Digest { return DigestOf(canonical) }

// Parse parses and validates a document.
func (f Format) Parse(canonical []byte) (*teaselstream.Document, error) {
	if f.incremental != nil {
		return f.incremental.Parse("document", canonical)
	}
	return Parse("document", canonical)
}

// MakeDelta returns the encoded changes from one canonical document to another.
func (Format) MakeDelta(from, to []byte) ([]byte, error) { return MakeDelta(from, to).Encode() }

// Apply applies an encoded delta to a canonical document and returns the resulting document.
func (Format) Apply(from, delta []byte) ([]byte, error) {
	d, err := DecodeDelta(delta)
	if err != nil {
		return nil, err
	}
	return Apply(from, d)
}

// Encode returns the document in parts that each fit into a peer frame.
func (Format) Encode(canonical []byte) ([][]byte, error) { return EncodeBody(canonical) }

// Decode returns the document from the parts that Encode returned.
func (Format) Decode(parts [][]byte) ([]byte, error) { return DecodeBody(parts) }

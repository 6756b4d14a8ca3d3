package hengin

import (
	"bytes"
	"errors"
)

var errMalformedChunk = errors.New("malformed chunked body")

// maxChunkLineBytes is the maximum length of a chunk-size line, chunk extensions included.
const maxChunkLineBytes = 256

type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkData
	chunkDataEnd
	chunkTrailer
	chunkEnd
)

// dechunker decodes the chunked transfer coding of input that arrives in pieces of any length.
//
// The chunked reader of net/http/httputil cannot continue after a read
// deadline has expired, and this package waits with read deadlines.
type dechunker struct {
	state     chunkState
	remaining uint64
}

// decode appends the data that raw encodes to body and returns the number of bytes of raw that it consumed.
func (d *dechunker) decode(raw, body []byte) (consumed int, _ []byte, err error) {
	for consumed < len(raw) && d.state != chunkEnd {
		rest := raw[consumed:]
		if d.state == chunkData {
			n := len(rest)
			if uint64(n) > d.remaining {
				n = int(d.remaining)
			}
			body = append(body, rest[:n]...)
			consumed += n
			d.remaining -= uint64(n)
			if d.remaining == 0 {
				d.state = chunkDataEnd
			}
			continue
		}
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			if len(rest) > maxChunkLineBytes {
				return consumed, body, errMalformedChunk
			}
			return consumed, body, nil
		}
		if err := d.parseLine(bytes.TrimSuffix(rest[:i], []byte("\r"))); err != nil {
			return consumed, body, err
		}
		consumed += i + 1
	}
	return consumed, body, nil
}

func (d *dechunker) parseLine(l []byte) error {
	switch d.state {
	case chunkSize:
		n, err := parseChunkSize(l)
		if err != nil {
			return err
		}
		d.remaining, d.state = n, chunkData
		if n == 0 {
			d.state = chunkTrailer
		}
	case chunkDataEnd:
		if len(l) > 0 {
			return errMalformedChunk
		}
		d.state = chunkSize
	default:
		if len(l) == 0 {
			d.state = chunkEnd
		}
	}
	return nil
}

func parseChunkSize(l []byte) (uint64, error) {
	if i := bytes.IndexByte(l, ';'); i >= 0 {
		l = l[:i]
	}
	l = bytes.TrimSpace(l)
	if len(l) == 0 || len(l) > 8 {
		return 0, errMalformedChunk
	}
	var n uint64
	for _, c := range l {
		switch {
		case '0' <= c && c <= '9':
			n = n<<4 | uint64(c-'0')
		case 'a' <= c|0x20 && c|0x20 <= 'f':
			n = n<<4 | uint64(c|0x20-'a'+10)
		default:
			return 0, errMalformedChunk
		}
	}
	return n, nil
}

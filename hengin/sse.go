package hengin

import "bytes"

// sseReader splits a stream of server-sent events into events, whose data lines it joins.
//
// The slices that it returns are valid until the next call.
type sseReader struct {
	name     [16]byte
	nameSize int
	// data holds the data lines read so far of the current event.
	data    []byte
	hasData bool
}

// next returns the first event that ends in b, and the number of bytes
// consumed. If none ends in b, ok is false and all complete lines are consumed.
func (r *sseReader) next(b []byte) (name, data []byte, consumed int, ok bool) {
	for {
		i := bytes.IndexByte(b[consumed:], '\n')
		if i < 0 {
			return nil, nil, consumed, false
		}
		line := bytes.TrimSuffix(b[consumed:consumed+i], []byte("\r"))
		consumed += i + 1
		if len(line) == 0 {
			if !r.hasData {
				r.nameSize = 0
				continue
			}
			name, data = r.name[:r.nameSize], r.data
			r.nameSize, r.hasData = 0, false
			return name, data, consumed, true
		}
		r.line(line)
	}
}

func (r *sseReader) line(l []byte) {
	field, value, _ := bytes.Cut(l, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "event":
		r.nameSize = copy(r.name[:], value)
	case "data":
		if r.hasData {
			r.data = append(append(r.data, '\n'), value...)
		} else {
			r.data = append(r.data[:0], value...)
		}
		r.hasData = true
	}
}

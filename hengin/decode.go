package hengin

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"unicode/utf8"

	"github.com/teaselstream/teaselstream"
)

// Token texts are stored in blocks: a small one first, and then blocks that each hold about a thousand tokens.
const (
	firstTextBlockBytes = 256
	textBlockBytes      = 4096
)

// tokenDecoder decodes token events into one reused value.
//
// Events of the usual form are decoded without an allocation for each: the
// texts of many tokens share a block, and repeated ids are reused. Any other
// form is passed to encoding/json, so that the decoder accepts the same input.
type tokenDecoder struct {
	event     teaselstream.TokenEvent
	textBlock *strings.Builder
	seen      uint8
	input     []byte
	pos       int
}

const (
	seenRequest = 1 << iota
	seenAttempt
	seenSequence
	seenIndex
	seenText
	seenReceipts
)

// decode returns the event in data; it is valid until the next call.
func (d *tokenDecoder) decode(data []byte) (*teaselstream.TokenEvent, error) {
	if d.decodeFast(data) {
		return &d.event, nil
	}
	d.event = teaselstream.TokenEvent{}
	if err := json.Unmarshal(data, &d.event); err != nil {
		return nil, fmt.Errorf("decode token event: %w", err)
	}
	return &d.event, nil
}

func (d *tokenDecoder) decodeFast(data []byte) bool {
	d.input, d.pos, d.seen = data, 0, 0
	e := &d.event
	e.Attempt, e.Sequence, e.Index, e.Text, e.Receipts = 0, 0, 0, "", e.Receipts[:0]
	if !d.object(d.field) {
		return false
	}
	if d.seen&seenRequest == 0 {
		e.Request = ""
	}
	d.skipSpace()
	return d.pos == len(d.input)
}

// object reads an object and calls field for each key, to read the value; it does not read nested objects itself.
func (d *tokenDecoder) object(field func(key []byte) bool) bool {
	if !d.byte('{') {
		return false
	}
	if d.byte('}') {
		return true
	}
	for {
		key, plain, ok := d.string()
		if !ok || !plain || !d.byte(':') || !field(key) {
			return false
		}
		if d.byte('}') {
			return true
		}
		if !d.byte(',') {
			return false
		}
	}
}

func (d *tokenDecoder) field(key []byte) bool {
	e := &d.event
	switch string(key) {
	case "Request":
		return d.markSeen(seenRequest) && d.id((*string)(&e.Request))
	case "Attempt":
		n, ok := d.number(math.MaxUint32)
		e.Attempt = teaselstream.Attempt(n)
		return ok && d.markSeen(seenAttempt)
	case "Sequence":
		n, ok := d.number(math.MaxInt64)
		e.Sequence = teaselstream.Sequence(n)
		return ok && d.markSeen(seenSequence)
	case "Index":
		n, ok := d.number(math.MaxInt64)
		e.Index = teaselstream.TokenIndex(n)
		return ok && d.markSeen(seenIndex)
	case "Text":
		return d.markSeen(seenText) && d.tokenText()
	case "Receipts":
		return d.markSeen(seenReceipts) && d.receipts()
	}
	return false
}

// markSeen reports whether a field occurs for the first time; objects with repeated fields are rare and are passed to
// encoding/json.
func (d *tokenDecoder) markSeen(bit uint8) bool {
	if d.seen&bit != 0 {
		return false
	}
	d.seen |= bit
	return true
}

func (d *tokenDecoder) receipts() bool {
	if !d.byte('[') {
		return false
	}
	if d.byte(']') {
		return true
	}
	for {
		if !d.receipt() {
			return false
		}
		if d.byte(']') {
			return true
		}
		if !d.byte(',') {
			return false
		}
	}
}

// receipt reads a receipt into the element that the previous event used at this index, and reuses the server's name in it
// if it is the same.
func (d *tokenDecoder) receipt() bool {
	e := &d.event
	n := len(e.Receipts)
	if n < cap(e.Receipts) {
		e.Receipts = e.Receipts[:n+1]
	} else {
		e.Receipts = append(e.Receipts, teaselstream.Receipt{})
	}
	x := &e.Receipts[n]
	x.From, x.To = 0, 0
	var seen uint8
	ok := d.object(func(key []byte) bool {
		var bit uint8
		var ok bool
		switch string(key) {
		case "Server":
			bit, ok = 1, d.id((*string)(&x.Server))
		case "From":
			bit, ok = 2, d.layer(&x.From)
		case "To":
			bit, ok = 4, d.layer(&x.To)
		}
		ok = ok && seen&bit == 0
		seen |= bit
		return ok
	})
	if seen&1 == 0 {
		x.Server = ""
	}
	return ok
}

func (d *tokenDecoder) layer(l *teaselstream.Layer) bool {
	n, ok := d.number(math.MaxInt64)
	*l = teaselstream.Layer(n)
	return ok
}

// id reads a string into s and allocates only if it differs from the value of s.
func (d *tokenDecoder) id(s *string) bool {
	b, plain, ok := d.string()
	if !ok || !plain {
		return false
	}
	if string(b) != *s {
		*s = string(b)
	}
	return true
}

// tokenText reads the text of a token into the current block, or into a new one if it does not fit.
func (d *tokenDecoder) tokenText() bool {
	b, plain, ok := d.string()
	if !ok {
		return false
	}
	if d.textBlock == nil || d.textBlock.Cap()-d.textBlock.Len() < len(b) {
		size := textBlockBytes
		if d.textBlock == nil {
			size = firstTextBlockBytes
		}
		d.textBlock = new(strings.Builder)
		d.textBlock.Grow(max(size, len(b)))
	}
	from := d.textBlock.Len()
	if plain {
		d.textBlock.Write(b)
	} else if !unescape(d.textBlock, b) {
		return false
	}
	d.event.Text = d.textBlock.String()[from:]
	return true
}

// string reads a string and returns the bytes between its quotes; plain means that they contain no escape sequence.
func (d *tokenDecoder) string() (raw []byte, plain, ok bool) {
	if !d.byte('"') {
		return nil, false, false
	}
	input, pos := d.input, d.pos
	var all byte
	plain = true
	for ; pos < len(input); pos++ {
		switch c := input[pos]; {
		case c == '"':
			raw = input[d.pos:pos]
			d.pos = pos + 1
			return raw, plain, all < utf8.RuneSelf || utf8.Valid(raw)
		case c < 0x20:
			return nil, false, false
		case c == '\\':
			plain = false
			pos++
		default:
			all |= c
		}
	}
	return nil, false, false
}

// number reads a decimal number without sign, fraction or exponent, which must not exceed limit.
func (d *tokenDecoder) number(limit uint64) (uint64, bool) {
	d.skipSpace()
	var n uint64
	from := d.pos
	for d.pos < len(d.input) && '0' <= d.input[d.pos] && d.input[d.pos] <= '9' {
		n = n*10 + uint64(d.input[d.pos]-'0')
		d.pos++
	}
	digits := d.pos - from
	return n, digits > 0 && digits < 19 && (digits == 1 || d.input[from] != '0') && n <= limit
}

func (d *tokenDecoder) byte(c byte) bool {
	if d.pos < len(d.input) && d.input[d.pos] <= ' ' {
		d.skipSpace()
	}
	if d.pos < len(d.input) && d.input[d.pos] == c {
		d.pos++
		return true
	}
	return false
}

func (d *tokenDecoder) skipSpace() {
	for ; d.pos < len(d.input); d.pos++ {
		switch d.input[d.pos] {
		case ' ', '\t', '\r', '\n':
		default:
			return
		}
	}
}

// unescape appends b to w with its one-letter escapes replaced. It returns false for others, such as \u escapes, which are
// left to encoding/json.
func unescape(w *strings.Builder, b []byte) bool {
	const (
		escapes = `"\/bfnrt`
		values  = "\"\\/\b\f\n\r\t"
	)
	for i := 0; i < len(b); i++ {
		if b[i] != '\\' {
			w.WriteByte(b[i])
			continue
		}
		i++
		if i == len(b) {
			return false
		}
		j := strings.IndexByte(escapes, b[i])
		if j < 0 {
			return false
		}
		w.WriteByte(values[j])
	}
	return true
}

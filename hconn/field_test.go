package hconn

import (
	"errors"
	"testing"

	"github.com/teaselstream/teaselstream"
)

// Guards against an answer with a line that is no field in the protocol, and that counts or decides where the body ends.
func TestAnswersWithInvalidFields(t *testing.T) {
	for _, line := range []string{
		"X Y: 1", "X-Y : 1", "X-Y\t: 1", " X-Y: 1", "\tX-Y: 1", " ", "X\x00Y: 1", "X\x01: 1", "\x7fX: 1", "X\rY: 1", "X\r: 1", "\rX: 1", "X\v: 1", "X\x80: 1",
		": 1", "X-Y", "X(Y): 1", "Content-Length : 3", "Content-Length\t: 3", "Content-Length\v: 3", " Content-Length: 3", "Transfer-Encoding : chunked",
		"Transfer-Encoding\x00: chunked",
	} {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nName: x\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nName: x\r\n" + line + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200\r\nContent-Length: 4\r\n" + line + "\r\n\r\nbody",
		} {
			var c Client
			if got, err := get(&c, answerWith(t, false, text)); !errors.Is(err, teaselstream.ErrOutcomeUnknown) || !errors.Is(err, ErrNoField) {
				t.Errorf("%q: Do() = %q, %v; want %v: %v", text, got, err, teaselstream.ErrOutcomeUnknown, ErrNoField)
			}
		}
	}
}

// Guards against refusing answers whose fields are unusual but sound, or whose line that is no field says nothing about them: in the body, in
// a trailer or in an interim head.
func TestAnswersWithSoundFields(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, text := range []string{
		head + "!#$%&'*+-.^_`|~09AZaz: x\r\nContent-Length: 4\r\n\r\nbody",
		head + "Empty:\r\nColon: a:b : c\r\nBlank: \t x \t\r\nContent-Length:4\r\n\r\nbody",
		head + "Content-Length: 4\r\n\r\nbody" + "X Y: 1\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Y: 1\r\nContent-Length : 3\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody",
		"HTTP/1.1 100 Continue\r\nTransfer-Encoding : chunked\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody",
	} {
		var c Client
		if got, err := get(&c, answerWith(t, false, text)); err != nil || got != "200 body" {
			t.Errorf("%q: Do() = %q, %v; want 200 body", text, got, err)
		}
	}
}

// Guards against a line that is no field and is not recognized since it comes in pieces, and against bytes of a body that count as lines.
func TestFieldsInPieces(t *testing.T) {
	const head, body = "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nName: a b\r\n", "\r\nX Y: 1\r\n"
	for text, want := range map[string]error{head + "X Y: 1" + body: ErrNoField, head + body: nil} {
		for size := 1; size <= len(text); size++ {
			var c HeadCheck
			var err error
			for at := 0; at < len(text) && err == nil; at += size {
				err = c.Next([]byte(text[at:min(at+size, len(text))]))
			}
			if !errors.Is(err, want) {
				t.Errorf("%q in pieces of %d bytes: Next() = %v, want %v", text, size, err, want)
			}
		}
	}
}

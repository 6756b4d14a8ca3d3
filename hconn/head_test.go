package hconn

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
)

// Guards against an answer whose status is none in the protocol and that counts as one: the library takes 000 for 200.
func TestStatusThatIsNone(t *testing.T) {
	const rest = "\r\nContent-Length: 4\r\n\r\nbody"
	for _, text := range []string{
		"HTTP/1.1 000 Broken" + rest, "HTTP/1.1  000" + rest, "\r\nHTTP/1.1 000 Broken" + rest, "HTTP/1.1 001 Broken" + rest, "HTTP/1.1 099 Broken" + rest,
		"HTTP/1.1 +20 Broken" + rest, "HTTP/1.1 20 Broken" + rest, "HTTP/1.1 100 Continue\r\nName: value\r\n\r\nHTTP/1.1 000 Broken" + rest,
		"HTTP/1.1 199 Broken" + rest, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Broken" + rest,
	} {
		q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		q.SetRequestURI("http://" + answerWith(t, false, text+"KEEP") + "/")
		var c Client
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		if err := c.Do(ctx, q, p); !errors.Is(err, teaselstream.ErrOutcomeUnknown) {
			t.Errorf("%q: Do() = %v with status %d, want %v", text, err, p.StatusCode(), teaselstream.ErrOutcomeUnknown)
		}
	}
}

// Guards against answers that are refused although their status is one: several on a connection, after an interim one, with bodies that look
// like a status line.
func TestStatusesOfAnswers(t *testing.T) {
	for _, x := range []struct {
		text string
		want int
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n\r\nHTTP/1.1 000 Broken", fasthttp.StatusOK},
		{"HTTP/1.1 100 Continue\r\nName: value\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok", fasthttp.StatusAccepted},
		{"HTTP/1.1 999 Other\r\nContent-Length: 0\r\n\r\n", 999},
		{"HTTP/1.1 503\r\nContent-Length: 0\r\n\r\n", fasthttp.StatusServiceUnavailable},
	} {
		address := answerWith(t, false, slices.Repeat([]string{x.text + "KEEP"}, 3)...)
		var c Client
		for range 3 {
			q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			q.SetRequestURI("http://" + address + "/")
			if err := c.Do(context.Background(), q, p); err != nil || p.StatusCode() != x.want {
				t.Errorf("%q: Do() = %v with status %d, want status %d", x.text, err, p.StatusCode(), x.want)
			}
		}
	}
}

// Guards against a status line that is not recognized since it comes in pieces.
func TestStatusInPieces(t *testing.T) {
	const text = "\r\nHTTP/1.1  100 Continue\r\nName: value\r\n\r\nHTTP/1.1 000 Broken\r\n"
	for size := 1; size <= len(text); size++ {
		var c HeadCheck
		var err error
		for at := 0; at < len(text) && err == nil; at += size {
			err = c.Next([]byte(text[at:min(at+size, len(text))]))
		}
		if !errors.Is(err, ErrNoStatus) {
			t.Errorf("pieces of %d bytes: Next() = %v, want %v", size, err, ErrNoStatus)
		}
	}
}

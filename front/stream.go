package front

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream/sock"
)

// maxRendered bounds what is rendered before it is written, when many tokens have arrived at once.
const maxRendered = 4096

// streamBody renders a session as server-sent events, one token or what has arrived for each Read.
type streamBody struct {
	answer       *answer
	conn         net.Conn
	writeTimeout time.Duration
	deadlineAt   time.Time
	out          []byte
	at           int
	ended        bool
}

// stream waits for the first token, so that a failure before it has its own status, and then streams.
func (s *Server) stream(c *fasthttp.RequestCtx, a *answer) {
	first, ok, err := a.session.Next()
	if err != nil {
		sock.Discard(a.session)
		writeError(c, a.id, err)
		return
	}
	b := &streamBody{answer: a, conn: c.Conn(), writeTimeout: s.options.WriteTimeout}
	a.start()
	if ok {
		b.out = a.appendToken(b.out, first)
	} else {
		b.end(nil)
	}
	c.SetContentType("text/event-stream")
	c.Response.Header.Set("Cache-Control", "no-cache")
	c.SetBodyStream(b, -1)
}

// Read returns rendered events; it waits for a token only if none is rendered.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.at == len(b.out) {
		if b.ended {
			return 0, io.EOF
		}
		b.out, b.at = b.out[:0], 0
		b.render()
	}
	if err := b.extendDeadline(); err != nil {
		return 0, err
	}
	n := copy(p, b.out[b.at:])
	b.at += n
	return n, nil
}

func (b *streamBody) render() {
	for {
		text, ok, err := b.answer.session.Next()
		if !ok {
			b.end(err)
			return
		}
		b.out = b.answer.appendToken(b.out, text)
		if len(b.out) >= maxRendered || !b.answer.session.Buffered() {
			return
		}
	}
}

func (b *streamBody) end(err error) {
	b.ended = true
	if err != nil {
		b.out = b.answer.appendError(b.out, err)
		return
	}
	b.out = b.answer.appendEnd(b.out, b.answer.session.Reason())
}

// extendDeadline gives the caller time to read; it is renewed rarely since each renewal costs a timer update.
func (b *streamBody) extendDeadline() error {
	now := time.Now()
	if now.Before(b.deadlineAt.Add(-b.writeTimeout / 2)) {
		return nil
	}
	b.deadlineAt = now.Add(b.writeTimeout)
	return b.conn.SetWriteDeadline(b.deadlineAt)
}

// Close ends the session; before the end of the answer it means that the caller is gone.
func (b *streamBody) Close() error {
	return b.answer.session.Close()
}

package front

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream/sock"
)

// maxRenderedBytes is the size from which on rendered events are written although more tokens are buffered.
const maxRenderedBytes = 4096

// streamBody renders a session as server-sent events. Each rendering covers the tokens that have arrived, at least one.
type streamBody struct {
	answer        *answer
	conn          net.Conn
	writeTimeout  time.Duration
	writeDeadline time.Time
	rendered      []byte
	written       int
	ended         bool
}

// stream answers with a stream of events. It waits for the first token before it starts the response, so that an earlier
// failure is answered with its own status.
func (s *Server) stream(c *fasthttp.RequestCtx, a *answer) {
	first, ok, err := a.session.Next()
	if err != nil {
		sock.Discard(a.session)
		writeError(c, a.id, err)
		return
	}
	b := &streamBody{answer: a, conn: c.Conn(), writeTimeout: s.options.WriteTimeout}
	a.prepareChunks()
	if ok {
		b.rendered = a.appendToken(b.rendered, first)
	} else {
		b.end(nil)
	}
	c.SetContentType("text/event-stream")
	c.Response.Header.Set("Cache-Control", "no-cache")
	c.SetBodyStream(b, -1)
}

// Read returns rendered events; it waits for a token only if all rendered events have been returned.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.written == len(b.rendered) {
		if b.ended {
			return 0, io.EOF
		}
		b.rendered, b.written = b.rendered[:0], 0
		b.render()
	}
	if err := b.extendDeadline(); err != nil {
		return 0, err
	}
	n := copy(p, b.rendered[b.written:])
	b.written += n
	return n, nil
}

func (b *streamBody) render() {
	for {
		text, ok, err := b.answer.session.Next()
		if !ok {
			b.end(err)
			return
		}
		b.rendered = b.answer.appendToken(b.rendered, text)
		if len(b.rendered) >= maxRenderedBytes || !b.answer.session.Buffered() {
			return
		}
	}
}

func (b *streamBody) end(err error) {
	b.ended = true
	if err != nil {
		b.rendered = b.answer.appendError(b.rendered, err)
		return
	}
	b.rendered = b.answer.appendEnd(b.rendered, b.answer.session.Reason())
}

// extendDeadline moves the write deadline forward once half of the write timeout has passed. Doing so for each write would
// cost a timer update per token.
func (b *streamBody) extendDeadline() error {
	now := time.Now()
	if now.Before(b.writeDeadline.Add(-b.writeTimeout / 2)) {
		return nil
	}
	b.writeDeadline = now.Add(b.writeTimeout)
	return b.conn.SetWriteDeadline(b.writeDeadline)
}

// Close ends the session; a close before the end of the answer means that the caller has disconnected.
func (b *streamBody) Close() error {
	return b.answer.session.Close()
}

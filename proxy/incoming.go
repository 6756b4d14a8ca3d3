package proxy

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/memory"
	"github.com/teaselstream/teaselstream/sock"
)

// firstBodyBytes is the size up to which a body gets its buffer before it has arrived; a caller may announce more than it sends.
const firstBodyBytes = 64 << 10

var errBodyTooLarge = errors.New("request body exceeds the limit")

// readRequest returns the next request, or false if the connection must close.
func (c *callerConn) readRequest(first bool) (*Exchange, bool) {
	l := c.server.limits()
	wait := l.IdleTimeout + idleGrace
	if first {
		wait = max(l.HeaderTimeout, l.IdleTimeout)
	}
	c.limited.N = math.MaxInt64
	if !c.await(wait) {
		return nil, false
	}
	arrived := time.Now()
	// The limits may have changed while the connection was idle.
	l = c.server.limits()
	if !c.expire(l.HeaderTimeout) {
		return nil, false
	}
	c.limited.N = int64(l.MaxHeader)
	q, err := http.ReadRequest(c.reader)
	if err != nil {
		c.refuseHeaderError(err)
		return nil, false
	}
	c.limited.N = math.MaxInt64
	if headerSize(q) > l.MaxHeader {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		return nil, false
	}
	if ambiguousFraming(q) || q.Host == "" && q.ProtoAtLeast(1, 1) {
		c.refuse(http.StatusBadRequest)
		return nil, false
	}
	x := &Exchange{
		Method: q.Method, Target: q.RequestURI, Host: q.Host, Header: q.Header, Arrived: arrived, conn: c,
		http10: !q.ProtoAtLeast(1, 1), close: q.Close,
	}
	x.held = c.server.Bodies.Open(c.endRead)
	if x.Body, err = c.body(q, l, x.held); err != nil {
		x.held.Close()
		c.refuseBodyError(err)
		return nil, false
	}
	x.held.Keep()
	return x, true
}

// await waits for the first byte of a request and returns false if the connection must close. A byte that has arrived when the wait ends
// is read: its caller would get no answer to a request that it has sent in time.
func (c *callerConn) await(wait time.Duration) bool {
	c.mu.Lock()
	ok := c.closing || c.expire(wait)
	c.mu.Unlock()
	if !ok {
		return false
	}
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && !sock.Idle(c.Conn) && c.expire(defaultHeaderTimeout) {
		_, err = c.reader.Peek(1)
	}
	if err != nil {
		return false
	}
	c.setBusy(true)
	return true
}

// setBusy marks the connection, and counts its request among those in progress.
func (c *callerConn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case busy && !c.busy:
		c.server.active.Add(1)
	case !busy && c.busy:
		c.server.active.Add(-1)
	}
	c.busy = busy
}

// expire makes reads fail once d has passed from now, or reading ends; it returns false if the connection is already closed.
func (c *callerConn) expire(d time.Duration) bool {
	return c.SetReadDeadline(c.server.capRead(time.Now().Add(d))) == nil
}

// endRead makes the read of a request fail.
func (c *callerConn) endRead() {
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil && !errors.Is(err, net.ErrClosed) {
		c.server.Log.Info("ReadNotEnded", "caller", c.RemoteAddr().String(), "error", err.Error())
	}
}

func (c *callerConn) body(q *http.Request, l teaselstream.EdgeLimits, held *memory.Holder) ([]byte, error) {
	if q.ContentLength > int64(l.MaxBody) {
		return nil, errBodyTooLarge
	}
	if q.ContentLength == 0 {
		return nil, nil
	}
	if strings.EqualFold(q.Header.Get("Expect"), "100-continue") {
		q.Header.Del("Expect")
		// The deadline of the connection's last answer may have passed.
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return nil, fmt.Errorf("send 100 Continue: %w", err)
		}
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, fmt.Errorf("send 100 Continue: %w", err)
		}
	}
	var body []byte
	if q.ContentLength > 0 {
		body = make([]byte, 0, min(q.ContentLength, firstBodyBytes))
	}
	r := held.Reader(q.Body)
	buffer := make([]byte, readBufferBytes)
	for {
		if !c.expire(bodyTimeout) {
			return nil, net.ErrClosed
		}
		n, err := r.Read(buffer)
		body = append(body, buffer[:n]...)
		if len(body) > int(l.MaxBody) {
			return nil, errBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

func (c *callerConn) refuseHeaderError(err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(c.server.lateStatus())
	case c.limited.N <= 0:
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
	default:
		c.refuse(http.StatusBadRequest)
	}
}

func (c *callerConn) refuseBodyError(err error) {
	switch {
	case errors.Is(err, memory.ErrEnded):
		c.refuse(http.StatusServiceUnavailable)
	case errors.Is(err, errBodyTooLarge):
		c.refuse(http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(c.server.lateStatus())
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
	default:
		c.refuse(http.StatusBadRequest)
	}
}

// refuse responds to a request that could not be read, and ends the connection.
func (c *callerConn) refuse(status int) {
	c.server.Log.Info("RequestUnreadable", "status", status, "caller", c.RemoteAddr().String())
	h := http.Header{"Connection": {"close"}, "Content-Length": {"0"}}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfterUnread)
	}
	if c.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return
	}
	if err := errors.Join(writeResponseHead(c.writer, status, h), c.writer.Flush()); err != nil {
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok {
		if err := t.CloseWrite(); err != nil {
			return
		}
	}
	c.limited.N = lingerBytes
	if c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// Unread data would make the close reset the connection, so the rest of the request is read and dropped.
	_, _ = io.Copy(io.Discard, c.reader)
}

package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/sock"
)

const (
	// defaultHeaderTimeout and the defaults below apply until a configuration is known.
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	defaultMaxHeaderBytes = 16384
	defaultMaxBodyBytes   = 4 << 20
	// writeTimeout limits one write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// bodyTimeout limits the pause between two reads of a caller's body.
	bodyTimeout = 3 * time.Second
	// lingerTime is how long the rest of a refused request is read; closing with unread data would reset the
	// connection before the caller has the response.
	lingerTime = 300 * time.Millisecond
	// lingerBytes limits what is read in that time.
	lingerBytes = 1 << 20
	// idleGrace keeps a connection open beyond the configured idle time, so that a request sent just before that still arrives.
	idleGrace = 1 * time.Second
)

type (
	// Server accepts callers' connections and hands each request to Serve.
	Server struct {
		Serve  func(x *Exchange)
		Limits func() teaselstream.EdgeLimits
		Log    *slog.Logger

		mu       sync.Mutex
		conns    map[*callerConn]bool
		draining atomic.Bool
		active   atomic.Int64
		// readEnd is the time at which reading requests ends, in nanoseconds since 1970; 0 means never.
		readEnd atomic.Int64
	}

	callerConn struct {
		net.Conn
		server  *Server
		limited *io.LimitedReader
		reader  *bufio.Reader
		writer  *bufio.Writer
		// opened is when the connection was accepted.
		opened time.Time

		mu sync.Mutex
		// busy is true while a request is read or served, and closing after CloseIdle found the connection idle.
		busy, closing bool
	}

	// Exchange is one request of a caller and its response.
	Exchange struct {
		Method  string
		Target  string
		Host    string
		Header  http.Header
		Body    []byte
		Arrived time.Time
		// Disconnected is closed when the caller closes its connection.
		Disconnected <-chan struct{}

		conn     *callerConn
		http10   bool
		close    bool
		started  bool
		complete bool
		chunked  bool
	}
)

// Run accepts connections until the listener is closed.
func (s *Server) Run(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			// A shortage of file descriptors is temporary, and the listener stays usable.
			s.Log.Warn("AcceptFailed", "error", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		// The connection counts as open before the listener can be closed.
		go s.serve(s.register(c))
	}
}

// ActiveRequests returns the number of requests in progress, those that are being read included.
func (s *Server) ActiveRequests() int { return int(s.active.Load()) }

// Drain adds Connection: close to all further responses, so that callers reconnect elsewhere.
func (s *Server) Drain() { s.draining.Store(true) }

// closeIdle ends the wait for the next request. It does not close the connection, since its reader may have read a request already.
func (c *callerConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	c.closing = true
	// An error means that the connection is closed.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// discard closes the connection and ignores the error, since the connection is not used again.
func (c *callerConn) discard() { _ = c.Close() }

// register adds a connection to those that are open.
func (s *Server) register(n net.Conn) *callerConn {
	limited := &io.LimitedReader{R: n, N: math.MaxInt64}
	c := &callerConn{
		Conn: n, server: s, limited: limited, opened: time.Now(),
		reader: bufio.NewReaderSize(limited, readBufferBytes), writer: bufio.NewWriterSize(n, readBufferBytes),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*callerConn]bool)
	}
	s.conns[c] = true
	return c
}

func (s *Server) serve(c *callerConn) {
	defer func() {
		c.setBusy(false)
		c.discard()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for first := true; ; first = false {
		x, ok := c.readRequest(first)
		if !ok {
			return
		}
		c.serveExchange(x)
		c.setBusy(false)
		// A response that started before Drain lacks Connection: close, so the connection is closed here. A request that has already
		// arrived behind it is still served.
		if x.close || !x.complete || s.draining.Load() && c.reader.Buffered() == 0 && sock.Idle(c.Conn) {
			return
		}
	}
}

func (s *Server) limits() teaselstream.EdgeLimits {
	l := s.Limits()
	if l.MaxHeader <= 0 {
		l.MaxHeader = defaultMaxHeaderBytes
	}
	if l.MaxBody <= 0 {
		l.MaxBody = defaultMaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

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
	if x.Body, err = c.body(q, l); err != nil {
		c.refuseBodyError(err)
		return nil, false
	}
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

var errBodyTooLarge = errors.New("request body exceeds the limit")

func (c *callerConn) body(q *http.Request, l teaselstream.EdgeLimits) ([]byte, error) {
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
		body = make([]byte, 0, q.ContentLength)
	}
	buffer := make([]byte, readBufferBytes)
	for {
		if !c.expire(bodyTimeout) {
			return nil, net.ErrClosed
		}
		n, err := q.Body.Read(buffer)
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

// serveExchange serves one request and closes Disconnected if the caller disconnects meanwhile.
func (c *callerConn) serveExchange(x *Exchange) {
	disconnected := make(chan struct{})
	x.Disconnected = disconnected
	watched := make(chan struct{})
	if c.SetReadDeadline(time.Time{}) != nil {
		x.close = true
		return
	}
	go func() {
		defer close(watched)
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(disconnected)
		}
	}()
	c.server.Serve(x)
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		x.close = true
	}
	<-watched
}

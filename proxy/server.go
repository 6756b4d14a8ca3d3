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
)

const (
	// defaultHeaderTimeout and the other defaults hold until a configuration is known.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultMaxHeader     = 16384
	defaultMaxBody       = 4 << 20
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// bodyTimeout bounds the pause between two pieces of a caller's body.
	bodyTimeout = 3 * time.Second
	// lingerTime is how long the rest of a refused request is read, so that closing does not reset the refusal.
	lingerTime = 300 * time.Millisecond
	// lingerBytes bounds what is read in that time.
	lingerBytes = 1 << 20
	// idleGrace keeps a connection open beyond the stated idle time, so that a request may cross the close.
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
		stopping atomic.Bool
		active   atomic.Int64
	}

	callerConn struct {
		net.Conn
		server  *Server
		limited *io.LimitedReader
		reader  *bufio.Reader
		writer  *bufio.Writer
		// busy is set while a request is read or served.
		busy atomic.Bool
	}

	// Exchange is one request of a caller and its answer.
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
		oldProto bool
		close    bool
		begun    bool
		ended    bool
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
			// A shortage of descriptors passes; the listener itself stays usable.
			s.Log.Warn("AcceptFailed", "error", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		go s.serve(c)
	}
}

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int { return int(s.active.Load()) }

// Drain asks callers to leave: answers carry Connection: close from now on.
func (s *Server) Drain() { s.stopping.Store(true) }

// CloseIdle closes connections without a request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.busy.Load() {
			c.shut()
		}
	}
}

// shut closes a connection; the error of closing says nothing that could be acted on.
func (c *callerConn) shut() { _ = c.Close() }

func (s *Server) serve(n net.Conn) {
	limited := &io.LimitedReader{R: n, N: math.MaxInt64}
	c := &callerConn{Conn: n, server: s, limited: limited, reader: bufio.NewReaderSize(limited, readBuffer), writer: bufio.NewWriterSize(n, readBuffer)}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*callerConn]bool)
	}
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		c.shut()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for first := true; ; first = false {
		x, ok := c.read(first)
		if !ok {
			return
		}
		s.active.Add(1)
		c.answer(x)
		s.active.Add(-1)
		c.busy.Store(false)
		// An answer that began before the stop did not ask the caller to leave.
		if x.close || !x.ended || s.stopping.Load() {
			return
		}
	}
}

func (s *Server) limits() teaselstream.EdgeLimits {
	l := s.Limits()
	if l.MaxHeader <= 0 {
		l.MaxHeader = defaultMaxHeader
	}
	if l.MaxBody <= 0 {
		l.MaxBody = defaultMaxBody
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// read returns the next request, or false if the connection ends.
func (c *callerConn) read(first bool) (*Exchange, bool) {
	l := c.server.limits()
	wait := l.IdleTimeout + idleGrace
	if first {
		wait = max(l.HeaderTimeout, l.IdleTimeout)
	}
	c.limited.N = math.MaxInt64
	if !c.until(wait) {
		return nil, false
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false
	}
	c.busy.Store(true)
	arrived := time.Now()
	if !c.until(l.HeaderTimeout) {
		return nil, false
	}
	c.limited.N = int64(l.MaxHeader)
	q, err := http.ReadRequest(c.reader)
	if err != nil {
		c.refuseRead(err)
		return nil, false
	}
	c.limited.N = math.MaxInt64
	if headerSize(q) > l.MaxHeader {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		return nil, false
	}
	if ambiguous(q) || q.Host == "" && q.ProtoAtLeast(1, 1) {
		c.refuse(http.StatusBadRequest)
		return nil, false
	}
	x := &Exchange{
		Method: q.Method, Target: q.RequestURI, Host: q.Host, Header: q.Header, Arrived: arrived, conn: c,
		oldProto: !q.ProtoAtLeast(1, 1), close: q.Close,
	}
	if x.Body, err = c.body(q, l); err != nil {
		c.refuseBody(err)
		return nil, false
	}
	return x, true
}

func (c *callerConn) until(d time.Duration) bool { return c.SetReadDeadline(time.Now().Add(d)) == nil }

var errTooLarge = errors.New("body is over the limit")

func (c *callerConn) body(q *http.Request, l teaselstream.EdgeLimits) ([]byte, error) {
	if q.ContentLength > int64(l.MaxBody) {
		return nil, errTooLarge
	}
	if q.ContentLength == 0 {
		return nil, nil
	}
	if strings.EqualFold(q.Header.Get("Expect"), "100-continue") {
		q.Header.Del("Expect")
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, fmt.Errorf("ask for body: %w", err)
		}
	}
	var body []byte
	if q.ContentLength > 0 {
		body = make([]byte, 0, q.ContentLength)
	}
	buffer := make([]byte, readBuffer)
	for {
		if !c.until(bodyTimeout) {
			return nil, net.ErrClosed
		}
		n, err := q.Body.Read(buffer)
		body = append(body, buffer[:n]...)
		if len(body) > int(l.MaxBody) {
			return nil, errTooLarge
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

func (c *callerConn) refuseRead(err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(http.StatusRequestTimeout)
	case c.limited.N <= 0:
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
	default:
		c.refuse(http.StatusBadRequest)
	}
}

func (c *callerConn) refuseBody(err error) {
	switch {
	case errors.Is(err, errTooLarge):
		c.refuse(http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
	default:
		c.refuse(http.StatusBadRequest)
	}
}

// refuse answers a request that could not be read, and ends the connection.
func (c *callerConn) refuse(status int) {
	c.server.Log.Info("RequestUnreadable", "status", status, "caller", c.RemoteAddr().String())
	h := http.Header{"Connection": {"close"}, "Content-Length": {"0"}}
	if c.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return
	}
	if err := errors.Join(writeHead(c.writer, status, h), c.writer.Flush()); err != nil {
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok {
		if err := t.CloseWrite(); err != nil {
			return
		}
	}
	c.limited.N = lingerBytes
	if !c.until(lingerTime) {
		return
	}
	// The rest of the request is read so that the close does not reset the connection; what it is does not matter.
	_, _ = io.Copy(io.Discard, c.reader)
}

// answer serves one request and watches for the caller's leaving meanwhile.
func (c *callerConn) answer(x *Exchange) {
	gone := make(chan struct{})
	x.Disconnected = gone
	watched := make(chan struct{})
	if c.SetReadDeadline(time.Time{}) != nil {
		x.close = true
		return
	}
	go func() {
		defer close(watched)
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(gone)
		}
	}()
	c.server.Serve(x)
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		x.close = true
	}
	<-watched
}

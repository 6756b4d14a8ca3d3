package proxy

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/memory"
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
		// Bodies bounds the bytes of the requests' bodies that are kept; nil does not.
		Bodies *memory.Budget

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
		// held counts the bytes of Body.
		held *memory.Holder
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
		x.held.Close()
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

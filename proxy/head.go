package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream/sock"
)

// maxHeadBytes limits the status line and header of a server's response, with the interim responses before it. A server in
// trouble may send bytes without end, and the smallest VMs have 184 MB of memory.
const maxHeadBytes = 64 << 10

var (
	// errHeadTooLarge reports a response head over maxHeadBytes.
	errHeadTooLarge = fmt.Errorf("%w: its header is over the limit", errInvalidAnswer)
	// errNoStatus reports a response whose status is no number of three digits from 100 on.
	errNoStatus = fmt.Errorf("%w: its status is none of HTTP", errInvalidAnswer)
	// errInterimOnly reports a connection that ends after an interim response.
	errInterimOnly = fmt.Errorf("%w: an interim status ends it", errInvalidAnswer)
	// errUnclearEnd reports a response head from which receivers conclude different ends of the body.
	errUnclearEnd = fmt.Errorf("%w: its header leaves the end of its body unclear", errInvalidAnswer)
)

// headLimit limits how many bytes are read from a connection while a response head is parsed.
type headLimit struct {
	conn   io.Reader
	active bool
	left   int
	// lastRead is the time of the last read that returned something, or of the last request, in Unix nanoseconds.
	lastRead atomic.Int64
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		n, err := l.conn.Read(p)
		l.lastRead.Store(time.Now().UnixNano())
		return n, err
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.lastRead.Store(time.Now().UnixNano())
	return n, err
}

func newServerConn(n net.Conn, address string) *serverConn {
	c := &sock.EndConn{Conn: n}
	head := &headLimit{conn: c}
	return &serverConn{Conn: c, address: address, reader: bufio.NewReaderSize(head, readBufferBytes), head: head}
}

// readResponse reads a status and header and skips interim (1xx) responses.
func (u *serverConn) readResponse(method string) (*http.Response, error) {
	u.head.active, u.head.left = true, maxHeadBytes
	defer func() { u.head.active = false }()
	for interim := false; ; interim = true {
		if interim {
			if _, err := u.reader.Peek(1); errors.Is(err, io.EOF) {
				return nil, fmt.Errorf("read answer: %w", errInterimOnly)
			} else if err != nil {
				return nil, fmt.Errorf("read answer: %w", markInvalid(err))
			}
		}
		p, err := http.ReadResponse(u.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", markInvalid(err))
		}
		// net/http takes any three bytes that parse as a number of at least 0, so that a sign leaves two digits.
		if p.StatusCode < http.StatusContinue {
			return nil, fmt.Errorf("read answer: %w", errNoStatus)
		}
		if p.StatusCode/100 == 1 {
			continue
		}
		if hasUnclearEnd(p) {
			return nil, fmt.Errorf("read answer: %w", errUnclearEnd)
		}
		return p, nil
	}
}

// markInvalid makes an error of parsing a response head wrap errInvalidAnswer, unless the connection ended.
func markInvalid(err error) error {
	var n net.Error
	if errors.Is(err, errInvalidAnswer) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n) {
		return err
	}
	return fmt.Errorf("%w: %w", errInvalidAnswer, err)
}

// hasUnclearEnd reports whether a name in the head is followed by a space. net/http does not recognize it, so that a body with such a
// length would be taken for one that ends with its connection.
func hasUnclearEnd(p *http.Response) bool {
	for name := range p.Header {
		if strings.Contains(name, " ") {
			return true
		}
	}
	return false
}

package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream/hconn"
	"github.com/teaselstream/teaselstream/sock"
)

// maxHeadBytes limits the status line and header of a server's response, with the interim responses before it. A server in
// trouble may send bytes without end, and the smallest VMs have 184 MB of memory.
const maxHeadBytes = 64 << 10

var (
	// errHeadTooLarge reports a response head over maxHeadBytes.
	errHeadTooLarge = fmt.Errorf("%w: its header is over the limit", errInvalidAnswer)
	// errInterimOnly reports a connection that ends after an interim response.
	errInterimOnly = fmt.Errorf("%w: an interim status ends it", errInvalidAnswer)
)

// headLimit checks the bytes that are read from a connection while a response head is parsed, and limits their number.
type headLimit struct {
	conn   io.Reader
	active bool
	left   int
	check  hconn.HeadCheck
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
	if invalid := l.check.Next(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

func newServerConn(n net.Conn, address string) *serverConn {
	c := &sock.EndConn{Conn: n}
	head := &headLimit{conn: c}
	return &serverConn{Conn: c, address: address, reader: bufio.NewReaderSize(head, readBufferBytes), head: head}
}

// readResponse reads a status and header and skips interim (1xx) responses.
func (u *serverConn) readResponse(method string) (*http.Response, error) {
	u.head.active, u.head.left, u.head.check = true, maxHeadBytes, hconn.HeadCheck{}
	defer func() { u.head.active = false }()
	// The head may have been read together with an answer to an earlier request.
	buffered, err := u.reader.Peek(u.reader.Buffered())
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if err := u.head.check.Next(buffered); err != nil {
		return nil, fmt.Errorf("read answer: %w", markInvalid(err))
	}
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
		if p.StatusCode/100 != 1 {
			return p, nil
		}
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

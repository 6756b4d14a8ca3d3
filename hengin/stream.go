package hengin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/hconn"
)

const (
	firstBufferBytes = 1 << 10
	// maxEventBytes limits the size of an event or header, so that a faulty engine cannot exhaust the memory.
	maxEventBytes = 1 << 20
)

var (
	errTooLong         = errors.New("event or header too long")
	errNoTerminalEvent = errors.New("stream ended without a terminal event")

	headerEnd = []byte("\r\n\r\n")
)

// stream is an open stream; all methods but Interrupt must be called from one goroutine.
type stream struct {
	conn    net.Conn
	address string
	pool    *pool
	raw     []byte
	body    []byte
	// rawPos and bodyPos are the indexes of the first bytes that are not consumed.
	rawPos, bodyPos int
	headerRead      bool
	chunked         bool
	status          int
	chunks          dechunker
	events          sseReader
	tokens          tokenDecoder
	terminal        bool
	closed          bool
	interrupted     atomic.Bool
}

// Next returns the next event; see teaselstream.EngineStream.
func (s *stream) Next(wait time.Duration) (teaselstream.Msg, error) {
	deadlineSet := false
	for {
		m, err := s.nextBuffered()
		if m != nil || err != nil {
			return m, err
		}
		if !deadlineSet {
			if err := s.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
				return nil, fmt.Errorf("set read deadline: %w", err)
			}
			deadlineSet = true
		}
		// Interrupt sets the flag before the deadline. Checking the flag after SetReadDeadline ensures that an Interrupt either
		// is seen here or ends the read.
		if s.interrupted.Swap(false) {
			return teaselstream.Tick{}, nil
		}
		if err := s.readOnce(); err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				s.interrupted.Store(false)
				return teaselstream.Tick{}, nil
			}
			return nil, fmt.Errorf("read stream from %s: %w", s.address, err)
		}
	}
}

// Buffered reports whether the decoded part of the body contains the empty line that ends an event. An event that
// is not decoded yet or whose lines end with CRLF is not counted, although Next returns it without waiting.
func (s *stream) Buffered() bool {
	return bytes.Contains(s.body[s.bodyPos:], []byte("\n\n"))
}

// Interrupt makes a waiting Next return a Tick.
func (s *stream) Interrupt() {
	s.interrupted.Store(true)
	if err := s.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		// The connection is closed, which ends a waiting read anyway.
		slog.Debug("ReadNotInterrupted", "address", s.address, "error", err)
	}
}

// Close keeps the connection for another stream if the answer was read to its end, and otherwise closes it.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.terminal && s.readToEnd() && s.conn.SetReadDeadline(time.Time{}) == nil {
		s.pool.put(s.address, s.conn)
		return nil
	}
	return s.conn.Close()
}

// readToEnd reports whether a chunked body has been read to its end. It first reads the end if that has arrived already or
// arrives within 1 ms.
func (s *stream) readToEnd() bool {
	if !s.chunked {
		return false
	}
	if s.chunks.state != chunkEnd && s.conn.SetReadDeadline(time.Now().Add(time.Millisecond)) == nil {
		if err := errors.Join(s.readOnce(), s.dechunk()); err != nil {
			// The end has not arrived, so the connection is closed rather than kept.
			slog.Debug("ConnectionNotKept", "address", s.address, "error", err)
		}
	}
	return s.chunks.state == chunkEnd && s.rawPos == len(s.raw)
}

// nextBuffered returns the next event that can be decoded without reading from the connection, or nil.
func (s *stream) nextBuffered() (teaselstream.Msg, error) {
	if s.terminal {
		return nil, io.EOF
	}
	if !s.headerRead {
		if err := s.readHeader(); err != nil || !s.headerRead {
			return nil, err
		}
	}
	for {
		m, err := s.nextEvent()
		if m != nil || err != nil {
			return m, err
		}
		if s.rawPos == len(s.raw) {
			return nil, s.checkEnd()
		}
		before := s.rawPos
		if err := s.dechunk(); err != nil {
			return nil, err
		}
		if s.rawPos == before {
			return nil, s.checkEnd()
		}
	}
}

func (s *stream) checkEnd() error {
	if s.chunked && s.chunks.state == chunkEnd {
		return errNoTerminalEvent
	}
	return nil
}

func (s *stream) nextEvent() (teaselstream.Msg, error) {
	name, data, n, ok := s.events.next(s.body[s.bodyPos:])
	s.bodyPos += n
	if !ok {
		if n > 0 {
			return teaselstream.StreamKeepAlive{}, nil
		}
		return nil, nil
	}
	m, err := s.decode(name, data)
	if err != nil {
		return nil, fmt.Errorf("event from %s: %w", s.address, err)
	}
	return m, nil
}

func (s *stream) decode(name, data []byte) (teaselstream.Msg, error) {
	switch string(name) {
	case "token":
		e, err := s.tokens.decode(data)
		if err != nil {
			return nil, err
		}
		return e, nil
	case "done":
		var e teaselstream.DoneEvent
		s.terminal = true
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("decode done event: %w", err)
		}
		return e, nil
	case "lost":
		var e teaselstream.LostEvent
		s.terminal = true
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("decode lost event: %w", err)
		}
		return e, nil
	}
	return teaselstream.StreamKeepAlive{}, nil
}

// readHeader parses the answer's header if all of it has arrived.
func (s *stream) readHeader() error {
	i := bytes.Index(s.raw, headerEnd)
	if i < 0 {
		return nil
	}
	var h fasthttp.ResponseHeader
	size := i + len(headerEnd)
	var check hconn.HeadCheck
	if err := check.Next(s.raw[:size]); err != nil {
		return fmt.Errorf("header from %s: %w", s.address, err)
	}
	if err := h.Read(bufio.NewReaderSize(bytes.NewReader(s.raw[:size]), size+16)); err != nil {
		return fmt.Errorf("header from %s: %w", s.address, err)
	}
	s.rawPos = size
	s.headerRead = true
	s.chunked = h.ContentLength() == -1
	s.status = h.StatusCode()
	if s.status != fasthttp.StatusOK {
		return statusError(s.status, s.raw[size:])
	}
	return nil
}

// dechunk moves bytes from raw to body and decodes their chunked coding, if the answer has one.
func (s *stream) dechunk() error {
	if s.bodyPos == len(s.body) {
		s.body, s.bodyPos = s.body[:0], 0
	}
	if len(s.body) > maxEventBytes {
		return errTooLong
	}
	n := len(s.raw) - s.rawPos
	var err error
	if s.chunked {
		n, s.body, err = s.chunks.decode(s.raw[s.rawPos:], s.body)
	} else {
		s.body = append(s.body, s.raw[s.rawPos:]...)
	}
	s.rawPos += n
	return err
}

// readOnce reads once from the connection into raw, after moving the bytes that are not consumed to the start.
func (s *stream) readOnce() error {
	if s.rawPos > 0 {
		s.raw = s.raw[:copy(s.raw, s.raw[s.rawPos:])]
		s.rawPos = 0
	}
	if len(s.raw) == cap(s.raw) {
		if len(s.raw) > maxEventBytes {
			return errTooLong
		}
		grown := make([]byte, len(s.raw), max(firstBufferBytes, 2*cap(s.raw)))
		copy(grown, s.raw)
		s.raw = grown
	}
	if s.bodyPos > 0 {
		s.body = s.body[:copy(s.body, s.body[s.bodyPos:])]
		s.bodyPos = 0
	}
	n, err := s.conn.Read(s.raw[len(s.raw):cap(s.raw)])
	s.raw = s.raw[:len(s.raw)+n]
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// statusError returns the error for an engine's answer with a status that reports a failure.
func statusError(status int, body []byte) error {
	m := "engine answered " + strconv.Itoa(status) + ": " + string(body[:min(len(body), 200)])
	switch status {
	case fasthttp.StatusBadRequest, fasthttp.StatusUnprocessableEntity, fasthttp.StatusRequestEntityTooLarge:
		return &teaselstream.Error{Code: teaselstream.CodeBadRequest, Outcome: teaselstream.Unknown, Message: m}
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return &teaselstream.Error{Code: teaselstream.CodeOverloaded, Outcome: teaselstream.Unknown, Message: m}
	}
	return errors.New(m)
}

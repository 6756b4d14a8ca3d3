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
)

const (
	firstBuffer = 1 << 10
	// maxEvent bounds an event or header, so that a faulty engine cannot fill the memory.
	maxEvent = 1 << 20
)

var (
	errTooLong = errors.New("event or header too long")
	errEnded   = errors.New("stream ended without a terminal event")

	headerEnd = []byte("\r\n\r\n")
)

// stream is an open stream; all methods but Interrupt belong to one goroutine.
type stream struct {
	conn    net.Conn
	address string
	pool    *pool
	raw     []byte
	body    []byte
	// rawAt and bodyAt are the first bytes that are not consumed.
	rawAt, bodyAt int
	header        bool
	chunked       bool
	status        int
	chunks        dechunker
	events        sseReader
	tokens        tokenDecoder
	terminal      bool
	closed        bool
	interrupted   atomic.Bool
}

// Next returns the next event; see teaselstream.EngineStream.
func (s *stream) Next(wait time.Duration) (teaselstream.Msg, error) {
	deadlineSet := false
	for {
		m, err := s.buffered()
		if m != nil || err != nil {
			return m, err
		}
		if !deadlineSet {
			if err := s.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
				return nil, fmt.Errorf("set read deadline: %w", err)
			}
			deadlineSet = true
		}
		// The check follows SetReadDeadline, so that an Interrupt is either seen here or ends the read.
		if s.interrupted.Swap(false) {
			return teaselstream.Tick{}, nil
		}
		if err := s.fill(); err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				s.interrupted.Store(false)
				return teaselstream.Tick{}, nil
			}
			return nil, fmt.Errorf("read stream from %s: %w", s.address, err)
		}
	}
}

// Buffered reports whether a whole line is waiting, which is enough for an engine that writes whole events.
func (s *stream) Buffered() bool {
	return bytes.Contains(s.body[s.bodyAt:], []byte("\n\n"))
}

// Interrupt makes a waiting Next return a Tick.
func (s *stream) Interrupt() {
	s.interrupted.Store(true)
	if err := s.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		// A closed connection ends a waiting read by itself.
		slog.Debug("ReadNotInterrupted", "address", s.address, "error", err)
	}
}

// Close keeps the connection for another stream if the answer was read to its end, and closes it otherwise.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.terminal && s.drained() && s.conn.SetReadDeadline(time.Time{}) == nil {
		s.pool.put(s.address, s.conn)
		return nil
	}
	return s.conn.Close()
}

// drained reads the end of a chunked body if it has arrived already.
func (s *stream) drained() bool {
	if !s.chunked {
		return false
	}
	if s.chunks.state != chunkEnd && s.conn.SetReadDeadline(time.Now().Add(time.Millisecond)) == nil {
		if err := errors.Join(s.fill(), s.dechunk()); err != nil {
			// The end has not arrived; the connection is closed instead of kept.
			slog.Debug("ConnectionNotKept", "address", s.address, "error", err)
		}
	}
	return s.chunks.state == chunkEnd && s.rawAt == len(s.raw)
}

// buffered returns the next event that can be decoded without reading, or nil.
func (s *stream) buffered() (teaselstream.Msg, error) {
	if s.terminal {
		return nil, io.EOF
	}
	if !s.header {
		if err := s.readHeader(); err != nil || !s.header {
			return nil, err
		}
	}
	for {
		m, err := s.nextEvent()
		if m != nil || err != nil {
			return m, err
		}
		if s.rawAt == len(s.raw) {
			return nil, s.ended()
		}
		before := s.rawAt
		if err := s.dechunk(); err != nil {
			return nil, err
		}
		if s.rawAt == before {
			return nil, s.ended()
		}
	}
}

func (s *stream) ended() error {
	if s.chunked && s.chunks.state == chunkEnd {
		return errEnded
	}
	return nil
}

func (s *stream) nextEvent() (teaselstream.Msg, error) {
	name, data, n, ok := s.events.next(s.body[s.bodyAt:])
	s.bodyAt += n
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

// readHeader parses the answer's header once all of it has arrived.
func (s *stream) readHeader() error {
	i := bytes.Index(s.raw, headerEnd)
	if i < 0 {
		return nil
	}
	var h fasthttp.ResponseHeader
	size := i + len(headerEnd)
	if err := h.Read(bufio.NewReaderSize(bytes.NewReader(s.raw[:size]), size+16)); err != nil {
		return fmt.Errorf("header from %s: %w", s.address, err)
	}
	s.rawAt = size
	s.header = true
	s.chunked = h.ContentLength() == -1
	s.status = h.StatusCode()
	if s.status != fasthttp.StatusOK {
		return statusError(s.status, s.raw[size:])
	}
	return nil
}

// dechunk moves bytes from raw to body.
func (s *stream) dechunk() error {
	if s.bodyAt == len(s.body) {
		s.body, s.bodyAt = s.body[:0], 0
	}
	if len(s.body) > maxEvent {
		return errTooLong
	}
	n := len(s.raw) - s.rawAt
	var err error
	if s.chunked {
		n, s.body, err = s.chunks.decode(s.raw[s.rawAt:], s.body)
	} else {
		s.body = append(s.body, s.raw[s.rawAt:]...)
	}
	s.rawAt += n
	return err
}

// fill reads once from the connection.
func (s *stream) fill() error {
	if s.rawAt > 0 {
		s.raw = s.raw[:copy(s.raw, s.raw[s.rawAt:])]
		s.rawAt = 0
	}
	if len(s.raw) == cap(s.raw) {
		if len(s.raw) > maxEvent {
			return errTooLong
		}
		grown := make([]byte, len(s.raw), max(firstBuffer, 2*cap(s.raw)))
		copy(grown, s.raw)
		s.raw = grown
	}
	if s.bodyAt > 0 {
		s.body = s.body[:copy(s.body, s.body[s.bodyAt:])]
		s.bodyAt = 0
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

// statusError classifies an engine's refusal to start a stream.
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

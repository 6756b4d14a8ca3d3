package proxy

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

var errCut = errors.New("answer is already cut")

// Respond sends a whole answer.
func (x *Exchange) Respond(status int, h http.Header, body []byte) error {
	if x.begun {
		return errCut
	}
	x.begun = true
	h = x.connection(endToEnd(h))
	h.Del("Content-Length")
	if !bodiless(x.Method, status) {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	} else {
		body = nil
	}
	w := x.conn.writer
	if err := x.deadline(); err != nil {
		return err
	}
	if err := writeHead(w, status, h); err != nil {
		return err
	}
	if _, err := w.Write(body); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	x.ended = true
	return nil
}

// StartResponse sends the header of an answer whose length is not known.
func (x *Exchange) StartResponse(status int, h http.Header) error {
	if x.begun {
		return errCut
	}
	x.begun = true
	h = x.connection(endToEnd(h))
	h.Del("Content-Length")
	if x.oldProto {
		x.close = true
	} else {
		x.chunked = true
		h.Set("Transfer-Encoding", "chunked")
	}
	if err := x.deadline(); err != nil {
		return err
	}
	return writeHead(x.conn.writer, status, h)
}

// Write sends a piece of an answer that Begin started.
func (x *Exchange) Write(data []byte) error {
	if !x.begun || x.ended {
		return errCut
	}
	if err := x.deadline(); err != nil {
		return err
	}
	w := x.conn.writer
	if x.chunked {
		if _, err := fmt.Fprintf(w, "%x\r\n", len(data)); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
	}
	if _, err := w.Write(data); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	if x.chunked {
		if _, err := w.WriteString("\r\n"); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// EndResponse completes an answer that Begin started.
func (x *Exchange) EndResponse() error {
	if !x.begun || x.ended {
		return errCut
	}
	x.ended = true
	if !x.chunked {
		return nil
	}
	if err := x.deadline(); err != nil {
		return err
	}
	if _, err := x.conn.writer.WriteString("0\r\n\r\n"); err != nil {
		return fmt.Errorf("end answer: %w", err)
	}
	if err := x.conn.writer.Flush(); err != nil {
		return fmt.Errorf("end answer: %w", err)
	}
	return nil
}

// Abort ends the connection so that an answer that has begun does not look complete.
func (x *Exchange) Abort() {
	x.close, x.ended = true, false
	if t, ok := x.conn.Conn.(*net.TCPConn); ok && x.begun && !x.chunked {
		// Without chunks only a reset shows that the answer ends early.
		if err := t.SetLinger(0); err != nil {
			x.conn.server.Log.Warn("CutFailed", "error", err)
		}
	}
}

// ResponseStarted reports whether any part of the answer was sent.
func (x *Exchange) ResponseStarted() bool { return x.begun }

func (x *Exchange) deadline() error {
	if err := x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	return nil
}

// connection adds what this connection needs.
func (x *Exchange) connection(h http.Header) http.Header {
	if x.conn.server.stopping.Load() || x.oldProto {
		x.close = true
	}
	if x.close {
		h.Set("Connection", "close")
	}
	return h
}

package proxy

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

var errResponseState = errors.New("response is not in the state for this call: not started, already started or already ended")

// Respond sends a complete response.
func (x *Exchange) Respond(status int, h http.Header, body []byte) error {
	if x.started {
		return errResponseState
	}
	x.started = true
	h = x.addConnectionHeader(endToEndHeader(h))
	h.Del("Content-Length")
	if !hasNoBody(x.Method, status) {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	} else {
		body = nil
	}
	w := x.conn.writer
	if err := x.setWriteDeadline(); err != nil {
		return err
	}
	if err := writeResponseHead(w, status, h); err != nil {
		return err
	}
	if _, err := w.Write(body); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	x.complete = true
	return nil
}

// StartResponse sends the status and header of a response of unknown length.
func (x *Exchange) StartResponse(status int, h http.Header) error {
	if x.started {
		return errResponseState
	}
	x.started = true
	h = x.addConnectionHeader(endToEndHeader(h))
	h.Del("Content-Length")
	if x.http10 {
		x.close = true
	} else {
		x.chunked = true
		h.Set("Transfer-Encoding", "chunked")
	}
	if err := x.setWriteDeadline(); err != nil {
		return err
	}
	return writeResponseHead(x.conn.writer, status, h)
}

// Write sends a piece of the body after StartResponse.
func (x *Exchange) Write(data []byte) error {
	if !x.started || x.complete {
		return errResponseState
	}
	if err := x.setWriteDeadline(); err != nil {
		return err
	}
	w := x.conn.writer
	if x.chunked {
		if _, err := fmt.Fprintf(w, "%x\r\n", len(data)); err != nil {
			return fmt.Errorf("write response: %w", err)
		}
	}
	if _, err := w.Write(data); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	if x.chunked {
		if _, err := w.WriteString("\r\n"); err != nil {
			return fmt.Errorf("write response: %w", err)
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}

// EndResponse completes a response that StartResponse began.
func (x *Exchange) EndResponse() error {
	if !x.started || x.complete {
		return errResponseState
	}
	x.complete = true
	if !x.chunked {
		return nil
	}
	if err := x.setWriteDeadline(); err != nil {
		return err
	}
	if _, err := x.conn.writer.WriteString("0\r\n\r\n"); err != nil {
		return fmt.Errorf("end response: %w", err)
	}
	if err := x.conn.writer.Flush(); err != nil {
		return fmt.Errorf("end response: %w", err)
	}
	return nil
}

// Abort closes the connection after the request without completing the response, so that it does not look complete.
func (x *Exchange) Abort() {
	x.close, x.complete = true, false
	if t, ok := x.conn.Conn.(*net.TCPConn); ok && x.started && !x.chunked {
		// Without chunked encoding only a reset tells the caller that the response is incomplete.
		if err := t.SetLinger(0); err != nil {
			x.conn.server.Log.Warn("CutFailed", "error", err)
		}
	}
}

// flush sends what has been written so far.
func (x *Exchange) flush() error {
	if err := x.conn.writer.Flush(); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}

// ResponseStarted reports whether any part of the response was sent.
func (x *Exchange) ResponseStarted() bool { return x.started }

func (x *Exchange) setWriteDeadline() error {
	if err := x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	return nil
}

// addConnectionHeader sets Connection: close if the connection closes after this response.
func (x *Exchange) addConnectionHeader(h http.Header) http.Header {
	if x.conn.server.draining.Load() || x.http10 {
		x.close = true
	}
	if x.close {
		h.Set("Connection", "close")
	}
	return h
}

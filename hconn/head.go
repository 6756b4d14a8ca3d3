package hconn

import (
	"errors"
	"net"
	"strings"
)

var (
	// ErrNoStatus reports an answer whose status is none in the protocol.
	ErrNoStatus = errors.New("answer has no status")
	// ErrNoField reports an answer with a line in its head that is no field: its name is no token, or it continues the line before. Receivers
	// conclude different fields from such a line, and different ends of the body.
	ErrNoField = errors.New("answer has a line in its header that is no field")
)

type (
	// HeadCheck follows the heads of the answers to one request, of which all but the last are interim ones; its zero value is ready to use.
	// It checks the statuses of all of them, and the names of the fields of the last one, since those of the others reach nobody. The libraries
	// take the status 000 for 200 and accept others below 100, and they accept blanks in names and lines that continue others.
	HeadCheck struct {
		place headPlace
		// status holds the digits that were read.
		status []byte
		// empty means that the current line of an interim head has no bytes yet.
		empty bool
	}

	// headPlace is a place in the head of an answer.
	headPlace int

	// checkedConn checks the heads of the answers that are read from a connection. A request is written as a whole before its answer is read.
	checkedConn struct {
		net.Conn
		check HeadCheck
		// invalid is the error of the check.
		invalid error
	}
)

// The places up to the status come before afterStatus, those in the rest of the last head behind it.
const (
	beforeHead headPlace = iota
	inVersion
	beforeStatus
	inStatus
	inInterimHead
	afterStatus
	beforeLine
	inName
	inValue
	// beforeEnd is behind the carriage return of an empty line.
	beforeEnd
	afterHead
)

// Next reads the next bytes of the answers and returns ErrNoStatus or ErrNoField at the first one that the protocol does not allow there.
func (c *HeadCheck) Next(data []byte) error {
	for _, b := range data {
		if c.place == afterHead {
			return nil
		}
		var err error
		if c.place < afterStatus {
			err = c.nextOfStatus(b)
		} else {
			err = c.nextOfFields(b)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// nextOfStatus reads a byte of a head up to its status, or of an interim head.
func (c *HeadCheck) nextOfStatus(b byte) error {
	switch c.place {
	case beforeHead:
		if b != '\r' && b != '\n' {
			c.place, c.status = inVersion, c.status[:0]
		}
	case inVersion:
		if b == ' ' {
			c.place = beforeStatus
		}
	case beforeStatus, inStatus:
		if b == ' ' && c.place == beforeStatus {
			return nil
		}
		c.place, c.status = inStatus, append(c.status, b)
		const digits = 3
		if len(c.status) == digits {
			return c.judge()
		}
	case inInterimHead:
		switch {
		case b == '\n' && c.empty:
			c.place = beforeHead
		case b == '\n':
			c.empty = true
		case b != '\r':
			c.empty = false
		}
	}
	return nil
}

// judge decides on a status of three bytes. The library refuses one that is longer or no number.
func (c *HeadCheck) judge() error {
	switch {
	case c.status[0] < '1' || c.status[0] > '9':
		return ErrNoStatus
	case c.status[0] == '1':
		c.place, c.empty = inInterimHead, false
	default:
		c.place = afterStatus
	}
	return nil
}

// nextOfFields reads a byte of the last head behind its status.
func (c *HeadCheck) nextOfFields(b byte) error {
	switch c.place {
	case afterStatus, inValue:
		if b == '\n' {
			c.place = beforeLine
		}
	case beforeLine:
		switch {
		case b == '\n':
			c.place = afterHead
		case b == '\r':
			c.place = beforeEnd
		case !isTokenByte(b):
			return ErrNoField
		default:
			c.place = inName
		}
	case inName:
		switch {
		case b == ':':
			c.place = inValue
		case !isTokenByte(b):
			return ErrNoField
		}
	case beforeEnd:
		if b != '\n' {
			return ErrNoField
		}
		c.place = afterHead
	}
	return nil
}

// isTokenByte reports whether a byte may stand in the name of a field (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.invalid != nil {
		return 0, c.invalid
	}
	n, err := c.Conn.Read(p)
	if c.invalid = c.check.Next(p[:n]); c.invalid != nil {
		// The library reports an error before the first byte of an answer as a closed connection. One byte completes no head here, since
		// the check ends with the head.
		return 1, nil
	}
	return n, err
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.check = HeadCheck{}
	return c.Conn.Write(p)
}

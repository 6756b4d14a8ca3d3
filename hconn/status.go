package hconn

import (
	"errors"
	"net"
)

// ErrNoStatus reports an answer whose status is none in the protocol.
var ErrNoStatus = errors.New("answer has no status")

type (
	// StatusCheck follows the heads of the answers to one request, of which all but the last are interim ones; its zero value is ready to use.
	// The library takes the status 000 for 200 and accepts others below 100.
	StatusCheck struct {
		place headPlace
		// status holds the digits that were read.
		status []byte
		// empty means that the current line of an interim head has no bytes yet.
		empty bool
	}

	// headPlace is a place in the head of an answer.
	headPlace int

	// checkedConn checks the statuses of the answers that are read from a connection. A request is written as a whole before its answer is
	// read.
	checkedConn struct {
		net.Conn
		check StatusCheck
	}
)

const (
	beforeHead headPlace = iota
	inVersion
	beforeStatus
	inStatus
	inInterimHead
	afterStatus
)

// Next reads the next bytes of the answers and returns an error that wraps ErrNoStatus if a status among them is none.
func (c *StatusCheck) Next(data []byte) error {
	for _, b := range data {
		if c.place == afterStatus {
			return nil
		}
		if err := c.next(b); err != nil {
			return err
		}
	}
	return nil
}

func (c *StatusCheck) next(b byte) error {
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
func (c *StatusCheck) judge() error {
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

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if invalid := c.check.Next(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.check = StatusCheck{}
	return c.Conn.Write(p)
}

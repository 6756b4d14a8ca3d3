package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/sock"
)

// mode is what a link does to its connections.
type mode int

const (
	pass mode = iota
	// slow delays each chunk of bytes.
	slow
	// hold keeps all bytes, as a cut does until it heals.
	hold
	// deaf passes bytes to the target and holds those that come back.
	deaf
)

// String returns the name of a mode.
func (m mode) String() string { return [...]string{"pass", "slow", "hold", "deaf"}[m] }

const (
	// slowTime is the delay of a slow link; the platform's store answers up to 50 times more slowly than in 4 ms.
	slowTime = 200 * time.Millisecond
	// holdPoll is the time between looks at the mode while bytes are held.
	holdPoll = 5 * time.Millisecond
	// linkBuffer holds one chunk.
	linkBuffer = 16 << 10
)

// link forwards connections to one address and disturbs them.
type link struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	mode   mode
	conns  map[net.Conn]bool
	closed bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a link: %w", err)
	}
	k := &link{target: target, listener: l, conns: make(map[net.Conn]bool)}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.carry(c)
	}
}

func (k *link) set(m mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = m
}

// reset breaks all connections off.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		sock.Abort(c)
	}
}

func (k *link) close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	sock.Discard(k.listener)
	k.reset()
}

func (k *link) keep(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		sock.Abort(c)
		return false
	}
	k.conns[c] = true
	return true
}

func (k *link) drop(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
	sock.Discard(c)
}

func (k *link) carry(c net.Conn) {
	if !k.keep(c) {
		return
	}
	defer k.drop(c)
	d, err := net.Dial("tcp", k.target)
	if err != nil {
		sock.Abort(c)
		return
	}
	if !k.keep(d) {
		return
	}
	defer k.drop(d)
	var wait sync.WaitGroup
	wait.Go(func() { k.pump(d, c, false) })
	wait.Go(func() { k.pump(c, d, true) })
	wait.Wait()
}

// wait returns when bytes may pass in a direction; it reports false when the link is closed.
func (k *link) wait(back bool) bool {
	delayed := false
	for {
		k.mu.Lock()
		m, closed := k.mode, k.closed
		k.mu.Unlock()
		switch {
		case closed:
			return false
		case m == hold || m == deaf && back:
			time.Sleep(holdPoll)
		case m == slow && !delayed:
			delayed = true
			time.Sleep(slowTime)
		default:
			return true
		}
	}
}

// pump copies until the source ends; a half-closed connection stays open in the other direction.
func (k *link) pump(w, r net.Conn, back bool) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := r.Read(buf)
		if !k.wait(back) {
			return
		}
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				sock.Abort(r)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if t, ok := w.(*net.TCPConn); ok && t.CloseWrite() == nil {
				return
			}
		}
		if err != nil {
			sock.Abort(w)
			return
		}
	}
}

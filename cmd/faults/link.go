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

// mode is the way in which a link treats the bytes of its connections.
type mode int

const (
	modePass mode = iota
	// modeSlow delays each chunk of bytes.
	modeSlow
	// modeHold keeps all bytes, like a network partition until it heals.
	modeHold
	// modeHoldReplies passes bytes to the target and keeps those that it returns.
	modeHoldReplies
)

// String returns the name of a mode.
func (m mode) String() string { return [...]string{"pass", "slow", "hold", "deaf"}[m] }

const (
	// slowDelay is 50 times 4 ms, because the platform's store may answer 50 times more slowly than its usual 4 ms.
	slowDelay = 200 * time.Millisecond
	// holdPoll is the interval at which a link checks its mode while it keeps bytes.
	holdPoll = 5 * time.Millisecond
	// linkBuffer is the size of one chunk in bytes.
	linkBuffer = 16 << 10
)

// link forwards connections to one address and injects network faults into them.
type link struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	// cut is the partition in force, or nil, and held are the connections whose bytes it keeps.
	cut    *cut
	held   map[net.Conn]bool
	closed bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for link: %w", err)
	}
	k := &link{target: target, listener: l, conns: make(map[net.Conn]bool), held: make(map[net.Conn]bool)}
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
		go k.relay(c)
	}
}

func (k *link) set(m mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = m
}

// reset aborts all connections.
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

func (k *link) track(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		sock.Abort(c)
		return false
	}
	k.conns[c] = true
	return true
}

func (k *link) untrack(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
	delete(k.held, c)
	sock.Discard(c)
}

func (k *link) relay(c net.Conn) {
	if !k.admit(c) || !k.track(c) {
		return
	}
	defer k.untrack(c)
	d, err := net.Dial("tcp", k.target)
	if err != nil {
		sock.Abort(c)
		return
	}
	if !k.track(d) {
		return
	}
	defer k.untrack(d)
	var wait sync.WaitGroup
	wait.Go(func() { k.copyBytes(d, c, c, false) })
	wait.Go(func() { k.copyBytes(c, d, c, true) })
	wait.Wait()
}

// waitToPass waits until the mode lets bytes of a VM's connection pass in a direction. It returns false once the link is closed.
func (k *link) waitToPass(caller net.Conn, reply bool) bool {
	delayed := false
	for {
		k.mu.Lock()
		m, held, closed := k.mode, k.held[caller], k.closed
		k.mu.Unlock()
		switch {
		case closed:
			return false
		case held || m == modeHold || m == modeHoldReplies && reply:
			time.Sleep(holdPoll)
		case m == modeSlow && !delayed:
			delayed = true
			time.Sleep(slowDelay)
		default:
			return true
		}
	}
}

// copyBytes copies one direction until the source ends. It passes a half-close on and keeps the other direction open.
func (k *link) copyBytes(w, r, caller net.Conn, reply bool) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := r.Read(buf)
		if !k.waitToPass(caller, reply) {
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

//go:build review

package rig

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

type (
	// Link is a proxy in front of a replica, at the address that the store lists.
	Link struct {
		target   string
		listener net.Listener

		mu    sync.Mutex
		cut   *Cut
		conns map[net.Conn]bool
	}

	// Cut is a partition of gates from the replicas behind links.
	Cut struct {
		// Hangs holds all bytes back; otherwise connections are reset.
		Hangs bool

		pids []int
		mu   sync.Mutex
		own  map[uint64]bool
		over chan struct{}
	}
)

// NewCut returns a partition of some gates.
func NewCut(hangs bool, gates ...*Gate) *Cut {
	x := &Cut{Hangs: hangs, over: make(chan struct{})}
	for _, g := range gates {
		x.pids = append(x.pids, g.PID())
	}
	return x
}

// NewLink starts a proxy in front of an address.
func NewLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for link: %w", err)
	}
	k := &Link{target: target, listener: l, conns: make(map[net.Conn]bool)}
	go k.accept()
	return k, nil
}

// Address returns the address of the proxy.
func (k *Link) Address() string { return k.listener.Addr().String() }

func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.carry(c)
	}
}

// affects reports whether a connection comes from one of the gates.
func (x *Cut) affects(c net.Conn) bool {
	inode, err := peerInode(c)
	if err != nil {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.own[inode] {
		x.own = openSockets(x.pids)
	}
	return x.own[inode]
}

// Begin partitions the gates of x from the replica. End ends that.
func (k *Link) Begin(x *Cut) {
	k.mu.Lock()
	k.cut = x
	var open []net.Conn
	for c := range k.conns {
		open = append(open, c)
	}
	k.mu.Unlock()
	for _, c := range open {
		if !x.Hangs && x.affects(c) {
			abort(c)
		}
	}
}

// End ends the partition and passes on what it held.
func (k *Link) End() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = nil
}

// Over lets held bytes pass; it is called once, after End of all links.
func (x *Cut) Over() { close(x.over) }

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// hold waits while a partition holds the bytes of a connection back.
func (k *Link) hold(c net.Conn) {
	k.mu.Lock()
	x := k.cut
	k.mu.Unlock()
	if x == nil || !x.Hangs || !x.affects(c) {
		return
	}
	<-x.over
}

func (k *Link) carry(c net.Conn) {
	k.mu.Lock()
	x := k.cut
	k.mu.Unlock()
	if x != nil && !x.Hangs && x.affects(c) {
		abort(c)
		return
	}
	d, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		abort(c)
		return
	}
	k.mu.Lock()
	k.conns[c] = true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.copy(d, c, c) })
	both.Go(func() { k.copy(c, d, c) })
	both.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
	_ = c.Close()
	_ = d.Close()
}

// copy copies one direction of the connection of caller until it ends.
func (k *Link) copy(to, from, caller net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		k.hold(caller)
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				abort(from)
				return
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok && t.CloseWrite() == nil {
				return
			}
		}
		if err != nil {
			abort(to)
			return
		}
	}
}

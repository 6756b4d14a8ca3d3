package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/sock"
)

const (
	// dialTimeout bounds connection set-up; servers are at most some milliseconds away.
	dialTimeout = 250 * time.Millisecond
	// freshTime is how long a connection may be idle before a request that must not be repeated needs a new one.
	freshTime = 300 * time.Millisecond
	// defaultIdle is how long a connection without a stated timeout is kept.
	defaultIdle = 2 * time.Second
	// idleMargin is taken from a server's stated timeout, which is in whole seconds.
	idleMargin = time.Second
	// maxIdle bounds the kept connections to one server.
	maxIdle = 32
	// readBuffer holds the header of an answer.
	readBuffer = 4096
)

// errDial marks a connection that was not established, so that nothing was sent.
var errDial = errors.New("connection not established")

type (
	// Pool keeps idle connections to servers; its zero value works.
	Pool struct {
		mu   sync.Mutex
		idle map[string][]*upstream
	}

	// upstream is a connection to a server.
	upstream struct {
		net.Conn
		address string
		reader  *bufio.Reader
		used    bool
		// since and until bound the time in which the connection may be used again.
		since time.Time
		until time.Time
	}
)

// get returns an idle connection, or a new one; fresh asks for one that the server cannot have given up.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (*upstream, error) {
	if u := p.take(address, fresh); u != nil {
		return u, nil
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, errors.Join(errDial, err))
	}
	return &upstream{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

func (p *Pool) take(address string, fresh bool) *upstream {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		u := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		usable := now.Before(u.until) && (!fresh || now.Sub(u.since) < freshTime)
		if usable && u.reader.Buffered() == 0 && sock.Idle(u.Conn) {
			return u
		}
		u.discard()
	}
}

// put keeps a connection whose last answer was read to its end.
func (p *Pool) put(u *upstream, h http.Header) {
	u.since = time.Now()
	u.used = true
	keep, ok := idleTime(h)
	if !ok || u.reader.Buffered() > 0 {
		u.discard()
		return
	}
	u.until = u.since.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*upstream)
	}
	if len(p.idle[u.address]) >= maxIdle {
		u.discard()
		return
	}
	p.idle[u.address] = append(p.idle[u.address], u)
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, u := range list {
			if now.Before(u.until) {
				kept = append(kept, u)
				continue
			}
			u.discard()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// discard closes the connection; the error of closing a connection that is given up says nothing.
func (u *upstream) discard() { _ = u.Close() }

// idleTime returns how long an answer allows its connection to be kept.
func idleTime(h http.Header) (time.Duration, bool) {
	for _, v := range h.Values("Connection") {
		for word := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(word), "close") {
				return 0, false
			}
		}
	}
	for word := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(word), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		keep := time.Duration(seconds)*time.Second - idleMargin
		return max(keep, freshTime), seconds > 0
	}
	return defaultIdle, true
}

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

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/sock"
)

const (
	// dialTimeout limits connection set-up; servers are at most some milliseconds away.
	dialTimeout = 250 * time.Millisecond
	// maxFreshIdle is the longest idle time of a connection that carries a request that must not be repeated.
	maxFreshIdle = 300 * time.Millisecond
	// defaultKeepAlive is the keep-alive time of a connection whose server states none.
	defaultKeepAlive = 2 * time.Second
	// keepAliveMargin is subtracted from a server's stated timeout, which is in whole seconds.
	keepAliveMargin = time.Second
	// maxIdleConns limits the idle connections to one server.
	maxIdleConns = 32
	// readBufferBytes is the size of read and write buffers; a response header usually fits.
	readBufferBytes = 4096
)

// errDial reports that no connection was established, so that nothing was sent.
var errDial = errors.New("connection not established")

type (
	// Pool keeps idle connections to servers; its zero value is ready to use.
	Pool struct {
		mu   sync.Mutex
		idle map[string][]*serverConn
		// streams holds the connections that carry a request which is answered with a stream of events.
		streams sync.Map
	}

	// reuse says which idle connections may carry a request.
	reuse uint8

	// carriedStream is a stream on a connection: its service, and when the request was sent, in Unix nanoseconds.
	carriedStream struct {
		service teaselstream.ServiceID
		sentAt  int64
	}

	// serverConn is a connection to a server.
	serverConn struct {
		net.Conn
		address string
		reader  *bufio.Reader
		head    *headLimit
		used    bool
		// pool is the pool that opened the connection, or nil.
		pool *Pool
		// idleSince and usableUntil limit the time in which the connection may be reused.
		idleSince   time.Time
		usableUntil time.Time
	}
)

const (
	reuseAny reuse = iota
	// reuseRecent allows only a connection so recently used that the server cannot have closed it.
	reuseRecent
	// reuseNone requires a new connection. A request that was sent before needs one: a faulty server may write the earlier answer
	// with its id once more.
	reuseNone
)

// reuseFor returns which connections may carry a request that may run again or not, and that is sent for the first time or again.
func reuseFor(mayRunAgain, again bool) reuse {
	switch {
	case again:
		return reuseNone
	case mayRunAgain:
		return reuseAny
	default:
		return reuseRecent
	}
}

// get returns an idle connection or opens one with dial.
func (p *Pool) get(ctx context.Context, address string, r reuse, dial sock.DialFunc) (*serverConn, error) {
	if r != reuseNone {
		if u := p.take(address, r == reuseRecent); u != nil {
			return u, nil
		}
	}
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, errors.Join(errDial, err))
	}
	u := newServerConn(c, address)
	u.pool = p
	return u, nil
}

func (p *Pool) take(address string, fresh bool) *serverConn {
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
		usable := now.Before(u.usableUntil) && (!fresh || now.Sub(u.idleSince) < maxFreshIdle)
		if usable && u.reader.Buffered() == 0 && sock.Idle(u.Conn) {
			return u
		}
		u.discard()
	}
}

// put stores a connection whose last response was read to its end.
func (p *Pool) put(u *serverConn, h http.Header) {
	p.streams.Delete(u)
	u.idleSince = time.Now()
	u.used = true
	keep, ok := keepAliveTime(h)
	if !ok || u.reader.Buffered() > 0 {
		u.discard()
		return
	}
	u.usableUntil = u.idleSince.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*serverConn)
	}
	if len(p.idle[u.address]) >= maxIdleConns {
		u.discard()
		return
	}
	p.idle[u.address] = append(p.idle[u.address], u)
}

// giveBack stores a connection on which nothing was sent; a new one is closed, since its keep-alive time is not known.
func (p *Pool) giveBack(u *serverConn) {
	p.streams.Delete(u)
	if !u.used {
		u.discard()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil || len(p.idle[u.address]) >= maxIdleConns {
		u.discard()
		return
	}
	p.idle[u.address] = append(p.idle[u.address], u)
}

// CloseExpired closes connections whose keep-alive time has expired.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, u := range list {
			if now.Before(u.usableUntil) {
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

// discard closes the connection and ignores the error, since the connection is not used again.
func (u *serverConn) discard() {
	if u.pool != nil {
		u.pool.streams.Delete(u)
	}
	_ = u.Close()
}

// addStream registers a connection that carries a stream of a service from now on.
func (p *Pool) addStream(u *serverConn, s teaselstream.ServiceID) {
	now := time.Now().UnixNano()
	u.head.lastRead.Store(now)
	p.streams.Store(u, carriedStream{s, now})
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, u := range list {
			u.discard()
		}
	}
	p.idle = nil
}

// closeSilentStreams closes the connections on which a stream has got nothing since a time, as many as left allows of the streams of
// a service that have begun or not, and all those that have got nothing since longAgo. It returns their number.
func (p *Pool) closeSilentStreams(since, longAgo time.Time, left func(s teaselstream.ServiceID, begun bool) int) int {
	n := 0
	closed := make(map[teaselstream.ServiceID]int)
	p.streams.Range(func(k, v any) bool {
		u, isConn := k.(*serverConn)
		x, isStream := v.(carriedStream)
		if !isConn || !isStream {
			return true
		}
		at := u.head.lastRead.Load()
		silent := at < since.UnixNano() && closed[x.service] < left(x.service, at > x.sentAt)
		if silent || at < longAgo.UnixNano() {
			u.discard()
			closed[x.service]++
			n++
		}
		return true
	})
	return n
}

// keepAliveTime returns how long the connection of a response may be kept idle, and false if it must be closed.
func keepAliveTime(h http.Header) (time.Duration, bool) {
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
		keep := time.Duration(seconds)*time.Second - keepAliveMargin
		return max(keep, maxFreshIdle), seconds > 0
	}
	return defaultKeepAlive, true
}

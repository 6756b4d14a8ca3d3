package peer

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"

	"github.com/teaselstream/teaselstream/sock"
	"github.com/teaselstream/teaselstream/wire"
)

const (
	tickInterval = time.Second
	// maxUpgradeHeaderBytes bounds the HTTP header of a WebSocket upgrade request.
	maxUpgradeHeaderBytes = 4096
)

var errMalformed = errors.New("malformed WebSocket frame")

// upgradeExchange holds the request and the response of a WebSocket upgrade in memory.
type upgradeExchange struct {
	io.Reader
	bytes.Buffer
}

func (x *upgradeExchange) Read(p []byte) (int, error) { return x.Reader.Read(p) }

// OnOpen starts the handshake on a link that this VM opened.
func (m *Mesh) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l, ok := c.Context().(*link)
	if !ok {
		return nil, gnet.Close
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
	frames, err := l.session.Open()
	if err != nil {
		return nil, gnet.Close
	}
	for _, f := range frames {
		if err := l.write(f); err != nil {
			return nil, gnet.Close
		}
	}
	return nil, gnet.None
}

// OnClose removes the link.
func (m *Mesh) OnClose(c gnet.Conn, _ error) gnet.Action {
	if l, ok := c.Context().(*link); ok {
		m.removeLink(l)
		l.mu.Lock()
		l.conn = nil
		l.mu.Unlock()
		if l.dialer && l.peer() == "" {
			m.dialDone(l.address, nil)
		}
	}
	return gnet.None
}

// OnTraffic reads the upgrade request and after it the frames of a link.
func (m *Mesh) OnTraffic(c gnet.Conn) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok {
		return gnet.Close
	}
	if !l.upgraded {
		done, err := l.upgrade(c)
		if err != nil {
			m.stats.Malformed.Add(1)
			return gnet.Close
		}
		if !done {
			return gnet.None
		}
	}
	for {
		frame, done, err := m.nextFrame(c, l)
		if err != nil {
			return gnet.Close
		}
		if !done {
			return gnet.None
		}
		x, opened, err := l.receive(frame)
		if err != nil {
			return gnet.Close
		}
		if opened {
			m.linkAuthenticated(l)
		}
		m.stats.Received.Add(1)
		if x != nil && m.options.Receive != nil {
			l.lastUsed.Store(time.Now().UnixNano())
			m.options.Receive(l.peer(), x)
		}
	}
}

// upgrade answers the upgrade request once its header is complete, and reports whether it did.
func (l *link) upgrade(c gnet.Conn) (bool, error) {
	b, err := c.Peek(-1)
	if err != nil {
		return false, errMalformed
	}
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > maxUpgradeHeaderBytes {
			return false, errMalformed
		}
		return false, nil
	}
	x := &upgradeExchange{Reader: bytes.NewReader(b[:end+4])}
	if _, err := (ws.Upgrader{}).Upgrade(x); err != nil {
		return false, errMalformed
	}
	if _, err := c.Discard(end + 4); err != nil {
		return false, errMalformed
	}
	if _, err := c.Write(x.Bytes()); err != nil {
		return false, errMalformed
	}
	l.upgraded = true
	return true, nil
}

// nextFrame returns the payload of the next binary frame, and false if the frame is not complete yet.
func (m *Mesh) nextFrame(c gnet.Conn, l *link) ([]byte, bool, error) {
	b, err := c.Peek(-1)
	if err != nil || len(b) < ws.MinHeaderSize {
		return nil, false, nil
	}
	r := bytes.NewReader(b)
	h, err := ws.ReadHeader(r)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, false, nil
	}
	// Only frames from the dialer are masked.
	if err != nil || h.Length > wire.MaxFrameBytes || !h.Fin || h.OpCode != ws.OpBinary || h.Masked == l.dialer {
		if err != nil || h.OpCode != ws.OpClose {
			m.stats.Malformed.Add(1)
		}
		return nil, false, errMalformed
	}
	head := len(b) - r.Len()
	if r.Len() < int(h.Length) {
		return nil, false, nil
	}
	// The event loop reuses the read buffer, and messages outlive this call.
	p := bytes.Clone(b[head : head+int(h.Length)])
	if h.Masked {
		ws.Cipher(p, h.Mask, 0)
	}
	m.stats.ReceivedBytes.Add(uint64(head) + uint64(h.Length))
	if _, err := c.Discard(head + int(h.Length)); err != nil {
		return nil, false, errMalformed
	}
	return p, true, nil
}

// OnTick closes links that are idle or did not complete the handshake in time.
func (m *Mesh) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	m.mu.Lock()
	var stale []*link
	for l := range m.allLinks {
		limit, since := handshakeTimeout, l.openedAt
		if l.peer() != "" {
			limit, since = idleTimeout, time.Unix(0, l.lastUsed.Load())
		}
		if now.Sub(since) > limit {
			stale = append(stale, l)
		}
	}
	m.mu.Unlock()
	for _, l := range stale {
		l.mu.Lock()
		if l.conn != nil {
			sock.Discard(l.conn)
		}
		l.mu.Unlock()
	}
	return tickInterval, gnet.None
}

// linkAuthenticated registers a link and sends the messages that were queued for it.
func (m *Mesh) linkAuthenticated(l *link) {
	l.mu.Lock()
	h := l.session.Peer()
	l.mu.Unlock()
	m.mu.Lock()
	m.links[h.VM] = l
	m.mu.Unlock()
	if m.options.Opened != nil {
		m.options.Opened(h, l.address)
	}
	if l.dialer {
		m.dialDone(l.address, l)
	}
}

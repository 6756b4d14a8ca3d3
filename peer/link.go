package peer

import (
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

// link is one connection to another VM.
type link struct {
	mesh *Mesh
	// address is empty if the other VM opened the link.
	address string
	dialer  bool
	// upgraded is accessed only by the event loop.
	upgraded bool
	openedAt time.Time
	lastUsed atomic.Int64

	mu      sync.Mutex
	conn    gnet.Conn
	session *wire.Session
}

func newLink(m *Mesh, address string, dialer bool) *link {
	self := m.options.Self
	self.Nonce = make([]byte, 16)
	_, _ = rand.Read(self.Nonce)
	l := &link{mesh: m, address: address, dialer: dialer, upgraded: dialer, openedAt: time.Now()}
	l.session = wire.NewSession(m.options.Secret, self, dialer)
	l.lastUsed.Store(l.openedAt.UnixNano())
	return l
}

// peer returns the name of the other VM, or "" before it is authenticated.
func (l *link) peer() teaselstream.VMID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.session.Authenticated() {
		return ""
	}
	return l.session.Peer().VM
}

func (l *link) send(m wire.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return ErrUnreachable
	}
	f, err := l.session.Encode(m)
	if err != nil {
		return fmt.Errorf("send to peer: %w", err)
	}
	l.mesh.stats.Sent.Add(1)
	l.lastUsed.Store(time.Now().UnixNano())
	return l.write(f)
}

// write sends one frame; the caller must hold l.mu, which keeps frames in sequence.
func (l *link) write(frame []byte) error {
	f := ws.NewBinaryFrame(frame)
	if l.dialer {
		f = ws.MaskFrame(f)
	}
	b, err := ws.CompileFrame(f)
	if err != nil {
		return fmt.Errorf("build WebSocket frame: %w", err)
	}
	l.mesh.stats.SentBytes.Add(uint64(len(b)))
	err = l.conn.AsyncWrite(b, func(c gnet.Conn, err error) error {
		if err == nil && c.OutboundBuffered() > maxUnsentBytes {
			return c.Close()
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("write to peer: %w", err)
	}
	return nil
}

// receive processes one frame; it returns the message for the application, if any, and whether this frame authenticated the link.
func (l *link) receive(frame []byte) (wire.Message, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.session.Authenticated()
	out, m, err := l.session.Receive(frame)
	if err != nil {
		l.mesh.countError(err)
		return nil, false, fmt.Errorf("receive frame from peer: %w", err)
	}
	for _, f := range out {
		if err := l.write(f); err != nil {
			return nil, false, err
		}
	}
	return m, !was && l.session.Authenticated(), nil
}

func (m *Mesh) countError(err error) {
	switch {
	case errors.Is(err, wire.ErrUnauthenticated):
		m.stats.Unauthenticated.Add(1)
	case errors.Is(err, wire.ErrSequence):
		m.stats.OutOfSequence.Add(1)
	default:
		m.stats.Malformed.Add(1)
	}
}

package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/sock"
	"github.com/teaselstream/teaselstream/wire"
)

type (
	// Options configures the links of one VM.
	Options struct {
		// Address is the "IP:port" to listen on.
		Address string
		// Seeds are addresses that are dialled while there is no link.
		Seeds  []string
		Secret []byte
		// Self is this VM; its Nonce is chosen for each link.
		Self wire.Hello
		Rand teaselstream.Rand
		// Receive takes each message of an authenticated VM; it must not block.
		Receive func(from teaselstream.VMID, m wire.Message)
		// Opened reports an authenticated link; address is empty if the other VM opened it.
		Opened func(h wire.Hello, address string)
	}

	// Stats counts events of all links since the start.
	Stats struct {
		Sent            atomic.Uint64
		SentBytes       atomic.Uint64
		Received        atomic.Uint64
		ReceivedBytes   atomic.Uint64
		Malformed       atomic.Uint64
		Unauthenticated atomic.Uint64
		OutOfSequence   atomic.Uint64
		// Dropped counts messages to VMs that could not be reached.
		Dropped      atomic.Uint64
		DialFailures atomic.Uint64
	}

	// Mesh is the set of links of one VM.
	Mesh struct {
		gnet.BuiltinEventEngine
		o        Options
		listener net.Listener
		client   *gnet.Client
		ctx      context.Context
		cancel   context.CancelFunc
		work     sync.WaitGroup
		stats    Stats

		mu     sync.Mutex
		links  map[teaselstream.VMID]*link
		dials  map[string]*dial
		all    map[*link]bool
		closed bool
	}
)

const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 5 * time.Second
	idleTimeout      = time.Minute
	dialBase         = 200 * time.Millisecond
	dialLimit        = 10 * time.Second
	// queueLimit bounds what waits for a link; heartbeats need one place, a change of state a few.
	queueLimit = 64
	// strangerLimit bounds links whose other end is not authenticated yet.
	strangerLimit = 256
	// pendingLimit is the size of unsent data above which a link's other end is taken for stuck.
	pendingLimit = 8 << 20
)

var (
	// ErrUnreachable reports a VM without a link, an address, or room in the queue.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrClosed reports a mesh that was closed.
	ErrClosed = errors.New("peer links are closed")
)

// Listen starts to accept links.
func Listen(o Options) (*Mesh, error) {
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", o.Address, err)
	}
	m := &Mesh{
		o: o, listener: l, links: map[teaselstream.VMID]*link{}, dials: map[string]*dial{}, all: map[*link]bool{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.client, err = gnet.NewClient(m, gnet.WithNumEventLoop(1), gnet.WithTicker(true), gnet.WithLogger(quietLog{}))
	if err == nil {
		err = m.client.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("start event loop: %w", errors.Join(err, l.Close()))
	}
	m.work.Add(2)
	go m.accept()
	go m.seed()
	return m, nil
}

// Address returns the address that the mesh listens on.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Stats returns the live counters.
func (m *Mesh) Stats() *Stats { return &m.stats }

// Send sends a message to a VM and opens a link to the address if there is none.
// The error wraps ErrUnreachable or ErrClosed; nil does not mean that the message arrived.
func (m *Mesh) Send(to teaselstream.VMID, address string, x wire.Message) error {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return ErrClosed
	}
	if l := m.links[to]; l != nil {
		m.mu.Unlock()
		return l.send(x)
	}
	defer m.mu.Unlock()
	if err := m.enqueue(to, address, x); err != nil {
		m.stats.Dropped.Add(1)
		return err
	}
	return nil
}

// Close ends all links.
func (m *Mesh) Close() error {
	m.mu.Lock()
	was := m.closed
	m.closed = true
	m.mu.Unlock()
	if was {
		return nil
	}
	m.cancel()
	err := m.listener.Close()
	// The event loop must outlive the goroutines that hand it connections.
	m.work.Wait()
	if e := m.client.Stop(); e != nil {
		err = errors.Join(err, e)
	}
	if err != nil {
		return fmt.Errorf("close peer links: %w", err)
	}
	return nil
}

func (m *Mesh) accept() {
	defer m.work.Done()
	for {
		c, err := m.listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			// Out of descriptors, for example; a short pause keeps the loop from spinning.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		m.enroll(c, newLink(m, "", false))
	}
}

// enroll gives a connection to the event loop.
func (m *Mesh) enroll(c net.Conn, l *link) {
	m.mu.Lock()
	strangers := len(m.all) - len(m.links)
	ok := !m.closed && (l.dialer || strangers < strangerLimit)
	if ok {
		m.all[l] = true
	}
	m.mu.Unlock()
	if !ok {
		sock.Discard(c)
		return
	}
	if _, err := m.client.EnrollContext(c, l); err != nil {
		m.forget(l)
		if l.dialer {
			m.dialEnded(l.address, nil)
		}
	}
}

func (m *Mesh) forget(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.all, l)
	if vm := l.peer(); m.links[vm] == l {
		delete(m.links, vm)
	}
}

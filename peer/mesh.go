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
		// Seeds are addresses that are dialed while there is no link.
		Seeds  []string
		Secret []byte
		// Self describes this VM; a new Nonce is generated for each link.
		Self wire.Hello
		Rand teaselstream.Rand
		// Receive handles each message from an authenticated VM; it must not block.
		Receive func(from teaselstream.VMID, m wire.Message)
		// Opened is called for each authenticated link; address is empty if the other VM opened the link.
		Opened func(h wire.Hello, address string)
	}

	// Stats counts the events of all links since the start of the mesh.
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
		options    Options
		listener   net.Listener
		client     *gnet.Client
		ctx        context.Context
		cancel     context.CancelFunc
		goroutines sync.WaitGroup
		stats      Stats

		mu sync.Mutex
		// links holds authenticated links; allLinks also holds those in the handshake.
		links map[teaselstream.VMID]*link
		// dials is keyed by address.
		dials    map[string]*dialState
		allLinks map[*link]bool
		closed   bool
	}
)

const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 5 * time.Second
	idleTimeout      = time.Minute
	dialBackoffBase  = 200 * time.Millisecond
	dialBackoffMax   = 10 * time.Second
	// maxQueuedMessages bounds the messages that wait for a link: a heartbeat needs one place, a state change a few.
	maxQueuedMessages = 64
	// maxUnauthenticatedLinks is the number of links whose other end is not authenticated at which further connections
	// are no longer accepted.
	maxUnauthenticatedLinks = 256
	// maxUnsentBytes is the amount of unsent data above which the other end is considered stuck and the link is closed.
	maxUnsentBytes = 8 << 20
)

var (
	// ErrUnreachable reports a VM to which no message can be sent or queued: its address is unknown, its queue
	// is full, its last dial failed and the backoff has not ended, or its link is closing.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrClosed reports that the mesh is closed.
	ErrClosed = errors.New("peer links are closed")
)

// Listen starts a mesh, which accepts links and dials the seeds.
func Listen(options Options) (*Mesh, error) {
	l, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", options.Address, err)
	}
	m := &Mesh{
		options: options, listener: l, links: map[teaselstream.VMID]*link{}, dials: map[string]*dialState{}, allLinks: map[*link]bool{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.client, err = gnet.NewClient(m, gnet.WithNumEventLoop(1), gnet.WithTicker(true), gnet.WithLogger(slogLogger{}))
	if err == nil {
		err = m.client.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("start event loop: %w", errors.Join(err, l.Close()))
	}
	m.goroutines.Add(2)
	go m.accept()
	go m.dialSeeds()
	return m, nil
}

// Address returns the address that the mesh listens on.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Stats returns the live counters.
func (m *Mesh) Stats() *Stats { return &m.stats }

// Send sends a message to a VM and opens a link to its address if there is none.
// The error wraps ErrUnreachable or ErrClosed; nil does not mean that the message was delivered.
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

// Close closes the listener and all links.
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
	// The event loop must outlive the goroutines that pass connections to it.
	m.goroutines.Wait()
	if e := m.client.Stop(); e != nil {
		err = errors.Join(err, e)
	}
	if err != nil {
		return fmt.Errorf("close peer links: %w", err)
	}
	return nil
}

func (m *Mesh) accept() {
	defer m.goroutines.Done()
	for {
		c, err := m.listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			// Accept fails when file descriptors run out, for example; the pause avoids a busy loop.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		m.enrollLink(c, newLink(m, "", false))
	}
}

// enrollLink passes a connection to the event loop.
func (m *Mesh) enrollLink(c net.Conn, l *link) {
	m.mu.Lock()
	unauthenticated := len(m.allLinks) - len(m.links)
	ok := !m.closed && (l.dialer || unauthenticated < maxUnauthenticatedLinks)
	if ok {
		m.allLinks[l] = true
	}
	m.mu.Unlock()
	if !ok {
		sock.Discard(c)
		return
	}
	if _, err := m.client.EnrollContext(c, l); err != nil {
		m.removeLink(l)
		if l.dialer {
			m.dialDone(l.address, nil)
		}
	}
}

func (m *Mesh) removeLink(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.allLinks, l)
	if vm := l.peer(); m.links[vm] == l {
		delete(m.links, vm)
	}
}

package ctrl

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/drain"
	"github.com/teaselstream/teaselstream/envdoc"
	"github.com/teaselstream/teaselstream/health"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/node"
	"github.com/teaselstream/teaselstream/peer"
	"github.com/teaselstream/teaselstream/wire"
)

const (
	tickPeriod = 100 * time.Millisecond
	// inboxSize is in messages and holds several seconds of them at the planned number of VMs and servers.
	inboxSize = 4096
	// callTimeout bounds each call to the store or an engine that does not wait for a change; calls that read
	// a document or the platform's list may take four times as long.
	callTimeout = 2 * time.Second
)

type (
	// Options configures the control plane of one VM.
	Options struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Environment teaselstream.Environment
		// Incarnation must grow with each start; 0 means the start time in nanoseconds.
		Incarnation teaselstream.Incarnation

		Store  teaselstream.Store
		Engine teaselstream.Engine
		// List reads the platform's list; it is nil if the platform has none.
		List teaselstream.VMList

		// ListenPeers is the "IP:port" for links of other VMs; empty runs without peers.
		ListenPeers string
		// Seeds are the addresses of VMs to contact first.
		Seeds []string
		// Secret is shared by all VMs and authenticates the links between them.
		Secret []byte

		// DrainDelay is the time for which the load balancer in front of the VMs still sends streams to a stopping VM.
		DrainDelay time.Duration
		// DrainTimeout bounds the wait for work in flight; 0 means that there is no bound.
		DrainTimeout time.Duration
		// InFlight counts the requests in progress on this VM during a stop; nil means that there are none.
		InFlight func() drain.InFlight
		// CloseListeners stops accepting requests during a stop; it may be nil.
		CloseListeners func()
		// SettleOrders records the outcome of open orders during a stop; it may be nil.
		SettleOrders func()

		// Receive handles order and permit messages from other VMs; it must not block and may be nil.
		Receive func(from teaselstream.VMID, m wire.Message)

		Recorder *invar.Recorder
		Faults   invar.Faults
		// Seed makes the random choices repeatable; 0 means a random seed.
		Seed uint64
	}

	// Canary runs a canary prompt and returns the digest of its answer.
	Canary func(ctx context.Context, c health.Canary) (health.CanaryAnswer, error)

	// Control is the running control plane of one VM.
	Control struct {
		o        Options
		node     *node.Node
		snapshot atomic.Pointer[teaselstream.Snapshot]
		inbox    chan teaselstream.Msg
		dropped  atomic.Uint64
		receive  atomic.Pointer[func(teaselstream.VMID, wire.Message)]
		canary   atomic.Pointer[Canary]
		mesh     *peer.Mesh

		ctx        context.Context
		cancel     context.CancelFunc
		goroutines sync.WaitGroup
		exited     chan struct{}
		watches    map[bool]context.CancelFunc
	}
)

// ErrNotConnected reports a control plane that was started without a peer listener.
var ErrNotConnected = errors.New("no peer listener configured")

// Start starts the control goroutine. The end of the context ends it without the stop sequence that Stop runs.
func Start(ctx context.Context, o Options) (*Control, error) {
	if o.VM == "" || o.Environment == "" || o.Store == nil || o.Engine == nil {
		return nil, errors.New("control options VM, Environment, Store and Engine are required")
	}
	if o.Incarnation == 0 {
		o.Incarnation = teaselstream.Incarnation(time.Now().UnixNano())
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	c := &Control{o: o, inbox: make(chan teaselstream.Msg, inboxSize), exited: make(chan struct{}), watches: map[bool]context.CancelFunc{}}
	if o.Receive != nil {
		c.receive.Store(&o.Receive)
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	address := o.ListenPeers
	if o.ListenPeers != "" {
		m, err := peer.Listen(peer.Options{
			Address: o.ListenPeers, Secret: o.Secret, Seeds: o.Seeds, Rand: rand.New(rand.NewPCG(o.Seed, 1)),
			Self:    wire.Hello{VM: o.VM, Domain: o.Domain, Incarnation: o.Incarnation},
			Receive: c.receiveFromPeer,
			Opened:  func(h wire.Hello, address string) { c.Post(node.LinkOpened{Hello: h, Address: address}) },
		})
		if err != nil {
			c.cancel()
			return nil, fmt.Errorf("listen for peers: %w", err)
		}
		c.mesh, address = m, m.Address()
	}
	c.node = node.New(node.Config{
		VM: o.VM, Domain: o.Domain, Address: address, Incarnation: o.Incarnation, Environment: o.Environment,
		Format: envdoc.NewFormat(), Rand: rand.New(rand.NewPCG(o.Seed, 0)), Recorder: o.Recorder, Faults: o.Faults,
		DrainDelay: o.DrainDelay, DrainTimeout: o.DrainTimeout,
	})
	go c.run()
	return c, nil
}

// Snapshot returns the latest snapshot, or nil until the first document is in force.
func (c *Control) Snapshot() *teaselstream.Snapshot { return c.snapshot.Load() }

// Post sends the control goroutine a message, such as member.RequestResult or member.LoadRead.
// It never blocks; if the inbox is full, the message is dropped and counted.
func (c *Control) Post(m teaselstream.Msg) {
	select {
	case c.inbox <- m:
	default:
		c.dropped.Add(1)
	}
}

// Dropped returns the number of messages that were dropped because the inbox was full.
func (c *Control) Dropped() uint64 { return c.dropped.Load() }

// PeerAddress returns the address on which other VMs reach this one, or "".
func (c *Control) PeerAddress() string {
	if c.mesh == nil {
		return ""
	}
	return c.mesh.Address()
}

// SetReceiver replaces Options.Receive; f must not block.
func (c *Control) SetReceiver(f func(from teaselstream.VMID, m wire.Message)) { c.receive.Store(&f) }

// SetCanary sets the function that runs canary prompts; without it, servers are judged by speed only.
func (c *Control) SetCanary(f Canary) { c.canary.Store(&f) }

// Send sends an order or permit message to a VM; the error wraps ErrNotConnected or peer.ErrUnreachable.
// A nil error does not mean that the message arrived.
func (c *Control) Send(to teaselstream.VMID, m wire.Message) error {
	if c.mesh == nil {
		return fmt.Errorf("send to %s: %w", to, ErrNotConnected)
	}
	if err := c.mesh.Send(to, c.peerAddress(to), m); err != nil {
		return fmt.Errorf("send to %s: %w", to, err)
	}
	return nil
}

// peerAddress returns the address of another VM, or "" if it is unknown.
func (c *Control) peerAddress(vm teaselstream.VMID) string {
	if s := c.snapshot.Load(); s != nil {
		for _, p := range s.Peers {
			if p.VM == vm {
				return p.Address
			}
		}
	}
	return ""
}

// Stop runs the stop sequence and ends the control goroutine. If the context ends first, the
// goroutine ends without the rest of the sequence and the context's error is returned.
func (c *Control) Stop(ctx context.Context) error {
	var err error
	select {
	case c.inbox <- drain.Stop{}:
		select {
		case <-c.exited:
		case <-ctx.Done():
			err = fmt.Errorf("stop control: %w", ctx.Err())
		}
	case <-c.exited:
	case <-ctx.Done():
		err = fmt.Errorf("stop control: %w", ctx.Err())
	}
	c.cancel()
	<-c.exited
	c.goroutines.Wait()
	return err
}

// receiveFromPeer handles a message from an authenticated VM; order and permit messages bypass the control goroutine.
func (c *Control) receiveFromPeer(from teaselstream.VMID, m wire.Message) {
	switch m.(type) {
	case wire.OrderForward, wire.OrderAnswer, wire.Permit, wire.PermitAnswer:
		if f := c.receive.Load(); f != nil {
			(*f)(from, m)
		}
	default:
		c.Post(node.PeerMessage{From: from, Message: m})
	}
}

func (c *Control) run() {
	defer close(c.exited)
	defer c.cancel()
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	c.step(teaselstream.Tick{})
	for {
		select {
		case <-c.ctx.Done():
			c.closeLinks()
			return
		case m := <-c.inbox:
			if !c.step(m) {
				c.closeLinks()
				return
			}
		case <-t.C:
			if !c.step(teaselstream.Tick{}) {
				c.closeLinks()
				return
			}
		}
	}
}

func (c *Control) closeLinks() {
	if c.mesh == nil {
		return
	}
	if err := c.mesh.Close(); err != nil {
		slog.Warn("closing peer listener failed", "error", err)
	}
}

// step applies a message and reports whether the control goroutine goes on.
func (c *Control) step(m teaselstream.Msg) bool {
	running := true
	for _, x := range c.node.Update(time.Now(), m) {
		if _, ok := x.(drain.Exit); ok {
			running = false
			continue
		}
		c.execute(x)
	}
	return running
}

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
	// inboxSize holds several seconds of messages at the target size.
	inboxSize = 4096
	// callTimeout bounds calls to the store, the list and engines that do not wait for a change.
	callTimeout = 2 * time.Second
)

type (
	// Options configures the control side of one VM.
	Options struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Environment teaselstream.Environment
		// Incarnation must grow with each start; 0 takes the start time in nanoseconds.
		Incarnation teaselstream.Incarnation

		Store  teaselstream.Store
		Engine teaselstream.Engine
		// List may be nil if the platform has none.
		List teaselstream.VMList

		// ListenPeers is the "IP:port" for links of other VMs; empty runs without peers.
		ListenPeers string
		// Seeds are addresses of VMs to contact first.
		Seeds []string
		// Secret is shared by all VMs.
		Secret []byte

		// DrainDelay is the time for which the balancer still sends streams to a stopping VM.
		DrainDelay time.Duration
		// DrainTimeout bounds the wait for work in flight; 0 means that there is no bound.
		DrainTimeout time.Duration
		// InFlight counts the work of this VM during a stop; nil means none.
		InFlight func() drain.InFlight
		// CloseListeners ends the acceptance of requests during a stop; it may be nil.
		CloseListeners func()
		// SettleOrders records the outcome of open orders during a stop; it may be nil.
		SettleOrders func()

		// Receive takes the order and permit messages of other VMs; it must not block and may be nil.
		Receive func(from teaselstream.VMID, m wire.Message)

		Recorder *invar.Recorder
		Faults   invar.Faults
		// Seed fixes the random choices; 0 takes a random seed.
		Seed uint64
	}

	// Canary runs a canary prompt and returns the digest of its answer.
	Canary func(ctx context.Context, c health.Canary) (health.CanaryAnswer, error)

	// Control is the running control side of one VM.
	Control struct {
		o        Options
		node     *node.Node
		snapshot atomic.Pointer[teaselstream.Snapshot]
		inbox    chan teaselstream.Msg
		dropped  atomic.Uint64
		receive  atomic.Pointer[func(teaselstream.VMID, wire.Message)]
		canary   atomic.Pointer[Canary]
		mesh     *peer.Mesh

		ctx     context.Context
		cancel  context.CancelFunc
		work    sync.WaitGroup
		exited  chan struct{}
		watches map[bool]context.CancelFunc
	}
)

// ErrNotConnected reports a control side that runs without peers.
var ErrNotConnected = errors.New("no links to peers")

// Start starts the control goroutine; the context ends it as Stop does, but without the stop sequence.
func Start(ctx context.Context, o Options) (*Control, error) {
	if o.VM == "" || o.Environment == "" || o.Store == nil || o.Engine == nil {
		return nil, errors.New("control options need VM, Environment, Store and Engine")
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
			Receive: c.fromPeer,
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

// Snapshot returns the current view, or nil until the first document is in force.
func (c *Control) Snapshot() *teaselstream.Snapshot { return c.snapshot.Load() }

// Post gives the control goroutine a message, such as member.RequestResult or member.LoadRead.
// It never blocks; a message that finds the inbox full is dropped and counted.
func (c *Control) Post(m teaselstream.Msg) {
	select {
	case c.inbox <- m:
	default:
		c.dropped.Add(1)
	}
}

// Dropped returns the number of messages that found the inbox full.
func (c *Control) Dropped() uint64 { return c.dropped.Load() }

// PeerAddress returns the address on which other VMs reach this one, or "".
func (c *Control) PeerAddress() string {
	if c.mesh == nil {
		return ""
	}
	return c.mesh.Address()
}

// SetReceiver replaces the receiver of order and permit messages; it must not block.
func (c *Control) SetReceiver(f func(from teaselstream.VMID, m wire.Message)) { c.receive.Store(&f) }

// SetCanary sets how canary prompts are run; without it servers are judged by speed only.
func (c *Control) SetCanary(f Canary) { c.canary.Store(&f) }

// Send sends an order or permit message to a VM; the error wraps ErrNotConnected or peer.ErrUnreachable.
// A nil error does not mean that the message arrived.
func (c *Control) Send(to teaselstream.VMID, m wire.Message) error {
	if c.mesh == nil {
		return fmt.Errorf("send to %s: %w", to, ErrNotConnected)
	}
	if err := c.mesh.Send(to, c.addressOf(to), m); err != nil {
		return fmt.Errorf("send to %s: %w", to, err)
	}
	return nil
}

func (c *Control) addressOf(vm teaselstream.VMID) string {
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
	c.work.Wait()
	return err
}

// fromPeer takes a message of an authenticated VM; order and permit messages bypass the control goroutine.
func (c *Control) fromPeer(from teaselstream.VMID, m wire.Message) {
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
		slog.Warn("peer listener did not close", "error", err)
	}
}

// step applies a message and reports whether the process goes on.
func (c *Control) step(m teaselstream.Msg) bool {
	goOn := true
	for _, x := range c.node.Update(time.Now(), m) {
		if _, ok := x.(drain.Exit); ok {
			goOn = false
			continue
		}
		c.carryOut(x)
	}
	return goOn
}

package ctrl

import (
	"context"
	"errors"
	"log/slog"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/drain"
	"github.com/teaselstream/teaselstream/health"
	"github.com/teaselstream/teaselstream/member"
	"github.com/teaselstream/teaselstream/node"
	"github.com/teaselstream/teaselstream/place"
	"github.com/teaselstream/teaselstream/spread"
)

// execute carries out one command. Calls that may block run on goroutines of their own.
func (c *Control) execute(x teaselstream.Cmd) {
	switch x := x.(type) {
	case node.Publish:
		c.snapshot.Store(x.Snapshot)
	case node.Send:
		c.sendToPeer(x)
	case spread.WatchSlot:
		c.watch(x)
	case spread.StopWatch:
		if stop := c.watches[x.Trial]; stop != nil {
			stop()
		}
	case spread.ReadBody:
		c.runAsync(4*callTimeout, func(ctx context.Context) teaselstream.Msg {
			b, err := readBody(ctx, c.o.Store, c.o.Environment, x.Digest)
			return spread.BodyRead{Trial: x.Trial, Digest: x.Digest, Canonical: b, Err: err}
		})
	case member.ReadList:
		c.readList()
	case member.PollLoad:
		c.readLoad(x.Server, x.Address)
	case member.ProbeServer:
		c.readLoad(x.Server, x.Address)
	case place.Grant, place.KeepAlive, place.ReadKey, place.WriteKey, place.SendOrder, place.ReadOrders:
		c.runAsync(callTimeout, func(ctx context.Context) teaselstream.Msg { return c.place(ctx, x) })
	case health.Canary:
		c.runCanary(x)
	case drain.CountInFlight:
		var n drain.InFlight
		if c.o.InFlight != nil {
			n = c.o.InFlight()
		}
		c.Post(n)
	case drain.CloseListeners:
		if c.o.CloseListeners != nil {
			c.o.CloseListeners()
		}
	case drain.SettleOrders:
		if c.o.SettleOrders != nil {
			c.o.SettleOrders()
		}
	}
}

// canaryTimeout suffices for a canary prompt of a few tokens on a server that has become slow.
const canaryTimeout = 10 * time.Second

func (c *Control) runCanary(x health.Canary) {
	f := c.canary.Load()
	if f == nil {
		return
	}
	c.runAsync(canaryTimeout, func(ctx context.Context) teaselstream.Msg {
		a, err := (*f)(ctx, x)
		if err != nil {
			slog.Debug("canary prompt failed", "server", x.Server, "error", err)
			return nil
		}
		return a
	})
}

// runAsync runs f on a goroutine and posts its result unless that is nil.
func (c *Control) runAsync(timeout time.Duration, f func(context.Context) teaselstream.Msg) {
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		m := f(ctx)
		if m == nil {
			return
		}
		select {
		case c.inbox <- m:
		case <-c.ctx.Done():
		}
	}()
}

func (c *Control) sendToPeer(x node.Send) {
	if c.mesh == nil {
		return
	}
	// The state machines repeat lost messages, so a failed send is logged at debug level only.
	if err := c.mesh.Send(x.To, x.Address, x.Message); err != nil {
		slog.Debug("send to peer failed", "vm", x.To, "error", err)
	}
}

// watch starts the watch of a slot and ends the earlier one.
func (c *Control) watch(x spread.WatchSlot) {
	if stop := c.watches[x.Trial]; stop != nil {
		stop()
	}
	ctx, stop := context.WithCancel(c.ctx)
	c.watches[x.Trial] = stop
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		defer stop()
		m := readSlot(ctx, c.o.Store, c.o.Environment, x)
		if ctx.Err() != nil {
			return
		}
		select {
		case c.inbox <- m:
		case <-ctx.Done():
		}
	}()
}

func (c *Control) readList() {
	if c.o.List == nil {
		c.Post(member.ListRead{})
		return
	}
	c.runAsync(4*callTimeout, func(ctx context.Context) teaselstream.Msg {
		es, err := c.o.List.List(ctx)
		return member.ListRead{Entries: es, Err: err}
	})
}

func (c *Control) readLoad(id teaselstream.ServerID, address string) {
	c.runAsync(callTimeout, func(ctx context.Context) teaselstream.Msg {
		l, err := c.o.Engine.Load(ctx, address)
		refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
		return member.LoadRead{Server: id, Load: l, Err: err, Refused: refused}
	})
}

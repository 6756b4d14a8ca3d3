package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/config"
	"github.com/teaselstream/teaselstream/cover"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/proxy"
)

const (
	// controlTick is the period of the control cores.
	controlTick = 100 * time.Millisecond
	// inboxRoom lets bursts of list changes and probe results wait for the control goroutine.
	inboxRoom = 1024
)

type (
	// control is the goroutine that owns the control cores.
	control struct {
		core      fleet.Core
		decider   cover.Decider
		inbox     chan teaselstream.Msg
		view      atomic.Pointer[fleet.View]
		handler   *proxy.Handler
		published func(*fleet.View)
		log       *slog.Logger
		dropped   atomic.Int64
	}

	// lockedRand is the process's source of random numbers, which is safe for use by many goroutines.
	lockedRand struct{}
)

// Float64 returns a number in [0, 1).
func (lockedRand) Float64() float64 { return rand.Float64() }

// IntN returns a number in [0, n).
func (lockedRand) IntN(n int) int { return rand.IntN(n) }

func newControl(settings config.GateSettings, log *slog.Logger) *control {
	c := &control{
		core:    fleet.Core{Domain: settings.VM.Domain},
		decider: cover.Decider{VM: settings.VM.Name, Domain: settings.VM.Domain},
		inbox:   make(chan teaselstream.Msg, inboxRoom), log: log,
	}
	c.view.Store(&fleet.View{Domain: settings.VM.Domain})
	return c
}

// current returns the newest view.
func (c *control) current() *fleet.View { return c.view.Load() }

// post hands a message to the control goroutine. Traffic must not wait, so a message is dropped and counted if the
// goroutine is far behind; what it said is seen again by the next use or probe.
func (c *control) post(m teaselstream.Msg) {
	select {
	case c.inbox <- m:
	default:
		c.dropped.Add(1)
	}
}

func (c *control) run(ctx context.Context) {
	t := time.NewTicker(controlTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			if e, ok := m.(cover.Ended); ok {
				c.decider.Update(time.Now(), e)
				continue
			}
			c.execute(c.core.Update(time.Now(), m))
		case now := <-t.C:
			c.execute(c.core.Update(now, teaselstream.Tick{}))
			c.execute(c.decider.Update(now, cover.ViewTick{View: c.current()}))
			if n := c.dropped.Swap(0); n > 0 {
				c.log.Warn("ControlMessagesDropped", "count", n)
			}
		}
	}
}

func (c *control) execute(cmds []teaselstream.Cmd) {
	for _, cmd := range cmds {
		switch x := cmd.(type) {
		case fleet.PublishView:
			c.view.Store(x.View)
			c.published(x.View)
		case fleet.LogEvent:
			c.note(x)
		case fleet.ReadReport:
			go c.read(x)
		case cover.Hold:
			c.log.Info("OrderDecided", "server", string(x.Server), "range", x.Range.String(), "holds", x.Holds.String(),
				"reason", x.Reason, "waitedMs", x.Waited.Milliseconds(), "rank", x.Rank)
			go c.order(x)
		}
	}
}

func (c *control) note(n fleet.LogEvent) {
	args := []any{"reason", n.Reason}
	if n.Server != "" {
		args = append(args, "server", string(n.Server))
	}
	if n.Age > 0 {
		args = append(args, "ageMs", n.Age.Milliseconds())
	}
	if v := c.current(); v.Routing != nil {
		args = append(args, "generation", uint64(v.Routing.Generation))
	}
	c.log.Info(n.Event, args...)
}

func (c *control) read(x fleet.ReadReport) {
	m := c.current().Members[x.Server]
	if m == nil {
		return
	}
	_, err := c.handler.ReadReport(x.Server, x.Address, m.Incarnation)
	if err != nil {
		c.log.Info("ServerSilent", "server", string(x.Server), "reason", x.Reason, "error", err)
	}
}

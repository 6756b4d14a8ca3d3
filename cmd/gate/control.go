package main

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/config"
	"github.com/teaselstream/teaselstream/cover"
	"github.com/teaselstream/teaselstream/crash"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/proxy"
	"github.com/teaselstream/teaselstream/quota"
	"github.com/teaselstream/teaselstream/ramp"
	"github.com/teaselstream/teaselstream/reach"
	"github.com/teaselstream/teaselstream/status"
	"github.com/teaselstream/teaselstream/watch"
)

const (
	// controlPeriod is the period of the ticks for fleet.Core and cover.Decider.
	controlPeriod = 100 * time.Millisecond
	// inboxSize is the number of messages, such as list changes and probe results, that can wait for the control loop.
	inboxSize = 1024
)

type (
	// controlLoop owns fleet.Core and cover.Decider, which run in one goroutine.
	controlLoop struct {
		core    fleet.Core
		decider cover.Decider
		tracker crash.Tracker
		quotas  quota.Tracker
		reach   reach.Tracker
		// observer looks at servers for other VMs while this VM is the one that does, and status tells them.
		observer status.Observer
		status   *status.Service
		// pacer finds the pace of servers that have started or recovered.
		pacer pacer
		// isolated means that this VM reaches no server.
		isolated atomic.Bool
		vm       teaselstream.VMID
		inbox    chan teaselstream.Msg
		view     atomic.Pointer[fleet.View]
		// quarantine holds what the requests that crash servers have in common.
		quarantine atomic.Pointer[crash.Quarantine]
		// limited holds the servers that have named a limit.
		limited map[teaselstream.ServerID]bool
		// crashReports and limitReports write this VM's reports.
		crashReports, limitReports *watch.Publisher
		store                      teaselstream.Store
		handler                    *proxy.Handler
		onPublish                  func(*fleet.View)
		log                        *slog.Logger
		dropped                    atomic.Int64
	}

	// globalRand is the global source of math/rand/v2, which is safe for concurrent use.
	globalRand struct{}
)

// Float64 returns a number in [0, 1).
func (globalRand) Float64() float64 { return rand.Float64() }

// IntN returns a number in [0, n).
func (globalRand) IntN(n int) int { return rand.IntN(n) }

func newControlLoop(settings config.GateSettings, log *slog.Logger) *controlLoop {
	c := &controlLoop{
		vm:       settings.VM.Name,
		quotas:   quota.Tracker{VM: settings.VM.Name},
		core:     fleet.Core{Domain: settings.VM.Domain},
		decider:  cover.Decider{VM: settings.VM.Name, Domain: settings.VM.Domain},
		observer: status.Observer{Domain: settings.VM.Domain, Loads: settings.Domain.Order},
		pacer:    pacer{on: settings.Domain.Pace, tracker: ramp.Tracker{VM: settings.VM.Name}},
		inbox:    make(chan teaselstream.Msg, inboxSize), log: log,
	}
	c.view.Store(&fleet.View{Domain: settings.VM.Domain})
	return c
}

// current returns the newest view.
func (c *controlLoop) current() *fleet.View { return c.view.Load() }

// post queues a message for the control loop. Requests must not wait, so a message is dropped and counted if the
// queue is full. What requests and probes report is observed again later.
func (c *controlLoop) post(m teaselstream.Msg) {
	select {
	case c.inbox <- m:
	default:
		c.dropped.Add(1)
	}
}

// postAll queues a message that is not posted again, such as a change in the store or the result of an order, and waits while the
// queue is full.
func (c *controlLoop) postAll(ctx context.Context, m teaselstream.Msg) {
	select {
	case c.inbox <- m:
	case <-ctx.Done():
	}
}

func (c *controlLoop) run(ctx context.Context) {
	t := time.NewTicker(controlPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			c.handle(ctx, time.Now(), m)
		case <-t.C:
			// What arrived before the tick may be an answer whose absence the tick counts.
			for range len(c.inbox) {
				c.handle(ctx, time.Now(), <-c.inbox)
			}
			now := time.Now()
			if n := c.dropped.Swap(0); n > 0 {
				c.log.Warn("ControlMessagesDropped", "count", n)
				c.execute(ctx, c.core.Update(now, fleet.MessagesDropped{}))
			}
			c.execute(ctx, c.core.Update(now, teaselstream.Tick{}))
			c.execute(ctx, c.tracker.Update(now, teaselstream.Tick{}))
			c.execute(ctx, c.quotas.Update(now, teaselstream.Tick{}))
			c.execute(ctx, c.reach.Update(now, teaselstream.Tick{}))
			c.execute(ctx, c.observer.Update(now, teaselstream.Tick{}))
			c.execute(ctx, c.pacer.update(now, teaselstream.Tick{}))
			c.pacer.collect()
			c.closeSilentStreams(now)
			c.execute(ctx, c.decider.Update(now, cover.ViewTick{View: c.current(), Limited: c.limited}))
		}
	}
}

// handle passes a message to the state machine that it is for.
func (c *controlLoop) handle(ctx context.Context, now time.Time, m teaselstream.Msg) {
	switch m := m.(type) {
	case cover.Ended:
		c.decider.Update(now, m)
	case crash.Lost, crash.Answered, crash.ReportRead, crash.RecordRead:
		c.execute(ctx, c.tracker.Update(now, m))
	case quota.Named, quota.ReportRead:
		c.execute(ctx, c.quotas.Update(now, m))
	case reach.Answered, reach.Failed:
		c.execute(ctx, c.reach.Update(now, m))
	case status.Activated, status.ConnectionEnded, status.StreamStalled:
		c.execute(ctx, c.observer.Update(now, m))
	case fleet.ReportReceived:
		c.execute(ctx, c.core.Update(now, m))
		c.execute(ctx, c.observer.Update(now, status.Looked{Server: m.Server, Report: m.Report}))
		c.reported(ctx, now, m.Server, &m.Report, 0)
	case fleet.Observed:
		c.execute(ctx, c.core.Update(now, m))
		for i := range m.Observations {
			o := &m.Observations[i]
			if o.State == fleet.Answering && o.Report.CacheTotal > 0 {
				c.reported(ctx, now, o.Server, &o.Report, o.Age)
			}
		}
	case ramp.Answered, ramp.Samples, ramp.Shared:
		c.execute(ctx, c.pacer.update(now, m))
	case fleet.WorkRefused:
		c.execute(ctx, c.core.Update(now, m))
		if x := c.current().Members[m.Server]; x != nil && x.Share > 0 {
			c.execute(ctx, c.pacer.update(now, ramp.Refused{Server: m.Server, Incarnation: x.Incarnation}))
		}
	case fleet.PeersListed:
		c.execute(ctx, c.core.Update(now, m))
		c.execute(ctx, c.tracker.Update(now, crash.Peers{Self: c.vm, VMs: peerNames(m.Peers)}))
	default:
		c.execute(ctx, c.core.Update(now, m))
	}
}

func peerNames(peers []fleet.Peer) []teaselstream.VMID {
	names := make([]teaselstream.VMID, len(peers))
	for i, p := range peers {
		names[i] = p.Name
	}
	return names
}

func (c *controlLoop) execute(ctx context.Context, cmds []teaselstream.Cmd) {
	for _, cmd := range cmds {
		switch x := cmd.(type) {
		case fleet.PublishView:
			before := c.view.Swap(x.View)
			c.onPublish(x.View)
			if c.handler.Observer != nil && x.View.DownSince(before) {
				c.handler.ServersWentDown()
			}
			c.execute(ctx, c.observer.Update(x.View.At, status.ViewChanged{View: x.View}))
			c.forgetGone(ctx, x.View)
			c.execute(ctx, c.quotas.Update(x.View.At, quota.ViewChanged{View: x.View}))
			c.execute(ctx, c.reach.Update(x.View.At, reach.ViewChanged{View: x.View}))
		case reach.Probe:
			c.probeServers(x)
		case reach.SetIsolated:
			c.execute(ctx, c.setIsolated(time.Now(), x))
		case fleet.LogEvent:
			c.logEvent(x)
		case quota.SetParts:
			c.setLimits(x.Parts)
		case quota.PublishReport:
			c.limitReports.Publish(x.Report)
		case quota.LogLimit:
			c.logLimit(x)
		case crash.PublishQuarantine:
			c.quarantine.Store(x.Quarantine)
		case crash.LogSignature:
			c.logSignature(x)
		case crash.PublishReport:
			c.crashReports.Publish(x.Report)
		case crash.WriteRecord:
			go c.writeRecord(x)
		case fleet.ReadReport:
			go c.readReport(x)
		case cover.Hold:
			c.log.Info("OrderDecided", "server", string(x.Server), "range", x.Range.String(), "holds", x.Holds.String(),
				"reason", x.Reason, "waitedMs", x.Waited.Milliseconds(), "rank", x.Rank)
			go c.executeOrder(ctx, x)
		default:
			c.executeShared(ctx, cmd)
		}
	}
}

func (c *controlLoop) logEvent(n fleet.LogEvent) {
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

func (c *controlLoop) readReport(x fleet.ReadReport) {
	m := c.current().Members[x.Server]
	if m == nil {
		return
	}
	_, err := c.handler.ReadReport(x.Server, x.Address, m.Incarnation, x.Timeout)
	switch {
	case errors.Is(err, proxy.ErrWithheld):
		c.post(fleet.NotAsked{Server: x.Server})
	case err != nil:
		c.log.Info("ServerSilent", "server", string(x.Server), "reason", x.Reason, "error", err)
	}
}

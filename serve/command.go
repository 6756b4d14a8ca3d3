package serve

import (
	"context"
	"log/slog"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/blame"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/relay"
)

const (
	startTimeout  = time.Second
	cancelTimeout = time.Second
	exportTimeout = 2 * time.Second
	// probeTimeout fits between the probe and the end of the 1 s stall limit.
	probeTimeout = 250 * time.Millisecond
)

// apply gives a message to the relay and carries out its commands.
func (n *Session) apply(now time.Time, m teaselstream.Msg) {
	for _, c := range n.relay.Update(now, m) {
		switch c := c.(type) {
		case *relay.EmitToken:
			n.emit(now, c)
		case relay.OpenStream:
			n.pending = &c
			n.askToRun(now)
		case relay.CancelStream:
			n.cancelStream(now, c)
		case relay.ExportCache:
			go n.export(c)
		case relay.ProbeChain:
			go n.probe(c)
		case relay.ReportServer:
			n.report(now, c)
		case relay.Finish:
			n.end(now, c)
		}
	}
}

func (n *Session) emit(now time.Time, c *relay.EmitToken) {
	n.tokens = append(n.tokens, c.Text)
	n.timing.add(now)
	if c.Index == 0 {
		n.class.FirstToken(now.Sub(n.request.Arrived))
	} else {
		n.class.TokenGap(now.Sub(n.last))
	}
	n.last = now
	if n.alone {
		n.service.guard.tell(now, blame.Progress{Request: n.request.ID, Tokens: int(c.Index) + 1})
	}
}

func (n *Session) openStream(now time.Time, c relay.OpenStream) {
	n.closeStream()
	n.release(now)
	n.plan, n.started = c.Plan, true
	o := &n.service.options
	o.Planner.Started(now, c.Plan)
	if c.Request.Attempt > 1 {
		o.Meter.Count(meter.Retry, 1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	stream, err := o.Engine.Start(ctx, c.Request.Chain[0].Address, c.Request)
	if err != nil {
		n.mailbox.post(relay.StreamFailed{Attempt: c.Request.Attempt, Err: err})
		return
	}
	n.mailbox.setStream(stream)
}

func (n *Session) cancelStream(now time.Time, c relay.CancelStream) {
	if n.pending != nil {
		// The attempt was not sent yet.
		n.pending = nil
		return
	}
	n.closeStream()
	n.release(now)
	engine, id := n.service.options.Engine, n.request.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := engine.Cancel(ctx, c.Address, id, c.Attempt); err != nil {
			slog.Debug("cancel of a stream failed", "request", id, "attempt", c.Attempt, "error", err)
		}
	}()
}

func (n *Session) closeStream() {
	s := n.mailbox.stream
	if s == nil {
		return
	}
	n.mailbox.setStream(nil)
	if err := s.Close(); err != nil {
		slog.Debug("close of a stream failed", "request", n.request.ID, "error", err)
	}
}

// release tells the planner that the servers of the current attempt are free of it.
func (n *Session) release(now time.Time) {
	if n.started {
		n.started = false
		n.reportLatency()
		n.service.options.Planner.Finished(now, n.plan)
	}
}

func (n *Session) report(now time.Time, c relay.ReportServer) {
	o := &n.service.options
	if c.Event != relay.Completed {
		o.Meter.Count(meter.StageLost, 1)
		slog.Info("stage lost", "request", n.request.ID, "server", c.Server, "event", c.Event)
	}
	if c.Event == relay.Completed && o.Prefixes != nil {
		n.service.prefixes.note(c.Server)
	}
	n.tellLoss(now, c)
	n.service.evidence.add(c.Server, n.plan.Chain, c.Event)
}

func (n *Session) end(now time.Time, f relay.Finish) {
	n.closeStream()
	n.release(now)
	n.finish = &f
	n.settle(now, f)
	n.class.Ended(now.Sub(n.request.Arrived), f.Code, f.Outcome)
	n.service.options.Meter.Count(meter.StaleFrame, int64(n.relay.Counts().Stale))
}

func (n *Session) export(c relay.ExportCache) {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	name, tokens, err := n.service.options.Engine.Export(ctx, c.Address, n.request.ID)
	if err != nil {
		slog.Debug("export of a cache failed", "request", n.request.ID, "server", c.Server, "error", err)
		name = ""
	} else {
		slog.Debug("cache exported", "request", n.request.ID, "server", c.Server, "tokens", tokens)
	}
	n.mailbox.post(relay.CacheExported{Server: c.Server, Name: name, Tokens: tokens})
}

// probe asks all servers of a chain for their load at once.
func (n *Session) probe(c relay.ProbeChain) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	engine := n.service.options.Engine
	failed := make(chan teaselstream.ServerID, len(c.Chain))
	for _, h := range c.Chain {
		go func() {
			if _, err := engine.Load(ctx, h.Address); err != nil {
				failed <- h.Server
				return
			}
			failed <- ""
		}()
	}
	var silent []teaselstream.ServerID
	for range c.Chain {
		if s := <-failed; s != "" {
			silent = append(silent, s)
		}
	}
	n.mailbox.post(relay.ProbeResult{Attempt: c.Attempt, Silent: silent})
}

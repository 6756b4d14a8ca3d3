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
	// probeTimeout is short enough that a probe ends before the stalled stream reaches the stall limit of 1 s.
	probeTimeout = 250 * time.Millisecond
)

// apply passes a message to the relay and executes the commands that the relay returns.
func (n *Session) apply(now time.Time, m teaselstream.Msg) {
	for _, c := range n.relay.Update(now, m) {
		switch c := c.(type) {
		case *relay.EmitToken:
			n.emit(now, c)
		case relay.OpenStream:
			n.pendingAttempt = &c
			n.requestStart(now)
		case relay.CancelStream:
			n.cancelStream(now, c)
		case relay.ExportCache:
			go n.export(c)
		case relay.ProbeChain:
			go n.probe(c)
		case relay.ReportServer:
			n.handleServerReport(now, c)
		case relay.Finish:
			n.handleFinish(now, c)
		}
	}
}

func (n *Session) emit(now time.Time, c *relay.EmitToken) {
	n.tokens = append(n.tokens, c.Text)
	n.tokenTiming.add(now)
	if c.Index == 0 {
		n.class.FirstToken(now.Sub(n.request.Arrived))
	} else {
		n.class.TokenGap(now.Sub(n.lastToken))
	}
	n.lastToken = now
	if n.reportsProgress {
		n.service.crashGuard.notify(now, blame.Progress{Request: n.request.ID, Tokens: int(c.Index) + 1})
	}
}

func (n *Session) openStream(now time.Time, c relay.OpenStream) {
	n.closeStream()
	n.releasePlan(now)
	n.plan, n.planStarted = c.Plan, true
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
	if n.pendingAttempt != nil {
		// The attempt has not been sent to an engine, so there is nothing to cancel there.
		n.pendingAttempt = nil
		return
	}
	n.closeStream()
	n.releasePlan(now)
	engine, id := n.service.options.Engine, n.request.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := engine.Cancel(ctx, c.Address, id, c.Attempt); err != nil {
			slog.Debug("canceling a stream failed", "request", id, "attempt", c.Attempt, "error", err)
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
		slog.Debug("closing a stream failed", "request", n.request.ID, "error", err)
	}
}

// releasePlan tells the planner that the current attempt no longer loads its servers.
func (n *Session) releasePlan(now time.Time) {
	if n.planStarted {
		n.planStarted = false
		n.reportLatency()
		n.service.options.Planner.Finished(now, n.plan)
	}
}

func (n *Session) handleServerReport(now time.Time, c relay.ReportServer) {
	o := &n.service.options
	if c.Event != relay.Completed {
		o.Meter.Count(meter.StageLost, 1)
		slog.Info("stage lost", "request", n.request.ID, "server", c.Server, "event", c.Event)
	}
	if c.Event == relay.Completed && o.Prefixes != nil {
		n.service.prefixes.enqueue(c.Server)
	}
	n.reportLoss(now, c)
	n.service.stallTracker.record(c.Server, n.plan.Chain, c.Event)
}

func (n *Session) handleFinish(now time.Time, f relay.Finish) {
	n.closeStream()
	n.releasePlan(now)
	n.finish = &f
	n.releaseAdmission(now, f)
	n.class.Ended(now.Sub(n.request.Arrived), f.Code, f.Outcome)
	n.service.options.Meter.Count(meter.StaleFrame, int64(n.relay.Counts().Stale))
}

func (n *Session) export(c relay.ExportCache) {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	name, tokens, err := n.service.options.Engine.Export(ctx, c.Address, n.request.ID)
	if err != nil {
		slog.Debug("exporting a KV cache failed", "request", n.request.ID, "server", c.Server, "error", err)
		name = ""
	} else {
		slog.Debug("KV cache exported", "request", n.request.ID, "server", c.Server, "tokens", tokens)
	}
	n.mailbox.post(relay.CacheExported{Server: c.Server, Name: name, Tokens: tokens})
}

// probe requests the load of all servers of a chain concurrently and reports those that do not answer.
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

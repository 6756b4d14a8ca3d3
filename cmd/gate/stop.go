package main

import (
	"net"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/drain"
)

const (
	// balancerDelay covers two failed readiness checks of the load balancer, one per second, and the connections opened meanwhile.
	balancerDelay = 2500 * time.Millisecond
	// exitMargin is the time left between aborting the last requests and the platform's SIGKILL.
	exitMargin = 300 * time.Millisecond
	// answerTime is the time before that in which requests that would be cut get a final answer: one tick, so that it comes first. The
	// shutdown waits 200 ms longer before the exit, in which the answers reach their callers.
	answerTime = stopTick
	// stopTick is the period at which the stop sequence checks its progress.
	stopTick = 50 * time.Millisecond
)

// stop drains the VM: it fails readiness, waits for the load balancer, closes the listener and waits for requests. Those that last too
// long get a final answer, except for answers that have begun, which are cut by the exit. The result of the accept loop is sent to accepted.
func (p *process) stop(callers net.Listener, accepted <-chan error) {
	b := p.settings.Load().Bounds
	d := drain.New(drain.Config{
		VM: p.settings.Load().VM.Name, Delay: min(balancerDelay, b.GraceTime/2), Timeout: b.GraceTime - exitMargin, AnswerTime: answerTime,
	})
	cmds := d.Update(time.Now(), drain.Stop{})
	p.handler.Stop(d.LastAnswer())
	p.server.EndReading(d.LastAnswer())
	t := time.NewTicker(stopTick)
	defer t.Stop()
	closed := false
	for {
		for _, c := range cmds {
			switch c.(type) {
			case drain.FailReadiness:
				p.stopping.Store(true)
				p.server.Drain()
			case drain.CloseListeners:
				p.closeListener(callers, accepted)
				closed = true
			case drain.EndRequests:
				p.log.Info("RequestsEnded", "active", p.server.ActiveRequests())
				p.handler.EndRequests()
			case drain.Exit:
				if n := p.server.ActiveRequests(); n > 0 {
					p.log.Warn("RequestsCut", "active", n)
				}
				return
			}
		}
		now := <-t.C
		if closed {
			p.server.CloseIdle()
		}
		cmds = d.Update(now, teaselstream.Tick{})
		cmds = append(cmds, d.Update(now, drain.InFlight{Calls: p.server.OpenConnections() + p.relay.OpenConnections()})...)
	}
}

// closeListener closes the listener and waits until the accept loop has ended, so that no connection is accepted afterwards.
func (p *process) closeListener(callers net.Listener, accepted <-chan error) {
	p.log.Info("ListenerClosed", "active", p.server.ActiveRequests(), "connections", p.server.OpenConnections())
	if err := callers.Close(); err != nil {
		p.log.Warn("CloseFailed", "error", err)
	}
	if err := <-accepted; err != nil {
		p.log.Warn("AcceptFailed", "error", err)
	}
	p.server.CloseIdle()
}

package main

import (
	"fmt"
	"net"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/config"
	"github.com/teaselstream/teaselstream/detour"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/reach"
)

const (
	// relayHeaderBytes is what a request to a server may have in its header beyond what callers may send: a path of servers and
	// the headers of the protocol between VMs.
	relayHeaderBytes = 8 << 10
	// findingsMargin is how long before the first failure of a connection servers may have been found down because of a cut.
	findingsMargin = time.Second
)

// serveRelay serves exchanges of other VMs with servers.
func (p *process) serveRelay(settings config.GateSettings) error {
	if settings.Listen.Relay == "" {
		return nil
	}
	l, err := net.Listen("tcp", settings.Listen.Relay)
	if err != nil {
		return fmt.Errorf("listen for exchanges of other VMs: %w", err)
	}
	go func() {
		if err := p.relay.Run(l); err != nil {
			p.log.Error("ListenerFailed", "address", settings.Listen.Relay, "error", err)
		}
	}()
	return nil
}

// relayLimits returns the limits of requests of other VMs; callers' limits apply where the requests were taken.
func (p *process) relayLimits() teaselstream.EdgeLimits {
	l := p.limits()
	if l.MaxHeader > 0 {
		l.MaxHeader += relayHeaderBytes
	}
	return l
}

// recordPutAside records that exchanges do not go through a VM for some time.
func (p *process) recordPutAside(x detour.PutAside) {
	p.meter.Count(meter.VMPutAside, 1)
	p.log.Info("VMPutAside", "through", string(x.VM), "forMs", x.For.Milliseconds(), "failures", x.Failures)
}

// probeServers sends a request to servers on new connections.
func (c *controlLoop) probeServers(x reach.Probe) {
	for _, a := range x.Addresses {
		go c.handler.ProbeServer(a)
	}
}

// setIsolated makes requests go through other VMs from now on, or directly again.
func (c *controlLoop) setIsolated(now time.Time, x reach.SetIsolated) []teaselstream.Cmd {
	c.isolated.Store(x.Isolated)
	if !x.Isolated {
		c.log.Info("ServersReachable", "servers", x.Servers)
		return nil
	}
	through := c.handler.Detour.Active()
	c.log.Warn("ServersUnreachable", "servers", x.Servers, "sinceMs", now.Sub(x.Since).Milliseconds(), "cause", x.Cause.String(),
		"throughOthers", through)
	if !through {
		return nil
	}
	c.handler.CloseIdleToServers()
	c.handler.Balancer.ClearFailures()
	return c.core.Update(now, fleet.ServersIsolated{Since: x.Since.Add(-findingsMargin)})
}

// closeSilentStreams makes streams whose connections the cut has silenced go on through other VMs.
func (c *controlLoop) closeSilentStreams(now time.Time) {
	if !c.handler.Detour.Active() {
		return
	}
	if n := c.handler.CloseSilentStreams(now); n > 0 {
		c.log.Info("SilentStreamsClosed", "count", n)
	}
}

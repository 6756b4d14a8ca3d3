package main

import (
	"context"
	"errors"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/config"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/hconn"
	"github.com/teaselstream/teaselstream/platform"
	"github.com/teaselstream/teaselstream/proxy"
	"github.com/teaselstream/teaselstream/ramp"
	"github.com/teaselstream/teaselstream/status"
)

// memoryMB returns the memory of the process if the VMs of its failure domain choose one of them by it, and 0 otherwise.
func memoryMB(settings config.GateSettings) int {
	if !settings.Domain.Observe {
		return 0
	}
	return int(settings.Bounds.Memory >> 20)
}

// assembleStatus prepares the exchange with other VMs about servers, if the settings ask for it.
func (p *process) assembleStatus(settings config.GateSettings, peers func() []fleet.Peer) {
	p.status = &status.Service{
		Self: p.shared.Self, Peers: peers, Post: p.controlLoop.post, ReadReport: p.handler.ReadForOthers,
		Unanswered: proxy.IsUnanswered, Isolated: p.controlLoop.isolated.Load, DomainOf: p.controlLoop.domainOf, Samples: p.controlLoop.pacer.takeCounts, Shares: p.controlLoop.pacer.found,
		Teams: p.teams, SetTeams: p.setTeams, Log: p.log,
	}
	if settings.Domain.Order {
		p.handler.Admission = &proxy.Admission{}
		p.handler.Admission.SetRand(p.handler.Rand)
	}
	p.controlLoop.status = p.status
	if !settings.Domain.Observe || settings.Listen.Peers == "" {
		return
	}
	p.handler.Observer = p.status
	p.shared.Handlers = p.status.Handlers()
	p.handler.Replicas = &platform.Replicas{Conn: hconn.Client{
		Dial: p.conns.Dial(p.handler.DialServer), Detour: p.handler.Detour, MaxBodyBytes: maxReportBytes,
	}}
}

// runStatus exchanges what VMs know about servers until ctx ends.
func (p *process) runStatus(ctx context.Context) {
	if p.handler.Observer == nil {
		return
	}
	go p.status.Run(ctx)
	go p.conns.Run(ctx, p.status.Observes, func(address string) {
		p.controlLoop.post(status.ConnectionEnded{Address: address})
	})
}

// executeShared carries out what follows from the exchange with other VMs.
func (c *controlLoop) executeShared(ctx context.Context, cmd teaselstream.Cmd) {
	switch x := cmd.(type) {
	case fleet.CheckEnded:
		go c.handler.CheckEnded(x)
	case fleet.Returned:
		c.started(ctx, time.Now(), x)
	case ramp.SetShare:
		c.setShare(ctx, time.Now(), x)
	case ramp.LogChange:
		c.log.Info("ServerShare", "server", string(x.Server), "share", x.Share, "reason", x.Reason)
	case status.Look:
		go c.look(x)
	case status.Publish:
		c.status.Publish(x)
	}
}

// look reads a server's report for all VMs of the failure domain.
func (c *controlLoop) look(x status.Look) {
	_, err := c.handler.ReadReport(x.Server, x.Address, x.Incarnation, x.Timeout)
	if err != nil && !errors.Is(err, proxy.ErrWithheld) {
		c.log.Info("ServerSilent", "server", string(x.Server), "reason", x.Reason, "error", err)
	}
}

// domainOf returns the failure domain of a server, or an empty one if it is not known.
func (c *controlLoop) domainOf(id teaselstream.ServerID) teaselstream.DomainID {
	if m := c.current().Members[id]; m != nil {
		return m.Domain
	}
	return ""
}

// teams returns this VM's running requests by team for other VMs.
func (p *process) teams() []status.TeamLoad {
	if p.handler.Admission == nil {
		return nil
	}
	var out []status.TeamLoad
	for _, c := range p.handler.Admission.Running() {
		out = append(out, status.TeamLoad(c))
	}
	return out
}

// setTeams takes over the running requests by team of all VMs of the failure domain.
func (p *process) setTeams(loads []status.TeamLoad) {
	if p.handler.Admission == nil {
		return
	}
	counts := make([]proxy.TeamCount, len(loads))
	for i, l := range loads {
		counts[i] = proxy.TeamCount(l)
	}
	p.handler.Admission.SetShares(time.Now(), counts)
}

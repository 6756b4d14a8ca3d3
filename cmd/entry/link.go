package main

import (
	"errors"
	"log/slog"
	"syscall"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/member"
	"github.com/teaselstream/teaselstream/relay"
	"github.com/teaselstream/teaselstream/serve"
	"github.com/teaselstream/teaselstream/wire"
)

// receive dispatches order and permit messages from other VMs.
func (p *process) receive(from teaselstream.VMID, m wire.Message) {
	var data []byte
	switch m := m.(type) {
	case wire.Permit:
		data = m.Data
	case wire.PermitAnswer:
		data = m.Data
	default:
		p.calls.Receive(from, m)
		return
	}
	if err := p.models.ReceiveBlameMessage(from, data); err != nil {
		slog.Warn("permit message dropped", "from", from, "error", err)
	}
}

// sendBlame sends a message of package blame to its receiver, or to all live VMs if it has none.
func (p *process) sendBlame(c teaselstream.Cmd) {
	to, m, err := serve.EncodeBlameMessage(c)
	if err != nil {
		slog.Error("blame message cannot be encoded", "error", err)
		return
	}
	receivers := []teaselstream.VMID{to}
	if to == "" {
		receivers = nil
		for _, v := range p.control.Snapshot().Peers {
			if v.Alive {
				receivers = append(receivers, v.VM)
			}
		}
	}
	for _, v := range receivers {
		if err := p.control.Send(v, m); err != nil {
			slog.Debug("permit message not sent", "vm", v, "error", err)
		}
	}
}

// reportEngine reports the result of a request at an engine to the control plane, which determines the state of servers.
func (p *process) reportEngine(s teaselstream.ServerID, e relay.Event) {
	r := member.RequestResult{Server: s}
	switch e {
	case relay.Completed:
		r.OK = true
	case relay.Refused, relay.Reset:
		r.Refused = true
	case relay.Busy, relay.Rejected, relay.Unexplained:
		// These events do not show that the server is down.
		return
	}
	p.control.Post(r)
}

func (p *process) reportService(s teaselstream.ServerID, err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	p.control.Post(member.RequestResult{Server: s, OK: err == nil, Refused: refused})
}

// engineKey returns the API key in the document for the address of a server, or "" if there is none.
func (p *process) engineKey(address string) string {
	c := p.startedControl.Load()
	if c == nil {
		return ""
	}
	s := c.Snapshot()
	if s == nil || s.Document == nil {
		return ""
	}
	return p.keys.lookup(s.Document, address)
}

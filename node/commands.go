package node

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/drain"
	"github.com/teaselstream/teaselstream/health"
	"github.com/teaselstream/teaselstream/member"
	"github.com/teaselstream/teaselstream/place"
	"github.com/teaselstream/teaselstream/spread"
	"github.com/teaselstream/teaselstream/wire"
)

// handleCommands passes commands from one state machine to another and returns those that the caller must carry out.
func (n *Node) handleCommands(now time.Time, cmds []teaselstream.Cmd) []teaselstream.Cmd {
	var out []teaselstream.Cmd
	for _, c := range cmds {
		switch x := c.(type) {
		case member.PeersChanged:
			n.loadsChanged, n.peersStale = true, true
		case member.ServersChanged:
			n.publishSoon = true
			n.monitorCurrent = n.monitorCurrent && !x.SetChanged
		case member.PeerSuspicion:
			report := health.PeerReport{VM: x.VM, Server: x.Server, Incarnation: x.Incarnation, Cause: health.Cause(x.Cause)}
			out = append(out, n.handleCommands(now, n.monitor.Update(now, report))...)
		case health.SetState:
			out = append(out, n.handleCommands(now, n.healthChanged(now, x))...)
		case spread.Adopt:
			out = append(out, n.adopt(now, x)...)
		case place.PlacementChanged:
			out = append(out, n.placementReceived(now, placementMessage(x), "")...)
		case drain.AnnounceLeaving:
			n.publishSoon = true
			out = append(out, n.handleCommands(now, n.members.Update(now, member.SetLeaving{}))...)
			out = append(out, n.handleCommands(now, n.peersChanged(now))...)
		case drain.SendGoodbye:
			for _, p := range n.members.Peers() {
				if p.Alive {
					out = append(out, n.sendTo(p.VM, wire.Goodbye{VM: n.c.VM, Incarnation: n.c.Incarnation}))
				}
			}
		default:
			out = append(out, n.addressed(c))
		}
	}
	return out
}

// adopt puts a document in force and states it in a heartbeat to all neighbours at once.
func (n *Node) adopt(now time.Time, x spread.Adopt) []teaselstream.Cmd {
	n.publishSoon = true
	var out []teaselstream.Cmd
	if x.Trial {
		n.trial = x.Document
	} else {
		n.document = x.Document
		out = n.handleCommands(now, n.members.Update(now, member.DocumentAdopted{Document: x.Document}))
	}
	push := member.Generations{List: n.syncer.Generations(), Push: true}
	return append(out, n.handleCommands(now, n.members.Update(now, push))...)
}

// addressed turns a command that addresses a VM into Send, and returns others unchanged.
func (n *Node) addressed(c teaselstream.Cmd) teaselstream.Cmd {
	switch x := c.(type) {
	case member.SendHeartbeat:
		return n.sendTo(x.To, x.Heartbeat)
	case member.SendNotices:
		return n.sendTo(x.To, wire.Notices{Notices: x.Notices})
	case member.SendQuestion:
		return n.sendTo(x.To, x.Question)
	case member.SendReply:
		return n.sendTo(x.To, x.Reply)
	case spread.PullDelta:
		return n.sendTo(x.To, x.Pull)
	case spread.PullBody:
		return n.sendTo(x.To, x.Pull)
	case spread.SendDelta:
		return n.sendTo(x.To, x.Delta)
	case spread.SendBody:
		return n.sendTo(x.To, x.Body)
	}
	return c
}

func (n *Node) sendTo(to teaselstream.VMID, m wire.Message) Send {
	return Send{To: to, Address: n.members.Address(to), Message: m}
}

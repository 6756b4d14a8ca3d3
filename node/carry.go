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

// carry passes commands between the state machines and returns those for the shell.
func (n *Node) carry(now time.Time, cmds []teaselstream.Cmd) []teaselstream.Cmd {
	var out []teaselstream.Cmd
	for _, c := range cmds {
		switch x := c.(type) {
		case member.PeersChanged:
			n.loads, n.peers = true, true
		case member.ServersChanged:
			n.urgent = true
			n.known = n.known && !x.SetChanged
		case member.PeerSuspicion:
			report := health.PeerReport{VM: x.VM, Server: x.Server, Incarnation: x.Incarnation, Cause: health.Cause(x.Cause)}
			out = append(out, n.carry(now, n.monitor.Update(now, report))...)
		case health.SetState:
			out = append(out, n.carry(now, n.judge(now, x))...)
		case spread.Adopt:
			out = append(out, n.adopt(now, x)...)
		case place.PlacementChanged:
			out = append(out, n.placed(now, placement(x), "")...)
		case drain.TellPeers:
			n.urgent = true
			out = append(out, n.carry(now, n.members.Update(now, member.AnnounceLeaving{}))...)
			out = append(out, n.carry(now, n.peersChanged(now))...)
		case drain.SayGoodbye:
			for _, p := range n.members.Peers() {
				if p.Alive {
					out = append(out, n.send(p.VM, wire.Goodbye{VM: n.c.VM, Incarnation: n.c.Incarnation}))
				}
			}
		default:
			out = append(out, n.outward(c))
		}
	}
	return out
}

func (n *Node) adopt(now time.Time, x spread.Adopt) []teaselstream.Cmd {
	n.urgent = true
	var out []teaselstream.Cmd
	if x.Trial {
		n.trial = x.Document
	} else {
		n.document = x.Document
		out = n.carry(now, n.members.Update(now, member.DocumentAdopted{Document: x.Document}))
	}
	push := member.Generations{List: n.holder.Generations(), Push: true}
	return append(out, n.carry(now, n.members.Update(now, push))...)
}

// outward turns commands that address a VM into Send.
func (n *Node) outward(c teaselstream.Cmd) teaselstream.Cmd {
	switch x := c.(type) {
	case member.SendHeartbeat:
		return n.send(x.To, x.Heartbeat)
	case member.SendNotices:
		return n.send(x.To, wire.Notices{Notices: x.Notices})
	case member.SendQuestion:
		return n.send(x.To, x.Question)
	case member.SendReply:
		return n.send(x.To, x.Reply)
	case spread.PullDelta:
		return n.send(x.To, x.Pull)
	case spread.PullBody:
		return n.send(x.To, x.Pull)
	case spread.SendDelta:
		return n.send(x.To, x.Delta)
	case spread.SendBody:
		return n.send(x.To, x.Body)
	}
	return c
}

func (n *Node) send(to teaselstream.VMID, m wire.Message) Send {
	return Send{To: to, Address: n.members.Address(to), Message: m}
}

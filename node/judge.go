package node

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/health"
	"github.com/teaselstream/teaselstream/member"
)

const (
	// judgePeriod is the tick that health.Monitor expects.
	judgePeriod = time.Second
	// testers is the number of VMs that send canaries through each server.
	testers = 3
)

// knowServers tells the monitor of the servers after their set or an incarnation changed.
func (n *Node) knowServers(now time.Time) []teaselstream.Cmd {
	polled := n.members.PolledServers()
	tests := (testers*n.members.ServerCount() + n.live - 1) / max(n.live, 1)
	test := make(map[teaselstream.ServerID]bool, len(polled))
	for _, id := range polled[:min(tests, len(polled))] {
		test[id] = true
	}
	list := n.members.Known()
	known := make([]health.Known, len(list))
	for i, v := range list {
		known[i] = health.Known{Server: v.Server, Incarnation: v.Incarnation, Test: test[v.Name]}
	}
	for id := range n.judged {
		if !n.members.HasServer(id) {
			delete(n.judged, id)
		}
	}
	return n.monitor.Update(now, health.Servers{List: known})
}

// judge keeps the monitor's judgement and reports probation to the other VMs.
func (n *Node) judge(now time.Time, x health.SetState) []teaselstream.Cmd {
	old := n.judged[x.Server]
	// The members give new servers their slow start; the monitor's counts only after probation.
	if x.State == teaselstream.SlowStart && old.State != teaselstream.Probation && old.State != teaselstream.SlowStart {
		x.State, x.Weight = teaselstream.Serving, 1
	}
	n.judged[x.Server] = x
	if old.State != x.State {
		n.urgent = true
	}
	if old.Cause == x.Cause || old.Cause == "" && x.State != teaselstream.Probation {
		return nil
	}
	return n.members.Update(now, member.LocalSuspicion{Server: x.Server, Cause: string(x.Cause)})
}

// merge lowers the views of servers that the monitor judges worse than the members do.
func (n *Node) merge(views map[teaselstream.ServerID]teaselstream.ServerView) {
	for id, j := range n.judged {
		v, ok := views[id]
		if !ok || j.Incarnation != v.Incarnation {
			continue
		}
		v.State, v.Weight, v.Slowdown = max(v.State, j.State), min(v.Weight, j.Weight), j.Slowdown
		views[id] = v
	}
}

package node

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/health"
	"github.com/teaselstream/teaselstream/member"
)

const (
	// healthTickPeriod is the tick period that health.Monitor expects.
	healthTickPeriod = time.Second
	// canaryVMsPerServer is the mean number of VMs that send canary prompts through each server.
	canaryVMsPerServer = 3
)

// updateMonitor gives the health monitor the servers after their set or an incarnation has changed.
func (n *Node) updateMonitor(now time.Time) []teaselstream.Cmd {
	polled := n.members.PolledServers()
	canaryCount := (canaryVMsPerServer*n.members.ServerCount() + n.liveVMs - 1) / max(n.liveVMs, 1)
	canaryServers := make(map[teaselstream.ServerID]bool, len(polled))
	for _, id := range polled[:min(canaryCount, len(polled))] {
		canaryServers[id] = true
	}
	list := n.members.Known()
	known := make([]health.Known, len(list))
	for i, v := range list {
		known[i] = health.Known{Server: v.Server, Incarnation: v.Incarnation, SendCanaries: canaryServers[v.Name]}
	}
	for id := range n.healthStates {
		if !n.members.HasServer(id) {
			delete(n.healthStates, id)
		}
	}
	return n.monitor.Update(now, health.Servers{List: known})
}

// healthChanged records the health monitor's state of a server, and reports a change of its probation to the other VMs.
func (n *Node) healthChanged(now time.Time, x health.SetState) []teaselstream.Cmd {
	old := n.healthStates[x.Server]
	// Members applies the slow start of new servers; the monitor's slow start counts only after probation.
	if x.State == teaselstream.SlowStart && old.State != teaselstream.Probation && old.State != teaselstream.SlowStart {
		x.State, x.Weight = teaselstream.Serving, 1
	}
	n.healthStates[x.Server] = x
	if old.State != x.State {
		n.publishSoon = true
	}
	if old.Cause == x.Cause || old.Cause == "" && x.State != teaselstream.Probation {
		return nil
	}
	return n.members.Update(now, member.LocalSuspicion{Server: x.Server, Cause: string(x.Cause)})
}

// applyHealth combines the views of servers with the monitor's states: the worse state and the lower weight apply.
func (n *Node) applyHealth(views map[teaselstream.ServerID]teaselstream.ServerView) {
	for id, j := range n.healthStates {
		v, ok := views[id]
		if !ok || j.Incarnation != v.Incarnation {
			continue
		}
		v.State, v.Weight, v.Slowdown = max(v.State, j.State), min(v.Weight, j.Weight), j.Slowdown
		views[id] = v
	}
}

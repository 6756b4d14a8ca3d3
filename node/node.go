package node

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/drain"
	"github.com/teaselstream/teaselstream/health"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/member"
	"github.com/teaselstream/teaselstream/place"
	"github.com/teaselstream/teaselstream/spread"
	"github.com/teaselstream/teaselstream/wire"
)

type (
	// PeerMessage is a message from an authenticated VM.
	PeerMessage struct {
		From    teaselstream.VMID
		Message wire.Message
	}

	// LinkOpened reports an authenticated link to a VM, which may have been known only by its address.
	LinkOpened struct {
		Hello   wire.Hello
		Address string
	}

	// Send sends a message to a VM.
	Send struct {
		To      teaselstream.VMID
		Address string
		Message wire.Message
	}

	// Publish makes a new snapshot available to request routing.
	Publish struct{ Snapshot *teaselstream.Snapshot }

	// Config describes the VM on which a Node runs.
	Config struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Address     string
		Incarnation teaselstream.Incarnation
		Environment teaselstream.Environment
		Format      spread.Format
		Rand        teaselstream.Rand
		Recorder    *invar.Recorder
		Faults      invar.Faults
		// DrainDelay is the time for which the load balancer in front of the VMs still sends streams to a stopping VM.
		DrainDelay time.Duration
		// DrainTimeout bounds the wait for work in flight; 0 means that there is no bound.
		DrainTimeout time.Duration
	}

	// Node is the state machine of one VM's control plane.
	Node struct {
		c              Config
		members        *member.Members
		syncer         *spread.Syncer
		drain          *drain.Drain
		monitor        health.Monitor
		healthStates   map[teaselstream.ServerID]health.SetState
		lastHealthTick time.Time
		liveVMs        int
		// peersStale reports that the live VMs changed since the last tick.
		peersStale bool
		// monitorCurrent reports that the health monitor has the current set of servers, which it gets at most once a tick.
		monitorCurrent      bool
		placer              *place.Placer
		placements          map[teaselstream.ModelID]wire.Placement
		lastPlacementRepeat time.Time
		document            *teaselstream.Document
		trial               *teaselstream.Document

		// publishSoon reports a change of state that is to be published after minPublishPeriod.
		publishSoon  bool
		loadsChanged bool
		lastPublish  time.Time
	}
)

const (
	// minPublishPeriod combines changes that come in a burst, such as the first answers of all servers.
	minPublishPeriod = 10 * time.Millisecond
	// loadPublishPeriod bounds how often changed loads are published; changed states are published within a tick.
	loadPublishPeriod = 500 * time.Millisecond
	// publishPeriodPerServer lengthens loadPublishPeriod to 2.7 s at 7,200 servers, whose loads are polled every 32 s.
	publishPeriodPerServer = 300 * time.Microsecond
	// idlePublishPeriod bounds the age of the weights of servers in slow start.
	idlePublishPeriod = time.Second
)

// New returns the Node of a VM that has just started.
func New(c Config) *Node {
	return &Node{
		c: c, healthStates: map[teaselstream.ServerID]health.SetState{}, liveVMs: 1,
		placements: map[teaselstream.ModelID]wire.Placement{},
		placer: place.New(place.Config{
			VM: c.VM, Domain: c.Domain, Environment: c.Environment, Incarnation: c.Incarnation, Rand: c.Rand,
		}),
		members: member.New(member.Config{
			VM: c.VM, Domain: c.Domain, Address: c.Address, Incarnation: c.Incarnation,
			Rand: c.Rand, Recorder: c.Recorder, Faults: c.Faults,
		}),
		syncer: spread.New(spread.Config{
			VM: c.VM, Domain: c.Domain, Environment: c.Environment, Format: c.Format,
			Rand: c.Rand, Recorder: c.Recorder, Faults: c.Faults,
		}),
		drain: drain.New(drain.Config{VM: c.VM, Delay: c.DrainDelay, Timeout: c.DrainTimeout, Recorder: c.Recorder, Faults: c.Faults}),
	}
}

// Update applies one message.
func (n *Node) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	out := n.dispatch(now, m)
	if n.publishDue(now) {
		out = append(out, n.publish(now))
	}
	return out
}

func (n *Node) dispatch(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch x := m.(type) {
	case teaselstream.Tick:
		out := n.handleCommands(now, n.members.Update(now, x))
		if !n.monitorCurrent && n.document != nil {
			n.monitorCurrent = true
			out = append(out, n.handleCommands(now, n.updateMonitor(now))...)
		}
		if n.peersStale {
			out = append(out, n.handleCommands(now, n.peersChanged(now))...)
		}
		out = append(out, n.handleCommands(now, n.syncer.Update(now, x))...)
		out = append(out, n.handleCommands(now, n.placer.Update(now, x))...)
		out = append(out, n.repeatPlacements(now)...)
		if now.Sub(n.lastHealthTick) >= healthTickPeriod {
			n.lastHealthTick = now
			out = append(out, n.handleCommands(now, n.monitor.Update(now, x))...)
		}
		return append(out, n.handleCommands(now, n.drain.Update(now, x))...)
	case PeerMessage:
		return n.peerMessage(now, x)
	case LinkOpened:
		out := n.handleCommands(now, n.members.Update(now, member.VMAuthenticated{
			VM: x.Hello.VM, Domain: x.Hello.Domain, Incarnation: x.Hello.Incarnation, Address: x.Address,
		}))
		return append(out, n.sendPlacements(x.Hello.VM)...)
	case spread.SlotRead, spread.BodyRead:
		return n.handleCommands(now, n.syncer.Update(now, x))
	case member.LoadRead:
		n.loadsChanged = true
		return n.handleCommands(now, n.members.Update(now, x))
	case member.ListRead:
		out := n.handleCommands(now, n.members.Update(now, x))
		// After the first list, or a failed read of it, it is known whether this VM watches the store.
		return append(out, n.handleCommands(now, n.peersChanged(now))...)
	case member.RequestResult:
		return n.handleCommands(now, n.members.Update(now, x))
	case place.Granted, place.KeptAlive, place.KeyRead, place.KeyWritten, place.OrderSent, place.OrdersRead:
		return n.handleCommands(now, n.placer.Update(now, x))
	case health.Latency, health.CanaryAnswer:
		return n.handleCommands(now, n.monitor.Update(now, x))
	case drain.Stop, drain.InFlight:
		return n.handleCommands(now, n.drain.Update(now, x))
	}
	return nil
}

// peerMessage passes a message of another VM to the state machine that it concerns.
func (n *Node) peerMessage(now time.Time, x PeerMessage) []teaselstream.Cmd {
	var m teaselstream.Msg
	switch b := x.Message.(type) {
	case wire.Heartbeat:
		if b.VM != x.From {
			return nil
		}
		out := n.handleCommands(now, n.members.Update(now, member.HeartbeatReceived{Heartbeat: b}))
		for _, g := range b.Generations {
			out = append(out, n.handleCommands(now, n.syncer.Update(now, spread.PeerGeneration{From: x.From, Stated: g}))...)
		}
		return append(out, n.answerOutdatedPeer(now, x.From, b.Generations)...)
	case wire.Notices:
		var out []teaselstream.Cmd
		for _, e := range b.Notices {
			out = append(out, n.handleCommands(now, n.members.Update(now, member.NoticeReceived{From: x.From, Notice: e}))...)
		}
		return out
	case wire.Question:
		m = member.QuestionReceived{From: x.From, Question: b}
	case wire.Reply:
		m = member.ReplyReceived{From: x.From, Reply: b}
	case wire.Goodbye:
		if b.VM != x.From {
			return nil
		}
		m = member.GoodbyeReceived{Goodbye: b}
	case wire.Placement:
		return n.placementReceived(now, b, x.From)
	case wire.DeltaPull:
		return n.handleCommands(now, n.syncer.Update(now, spread.PullReceived{From: x.From, Pull: b}))
	case wire.Delta:
		return n.handleCommands(now, n.syncer.Update(now, spread.DeltaReceived{From: x.From, Delta: b}))
	case wire.BodyPull:
		return n.handleCommands(now, n.syncer.Update(now, spread.BodyPullReceived{From: x.From, Pull: b}))
	case wire.Body:
		return n.handleCommands(now, n.syncer.Update(now, spread.BodyReceived{From: x.From, Body: b}))
	default:
		return nil
	}
	return n.handleCommands(now, n.members.Update(now, m))
}

// answerOutdatedPeer sends a heartbeat with this VM's generations to a peer that has older ones, because the
// peer does not necessarily receive heartbeats from the VMs to which it sends them.
func (n *Node) answerOutdatedPeer(now time.Time, to teaselstream.VMID, theirs []wire.SlotGeneration) []teaselstream.Cmd {
	if !n.syncer.AheadOf(theirs) {
		return nil
	}
	return n.handleCommands(now, n.members.Update(now, member.Generations{List: n.syncer.Generations(), PushTo: to}))
}

func (n *Node) peersChanged(now time.Time) []teaselstream.Cmd {
	n.peersStale = false
	active := n.members.ActiveVMs()
	n.liveVMs = len(active)
	liveVMs := make([]spread.Peer, len(active))
	for i, p := range active {
		liveVMs[i] = spread.Peer{VM: p.VM, Domain: p.Domain}
	}
	return n.syncer.Update(now, spread.PeersChanged{Live: liveVMs})
}

// publishDue reports whether a new snapshot is to be published now.
func (n *Node) publishDue(now time.Time) bool {
	since := now.Sub(n.lastPublish)
	// A snapshot copies the view of every server, so large documents publish loads less often.
	slower := time.Duration(n.members.ServerCount()) * publishPeriodPerServer
	return n.document != nil && (n.publishSoon && since >= minPublishPeriod || n.loadsChanged && since >= loadPublishPeriod+slower || since >= idlePublishPeriod+slower)
}

func (n *Node) publish(now time.Time) teaselstream.Cmd {
	n.publishSoon, n.loadsChanged, n.lastPublish = false, false, now
	s := &teaselstream.Snapshot{
		At: now, VM: n.c.VM, Domain: n.c.Domain, Document: n.document, Trial: n.trial,
		Servers: n.members.Views(now), Peers: n.members.Peers(), LiveVMs: 1, Stopping: n.drain.Stopping(),
	}
	n.applyHealth(s.Servers)
	n.applyPlacements(s.Servers)
	n.updatePlacer(now, s)
	if n.trial != nil && n.trial.Digest == n.document.Digest {
		s.Trial = nil
	}
	for _, p := range s.Peers {
		if p.Alive {
			s.LiveVMs++
		}
	}
	return Publish{Snapshot: s}
}

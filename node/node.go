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

	// LinkOpened reports an authenticated link, also to a VM that is only known by its address.
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

	// Publish gives traffic a new snapshot.
	Publish struct{ Snapshot *teaselstream.Snapshot }

	// Config describes one VM.
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
		// DrainDelay is the time for which the balancer still sends streams to a stopping VM.
		DrainDelay time.Duration
		// DrainTimeout bounds the wait for work in flight; 0 means that there is no bound.
		DrainTimeout time.Duration
	}

	// Node is the state machine of one VM's control side.
	Node struct {
		c        Config
		members  *member.Members
		holder   *spread.Holder
		drain    *drain.Drain
		monitor  health.Monitor
		judged   map[teaselstream.ServerID]health.SetState
		judgedAt time.Time
		live     int
		// peers reports that the live VMs changed since the last tick.
		peers bool
		// known reports that the monitor knows the set of servers; it is told once a tick.
		known      bool
		placer     *place.Placer
		placements map[teaselstream.ModelID]wire.Placement
		repeated   time.Time
		document   *teaselstream.Document
		trial      *teaselstream.Document

		urgent    bool
		loads     bool
		published time.Time
	}
)

const (
	// urgentPeriod joins changes that come in a burst, such as the first answers of all servers.
	urgentPeriod = 10 * time.Millisecond
	// loadPeriod bounds how often changed loads are published; changed states are published within a tick.
	loadPeriod = 500 * time.Millisecond
	// periodPerServer gives 2.7 s at 7,200 servers, whose loads are polled every 32 s.
	periodPerServer = 300 * time.Microsecond
	// idlePeriod republishes the weights of slow starts.
	idlePeriod = time.Second
)

// New returns the node of a VM that has just started.
func New(c Config) *Node {
	return &Node{
		c: c, judged: map[teaselstream.ServerID]health.SetState{}, live: 1,
		placements: map[teaselstream.ModelID]wire.Placement{},
		placer: place.New(place.Config{
			VM: c.VM, Domain: c.Domain, Environment: c.Environment, Incarnation: c.Incarnation, Rand: c.Rand,
		}),
		members: member.New(member.Config{
			VM: c.VM, Domain: c.Domain, Address: c.Address, Incarnation: c.Incarnation,
			Rand: c.Rand, Recorder: c.Recorder, Faults: c.Faults,
		}),
		holder: spread.New(spread.Config{
			VM: c.VM, Domain: c.Domain, Environment: c.Environment, Format: c.Format,
			Rand: c.Rand, Recorder: c.Recorder, Faults: c.Faults,
		}),
		drain: drain.New(drain.Config{VM: c.VM, Delay: c.DrainDelay, Timeout: c.DrainTimeout, Recorder: c.Recorder, Faults: c.Faults}),
	}
}

// Update applies one message.
func (n *Node) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	out := n.dispatch(now, m)
	if n.due(now) {
		out = append(out, n.publish(now))
	}
	return out
}

func (n *Node) dispatch(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch x := m.(type) {
	case teaselstream.Tick:
		out := n.carry(now, n.members.Update(now, x))
		if !n.known && n.document != nil {
			n.known = true
			out = append(out, n.carry(now, n.knowServers(now))...)
		}
		if n.peers {
			out = append(out, n.carry(now, n.peersChanged(now))...)
		}
		out = append(out, n.carry(now, n.holder.Update(now, x))...)
		out = append(out, n.carry(now, n.placer.Update(now, x))...)
		out = append(out, n.repeatPlacements(now)...)
		if now.Sub(n.judgedAt) >= judgePeriod {
			n.judgedAt = now
			out = append(out, n.carry(now, n.monitor.Update(now, x))...)
		}
		return append(out, n.carry(now, n.drain.Update(now, x))...)
	case PeerMessage:
		return n.peerMessage(now, x)
	case LinkOpened:
		out := n.carry(now, n.members.Update(now, member.VMFound{
			VM: x.Hello.VM, Domain: x.Hello.Domain, Incarnation: x.Hello.Incarnation, Address: x.Address,
		}))
		return append(out, n.sendPlacements(x.Hello.VM)...)
	case spread.SlotRead, spread.BodyRead:
		return n.carry(now, n.holder.Update(now, x))
	case member.LoadRead:
		n.loads = true
		return n.carry(now, n.members.Update(now, x))
	case member.ListRead:
		out := n.carry(now, n.members.Update(now, x))
		// The first list, or its absence, decides whether this VM watches the store.
		return append(out, n.carry(now, n.peersChanged(now))...)
	case member.UseResult:
		return n.carry(now, n.members.Update(now, x))
	case place.Granted, place.KeptAlive, place.ReadDone, place.Written, place.Ordered, place.OrdersRead:
		return n.carry(now, n.placer.Update(now, x))
	case health.Latency, health.CanaryAnswer:
		return n.carry(now, n.monitor.Update(now, x))
	case drain.Stop, drain.InFlight:
		return n.carry(now, n.drain.Update(now, x))
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
		out := n.carry(now, n.members.Update(now, member.HeartbeatReceived{Heartbeat: b}))
		for _, g := range b.Generations {
			out = append(out, n.carry(now, n.holder.Update(now, spread.PeerDigest{From: x.From, Of: g}))...)
		}
		return append(out, n.answerBehind(now, x.From, b.Generations)...)
	case wire.Notices:
		var out []teaselstream.Cmd
		for _, e := range b.Notices {
			out = append(out, n.carry(now, n.members.Update(now, member.NoticeReceived{From: x.From, Notice: e}))...)
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
		return n.placed(now, b, x.From)
	case wire.DeltaPull:
		return n.carry(now, n.holder.Update(now, spread.PullReceived{From: x.From, Pull: b}))
	case wire.Delta:
		return n.carry(now, n.holder.Update(now, spread.DeltaReceived{From: x.From, Delta: b}))
	case wire.BodyPull:
		return n.carry(now, n.holder.Update(now, spread.BodyPullReceived{From: x.From, Pull: b}))
	case wire.Body:
		return n.carry(now, n.holder.Update(now, spread.BodyReceived{From: x.From, Body: b}))
	default:
		return nil
	}
	return n.carry(now, n.members.Update(now, m))
}

// answerBehind sends this VM's generations to a peer that is behind; heartbeats flow one way on the ring.
func (n *Node) answerBehind(now time.Time, to teaselstream.VMID, theirs []wire.SlotGeneration) []teaselstream.Cmd {
	if !n.holder.Ahead(theirs) {
		return nil
	}
	return n.carry(now, n.members.Update(now, member.Generations{Of: n.holder.Generations(), PushTo: to}))
}

func (n *Node) peersChanged(now time.Time) []teaselstream.Cmd {
	n.peers = false
	steady := n.members.Steady()
	n.live = len(steady)
	live := make([]spread.Peer, len(steady))
	for i, p := range steady {
		live[i] = spread.Peer{VM: p.VM, Domain: p.Domain}
	}
	return n.holder.Update(now, spread.PeersChanged{Live: live})
}

func (n *Node) due(now time.Time) bool {
	since := now.Sub(n.published)
	// A snapshot copies the view of every server, so large documents publish loads less often.
	slower := time.Duration(n.members.ServerCount()) * periodPerServer
	return n.document != nil && (n.urgent && since >= urgentPeriod || n.loads && since >= loadPeriod+slower || since >= idlePeriod+slower)
}

func (n *Node) publish(now time.Time) teaselstream.Cmd {
	n.urgent, n.loads, n.published = false, false, now
	s := &teaselstream.Snapshot{
		At: now, VM: n.c.VM, Domain: n.c.Domain, Document: n.document, Trial: n.trial,
		Servers: n.members.Views(now), Peers: n.members.Peers(), LiveVMs: 1, Stopping: n.drain.Stopping(),
	}
	n.merge(s.Servers)
	n.applyPlacements(s.Servers)
	n.viewForPlacer(now, s)
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

package member

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/wire"
)

type (
	// Config describes the VM that a Members serves.
	Config struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Address     string
		Incarnation teaselstream.Incarnation
		Rand        teaselstream.Rand
		Recorder    *invar.Recorder
		Faults      invar.Faults
	}

	// Members is the state machine of VMs and backend servers as one VM knows them.
	Members struct {
		c       Config
		vms     map[teaselstream.VMID]*vm
		servers map[teaselstream.ServerID]*server
		groups  map[string][]teaselstream.ServerID
		// troubled holds the dead and suspect servers, so that a tick does not visit all of them.
		troubled map[teaselstream.ServerID]*server
		document *teaselstream.Document

		// order holds the names of vms in order.
		order    []teaselstream.VMID
		targets  []teaselstream.VMID
		stale    bool
		sequence teaselstream.Sequence
		of       []wire.SlotGeneration
		recent   []recent
		stopping bool

		lastTick time.Time
		nextBeat time.Time
		nextSync time.Time
		list     list
		poll     poller
	}

	recent struct {
		notice wire.Notice
		seen   time.Time
		until  time.Time
	}
)

const (
	beatPeriod   = time.Second
	suspectAfter = 2 * time.Second
	deadAfter    = 3 * time.Second
	// askPeriod leaves a question 1 s for its reply before the VM is dead.
	askPeriod = time.Second
	// pauseLimit is the gap between ticks above which this VM itself was paused.
	// Silence during its own pause says nothing about its peers.
	pauseLimit = time.Second
	// repeatFor makes each notice travel on three heartbeats besides its own frame, in case that was lost.
	repeatFor   = 3 * time.Second
	recentLimit = 16
	// syncPeriod repairs what a VM missed while it was cut off.
	syncPeriod = 10 * time.Second
	syncLimit  = 64
)

// New returns a Members that knows only its own VM.
func New(c Config) *Members {
	return &Members{
		c: c, vms: map[teaselstream.VMID]*vm{}, servers: map[teaselstream.ServerID]*server{},
		groups: map[string][]teaselstream.ServerID{}, troubled: map[teaselstream.ServerID]*server{}, stale: true,
	}
}

// Update applies one message.
func (s *Members) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch x := m.(type) {
	case teaselstream.Tick:
		return s.tick(now)
	case DocumentAdopted:
		return s.adopt(now, x.Document)
	case ListRead:
		return s.listRead(now, x)
	case HeartbeatReceived:
		return s.heartbeat(now, x.Heartbeat)
	case VMFound:
		return s.found(now, x)
	case NoticeReceived:
		return s.notice(now, x)
	case QuestionReceived:
		return s.question(now, x)
	case ReplyReceived:
		return s.reply(now, x)
	case GoodbyeReceived:
		return s.vmEvidence(now, wire.Notice{
			Kind: wire.NoticeDead, VM: true, Subject: string(x.Goodbye.VM), Source: s.c.VM,
			Incarnation: x.Goodbye.Incarnation, Sequence: lastSequence,
		}, "")
	case UseResult:
		return s.useResult(now, x)
	case LoadRead:
		return s.loadRead(now, x)
	case Suspicion:
		if v := s.servers[x.Server]; v != nil {
			n := s.aboutServer(wire.NoticeSuspect, v)
			n.Cause = x.Cause
			return s.forward(now, n, "")
		}
	case Stopping:
		s.stopping = true
		return s.forward(now, s.aboutSelf(wire.NoticeLeaving), "")
	case Generations:
		s.of = x.Of
		switch {
		case x.Push:
			return s.beat(now)
		case x.PushTo != "":
			s.sequence++
			return []teaselstream.Cmd{SendHeartbeat{To: x.PushTo, Heartbeat: s.ownHeartbeat()}}
		}
	}
	return nil
}

func (s *Members) tick(now time.Time) []teaselstream.Cmd {
	if gap := now.Sub(s.lastTick); !s.lastTick.IsZero() && gap > pauseLimit {
		s.shift(gap)
	}
	s.lastTick = now
	out := s.checkVMs(now)
	if !now.Before(s.nextBeat) {
		s.nextBeat = now.Add(beatPeriod)
		out = append(out, s.beat(now)...)
		out = append(out, s.greetDead()...)
	}
	if !now.Before(s.nextSync) {
		s.nextSync = now.Add(syncPeriod/2 + time.Duration(s.c.Rand.Float64()*float64(syncPeriod)))
		if t := s.neighbours(); len(t) > 0 {
			out = append(out, s.sync(now, t[s.c.Rand.IntN(len(t))])...)
		}
	}
	out = append(out, s.list.tick(now)...)
	out = append(out, s.checkServers(now)...)
	return append(out, s.pollTick(now)...)
}

// shift moves the timers of silence by the time for which this VM was paused.
func (s *Members) shift(gap time.Duration) {
	for _, v := range s.vms {
		v.heard = v.heard.Add(gap)
	}
	for _, v := range s.servers {
		if !v.firstFailure.IsZero() {
			v.firstFailure = v.firstFailure.Add(gap)
		}
	}
}

func (s *Members) ownHeartbeat() wire.Heartbeat {
	return wire.Heartbeat{
		VM: s.c.VM, Domain: s.c.Domain, Address: s.c.Address, Incarnation: s.c.Incarnation,
		Sequence: s.sequence, Generations: s.of,
	}
}

func (s *Members) aboutSelf(k wire.NoticeKind) wire.Notice {
	return wire.Notice{
		Kind: k, VM: true, Subject: string(s.c.VM), Source: s.c.VM, Incarnation: s.c.Incarnation,
		Sequence: s.sequence, Domain: s.c.Domain, Address: s.c.Address,
	}
}

package member

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/wire"
)

type (
	// Config describes the VM on which a Members runs.
	Config struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Address     string
		Incarnation teaselstream.Incarnation
		Rand        teaselstream.Rand
		Recorder    *invar.Recorder
		Faults      invar.Faults
	}

	// Members is the state machine that tracks the other VMs and the backend servers on one VM.
	Members struct {
		config  Config
		vms     map[teaselstream.VMID]*vm
		servers map[teaselstream.ServerID]*server
		// groups holds the servers of each model or plain service, by modelGroup.
		groups map[string][]teaselstream.ServerID
		// unhealthy holds the dead, suspect and unconfirmed servers, so that a tick does not visit all servers.
		unhealthy map[teaselstream.ServerID]*server
		document  *teaselstream.Document

		// vmNames holds the keys of vms, sorted.
		vmNames          []teaselstream.VMID
		heartbeatTargets []teaselstream.VMID
		// ringStale means that heartbeatTargets must be computed again.
		ringStale   bool
		sequence    teaselstream.Sequence
		generations []wire.SlotGeneration
		recent      []recent
		stopping    bool

		lastTick      time.Time
		nextHeartbeat time.Time
		nextSync      time.Time
		list          list
		poll          poller
	}

	// recent is a notice that is repeated on heartbeats until a point in time.
	recent struct {
		notice wire.Notice
		seen   time.Time
		until  time.Time
	}
)

const (
	heartbeatPeriod = time.Second
	vmSuspectAfter  = 2 * time.Second
	vmDeadAfter     = 3 * time.Second
	// questionPeriod is the least time between two questions about a silent VM. The first question leaves 1 s for
	// the reply before the VM counts as dead.
	questionPeriod = time.Second
	// pauseLimit is the gap between ticks above which this VM itself was paused.
	// Silence during its own pause is no evidence about its peers.
	pauseLimit = time.Second
	// noticeRepeatTime repeats each notice on three heartbeats, in case the frame that carried it first was lost.
	noticeRepeatTime = 3 * time.Second
	maxRecentNotices = 16
	// syncPeriod is the mean time between two calls of syncWith, which repeats notices for VMs that were cut off.
	syncPeriod     = 10 * time.Second
	maxSyncNotices = 64
)

// New returns a Members without other VMs or servers.
func New(config Config) *Members {
	return &Members{
		config: config, vms: map[teaselstream.VMID]*vm{}, servers: map[teaselstream.ServerID]*server{},
		groups: map[string][]teaselstream.ServerID{}, unhealthy: map[teaselstream.ServerID]*server{}, ringStale: true,
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
		return s.applyHeartbeat(now, x.Heartbeat)
	case VMAuthenticated:
		return s.vmAuthenticated(now, x)
	case NoticeReceived:
		return s.applyNotice(now, x)
	case QuestionReceived:
		return s.answerQuestion(now, x)
	case ReplyReceived:
		return s.applyReply(now, x)
	case GoodbyeReceived:
		return s.applyVMNotice(now, wire.Notice{
			Kind: wire.NoticeDead, VM: true, Subject: string(x.Goodbye.VM), Source: s.config.VM,
			Incarnation: x.Goodbye.Incarnation, Sequence: maxSequence,
		}, "")
	case RequestResult:
		return s.requestResult(now, x)
	case LoadRead:
		return s.loadRead(now, x)
	case LocalSuspicion:
		if v := s.servers[x.Server]; v != nil {
			n := s.serverNotice(wire.NoticeSuspect, v)
			n.Cause = x.Cause
			return s.gossip(now, n, "")
		}
	case SetLeaving:
		s.stopping = true
		return s.gossip(now, s.selfNotice(wire.NoticeLeaving), "")
	case Generations:
		s.generations = x.List
		switch {
		case x.Push:
			return s.sendHeartbeats(now)
		case x.PushTo != "":
			s.sequence++
			return []teaselstream.Cmd{SendHeartbeat{To: x.PushTo, Heartbeat: s.ownHeartbeat()}}
		}
	}
	return nil
}

func (s *Members) tick(now time.Time) []teaselstream.Cmd {
	if gap := now.Sub(s.lastTick); !s.lastTick.IsZero() && gap > pauseLimit {
		s.extendTimers(gap)
	}
	s.lastTick = now
	out := s.checkVMs(now)
	if !now.Before(s.nextHeartbeat) {
		s.nextHeartbeat = now.Add(heartbeatPeriod)
		out = append(out, s.sendHeartbeats(now)...)
		out = append(out, s.pingDeadVM()...)
	}
	if !now.Before(s.nextSync) {
		s.nextSync = now.Add(syncPeriod/2 + time.Duration(s.config.Rand.Float64()*float64(syncPeriod)))
		if t := s.neighbours(); len(t) > 0 {
			out = append(out, s.syncWith(now, t[s.config.Rand.IntN(len(t))])...)
		}
	}
	out = append(out, s.list.tick(now)...)
	out = append(out, s.checkServers(now)...)
	return append(out, s.pollTick(now)...)
}

// extendTimers moves the times of last contact and first failure by the time for which this VM was paused.
func (s *Members) extendTimers(gap time.Duration) {
	for _, v := range s.vms {
		v.lastHeard = v.lastHeard.Add(gap)
	}
	for _, v := range s.servers {
		if !v.firstFailure.IsZero() {
			v.firstFailure = v.firstFailure.Add(gap)
		}
	}
}

func (s *Members) ownHeartbeat() wire.Heartbeat {
	return wire.Heartbeat{
		VM: s.config.VM, Domain: s.config.Domain, Address: s.config.Address, Incarnation: s.config.Incarnation,
		Sequence: s.sequence, Generations: s.generations,
	}
}

func (s *Members) selfNotice(k wire.NoticeKind) wire.Notice {
	return wire.Notice{
		Kind: k, VM: true, Subject: string(s.config.VM), Source: s.config.VM, Incarnation: s.config.Incarnation,
		Sequence: s.sequence, Domain: s.config.Domain, Address: s.config.Address,
	}
}

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/blame"
	"github.com/teaselstream/teaselstream/vtime"
)

type (
	// crashFleet simulates streams over servers that crash because of content and for other reasons. Each VM has its own
	// blame tracker.
	crashFleet struct {
		clock    *vtime.Queue
		random   *rand.Rand
		trackers []*blame.Tracker
		stages   [][]*crashServer
		streams  map[teaselstream.RequestID]*crashStream
		sent     int
		// tracked is false for the baseline without trackers.
		tracked bool
		// backoff returns the wait before the n-th repeated request for a start, given the wait that the tracker requests.
		backoff func(n int, requested time.Duration) time.Duration

		// killed counts the servers that each content crashed. innocent counts all innocent requests, refused and failed those
		// that the tracker refused and that ran out of attempts. delays holds the times in seconds until innocent requests
		// restarted after a loss.
		killed   map[blame.Fingerprint]int
		innocent int
		refused  int
		failed   int
		delays   []float64
	}

	crashServer struct {
		name        teaselstream.ServerID
		domain      teaselstream.DomainID
		incarnation teaselstream.Incarnation
		dead        bool
		streams     []*crashStream
	}

	crashStream struct {
		id      teaselstream.RequestID
		content blame.Fingerprint
		vm      int
		chain   []*crashServer
		// lastChain holds the servers of the last attempt, which need no permit.
		lastChain []*crashServer
		tokens    int
		attempts  int
		waits     int
		// generation increases when the stream leaves its chain, which invalidates pending events.
		generation int
		// alone is set if the tracker lets the stream run only apart from others.
		alone  bool
		lostAt time.Time
		// crashAt returns the token at which the content crashes its first server, or -1 for innocent content.
		crashAt func() int
		resends int
	}
)

const (
	crashTokens      = 50
	crashTokenPeriod = 40 * time.Millisecond
	crashPrefill     = 300 * time.Millisecond
	crashRestart     = 10 * time.Second
	crashAttempts    = 4
	vmDelay          = 2 * time.Millisecond
)

func newCrashFleet(seed uint64, tracked bool, backoff func(int, time.Duration) time.Duration) *crashFleet {
	f := &crashFleet{
		clock: vtime.NewQueue(epoch), random: rand.New(rand.NewPCG(seed, 21)), tracked: tracked, backoff: backoff,
		streams: map[teaselstream.RequestID]*crashStream{}, killed: map[blame.Fingerprint]int{},
	}
	var vms []teaselstream.VMID
	for i := range liveVMs {
		vms = append(vms, teaselstream.VMID(fmt.Sprint(i)))
		f.trackers = append(f.trackers, &blame.Tracker{})
	}
	for i := range f.trackers {
		f.update(i, blame.Peers{Self: vms[i], Live: vms})
	}
	for i := range 3 {
		var stage []*crashServer
		for j := range 10 {
			stage = append(stage, &crashServer{name: teaselstream.ServerID(fmt.Sprintf("s%d-%d", i, j)), domain: teaselstream.DomainID(fmt.Sprint(j % 3))})
		}
		f.stages = append(f.stages, stage)
	}
	f.tick()
	return f
}

func (f *crashFleet) tick() {
	for i := range f.trackers {
		f.update(i, blame.Tick{})
	}
	f.clock.After(time.Second, f.tick)
}

// update passes a message to a VM's tracker and executes its commands; messages between VMs take vmDelay.
func (f *crashFleet) update(vm int, m teaselstream.Msg) {
	for _, c := range f.trackers[vm].Update(f.clock.Now(), m) {
		switch c := c.(type) {
		case blame.Run:
			f.startAttempt(f.streams[c.Request], c.Alone)
		case blame.Wait:
			s := f.streams[c.Request]
			s.waits++
			f.clock.After(f.backoff(s.waits, c.RetryAfter), func() { f.requestStart(s, c.Busy) })
		case blame.Refuse:
			f.finish(f.streams[c.Request], true)
		case blame.AskPermit:
			f.send(string(c.To), c)
		case blame.AnswerPermit:
			f.send(string(c.To), c)
		case blame.ReleasePermit:
			f.send(string(c.To), c)
		default:
			for i := range f.trackers {
				if i != vm {
					f.send(fmt.Sprint(i), c)
				}
			}
		}
	}
}

func (f *crashFleet) send(to string, c teaselstream.Cmd) {
	f.clock.After(vmDelay, func() {
		var vm int
		_, _ = fmt.Sscan(to, &vm)
		f.update(vm, c)
	})
}

// arrive starts a request with the given content at a random VM.
func (f *crashFleet) arrive(content blame.Fingerprint, crashAt func() int, resends int) {
	f.sent++
	s := &crashStream{id: teaselstream.RequestID(fmt.Sprint(f.sent)), content: content, vm: f.random.IntN(liveVMs), crashAt: crashAt, resends: resends}
	s.chain = make([]*crashServer, len(f.stages))
	f.streams[s.id] = s
	f.requestStart(s, nil)
}

// requestStart fills missing stages of the chain with live servers that are not busy and asks the tracker for permission
// to start.
func (f *crashFleet) requestStart(s *crashStream, busy []teaselstream.ServerID) {
	var fresh []teaselstream.ServerID
	for i, stage := range f.stages {
		if x := s.chain[i]; x != nil && !x.dead && !slices.Contains(busy, x.name) {
			if !slices.Contains(s.lastChain, x) {
				fresh = append(fresh, x.name)
			}
			continue
		}
		live := slices.DeleteFunc(slices.Clone(stage), func(x *crashServer) bool { return x.dead || slices.Contains(busy, x.name) })
		if len(live) == 0 {
			f.clock.After(250*time.Millisecond, func() { f.requestStart(s, nil) })
			return
		}
		s.chain[i] = live[f.random.IntN(len(live))]
		fresh = append(fresh, s.chain[i].name)
	}
	if !f.tracked {
		f.startAttempt(s, false)
		return
	}
	f.update(s.vm, blame.CheckStart{Request: s.id, Fingerprint: s.content, Servers: fresh})
}

func (f *crashFleet) startAttempt(s *crashStream, alone bool) {
	if slices.ContainsFunc(s.chain, func(x *crashServer) bool { return x.dead }) {
		f.requestStart(s, nil)
		return
	}
	s.alone = alone
	s.attempts++
	s.lastChain = slices.Clone(s.chain)
	if !s.lostAt.IsZero() && s.crashAt() < 0 {
		f.delays = append(f.delays, f.clock.Now().Sub(s.lostAt).Seconds())
	}
	s.lostAt = time.Time{}
	for _, x := range s.chain {
		x.streams = append(x.streams, s)
	}
	e := s.generation
	crashAt := s.crashAt()
	f.clock.After(crashPrefill, func() { f.nextToken(s, e, crashAt) })
}

func (f *crashFleet) nextToken(s *crashStream, e, crashAt int) {
	if s.generation != e {
		return
	}
	if crashAt >= 0 && s.tokens >= crashAt {
		f.killed[s.content]++
		f.crash(s.chain[0])
		return
	}
	s.tokens++
	if s.alone {
		f.update(s.vm, blame.Progress{Request: s.id, Tokens: s.tokens})
	}
	if s.tokens >= crashTokens {
		f.update(s.vm, blame.Completed{Request: s.id})
		f.finish(s, false)
		return
	}
	f.clock.After(crashTokenPeriod, func() { f.nextToken(s, e, crashAt) })
}

// crash kills a server until it restarts; its streams notice within 50 ms.
func (f *crashFleet) crash(x *crashServer) {
	if x.dead {
		return
	}
	x.dead = true
	incarnation := x.incarnation
	for _, s := range slices.Clone(x.streams) {
		f.detach(s)
		f.clock.After(time.Duration(5+f.random.IntN(45))*time.Millisecond, func() { f.serverLost(s, x, incarnation) })
	}
	f.clock.After(crashRestart, func() { x.dead, x.incarnation = false, x.incarnation+1 })
}

func (f *crashFleet) detach(s *crashStream) {
	s.generation++
	for _, x := range s.chain {
		if x != nil {
			x.streams = slices.DeleteFunc(x.streams, func(o *crashStream) bool { return o == s })
		}
	}
}

func (f *crashFleet) serverLost(s *crashStream, x *crashServer, incarnation teaselstream.Incarnation) {
	s.lostAt = f.clock.Now()
	f.update(s.vm, blame.Lost{Request: s.id, Server: x.name, Incarnation: incarnation, Domain: x.domain, Tokens: s.tokens})
	if s.attempts >= crashAttempts {
		f.update(s.vm, blame.Ended{Request: s.id})
		if s.crashAt() < 0 {
			f.failed++
		}
		f.finish(s, false)
		return
	}
	f.requestStart(s, nil)
}

// finish removes a stream. Callers of crashing content resend it, each time to a random VM.
func (f *crashFleet) finish(s *crashStream, refused bool) {
	f.detach(s)
	delete(f.streams, s.id)
	if s.crashAt() < 0 {
		f.innocent++
		if refused {
			f.refused++
		}
		return
	}
	if s.resends > 0 {
		f.clock.After(time.Duration(200+f.random.IntN(3000))*time.Millisecond, func() { f.arrive(s.content, s.crashAt, s.resends-1) })
	}
}

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
	// crashFleet runs streams over servers that crash by content and for other reasons, with one ledger per VM.
	crashFleet struct {
		clock   *vtime.Queue
		random  *rand.Rand
		ledgers []*blame.Tracker
		stages  [][]*crashServer
		streams map[teaselstream.RequestID]*crashStream
		sent    int
		// judged is false for the baseline without ledgers; backoff gives the wait before the n-th repeated question, given what the ledger asks for.
		judged  bool
		backoff func(n int, asked time.Duration) time.Duration

		killed   map[blame.Fingerprint]int
		innocent int
		refused  int
		failed   int
		delays   []float64
	}

	crashServer struct {
		name    teaselstream.ServerID
		domain  teaselstream.DomainID
		run     teaselstream.Incarnation
		dead    bool
		streams []*crashStream
	}

	crashStream struct {
		id      teaselstream.RequestID
		content blame.Fingerprint
		vm      int
		chain   []*crashServer
		// ran holds the servers of the last attempt, for which no permit is needed.
		ran      []*crashServer
		tokens   int
		attempts int
		waits    int
		epoch    int
		alone    bool
		lostAt   time.Time
		// crashAt is the token at which the content crashes its first server, -1 for innocent content.
		crashAt func() int
		resends int
	}
)

const (
	crashTokens   = 50
	crashStep     = 40 * time.Millisecond
	crashPrefill  = 300 * time.Millisecond
	crashRestart  = 10 * time.Second
	crashAttempts = 4
	vmDelay       = 2 * time.Millisecond
)

func newCrashFleet(seed uint64, judged bool, backoff func(int, time.Duration) time.Duration) *crashFleet {
	f := &crashFleet{
		clock: vtime.NewQueue(epoch), random: rand.New(rand.NewPCG(seed, 21)), judged: judged, backoff: backoff,
		streams: map[teaselstream.RequestID]*crashStream{}, killed: map[blame.Fingerprint]int{},
	}
	var vms []teaselstream.VMID
	for i := range liveVMs {
		vms = append(vms, teaselstream.VMID(fmt.Sprint(i)))
		f.ledgers = append(f.ledgers, &blame.Tracker{})
	}
	for i := range f.ledgers {
		f.tell(i, blame.Peers{Self: vms[i], Live: vms})
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
	for i := range f.ledgers {
		f.tell(i, blame.Tick{})
	}
	f.clock.After(time.Second, f.tick)
}

// tell updates a VM's ledger and carries out its commands; messages between VMs take vmDelay.
func (f *crashFleet) tell(vm int, m teaselstream.Msg) {
	for _, c := range f.ledgers[vm].Update(f.clock.Now(), m) {
		switch c := c.(type) {
		case blame.Run:
			f.begin(f.streams[c.Request], c.Alone)
		case blame.Wait:
			s := f.streams[c.Request]
			s.waits++
			f.clock.After(f.backoff(s.waits, c.RetryAfter), func() { f.ask(s, c.Busy) })
		case blame.Refuse:
			f.end(f.streams[c.Request], true)
		case blame.AskPermit:
			f.send(string(c.To), c)
		case blame.AnswerPermit:
			f.send(string(c.To), c)
		case blame.ReleasePermit:
			f.send(string(c.To), c)
		default:
			for i := range f.ledgers {
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
		f.tell(vm, c)
	})
}

// arrive starts a request with the given content at a random VM.
func (f *crashFleet) arrive(content blame.Fingerprint, crashAt func() int, resends int) {
	f.sent++
	s := &crashStream{id: teaselstream.RequestID(fmt.Sprint(f.sent)), content: content, vm: f.random.IntN(liveVMs), crashAt: crashAt, resends: resends}
	s.chain = make([]*crashServer, len(f.stages))
	f.streams[s.id] = s
	f.ask(s, nil)
}

// ask fills the missing stages with live servers and asks the ledger.
func (f *crashFleet) ask(s *crashStream, busy []teaselstream.ServerID) {
	var fresh []teaselstream.ServerID
	for i, stage := range f.stages {
		if x := s.chain[i]; x != nil && !x.dead && !slices.Contains(busy, x.name) {
			if !slices.Contains(s.ran, x) {
				fresh = append(fresh, x.name)
			}
			continue
		}
		live := slices.DeleteFunc(slices.Clone(stage), func(x *crashServer) bool { return x.dead || slices.Contains(busy, x.name) })
		if len(live) == 0 {
			f.clock.After(250*time.Millisecond, func() { f.ask(s, nil) })
			return
		}
		s.chain[i] = live[f.random.IntN(len(live))]
		fresh = append(fresh, s.chain[i].name)
	}
	if !f.judged {
		f.begin(s, false)
		return
	}
	f.tell(s.vm, blame.CheckStart{Request: s.id, Fingerprint: s.content, Servers: fresh})
}

func (f *crashFleet) begin(s *crashStream, alone bool) {
	if slices.ContainsFunc(s.chain, func(x *crashServer) bool { return x.dead }) {
		f.ask(s, nil)
		return
	}
	s.alone = alone
	s.attempts++
	s.ran = slices.Clone(s.chain)
	if !s.lostAt.IsZero() && s.crashAt() < 0 {
		f.delays = append(f.delays, f.clock.Now().Sub(s.lostAt).Seconds())
	}
	s.lostAt = time.Time{}
	for _, x := range s.chain {
		x.streams = append(x.streams, s)
	}
	e := s.epoch
	crashAt := s.crashAt()
	f.clock.After(crashPrefill, func() { f.token(s, e, crashAt) })
}

func (f *crashFleet) token(s *crashStream, e, crashAt int) {
	if s.epoch != e {
		return
	}
	if crashAt >= 0 && s.tokens >= crashAt {
		f.killed[s.content]++
		f.crash(s.chain[0])
		return
	}
	s.tokens++
	if s.alone {
		f.tell(s.vm, blame.Progress{Request: s.id, Tokens: s.tokens})
	}
	if s.tokens >= crashTokens {
		f.tell(s.vm, blame.Completed{Request: s.id})
		f.end(s, false)
		return
	}
	f.clock.After(crashStep, func() { f.token(s, e, crashAt) })
}

// crash kills a server; its streams notice within 50 ms.
func (f *crashFleet) crash(x *crashServer) {
	if x.dead {
		return
	}
	x.dead = true
	run := x.run
	for _, s := range slices.Clone(x.streams) {
		f.leave(s)
		f.clock.After(time.Duration(5+f.random.IntN(45))*time.Millisecond, func() { f.lost(s, x, run) })
	}
	f.clock.After(crashRestart, func() { x.dead, x.run = false, x.run+1 })
}

func (f *crashFleet) leave(s *crashStream) {
	s.epoch++
	for _, x := range s.chain {
		if x != nil {
			x.streams = slices.DeleteFunc(x.streams, func(o *crashStream) bool { return o == s })
		}
	}
}

func (f *crashFleet) lost(s *crashStream, x *crashServer, run teaselstream.Incarnation) {
	s.lostAt = f.clock.Now()
	f.tell(s.vm, blame.Lost{Request: s.id, Server: x.name, Incarnation: run, Domain: x.domain, Tokens: s.tokens})
	if s.attempts >= crashAttempts {
		f.tell(s.vm, blame.Ended{Request: s.id})
		if s.crashAt() < 0 {
			f.failed++
		}
		f.end(s, false)
		return
	}
	f.ask(s, nil)
}

// end removes a stream; the caller of content that crashes servers sends it again to any VM.
func (f *crashFleet) end(s *crashStream, refused bool) {
	f.leave(s)
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

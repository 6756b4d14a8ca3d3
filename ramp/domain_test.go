package ramp_test

import (
	"math/rand/v2"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/chain"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/pick"
	"github.com/teaselstream/teaselstream/ramp"
)

const (
	vmCount     = 25
	requestRate = 75.0
	// stepTime is the resolution of the virtual time.
	stepTime = 5 * time.Millisecond
	// usualAnswer is the mean time of an answer; each takes 0.5 to 1.5 times that. The caller's objective is longer.
	usualAnswer   = 400 * time.Millisecond
	objective     = time.Second
	requestTokens = 100
	// refusalPause is how long a VM leaves out a server that refused a request, as in package fleet.
	refusalPause = time.Second
	reportPeriod = 700 * time.Millisecond
	reportDelay  = 300 * time.Millisecond
	countPeriod  = 250 * time.Millisecond
	messageDelay = 50 * time.Millisecond
	// warmUp is the time for which the other servers run before the returned one comes back.
	warmUp    = 4 * time.Second
	timerTime = 5 * time.Second
	returned  = teaselstream.ServerID("a")
	service   = teaselstream.ServiceID("service")
)

const (
	noLimit policy = iota
	// absent keeps the server away; it shows what the others cope with.
	absent
	// timer raises the share over timerTime, as package health does.
	timer
	// ramped uses package ramp with counts that the first VM sums, alone without messages between VMs.
	ramped
	alone
)

const (
	// bySlots multiplies the slots of the returned server by its share; byDraw leaves it out for all but that share of requests.
	bySlots wiring = iota
	byDraw
)

type (
	policy int

	wiring int

	// load is the load of a domain and the fault of the server that comes back to it.
	load struct {
		name    string
		servers int
		slots   int
		runs    int
		// playTime is how long the domain is played after the server came back.
		playTime time.Duration
		plain    bool
		// slowFor and smallFor are how long the returned server has slowSpeed and smallRoom.
		slowFor  time.Duration
		smallFor time.Duration
	}

	// domain is a failure domain under virtual time: VMs that choose servers with the product's own code, by reports that are 0.3
	// to 1 s old and the same for all of them.
	domain struct {
		load
		start, now time.Time
		rand       *rand.Rand
		policy     policy
		wiring     wiring
		vms        []*vm
		servers    []*server
		due        map[time.Time][]func()
		result
	}

	// result counts answers after the objective and refusals since the server came back, and the requests that it got in each
	// second.
	result struct {
		late, refused int
		given         [playTime / time.Second]int
	}

	vm struct {
		tracker  ramp.Tracker
		view     *fleet.View
		balancer pick.Balancer
	}

	server struct {
		id      teaselstream.ServerID
		running []*request
		waiting []*request
	}

	request struct {
		vm      *vm
		arrived time.Time
		sent    time.Time
		needs   time.Duration
		left    time.Duration
		avoid   map[teaselstream.ServerID]bool
		member  *fleet.Member
	}
)

func newDomain(l load, p policy, w wiring, seed uint64) *domain {
	d := &domain{load: l, policy: p, wiring: w, now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), due: map[time.Time][]func(){}}
	d.start = d.now.Add(warmUp)
	for i := range l.servers {
		d.servers = append(d.servers, &server{id: teaselstream.ServerID(rune('a' + i))})
	}
	for range vmCount {
		d.vms = append(d.vms, d.newVM())
	}
	return d
}

func (d *domain) newVM() *vm {
	engine := &teaselstream.EngineSpec{
		Layers: 10, BytesPerLayer: 1e9, CacheBytesPerToken: 1e3, UsualPrompt: requestTokens, UsualAnswer: requestTokens,
		Step: time.Millisecond, ReadPerSecond: 100_000, Stride: 3,
		Kinds: map[teaselstream.Accelerator]teaselstream.AcceleratorSpec{"kind": {Memory: 200e9, Pace: 1, ReadPace: 1}},
	}
	pools := map[teaselstream.ServiceID]*teaselstream.Pool{service: {Service: service, Engine: engine}}
	v := &fleet.View{Routing: &teaselstream.Routing{Pools: pools}, Members: map[teaselstream.ServerID]*fleet.Member{}, Pools: map[teaselstream.ServiceID][]*fleet.Member{}}
	for range vmCount {
		v.Peers = append(v.Peers, fleet.Peer{})
	}
	for _, s := range d.servers {
		m := &fleet.Member{Slowdown: 1, LoadEstimate: &fleet.LoadEstimate{}}
		m.ID, m.Service, m.Slots, m.Accelerator, m.Holds = s.id, service, d.slots, "kind", teaselstream.LayerRange{To: 10}
		if s.id == returned {
			m.State = fleet.Down
		}
		v.Members[s.id] = m
		v.Pools[service] = append(v.Pools[service], m)
	}
	return &vm{view: v, balancer: pick.Balancer{Rand: d.rand}}
}

func (d *domain) after(wait time.Duration, do func()) {
	at := d.now.Add(wait).Truncate(stepTime)
	d.due[at] = append(d.due[at], do)
}

// run plays the domain until d.playTime after the server came back.
func (d *domain) run() {
	if d.policy != absent {
		d.after(warmUp, d.bringBack)
	}
	for i, s := range d.servers {
		d.after(time.Duration(i)*reportPeriod/4, func() { d.report(s) })
	}
	d.after(countPeriod, d.exchangeCounts)
	for end := d.start.Add(d.playTime); d.now.Before(end); d.now = d.now.Add(stepTime) {
		for _, do := range d.due[d.now] {
			do()
		}
		delete(d.due, d.now)
		if d.rand.Float64() < requestRate*stepTime.Seconds() {
			needs := usualAnswer/2 + time.Duration(d.rand.Float64()*float64(usualAnswer))
			d.send(&request{vm: d.vms[d.rand.IntN(vmCount)], arrived: d.now, needs: needs, avoid: map[teaselstream.ServerID]bool{}})
		}
		for _, s := range d.servers {
			d.work(s)
		}
		if d.now.UnixMilli()%100 == 0 {
			for _, v := range d.vms {
				v.tracker.Update(d.now, teaselstream.Tick{})
			}
		}
	}
}

func (d *domain) bringBack() {
	for _, v := range d.vms {
		m := v.view.Members[returned]
		m.State, m.Incarnation = fleet.Serving, 1
		m.LoadEstimate.RecordReport(d.now, 0, 0, 0)
		v.tracker.Update(d.now, ramp.Started{Server: returned, Incarnation: 1, Reason: ramp.ReasonStarted})
	}
}

func (d *domain) report(s *server) {
	d.after(reportPeriod, func() { d.report(s) })
	at, running, waiting := d.now, len(s.running), len(s.waiting)
	d.after(reportDelay, func() {
		for _, v := range d.vms {
			m := v.view.Members[s.id]
			m.LoadEstimate.RecordReport(d.now, running, waiting, 0)
			v.balancer.RecordLoad(d.now, m, teaselstream.AnswerHead{HasLoad: true, Running: running, Waiting: waiting, Slots: d.slots})
			v.tracker.Update(d.now, ramp.Reported{Server: s.id, Incarnation: 1, Running: running, Waiting: waiting, Slots: d.slots, At: at})
		}
	})
}

// exchangeCounts passes the counts to the first VM, which sends its share to the others.
func (d *domain) exchangeCounts() {
	d.after(countPeriod, d.exchangeCounts)
	reader := d.vms[0]
	reader.tracker.Counts()
	if d.policy == alone {
		return
	}
	for _, v := range d.vms[1:] {
		if counts := v.tracker.Counts(); len(counts) > 0 {
			d.after(messageDelay, func() { reader.tracker.Update(d.now, ramp.Samples{From: "vm", Counts: counts}) })
		}
	}
	shared := ramp.Shared{Server: returned, Incarnation: 1, Share: reader.tracker.Share(returned), At: d.now}
	d.after(messageDelay, func() {
		for _, v := range d.vms[1:] {
			v.tracker.Update(d.now, shared)
		}
	})
}

func (d *domain) share(v *vm) float64 {
	switch d.policy {
	case timer:
		return min(0.1+0.9*float64(d.now.Sub(d.start))/float64(timerTime), 1)
	case ramped, alone:
		return v.tracker.Share(returned)
	}
	return 1
}

// choose returns the server that the VM prefers.
func (d *domain) choose(r *request) *fleet.Member {
	v, share := r.vm.view, d.share(r.vm)
	switch {
	case d.wiring == bySlots:
		v.Members[returned].Slots = max(int(float64(d.slots)*share), 1)
	case !r.avoid[returned] && d.rand.Float64() >= share:
		r.avoid[returned] = true
		defer delete(r.avoid, returned)
	}
	if d.plain {
		return r.vm.balancer.Choose(d.now, v, service, r.avoid)
	}
	p := chain.Planner{Rand: d.rand}
	path, _, ok := p.Plan(d.now, v, chain.PathRequest{Service: service, PromptTokens: requestTokens, AnswerTokens: requestTokens, Avoid: r.avoid})
	if !ok {
		return nil
	}
	return v.Members[path[0].Server]
}

// roomOf and speedOf return the present slots and speed of a server.
func (d *domain) roomOf(s *server) int {
	if s.id == returned && d.now.Sub(d.start) < d.smallFor {
		return int(float64(d.slots) * smallRoom)
	}
	return d.slots
}

func (d *domain) speedOf(s *server) float64 {
	if s.id == returned && d.now.Sub(d.start) < d.slowFor {
		return slowSpeed
	}
	return 1
}

func (d *domain) send(r *request) {
	m := d.choose(r)
	if m == nil {
		return
	}
	if m.ID == returned {
		d.given[d.now.Sub(d.start)/time.Second]++
	}
	s := d.servers[m.ID[0]-'a']
	r.sent, r.left, r.member = d.now, r.needs, m
	if room := d.roomOf(s); len(s.running) >= room && len(s.waiting) >= room/4 {
		d.refuse(r)
		return
	}
	m.LoadEstimate.OwnRequests.Add(1)
	s.waiting = append(s.waiting, r)
}

func (d *domain) refuse(r *request) {
	if !d.now.Before(d.start) {
		d.refused++
	}
	r.member.PausedUntil = d.now.Add(refusalPause)
	r.vm.balancer.RecordResult(d.now, r.member, pick.Refused, 0)
	r.vm.tracker.Update(d.now, ramp.Refused{Server: r.member.ID, Incarnation: r.member.Incarnation})
	r.avoid[r.member.ID] = true
	d.send(r)
}

// work lets a server run its requests for one step.
func (d *domain) work(s *server) {
	for len(s.waiting) > 0 && len(s.running) < d.roomOf(s) {
		s.running, s.waiting = append(s.running, s.waiting[0]), s.waiting[1:]
	}
	var rest []*request
	for _, r := range s.running {
		if r.left -= time.Duration(d.speedOf(s) * float64(stepTime)); r.left > 0 {
			rest = append(rest, r)
			continue
		}
		d.finish(r)
	}
	s.running = rest
}

func (d *domain) finish(r *request) {
	took := d.now.Sub(r.sent)
	if !d.now.Before(d.start) && d.now.Sub(r.arrived) > objective {
		d.late++
	}
	r.member.LoadEstimate.OwnRequests.Add(-1)
	r.vm.balancer.RecordResult(d.now, r.member, pick.Succeeded, took)
	r.vm.tracker.Update(d.now, ramp.Answered{Server: r.member.ID, Incarnation: r.member.Incarnation, Took: took, Expected: usualAnswer})
}

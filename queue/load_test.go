package queue

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/vtime"
)

const (
	// loadTime is the length of the arrivals, and surgeStart the time of the surge in them.
	loadTime, surgeStart = 25 * time.Second, 5 * time.Second
	// lateWorth is the worth of an answer that begins after its objective, as a part of one that is on time.
	lateWorth = 0.4
	// resends is the number of further sends that each request earns its VM, as in the platform's retry budget.
	resends = 0.1
)

type (
	// kind is one kind of request; its rate is that of all VMs together.
	kind struct {
		rank                  int
		rate                  float64
		objective, usual, run time.Duration
		deadline              time.Duration
		teams                 []teaselstream.TeamID
		// surge multiplies the rate from surgeStart on for surgeTime.
		surge     float64
		surgeTime time.Duration
	}

	// load is a pool of places that VMs share, and the requests for it.
	load struct {
		kinds       []kind
		places, vms int
		// minLag and maxLag bound the age of the pool's load that a VM knows.
		minLag, maxLag time.Duration
	}

	// call is one caller's request with all its attempts.
	call struct {
		kind
		at       time.Duration
		arrived  time.Time
		team     teaselstream.TeamID
		size     float64
		vm       int
		attempts int
		worth    float64
	}

	loadVM struct {
		q      Queue
		lag    time.Duration
		budget float64
		// own holds the times at which this VM's requests began and ended.
		own []change
	}

	change struct {
		at time.Time
		by int
	}

	// attempt is one attempt of a call at a VM.
	attempt struct {
		*call
		id     teaselstream.AttemptID
		vm     *loadVM
		resent bool
		holds  int
	}

	// loadRun plays the requests of a load under one policy.
	loadRun struct {
		load
		*vtime.Queue
		rand *rand.Rand
		// direct sends everything at once, without a Queue.
		direct   bool
		vms      []*loadVM
		attempts map[teaselstream.AttemptID]*attempt
		used     int
		byTeam   map[teaselstream.TeamID]int
		// history holds the number of used places after each change.
		history       []change
		sent, refused int
	}
)

// arrivals returns the requests of a load; a tenth of them is three times as large.
func (l load) arrivals(seed uint64) []*call {
	r := rand.New(rand.NewPCG(seed, 1))
	var calls []*call
	for _, k := range l.kinds {
		for at := time.Duration(0); at < loadTime; {
			rate := k.rate
			if k.surge > 0 && at >= surgeStart && at < surgeStart+k.surgeTime {
				rate *= k.surge
			}
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			size := 0.5 + r.Float64()*0.6
			if r.IntN(10) == 0 {
				size = 3
			}
			calls = append(calls, &call{kind: k, at: at, team: k.teams[r.IntN(len(k.teams))], size: size, vm: r.IntN(l.vms)})
		}
	}
	return calls
}

// play runs the same arrivals under one policy and returns its calls.
func (l load) play(seed uint64, direct bool) ([]*call, *loadRun) {
	r := &loadRun{
		load: l, Queue: vtime.NewQueue(time.Unix(1000, 0)), rand: rand.New(rand.NewPCG(seed, 2)), direct: direct,
		attempts: make(map[teaselstream.AttemptID]*attempt), byTeam: make(map[teaselstream.TeamID]int),
	}
	for range l.vms {
		v := &loadVM{lag: l.minLag + time.Duration(r.rand.Float64()*float64(l.maxLag-l.minLag)), budget: 5}
		v.q.Rand = r.rand
		v.q.Update(r.Now(), Ranks{"m", len(l.kinds)})
		r.vms = append(r.vms, v)
	}
	calls := l.arrivals(seed)
	for _, c := range calls {
		c.vm %= l.vms
		r.After(c.at, func() { c.arrived = r.Now(); r.arrive(c) })
	}
	for at := time.Second; at < loadTime; at += time.Second {
		r.After(at, r.reportTeams)
	}
	r.RunUntil(r.Now().Add(loadTime + 30*time.Second))
	return calls, r
}

func (r *loadRun) reportTeams() {
	shares := make(map[teaselstream.TeamID]float64)
	for t, n := range r.byTeam {
		shares[t] = float64(n) / float64(max(r.used, 1))
	}
	for _, v := range r.vms {
		r.After(v.lag, func() { v.q.Update(r.Now(), Teams{"m", shares}) })
	}
}

// loadOf returns the load of the pool as a VM knows it: an old report and the VM's own requests since.
func (r *loadRun) loadOf(v *loadVM) float64 {
	since := r.Now().Add(-v.lag)
	used := 0
	if i := sort.Search(len(r.history), func(i int) bool { return r.history[i].at.After(since) }); i > 0 {
		used = r.history[i-1].by
	}
	for i := len(v.own) - 1; i >= 0 && v.own[i].at.After(since); i-- {
		used += v.own[i].by
	}
	return float64(used+1) / float64(r.places)
}

func (r *loadRun) arrive(c *call) {
	c.attempts++
	v := r.vms[c.vm]
	v.budget += resends
	a := &attempt{call: c, vm: v, id: teaselstream.AttemptID(fmt.Sprintf("%p-%d", c, c.attempts))}
	r.attempts[a.id] = a
	if r.direct {
		r.send(a)
		return
	}
	r.update(v, Arrive{
		Request: a.id, Service: "m", Rank: c.rank, Team: c.team, Size: int(100 * c.size), Objective: c.objective, Usual: c.usual,
		Waited: r.Now().Sub(c.arrived), Deadline: c.arrived.Add(c.deadline), Load: r.loadOf(v), Part: 1 / float64(r.places),
	})
}

func (r *loadRun) update(v *loadVM, m teaselstream.Msg) {
	for _, c := range v.q.Update(r.Now(), m) {
		switch c := c.(type) {
		case Send:
			r.send(r.attempts[c.Request])
		case Refuse:
			r.refuse(r.attempts[c.Request], c.RetryAfter)
		case Hold:
			a := r.attempts[c.Request]
			a.holds++
			n := a.holds
			r.After(c.For, func() {
				if n == a.holds {
					r.update(v, Again{a.id, r.loadOf(v), 1 / float64(r.places)})
				}
			})
		}
	}
}

// send takes a place, or has the request rejected if there is none or the VM has spent its further sends.
func (r *loadRun) send(a *attempt) {
	a.holds++
	r.sent++
	if a.resent && a.vm.budget < 1 {
		r.update(a.vm, Ended{a.id})
		r.refuse(a, 100*time.Millisecond)
		return
	}
	if a.resent {
		a.vm.budget--
	}
	if r.used >= r.places {
		a.resent = true
		r.refused++
		r.reject(a)
		return
	}
	r.change(a, 1)
	if c := a.call; r.Now().Add(c.usual).After(c.arrived.Add(c.objective)) {
		c.worth = lateWorth
	} else {
		c.worth = 1
	}
	r.After(time.Duration(float64(a.run)*a.size), func() {
		r.change(a, -1)
		r.update(a.vm, Ended{a.id})
	})
}

// reject answers a refusal by a server: without a Queue the VM tries once more after 50 ms and then refuses.
func (r *loadRun) reject(a *attempt) {
	switch {
	case !r.direct:
		r.After(2*time.Millisecond, func() { r.update(a.vm, Rejected{a.id}) })
	case a.holds < 2:
		r.After(50*time.Millisecond, func() { r.send(a) })
	default:
		r.refuse(a, 100*time.Millisecond)
	}
}

// refuse lets the caller return after retryAfter, up to three times within its deadline.
func (r *loadRun) refuse(a *attempt, retryAfter time.Duration) {
	delete(r.attempts, a.id)
	c := a.call
	if c.attempts < 4 && r.Now().Add(retryAfter).Before(c.arrived.Add(c.deadline)) {
		c.vm = r.rand.IntN(len(r.vms))
		r.After(retryAfter, func() { r.arrive(c) })
	}
}

func (r *loadRun) change(a *attempt, by int) {
	r.used += by
	r.byTeam[a.team] += by
	r.history = append(r.history, change{r.Now(), r.used})
	a.vm.own = append(a.vm.own, change{r.Now(), by})
}

// tally sums the earned and the owed worth and the served requests of a group.
type tally struct{ earned, owed, served, asked float64 }

func (t *tally) add(c *call) {
	w := 0.3 + 0.7*c.size
	t.owed += w
	t.earned += w * c.worth
	t.asked++
	if c.worth > 0 {
		t.served++
	}
}

// tallies holds the tallies of one run.
type tallies struct {
	all   tally
	ranks map[int]*tally
	// groups holds the ranks, the teams and the large requests by name.
	groups map[string]*tally
}

func tallyOf(calls []*call) tallies {
	t := tallies{ranks: make(map[int]*tally), groups: make(map[string]*tally)}
	for _, c := range calls {
		rank := fmt.Sprintf("rank %d", c.rank)
		names := []string{rank, "team " + string(c.team)}
		if c.size >= 3 {
			names = append(names, "large")
		}
		for _, n := range names {
			if t.groups[n] == nil {
				t.groups[n] = &tally{}
			}
			t.groups[n].add(c)
		}
		t.ranks[c.rank] = t.groups[rank]
		t.all.add(c)
	}
	return t
}

// compare plays the same requests sent at once, by the Queues and by one VM that knows everything, logs the shares of worth, and checks
// that the Queues keep the order of ranks, starve nobody and earn no less than sending at once.
func (l load) compare(t *testing.T) {
	for seed := range uint64(3) {
		one := l
		one.vms, one.minLag, one.maxLag = 1, 0, 0
		directCalls, direct := l.play(seed, true)
		queueCalls, queues := l.play(seed, false)
		oneCalls, _ := one.play(seed, false)
		d, q, o := tallyOf(directCalls), tallyOf(queueCalls), tallyOf(oneCalls)
		for rank := range l.kinds {
			t.Logf("seed %d rank %d: earned at once %.3f, queues %.3f, one %.3f; served %.3f, %.3f, %.3f", seed, rank,
				d.ranks[rank].share(), q.ranks[rank].share(), o.ranks[rank].share(),
				d.ranks[rank].rate(), q.ranks[rank].rate(), o.ranks[rank].rate())
		}
		t.Logf("seed %d all: earned at once %.3f, queues %.3f, one %.3f; queues/at once %.3f, queues/one %.3f; refused by servers %d of %d, %d of %d",
			seed, d.all.share(), q.all.share(), o.all.share(), q.all.earned/d.all.earned, q.all.earned/o.all.earned,
			direct.refused, direct.sent, queues.refused, queues.sent)
		t.Run(fmt.Sprintf("order/%d", seed), func(t *testing.T) { q.checkOrder(t, len(l.kinds)) })
		t.Run(fmt.Sprintf("worth/%d", seed), func(t *testing.T) {
			if q.all.earned < d.all.earned {
				t.Errorf("queues earn %.1f, sending at once %.1f", q.all.earned, d.all.earned)
			}
		})
	}
}

// checkOrder checks that the ranks are served in order and that no group is served less than half as often as all.
func (s tallies) checkOrder(t *testing.T, ranks int) {
	if first, last := s.ranks[0].rate(), s.ranks[ranks-1].rate(); first < last {
		t.Errorf("rank 0 is served %.3f, the last rank %.3f", first, last)
	}
	for name, g := range s.groups {
		if g.rate() < s.all.rate()/2 {
			t.Errorf("%s is served %.3f, all %.3f", name, g.rate(), s.all.rate())
		}
	}
}

func (t *tally) share() float64 { return t.earned / t.owed }

func (t *tally) rate() float64 { return t.served / t.asked }

func teamNames(names string) (teams []teaselstream.TeamID) {
	for _, x := range names {
		teams = append(teams, teaselstream.TeamID(x))
	}
	return teams
}

func urgentKind(rate float64) kind {
	return kind{
		rank: 0, rate: rate, objective: 600 * time.Millisecond, usual: 150 * time.Millisecond, run: 2 * time.Second,
		deadline: 5 * time.Second, teams: teamNames("abcdef"),
	}
}

func patientKind(rank int, rate float64) kind {
	return kind{
		rank: rank, rate: rate, objective: 2 * time.Second, usual: 200 * time.Millisecond, run: 2 * time.Second,
		deadline: 10 * time.Second, teams: teamNames("abcdef"),
	}
}

func fewVMs(places int, kinds ...kind) load {
	return load{kinds: kinds, places: places, vms: 4, minLag: 100 * time.Millisecond, maxLag: 300 * time.Millisecond}
}

// Load: a less urgent kind comes at 2.5 times its rate for 10 s. Guards against urgent requests that it drives out.
func TestLessUrgentSurge(t *testing.T) {
	surge := patientKind(1, 20)
	surge.surge, surge.surgeTime = 2.5, 10*time.Second
	fewVMs(100, urgentKind(20), surge).compare(t)
}

// Load: an urgent kind comes at 1.9 times its rate for 4 s. Guards against less urgent requests that starve, and places that stay empty.
func TestUrgentSurge(t *testing.T) {
	surge := urgentKind(24)
	surge.surge, surge.surgeTime = 1.9, 4*time.Second
	fewVMs(100, surge, patientKind(1, 20)).compare(t)
}

// Load: one team sends half of a kind, with more requests than places. Guards against other teams that wait behind it, and against one
// that is shut out for its share.
func TestLargeTeam(t *testing.T) {
	k := patientKind(0, 55)
	k.teams = teamNames("aaaaaabcdefg")
	fewVMs(100, k).compare(t)
}

// Load: 77 VMs with three requests a second each share a pool whose load they learn late. Guards against VMs that together send far
// more than there is room for, and against room that none of them takes.
func TestManyVMs(t *testing.T) {
	load{
		kinds:  []kind{urgentKind(77), patientKind(1, 77), patientKind(2, 77)},
		places: 420, vms: 77, minLag: 300 * time.Millisecond, maxLag: time.Second,
	}.compare(t)
}

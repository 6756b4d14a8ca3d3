package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/vtime"
)

const (
	// stepTime is the resolution of the simulation, and answerTime the time from a request to its answer.
	stepTime   = 10 * time.Millisecond
	answerTime = 100 * time.Millisecond
	// tellTime is how long before a request a VM must have been told of a limit for the request to count, and contactTime the time
	// from the first answer with a limit on from which the platform counts.
	tellTime    = 500 * time.Millisecond
	contactTime = 3 * time.Second
	window      = 4 * time.Second
	// maxDelay is the longest time until a VM reads what another one has written.
	maxDelay = 1200 * time.Millisecond
	// listDelay is the longest time until a VM learns that another one has started or ended; a lease lasts 12 s.
	listDelay = 2 * time.Second
	leaseTime = 12 * time.Second
)

type (
	// fleetOptions describes a simulated fleet.
	fleetOptions struct {
		vms, domains, servers int
		// perSecond is the rate of requests of all VMs, and limit the limit that each server names from 2 s to 25 s.
		perSecond float64
		limit     teaselstream.RequestsPerSecond
		// restarts stops and starts a VM each second, join doubles the VMs at 8 s, and cut keeps the reports of one domain from the
		// others, and those of the others from it, from 5 s to 15 s.
		restarts, join, cut bool
		// unlimited servers take what the others do not.
		unlimited int
	}

	// run is a fleet in virtual time.
	run struct {
		fleetOptions
		*vtime.Queue
		rand    *rand.Rand
		start   time.Time
		vms     []*vm
		servers []*server
	}

	vm struct {
		fleet.Peer
		up      bool
		downAt  time.Time
		upAt    time.Time
		tracker Tracker
		limits  Limits
		// toldAt is when each server last named its limit in an answer to this VM for the first time since the VM started.
		toldAt map[teaselstream.ServerID]time.Time
	}

	server struct {
		id     teaselstream.ServerID
		domain teaselstream.DomainID
		// namedAt is when the server first named its limit, and counted when requests arrived that the platform counts.
		namedAt time.Time
		counted []time.Time
		got     int
	}
)

func newRun(seed uint64, o fleetOptions) *run {
	r := &run{fleetOptions: o, rand: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0)}
	r.Queue = vtime.NewQueue(r.start)
	for i := range o.vms {
		r.addVM(i)
	}
	for i := range o.servers + o.unlimited {
		r.servers = append(r.servers, &server{id: teaselstream.ServerID(fmt.Sprintf("s%d", i)), domain: teaselstream.DomainID(fmt.Sprint(i % o.domains))})
	}
	r.publishViews()
	return r
}

func (r *run) addVM(i int) {
	v := &vm{Peer: fleet.Peer{Name: teaselstream.VMID(fmt.Sprintf("vm%d", i)), Domain: teaselstream.DomainID(fmt.Sprint(i % r.domains))}}
	v.restart(r.Now())
	r.vms = append(r.vms, v)
}

func (v *vm) restart(now time.Time) {
	v.up, v.upAt = true, now
	v.tracker, v.toldAt = Tracker{VM: v.Name}, make(map[teaselstream.ServerID]time.Time)
	v.limits.Set(now, nil)
}

// publishViews lets all VMs learn which VMs run, each after a delay of its own; a VM that has ended stays listed for leaseTime.
func (r *run) publishViews() {
	var peers []fleet.Peer
	for _, v := range r.vms {
		if v.up || r.Now().Sub(v.downAt) < leaseTime {
			peers = append(peers, v.Peer)
		}
	}
	members := make(map[teaselstream.ServerID]*fleet.Member)
	for _, s := range r.servers {
		m := &fleet.Member{}
		m.ID, m.Domain = s.id, s.domain
		members[s.id] = m
	}
	view := &fleet.View{Peers: peers, Members: members}
	for _, v := range r.vms {
		delay := time.Duration(r.rand.Float64() * float64(listDelay))
		if r.Now().Equal(r.start) {
			delay = 0
		}
		r.After(delay, func() { r.update(v, ViewChanged{view}) })
	}
}

func (r *run) update(v *vm, m teaselstream.Msg) {
	if !v.up {
		return
	}
	for _, c := range v.tracker.Update(r.Now(), m) {
		switch c := c.(type) {
		case SetParts:
			v.limits.Set(r.Now(), c.Parts)
		case PublishReport:
			for _, to := range r.vms {
				if r.cut && to.Domain != v.Domain && (to.Domain == "0" || v.Domain == "0") && r.since(5) && !r.since(15) {
					continue
				}
				r.After(time.Duration(r.rand.Float64()*float64(maxDelay)), func() { r.update(to, ReportRead(c)) })
			}
		}
	}
}

// since reports whether the given number of seconds has passed.
func (r *run) since(seconds int) bool {
	return r.Now().Sub(r.start) >= time.Duration(seconds)*time.Second
}

// limited reports whether a server names a limit now; the last servers never do.
func (r *run) limited(s *server) bool {
	return slices.Index(r.servers, s) < r.fleetOptions.servers && r.since(2) && !r.since(25)
}

// request sends a request of a VM to a server that takes it, those of the VM's failure domain first.
func (r *run) request(v *vm) {
	var ready []*server
	for _, near := range []bool{true, false} {
		for _, s := range r.servers {
			if (s.domain == v.Domain) == near && v.limits.Ready(r.Now(), s.id) {
				ready = append(ready, s)
			}
		}
		if len(ready) > 0 {
			break
		}
	}
	if len(ready) == 0 {
		return
	}
	s := ready[r.rand.IntN(len(ready))]
	if !v.limits.Take(r.Now(), s.id) {
		return
	}
	s.got++
	if told, ok := v.toldAt[s.id]; ok && r.Now().Sub(told) >= tellTime && r.limited(s) && r.Now().Sub(s.namedAt) >= contactTime && r.Now().Sub(v.upAt) >= contactTime {
		s.counted = append(s.counted, r.Now())
	}
	sentAt, life := r.Now(), v.upAt
	r.After(answerTime, func() {
		if !v.up || v.upAt != life {
			return
		}
		a := teaselstream.AnswerHead{Stamped: true, HasLimit: r.limited(s)}
		if a.HasLimit {
			a.Limit = r.limit
			if s.namedAt.IsZero() {
				s.namedAt = r.Now()
			}
			if _, ok := v.toldAt[s.id]; !ok {
				v.toldAt[s.id] = r.Now()
			}
		}
		if m, ok := v.limits.Observe(r.Now(), sentAt, s.id, a); ok {
			r.update(v, m)
		}
	})
}

func (r *run) restartOne() {
	v := r.vms[r.rand.IntN(len(r.vms))]
	v.up, v.downAt = false, r.Now()
	r.publishViews()
	r.After(time.Second, func() {
		v.restart(r.Now())
		r.publishViews()
	})
	r.After(leaseTime, r.publishViews)
}

func (r *run) step() {
	r.RunUntil(r.Now().Add(stepTime))
	elapsed := r.Now().Sub(r.start)
	if elapsed%(100*time.Millisecond) == 0 {
		for _, v := range r.vms {
			r.update(v, teaselstream.Tick{})
		}
	}
	if r.restarts && elapsed%time.Second == 0 {
		r.restartOne()
	}
	if r.join && elapsed == 8*time.Second {
		for i := range r.fleetOptions.vms {
			r.addVM(r.fleetOptions.vms + i)
		}
		r.publishViews()
	}
	for n := r.perSecond * stepTime.Seconds(); n > r.rand.Float64(); n-- {
		if v := r.vms[r.rand.IntN(len(r.vms))]; v.up {
			r.request(v)
		}
	}
}

// Guards against servers that get more requests from all VMs together than the limit that they have named allows (LIMIT): in fleets
// from 8 to 295 VMs, also while VMs start and stop, do not know each other yet, or do not get each other's reports; against a
// limit of which most stays unused; and against servers that are left alone after their limit has ended.
func TestFleets(t *testing.T) {
	for name, o := range map[string]fleetOptions{
		"small":     {vms: 8, domains: 3, servers: 3, unlimited: 3, perSecond: 90, limit: 13},
		"all":       {vms: 8, domains: 3, servers: 6, perSecond: 90, limit: 9},
		"low":       {vms: 8, domains: 3, servers: 3, unlimited: 3, perSecond: 90, limit: 4},
		"restarts":  {vms: 8, domains: 3, servers: 3, unlimited: 3, perSecond: 90, limit: 9, restarts: true},
		"join":      {vms: 8, domains: 3, servers: 3, unlimited: 3, perSecond: 90, limit: 9, join: true},
		"cut":       {vms: 8, domains: 3, servers: 3, unlimited: 3, perSecond: 90, limit: 9, cut: true},
		"large":     {vms: 295, domains: 5, servers: 5, unlimited: 5, perSecond: 400, limit: 4},
		"large-all": {vms: 100, domains: 5, servers: 10, perSecond: 300, limit: 12, restarts: true},
		"large-cut": {vms: 100, domains: 5, servers: 5, unlimited: 5, perSecond: 300, limit: 4, cut: true, join: true},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				newRun(seed, o).check(t)
			})
		}
	}
}

func (r *run) check(t *testing.T) {
	for !r.since(10) {
		r.step()
	}
	for _, s := range r.servers {
		s.got = 0
	}
	for !r.since(25) {
		r.step()
	}
	used := 0
	allowed := 1.5*float64(r.limit)*window.Seconds() + 5
	for _, s := range r.servers[:r.fleetOptions.servers] {
		if n := mostInWindow(s.counted); float64(n) > allowed {
			t.Errorf("server %s got %d requests in %s, want at most %.0f", s.id, n, window, allowed)
		}
		used += s.got
	}
	const period = 15
	usable := float64(r.limit) * period * float64(r.fleetOptions.servers)
	if demand := r.perSecond * period; r.unlimited == 0 && float64(used) < 0.5*min(usable, demand) {
		t.Errorf("servers got %d requests in %d s, want at least half of the %.0f that they take", used, period, min(usable, demand))
	}
	for !r.since(35) {
		r.step()
	}
	for _, s := range r.servers {
		s.got = 0
	}
	for !r.since(40) {
		r.step()
	}
	least, most := slices.MinFunc(r.servers, func(a, b *server) int { return a.got - b.got }), 0
	for _, s := range r.servers {
		most = max(most, s.got)
	}
	if least.got < most/4 {
		t.Errorf("after the limits server %s gets %d requests, another one %d", least.id, least.got, most)
	}
}

func mostInWindow(at []time.Time) int {
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

package crash

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/vtime"
)

const (
	// firstToken is the time from the arrival of a request at a server to its first token, and soundAfter to the event after
	// which it counts as sound.
	firstToken = 80 * time.Millisecond
	soundAfter = 140 * time.Millisecond
	// contactTime is the platform's bound for what VMs in touch must know of each other.
	contactTime = 3 * time.Second
	// restart is the time until a server that crashed is back.
	restart = 4 * time.Second
	// maxDelay is the longest time until a VM reads what another one has written.
	maxDelay = 1200 * time.Millisecond
	// tickPeriod is the period of the trackers' ticks.
	tickPeriod = 100 * time.Millisecond
)

type (
	// fleetRun is a simulated fleet in virtual time: VMs with a tracker each, servers, and a store that passes on reports late.
	fleetRun struct {
		fleetOptions
		*vtime.Queue
		t       *testing.T
		rand    *rand.Rand
		start   time.Time
		vms     []*fleetVM
		servers []*fleetServer
		reports map[int]Report
		record  Record
		// revision is that of the record.
		revision teaselstream.Revision
		requests int
		// crashes, harmfulAt and sound record what the checks need; harmfulAt holds when VMs in touch sent harmful requests.
		crashes   []time.Time
		harmfulAt []time.Time
		sound     []soundResult
	}

	fleetOptions struct {
		vms, servers int
		// soundPerSecond and harmfulPerSecond are rates of requests.
		soundPerSecond, harmfulPerSecond float64
		// sharedFirst makes all harmful requests have the same first segment, which sound requests have too.
		sharedFirst bool
		// repeated makes all harmful requests the same one.
		repeated bool
		// massCrash ends a sixth of the servers at the same time, before the harmful requests begin.
		massCrash bool
		// cut cuts the links of one VM to all servers, so that they seem to have ended, before the harmful requests begin.
		cut bool
		// restarts restarts a VM each second.
		restarts bool
		// headUnseen makes servers crash before the head of a harmful request's answer reaches its VM.
		headUnseen bool
	}

	fleetVM struct {
		id         teaselstream.VMID
		tracker    Tracker
		quarantine *Quarantine
		life       int
		startedAt  time.Time
	}

	fleetServer struct {
		id          teaselstream.ServerID
		incarnation teaselstream.Incarnation
		down        bool
		running     map[int]*fleetRequest
	}

	fleetRequest struct {
		id     int
		vm     *fleetVM
		life   int
		traits []Trait
		begun  bool
		sound  bool
	}

	soundResult struct {
		at      time.Time
		refused bool
	}
)

// number returns a number that no other request has.
func (f *fleetRun) number() int {
	f.requests++
	return f.requests
}

func newFleetRun(t *testing.T, seed uint64, o fleetOptions) *fleetRun {
	f := &fleetRun{fleetOptions: o, t: t, rand: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), reports: make(map[int]Report)}
	f.Queue = vtime.NewQueue(f.start)
	for i := range o.vms {
		f.vms = append(f.vms, &fleetVM{id: teaselstream.VMID(fmt.Sprintf("vm%d", i))})
	}
	for i := range o.servers {
		f.servers = append(f.servers, &fleetServer{id: teaselstream.ServerID(fmt.Sprintf("s%d", i)), incarnation: 1, running: make(map[int]*fleetRequest)})
	}
	for i := range f.vms {
		f.startVM(i)
	}
	f.arrivals(o.soundPerSecond, f.sendSound)
	return f
}

// arrivals calls send at random times with a given rate.
func (f *fleetRun) arrivals(rate float64, send func()) {
	var next func()
	next = func() {
		send()
		f.After(time.Duration(f.rand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.After(time.Duration(f.rand.Float64()/rate*float64(time.Second)), next)
}

// startVM starts a VM, or restarts it without what it knew; it then reads what the store holds.
func (f *fleetRun) startVM(i int) {
	v := f.vms[i]
	v.life++
	v.startedAt = f.Now()
	v.tracker, v.quarantine = Tracker{}, nil
	life := v.life
	names := make([]teaselstream.VMID, len(f.vms))
	for j, x := range f.vms {
		names[j] = x.id
	}
	f.update(i, life, Peers{Self: v.id, VMs: names})
	delete(f.reports, i)
	f.After(f.delay(), func() {
		f.update(i, life, RecordRead{Record: f.record, At: teaselstream.Position{Era: 1, Revision: f.revision}})
		for j := range f.vms {
			if r, ok := f.reports[j]; ok {
				f.update(i, life, ReportRead{r})
			}
		}
	})
	var tick func()
	tick = func() {
		if v.life == life {
			f.update(i, life, teaselstream.Tick{})
			f.After(tickPeriod, tick)
		}
	}
	f.After(time.Duration(f.rand.Float64()*float64(tickPeriod)), tick)
}

func (f *fleetRun) delay() time.Duration {
	return time.Duration(f.rand.Float64() * float64(maxDelay))
}

func (f *fleetRun) update(i, life int, m teaselstream.Msg) {
	v := f.vms[i]
	if v.life != life {
		return
	}
	for _, c := range v.tracker.Update(f.Now(), m) {
		switch c := c.(type) {
		case PublishQuarantine:
			v.quarantine = c.Quarantine
		case PublishReport:
			f.reports[i] = c.Report
			for j := range f.vms {
				to := f.vms[j].life
				f.After(f.delay(), func() { f.update(j, to, ReportRead(c)) })
			}
		case WriteRecord:
			if c.Revision != f.revision {
				continue
			}
			f.revision++
			f.record = c.Record
			read := RecordRead{Record: c.Record, At: teaselstream.Position{Era: 1, Revision: f.revision}}
			for j := range f.vms {
				to := f.vms[j].life
				f.After(f.delay(), func() { f.update(j, to, read) })
			}
		}
	}
}

// firstSegment returns a first segment; some are far more frequent than others.
func (f *fleetRun) firstSegment() Trait {
	return SegmentTrait("model", teaselstream.SegmentID(fmt.Sprintf("f%d", int(60*f.rand.Float64()*f.rand.Float64()))))
}

func (f *fleetRun) sendSound() {
	id := f.number()
	refused := f.send(false, []Trait{Trait(fmt.Sprintf("%s%d", contentPrefix, id)), f.firstSegment()})
	f.sound = append(f.sound, soundResult{f.Now(), refused})
}

func (f *fleetRun) sendHarmful() {
	first := f.firstSegment()
	if f.sharedFirst || f.repeated {
		first = SegmentTrait("model", "f0")
	}
	content := Trait(fmt.Sprintf("%s%d", contentPrefix, f.number()))
	if f.repeated {
		f.send(true, []Trait{contentPrefix + "same", first})
		return
	}
	f.send(true, []Trait{content, first, SegmentTrait("model", "harmful")})
}

// send sends a request by a random VM to a random server and reports whether it was refused as one that crashes servers.
func (f *fleetRun) send(harmful bool, traits []Trait) (refused bool) {
	i := f.rand.IntN(len(f.vms))
	var up []*fleetServer
	for _, s := range f.servers {
		if !s.down {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		return false
	}
	return f.sendTo(i, up[f.rand.IntN(len(up))], harmful, traits, firstToken)
}

// sendTo sends a request by a VM to a server that begins to answer it after a time.
func (f *fleetRun) sendTo(i int, s *fleetServer, harmful bool, traits []Trait, first time.Duration) (refused bool) {
	v := f.vms[i]
	if v.quarantine.Refuses(traits) && !v.quarantine.TakeTrial(traits) {
		return true
	}
	r := &fleetRequest{id: f.number(), vm: v, life: v.life, traits: traits}
	s.running[r.id] = r
	// A VM that has just started is not in touch with the others yet.
	if harmful && (f.Now().Sub(v.startedAt) >= contactTime || v.life == 1) {
		f.harmfulAt = append(f.harmfulAt, f.Now())
	}
	incarnation := s.incarnation
	f.After(first, func() {
		if s.incarnation != incarnation || s.down {
			return
		}
		r.begun = !harmful || !f.headUnseen
		if harmful {
			f.crashes = append(f.crashes, f.Now())
			f.crash(s)
		}
	})
	f.After(first+soundAfter-firstToken, func() {
		if s.incarnation == incarnation && !s.down {
			r.sound = true
			f.update(i, r.life, Answered{Traits: traits})
			delete(s.running, r.id)
		}
	})
	return false
}

func (f *fleetRun) crash(s *fleetServer) {
	s.down = true
	for i, v := range f.vms {
		for _, r := range s.running {
			if r.vm == v {
				f.update(i, r.life, Lost{
					Request: teaselstream.AttemptID(fmt.Sprint(r.id)), Server: s.id, Incarnation: s.incarnation, Traits: r.traits, Begun: r.begun,
				})
			}
		}
	}
	clear(s.running)
	f.After(restart, func() {
		s.down = false
		s.incarnation++
	})
}

// cutVM makes all requests of a VM end as if their servers had.
func (f *fleetRun) cutVM(i int) {
	for _, s := range f.servers {
		for id, r := range s.running {
			if r.vm != f.vms[i] {
				continue
			}
			delete(s.running, id)
			f.update(i, r.life, Lost{
				Request: teaselstream.AttemptID(fmt.Sprint(r.id)), Server: s.id, Incarnation: s.incarnation, Traits: r.traits, Begun: r.begun,
			})
		}
	}
}

// refusedShare returns the share of the sound requests in a time span that were refused.
func (f *fleetRun) refusedShare(from, to time.Time) float64 {
	n, refused := 0, 0
	for _, x := range f.sound {
		if !x.at.Before(from) && x.at.Before(to) {
			n++
			if x.refused {
				refused++
			}
		}
	}
	return float64(refused) / float64(max(n, 1))
}

// Guards against requests with a trait that crashes servers reaching more than three of them later than contactTime after the
// crash that counts, and against sound requests being refused with them: in fleets of 8 and 295 VMs, with reports that arrive late,
// with VMs that start meanwhile, and after many servers ended at the same time for another reason.
func TestFleets(t *testing.T) {
	for name, o := range map[string]fleetOptions{
		"small":        {vms: 8, servers: 12, soundPerSecond: 80, harmfulPerSecond: 2},
		"shared-first": {vms: 8, servers: 12, soundPerSecond: 80, harmfulPerSecond: 2, sharedFirst: true},
		"repeated":     {vms: 8, servers: 12, soundPerSecond: 80, harmfulPerSecond: 2, repeated: true},
		"starting-vms": {vms: 8, servers: 12, soundPerSecond: 80, harmfulPerSecond: 2, restarts: true},
		"mass-crash":   {vms: 8, servers: 24, soundPerSecond: 160, harmfulPerSecond: 2, massCrash: true},
		"cut":          {vms: 8, servers: 24, soundPerSecond: 400, harmfulPerSecond: 2, cut: true},
		"few-servers":  {vms: 8, servers: 5, soundPerSecond: 80, harmfulPerSecond: 3},
		"large":        {vms: 295, servers: 100, soundPerSecond: 400, harmfulPerSecond: 5, massCrash: true},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				newFleetRun(t, seed, o).check()
			})
		}
	}
}

func (f *fleetRun) check() {
	f.RunUntil(f.start.Add(4 * time.Second))
	if f.massCrash {
		for _, s := range f.servers[:len(f.servers)/6] {
			f.crash(s)
		}
		f.RunUntil(f.start.Add(8 * time.Second))
		if share := f.refusedShare(f.start, f.Now()); share > 0 {
			f.t.Errorf("%.3f of the sound requests were refused after servers ended for another reason", share)
		}
	}
	if f.cut {
		f.cutVM(0)
		f.RunUntil(f.Now().Add(4 * time.Second))
		if share := f.refusedShare(f.start, f.Now()); share > 0 {
			f.t.Errorf("%.3f of the sound requests were refused after a VM was cut off", share)
		}
	}
	f.arrivals(f.harmfulPerSecond, f.sendHarmful)
	if f.restarts {
		var next func()
		next = func() {
			f.startVM(f.rand.IntN(len(f.vms)))
			f.After(time.Second, next)
		}
		f.After(0, next)
	}
	f.RunUntil(f.Now().Add(30 * time.Second))
	counted := 5
	if f.repeated {
		counted = 3
	}
	last := f.crashes[min(counted, len(f.crashes))-1]
	late := 0
	for _, at := range f.harmfulAt {
		if at.After(last.Add(contactTime)) {
			late++
		}
	}
	if late > 3 {
		f.t.Errorf("%d harmful requests reached servers later than %s after the crash that counts, want at most 3; %d crashes", late, contactTime, len(f.crashes))
	}
	if share := f.refusedShare(last.Add(2*contactTime), f.Now()); share > 0.01 {
		f.t.Errorf("%.3f of the sound requests were refused", share)
	}
	f.t.Logf("%d crashes, %d late", len(f.crashes), late)
}

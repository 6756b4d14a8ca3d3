package runs

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/drain"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/member"
	"github.com/teaselstream/teaselstream/node"
	"github.com/teaselstream/teaselstream/place"
	"github.com/teaselstream/teaselstream/spread"
	"github.com/teaselstream/teaselstream/wire"
)

// VM is one VM's control core with the shell replaced.
type VM struct {
	Name     teaselstream.VMID
	Domain   teaselstream.DomainID
	Snapshot *teaselstream.Snapshot
	// Streams is the number of requests in flight.
	Streams int
	// Exited reports a planned stop that ended.
	Exited    bool
	SentBytes int

	fleet       *Fleet
	node        *node.Node
	incarnation teaselstream.Incarnation
	// run numbers the processes on this VM; events of earlier ones are dropped.
	run    int
	up     bool
	paused bool
	// closed reports that a stopping VM takes no new requests.
	closed  bool
	waiting []teaselstream.Msg
	watches map[bool]func()
	// orderDelay holds orders back, as a pause between the last check and the write does.
	orderDelay time.Duration
}

// AddVM adds a VM that is not started.
func (f *Fleet) AddVM(name teaselstream.VMID, d teaselstream.DomainID) *VM {
	v := &VM{Name: name, Domain: d, fleet: f}
	f.vms[name] = v
	return v
}

// StartAll starts all VMs.
func (f *Fleet) StartAll() {
	for _, v := range f.VMs() {
		v.Start()
	}
}

// Tell gives the VM's control side a message of its traffic.
func (v *VM) Tell(m teaselstream.Msg) { v.post(m) }

// Running reports whether the VM's process runs, paused or not.
func (v *VM) Running() bool { return v.up }

// Start starts a new process.
func (v *VM) Start() {
	if v.up {
		return
	}
	f := v.fleet
	v.run++
	v.incarnation++
	v.up, v.paused, v.closed, v.Exited, v.waiting, v.Snapshot, v.Streams = true, false, false, false, nil, nil, 0
	v.watches = map[bool]func(){}
	v.node = node.New(node.Config{
		VM: v.Name, Domain: v.Domain, Address: string(v.Name), Incarnation: v.incarnation, Environment: "run",
		Format: f.c.Format, Rand: rand.New(rand.NewPCG(f.c.Seed+uint64(v.run), nameSeed(v.Name))),
		Recorder: f.Recorder, Faults: f.c.Faults, DrainDelay: time.Second,
	})
	// Processes do not tick in step.
	f.Queue.After(time.Duration(f.rand.Float64()*float64(f.c.Tick)), v.ticker(v.run))
	if f.c.Traffic > 0 {
		f.Queue.After(f.c.Traffic, v.traffic(v.run))
	}
}

func nameSeed(n teaselstream.VMID) uint64 {
	var s uint64
	for _, c := range []byte(n) {
		s = s*31 + uint64(c)
	}
	return s
}

// Kill ends the process at once.
func (v *VM) Kill() {
	v.up = false
	for _, stop := range v.watches {
		stop()
	}
}

// Stop begins a planned stop.
func (v *VM) Stop() { v.post(drain.Stop{}) }

// Pause stops the process for a time; what arrives meanwhile waits.
func (v *VM) Pause(d time.Duration) {
	if !v.up || v.paused {
		return
	}
	v.paused = true
	run := v.run
	v.fleet.Queue.After(d, func() {
		if v.run != run || !v.up {
			return
		}
		v.paused = false
		w := v.waiting
		v.waiting = nil
		for _, m := range w {
			v.post(m)
		}
	})
}

func (v *VM) ticker(run int) func() {
	return func() {
		if !v.up || v.run != run {
			return
		}
		if !v.paused {
			v.post(teaselstream.Tick{})
		}
		v.fleet.Queue.After(v.fleet.c.Tick, v.ticker(run))
	}
}

func (v *VM) receive(from teaselstream.VMID, m wire.Message) {
	v.post(node.PeerMessage{From: from, Message: m})
}

// post gives the core a message and carries out its commands.
func (v *VM) post(m teaselstream.Msg) {
	if !v.up {
		return
	}
	if v.paused {
		v.waiting = append(v.waiting, m)
		return
	}
	for _, c := range v.node.Update(v.fleet.Queue.Now(), m) {
		if v.fleet.c.Observe != nil {
			v.fleet.c.Observe(v.Name, c)
		}
		v.carry(c)
	}
}

// later returns a function that posts a message unless the process has ended since.
func (v *VM) later() func(teaselstream.Msg) {
	run := v.run
	return func(m teaselstream.Msg) {
		if v.run == run {
			v.post(m)
		}
	}
}

func (v *VM) carry(c teaselstream.Cmd) {
	f, post := v.fleet, v.later()
	switch x := c.(type) {
	case node.Publish:
		v.publish(x.Snapshot)
	case node.Send:
		f.deliver(v, x.To, x.Message)
	case spread.WatchSlot:
		v.watch(x, post)
	case spread.StopWatch:
		if stop := v.watches[x.Trial]; stop != nil {
			stop()
		}
	case spread.ReadBody:
		v.reach(func(err error) { post(spread.BodyRead{Trial: x.Trial, Digest: x.Digest, Err: err}) }, func() {
			f.Store.Get("body/"+string(x.Digest), func(r teaselstream.Record, err error) {
				post(spread.BodyRead{Trial: x.Trial, Digest: x.Digest, Canonical: r.Value, Err: err})
			})
		})
	case member.ReadList:
		f.Queue.After(storeLatency, func() {
			if f.List == ListDown || f.Net.noStore[v.Domain] {
				post(member.ListRead{Err: teaselstream.ErrUnavailable})
				return
			}
			post(member.ListRead{Entries: f.list()})
		})
	case member.PollLoad:
		f.Polls++
		v.load(x.Server, post)
	case member.ProbeServer:
		v.load(x.Server, post)
	case place.Grant, place.KeepAlive, place.ReadKey, place.WriteKey, place.SendOrder, place.ReadOrders:
		v.place(x, post)
	case drain.CloseListeners:
		v.closed = true
	case drain.CountInFlight:
		f.Queue.After(0, func() { post(drain.InFlight{Streams: v.Streams}) })
	case drain.Exit:
		if v.Streams > 0 {
			f.Recorder.Check(false, invar.GracefulStop, "VM %s cut %d streams", v.Name, v.Streams)
		}
		v.Exited = true
		v.Kill()
	}
}

// reach runs f if the VM's domain reaches the platform.
func (v *VM) reach(fail func(error), f func()) {
	if v.fleet.Net.noStore[v.Domain] {
		v.fleet.Store.Calls++
		v.fleet.Queue.After(callTimeout, func() { fail(teaselstream.ErrUnavailable) })
		return
	}
	f()
}

func (v *VM) watch(x spread.WatchSlot, post func(teaselstream.Msg)) {
	key := "prod"
	if x.Trial {
		key = "trial"
	}
	if stop := v.watches[x.Trial]; stop != nil {
		stop()
	}
	answer := func(r teaselstream.Record, err error) {
		m := spread.SlotRead{Trial: x.Trial, Revision: r.Revision, Err: err}
		if err == nil {
			var s slotRecord
			if e := json.Unmarshal(r.Value, &s); e != nil {
				panic(e)
			}
			m.Generation, m.Digest = s.Generation, s.Digest
		}
		post(m)
	}
	v.reach(func(err error) { answer(teaselstream.Record{}, err) }, func() {
		v.watches[x.Trial] = v.fleet.Store.Watch(key, x.After, answer)
	})
}

// load asks a server for its load; a cut between domains concerns servers only if the configuration says so.
func (v *VM) load(id teaselstream.ServerID, post func(teaselstream.Msg)) {
	s := v.fleet.servers[id]
	if s == nil || s.Mute || v.fleet.c.CutServers && v.fleet.Net.cut[[2]teaselstream.DomainID{v.Domain, s.Domain}] {
		v.fleet.Queue.After(callTimeout, func() {
			post(member.LoadRead{Server: id, Err: teaselstream.ErrOutcomeUnknown})
		})
		return
	}
	v.fleet.Queue.After(2*v.fleet.Net.Latency, func() {
		if s.Dead {
			post(member.LoadRead{Server: id, Err: teaselstream.ErrUnavailable, Refused: true})
			return
		}
		post(member.LoadRead{Server: id, Load: s.load()})
	})
}

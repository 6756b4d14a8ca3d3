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

// VM is the control core of one VM; the fleet executes its commands instead of the real process.
type VM struct {
	Name     teaselstream.VMID
	Domain   teaselstream.DomainID
	Snapshot *teaselstream.Snapshot
	// Streams is the number of requests in flight.
	Streams int
	// Exited reports that a graceful stop has completed.
	Exited    bool
	SentBytes int

	fleet       *Fleet
	node        *node.Node
	incarnation teaselstream.Incarnation
	// process is the number of the current process on this VM; events of earlier ones are dropped.
	process int
	running bool
	paused  bool
	// listenersClosed reports that a stopping VM accepts no new requests.
	listenersClosed bool
	queued          []teaselstream.Msg
	// watches holds the functions that cancel the watches of the production (false) and trial (true) slots.
	watches map[bool]func()
	// orderDelay delays placement orders, as a pause of the process between its last check and the send does.
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

// Post passes a message of the VM's data plane to its control core.
func (v *VM) Post(m teaselstream.Msg) { v.post(m) }

// Running reports whether the VM's process runs, paused or not.
func (v *VM) Running() bool { return v.running }

// Start starts a new process.
func (v *VM) Start() {
	if v.running {
		return
	}
	f := v.fleet
	v.process++
	v.incarnation++
	v.running, v.paused, v.listenersClosed, v.Exited, v.queued, v.Snapshot, v.Streams = true, false, false, false, nil, nil, 0
	v.watches = map[bool]func(){}
	v.node = node.New(node.Config{
		VM: v.Name, Domain: v.Domain, Address: string(v.Name), Incarnation: v.incarnation, Environment: "run",
		Format: f.c.Format, Rand: rand.New(rand.NewPCG(f.c.Seed+uint64(v.process), nameSeed(v.Name))),
		Recorder: f.Recorder, Faults: f.c.Faults, DrainDelay: time.Second,
	})
	// A random offset keeps the processes from ticking at the same instants.
	f.Queue.After(time.Duration(f.rand.Float64()*float64(f.c.Tick)), v.ticker(v.process))
	if f.c.TrafficPeriod > 0 {
		f.Queue.After(f.c.TrafficPeriod, v.traffic(v.process))
	}
}

func nameSeed(n teaselstream.VMID) uint64 {
	var s uint64
	for _, c := range []byte(n) {
		s = s*31 + uint64(c)
	}
	return s
}

// Kill ends the process without a graceful stop.
func (v *VM) Kill() {
	v.running = false
	for _, stop := range v.watches {
		stop()
	}
}

// Stop begins a graceful stop.
func (v *VM) Stop() { v.post(drain.Stop{}) }

// Pause suspends the process for a time; messages that arrive meanwhile are queued.
func (v *VM) Pause(d time.Duration) {
	if !v.running || v.paused {
		return
	}
	v.paused = true
	process := v.process
	v.fleet.Queue.After(d, func() {
		if v.process != process || !v.running {
			return
		}
		v.paused = false
		w := v.queued
		v.queued = nil
		for _, m := range w {
			v.post(m)
		}
	})
}

func (v *VM) ticker(process int) func() {
	return func() {
		if !v.running || v.process != process {
			return
		}
		if !v.paused {
			v.post(teaselstream.Tick{})
		}
		v.fleet.Queue.After(v.fleet.c.Tick, v.ticker(process))
	}
}

func (v *VM) receive(from teaselstream.VMID, m wire.Message) {
	v.post(node.PeerMessage{From: from, Message: m})
}

// post passes a message to the core and executes the commands that it returns.
func (v *VM) post(m teaselstream.Msg) {
	if !v.running {
		return
	}
	if v.paused {
		v.queued = append(v.queued, m)
		return
	}
	for _, c := range v.node.Update(v.fleet.Queue.Now(), m) {
		if v.fleet.c.Observe != nil {
			v.fleet.c.Observe(v.Name, c)
		}
		v.execute(c)
	}
}

// poster returns a function that posts a message unless the current process has ended since.
func (v *VM) poster() func(teaselstream.Msg) {
	process := v.process
	return func(m teaselstream.Msg) {
		if v.process == process {
			v.post(m)
		}
	}
}

func (v *VM) execute(c teaselstream.Cmd) {
	f, post := v.fleet, v.poster()
	switch x := c.(type) {
	case node.Publish:
		v.applySnapshot(x.Snapshot)
	case node.Send:
		f.deliver(v, x.To, x.Message)
	case spread.WatchSlot:
		v.watch(x, post)
	case spread.StopWatch:
		if stop := v.watches[x.Trial]; stop != nil {
			stop()
		}
	case spread.ReadBody:
		v.callPlatform(func(err error) { post(spread.BodyRead{Trial: x.Trial, Digest: x.Digest, Err: err}) }, func() {
			f.Store.Get("body/"+string(x.Digest), func(r teaselstream.Record, err error) {
				post(spread.BodyRead{Trial: x.Trial, Digest: x.Digest, Canonical: r.Value, Err: err})
			})
		})
	case member.ReadList:
		f.Queue.After(storeLatency, func() {
			if f.CurrentListMode == ListUnavailable || f.Network.storeUnreachable[v.Domain] {
				post(member.ListRead{Err: teaselstream.ErrUnavailable})
				return
			}
			post(member.ListRead{Entries: f.list()})
		})
	case member.PollLoad:
		f.LoadPolls++
		v.load(x.Server, post)
	case member.ProbeServer:
		v.load(x.Server, post)
	case place.Grant, place.KeepAlive, place.ReadKey, place.WriteKey, place.SendOrder, place.ReadOrders:
		v.place(x, post)
	case drain.CloseListeners:
		v.listenersClosed = true
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

// callPlatform runs f if the VM's domain reaches the platform; otherwise it calls fail after the call timeout.
func (v *VM) callPlatform(fail func(error), f func()) {
	if v.fleet.Network.storeUnreachable[v.Domain] {
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
	v.callPlatform(func(err error) { answer(teaselstream.Record{}, err) }, func() {
		v.watches[x.Trial] = v.fleet.Store.Watch(key, x.After, answer)
	})
}

// load reads a server's load; a partition between domains blocks the call only with Config.PartitionServers.
func (v *VM) load(id teaselstream.ServerID, post func(teaselstream.Msg)) {
	s := v.fleet.servers[id]
	if s == nil || s.Unresponsive || v.fleet.c.PartitionServers && v.fleet.Network.partitioned[[2]teaselstream.DomainID{v.Domain, s.Domain}] {
		v.fleet.Queue.After(callTimeout, func() {
			post(member.LoadRead{Server: id, Err: teaselstream.ErrOutcomeUnknown})
		})
		return
	}
	v.fleet.Queue.After(2*v.fleet.Network.Latency, func() {
		if s.Dead {
			post(member.LoadRead{Server: id, Err: teaselstream.ErrUnavailable, Refused: true})
			return
		}
		post(member.LoadRead{Server: id, Load: s.load()})
	})
}

package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/order"
	"github.com/teaselstream/teaselstream/vtime"
)

// tickEvery is the period of ticks; the shell uses the same.
const tickEvery = 5 * time.Millisecond

type (
	// Config describes a fleet.
	Config struct {
		Start  time.Time
		VMs    int
		Seed   uint64
		Spec   teaselstream.ServiceSpec
		Faults invar.Faults
		// Tick is the period of ticks; 0 means that of the shell.
		Tick time.Duration
		// ServiceTime is how long the service takes for a call.
		ServiceTime time.Duration
		// SealBytes is the size of a segment; 0 means that of the shell.
		SealBytes int
		// SumSegments is the number of segments whose keys are joined; 0 means that of the shell.
		SumSegments int
	}

	// Fleet is a set of VMs with their store, service and links.
	Fleet struct {
		Queue      *vtime.Queue
		Store      *Store
		VMs        []*VM
		Invariants invar.Recorder
		// OnReply is told of every reply.
		OnReply func(vm int, r order.Reply)
		// OnAccept is told of every call that a VM takes, which may be later than its submission.
		OnAccept func(teaselstream.RequestID)
		// OnStep is told of every message and its commands.
		OnStep func(vm *VM, m teaselstream.Msg, out []teaselstream.Cmd)
		// StoreFault, SendEffect and LinkEffect choose faults; nil means none.
		StoreFault func(vm *VM, write bool) StoreFault
		SendFault  func(vm *VM) SendFault
		LinkFault  func(from, to *VM) LinkFault

		config  Config
		orders  int
		service *service
		rand    *rand.Rand
	}

	// VM is one core with the state of its shell.
	VM struct {
		Name   teaselstream.VMID
		Number int
		Log    *order.Log
		run    teaselstream.Incarnation
		fleet  *Fleet
		alive  bool
		live   []teaselstream.VMID
		paused bool
		// woke is the end of the last pause.
		woke  time.Time
		inbox []func()
	}

	// SendFault says what goes wrong with one call to the service.
	SendFault struct {
		// Refuse certifies that nothing was written.
		Refuse bool
		// Lose loses the answer after the effect, and Drop the call before it; both are reported as of unknown outcome.
		Lose bool
		Drop bool
		// Delay postpones the arrival at the service; beyond the service's timeout the answer is lost.
		Delay time.Duration
	}

	// LinkFault says what goes wrong with one message between VMs.
	LinkFault struct {
		Down      bool
		Drop      bool
		Duplicate bool
		Delay     time.Duration
	}
)

// New returns a running fleet.
func New(c Config) *Fleet {
	q := vtime.NewQueue(c.Start)
	f := &Fleet{Queue: q, Store: newStore(q), config: c, service: newService(c.Spec.ChecksFencing), rand: rand.New(rand.NewPCG(c.Seed, 1))}
	if f.config.Tick == 0 {
		f.config.Tick = tickEvery
	}
	for n := range c.VMs {
		f.VMs = append(f.VMs, &VM{Name: teaselstream.VMID(fmt.Sprintf("vm%d", n+1)), Number: n, fleet: f})
	}
	for _, v := range f.VMs {
		v.Start()
	}
	f.SetViews(nil)
	return f
}

// SetViews tells each VM which VMs are live; a nil function means all that run.
func (f *Fleet) SetViews(sees func(v, w *VM) bool) {
	for _, v := range f.VMs {
		var live []teaselstream.VMID
		for _, w := range f.VMs {
			if v == w || (w.alive && (sees == nil || sees(v, w))) {
				live = append(live, w.Name)
			}
		}
		v.live = live
		v.Update(order.View{Live: live})
	}
}

// Start starts a VM with an empty core and a new incarnation.
func (v *VM) Start() {
	v.run++
	v.alive, v.paused, v.inbox = true, false, nil
	v.Log = order.New(order.Config{
		VM: v.Name, Incarnation: v.run, Rand: rand.New(rand.NewPCG(v.fleet.config.Seed, uint64(v.Number)*1000+uint64(v.run))),
		Invariants: &v.fleet.Invariants, Faults: v.fleet.config.Faults, SealBytes: v.fleet.config.SealBytes, SummarySegments: v.fleet.config.SumSegments,
	})
	if v.live != nil {
		v.Update(order.View{Live: v.live})
	}
	v.tick()
}

// Kill stops a VM at once; what it has sent is still on its way.
func (v *VM) Kill() { v.alive = false }

// Alive reports whether the VM runs.
func (v *VM) Alive() bool { return v.alive }

// Pause stops a VM's process for a time, after which it handles what has arrived.
func (v *VM) Pause(d time.Duration) {
	if v.paused {
		return
	}
	v.paused = true
	run := v.run
	v.fleet.Queue.After(d, func() {
		if !v.alive || v.run != run {
			return
		}
		v.paused, v.woke = false, v.fleet.Queue.Now()
		todo := v.inbox
		v.inbox = nil
		for _, f := range todo {
			f()
		}
	})
}

// deliver runs f in this incarnation of the VM, after a pause if there is one.
func (v *VM) deliver(run teaselstream.Incarnation, f func()) {
	switch {
	case !v.alive || v.run != run:
	case v.paused:
		v.inbox = append(v.inbox, f)
	default:
		f()
	}
}

func (v *VM) tick() {
	run := v.run
	v.fleet.Queue.After(v.fleet.config.Tick, func() {
		if v.alive && v.run == run {
			if !v.paused {
				v.Update(teaselstream.Tick{})
			}
			v.tick()
		}
	})
}

// Submit gives a VM a call with the key.
func (v *VM) Submit(r teaselstream.RequestID, c teaselstream.ServiceCall, deadline time.Time) {
	v.deliver(v.run, func() {
		if v.fleet.OnAccept != nil {
			v.fleet.OnAccept(r)
		}
		v.Update(order.Submit{Request: r, Team: "team", Service: v.fleet.config.Spec, Call: c, Deadline: deadline})
	})
}

// Update gives the core a message and carries out its commands.
func (v *VM) Update(m teaselstream.Msg) {
	if !v.alive {
		return
	}
	out := v.Log.Update(v.fleet.Queue.Now(), m)
	if v.fleet.OnStep != nil {
		v.fleet.OnStep(v, m, out)
	}
	for _, c := range out {
		v.execute(c)
	}
}

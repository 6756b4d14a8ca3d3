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

// tickInterval is the period of ticks; the shell uses the same.
const tickInterval = 5 * time.Millisecond

// goodbyeTime is the time between the last count of open calls and the exit; package drain waits that long for its goodbye
// to leave the send buffers.
const goodbyeTime = 200 * time.Millisecond

type (
	// Config configures a Fleet.
	Config struct {
		Start  time.Time
		VMs    int
		Seed   uint64
		Spec   teaselstream.ServiceSpec
		Faults invar.Faults
		// Tick is the period of ticks; 0 means tickInterval.
		Tick time.Duration
		// ServiceTime is how long the service takes for a call.
		ServiceTime time.Duration
		// SealBytes is the size at which a head's entries are sealed as a segment; 0 means the default of package
		// order.
		SealBytes int
		// SummarySegments is the number of segments in one summary; 0 means the default of package order.
		SummarySegments int
	}

	// Fleet is a set of VMs with their store, service and links.
	Fleet struct {
		Queue             *vtime.Queue
		Store             *Store
		VMs               []*VM
		InvariantRecorder invar.Recorder
		// OnReply is called for every reply.
		OnReply func(vm int, r order.Reply)
		// OnAccept is called when a VM accepts a call, which may be later than its submission.
		OnAccept func(teaselstream.RequestID)
		// OnStep is called with every message and the commands that follow from it.
		OnStep func(vm *VM, m teaselstream.Msg, out []teaselstream.Cmd)
		// StoreFault, SendFault and LinkFault choose the faults of one operation; nil means none.
		StoreFault func(vm *VM, write bool) StoreOpFault
		SendFault  func(vm *VM) SendFault
		LinkFault  func(from, to *VM) LinkFault

		config         Config
		submittedCalls int
		service        *service
		rand           *rand.Rand
	}

	// VM is one core with the state of its shell.
	VM struct {
		Name        teaselstream.VMID
		Number      int
		Log         *order.Log
		incarnation teaselstream.Incarnation
		fleet       *Fleet
		alive       bool
		leaving     bool
		live        []teaselstream.VMID
		paused      bool
		// resumedAt is the end of the last pause.
		resumedAt time.Time
		inbox     []func()
	}

	// SendFault describes the faults of one call to the service.
	SendFault struct {
		// Refuse fails the call and certifies that nothing was written.
		Refuse bool
		// Lose drops the answer after the call ran, and Drop the call before it runs; both are reported with an unknown
		// outcome.
		Lose bool
		Drop bool
		// Delay postpones the arrival at the service; if it exceeds the service's timeout, the answer is lost.
		Delay time.Duration
	}

	// LinkFault describes the faults of one message between VMs.
	LinkFault struct {
		Down      bool
		Drop      bool
		Duplicate bool
		Delay     time.Duration
	}
)

// New returns a Fleet whose VMs run.
func New(c Config) *Fleet {
	q := vtime.NewQueue(c.Start)
	f := &Fleet{Queue: q, Store: newStore(q), config: c, service: newService(c.Spec.ChecksFencing), rand: rand.New(rand.NewPCG(c.Seed, 1))}
	if f.config.Tick == 0 {
		f.config.Tick = tickInterval
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

// SetViews tells each VM which VMs are live; if sees is nil, these are all running VMs.
func (f *Fleet) SetViews(sees func(v, w *VM) bool) {
	for _, v := range f.VMs {
		var live, leaving []teaselstream.VMID
		for _, w := range f.VMs {
			if v == w || (w.alive && (sees == nil || sees(v, w))) {
				live = append(live, w.Name)
				if w.leaving {
					leaving = append(leaving, w.Name)
				}
			}
		}
		v.live = live
		v.Update(order.View{Live: live, Leaving: leaving})
	}
}

// Start starts a VM with an empty core and a new incarnation.
func (v *VM) Start() {
	v.incarnation++
	v.alive, v.paused, v.inbox = true, false, nil
	v.Log = order.New(order.Config{
		VM: v.Name, Incarnation: v.incarnation, Rand: rand.New(rand.NewPCG(v.fleet.config.Seed, uint64(v.Number)*1000+uint64(v.incarnation))),
		Invariants: &v.fleet.InvariantRecorder, Faults: v.fleet.config.Faults, SealBytes: v.fleet.config.SealBytes, SummarySegments: v.fleet.config.SummarySegments,
	})
	if v.live != nil {
		v.Update(order.View{Live: v.live})
	}
	v.tick()
}

// Stop shuts a VM down as planned: the other VMs learn that it leaves, and after the delay, once it has no call in progress,
// it ends within goodbyeTime.
func (v *VM) Stop(delay time.Duration) {
	v.leaving = true
	v.fleet.SetViews(nil)
	var end func()
	end = func() {
		if v.Log.Busy() {
			v.fleet.Queue.After(v.fleet.config.Tick, end)
			return
		}
		v.fleet.Queue.After(goodbyeTime, func() {
			v.Kill()
			v.fleet.SetViews(nil)
		})
	}
	v.fleet.Queue.After(delay, end)
}

// Kill stops a VM immediately; messages that it has sent still arrive.
func (v *VM) Kill() { v.alive = false }

// Alive reports whether the VM runs.
func (v *VM) Alive() bool { return v.alive }

// Pause suspends a VM for d; then it handles the messages that arrived meanwhile.
func (v *VM) Pause(d time.Duration) {
	if v.paused {
		return
	}
	v.paused = true
	incarnation := v.incarnation
	v.fleet.Queue.After(d, func() {
		if !v.alive || v.incarnation != incarnation {
			return
		}
		v.paused, v.resumedAt = false, v.fleet.Queue.Now()
		todo := v.inbox
		v.inbox = nil
		for _, f := range todo {
			f()
		}
	})
}

// deliver runs f if the VM still has the given incarnation; a paused VM runs it when the pause ends.
func (v *VM) deliver(incarnation teaselstream.Incarnation, f func()) {
	switch {
	case !v.alive || v.incarnation != incarnation:
	case v.paused:
		v.inbox = append(v.inbox, f)
	default:
		f()
	}
}

func (v *VM) tick() {
	incarnation := v.incarnation
	v.fleet.Queue.After(v.fleet.config.Tick, func() {
		if v.alive && v.incarnation == incarnation {
			if !v.paused {
				v.Update(teaselstream.Tick{})
			}
			v.tick()
		}
	})
}

// Submit submits a call to the VM.
func (v *VM) Submit(r teaselstream.RequestID, c teaselstream.ServiceCall, deadline time.Time) {
	v.deliver(v.incarnation, func() {
		if v.fleet.OnAccept != nil {
			v.fleet.OnAccept(r)
		}
		v.Update(order.Submit{Request: r, Team: "team", Service: v.fleet.config.Spec, Call: c, Deadline: deadline})
	})
}

// Update passes a message to the core and executes its commands.
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

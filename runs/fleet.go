package runs

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/spread"
	"github.com/teaselstream/teaselstream/vtime"
	"github.com/teaselstream/teaselstream/wire"
)

type (
	// Config describes a simulated fleet.
	Config struct {
		Seed    uint64
		Domains int
		VMs     int
		// Document holds the lines of the document that is promoted at the start; see Format.
		Document []string
		Format   spread.Format
		Faults   invar.Faults
		// Tick is the period of the state machines' ticks; 0 means 100 ms.
		Tick time.Duration
		// TrafficPeriod is the time between requests of each VM to a random server; 0 means no traffic.
		TrafficPeriod time.Duration
		// PartitionServers makes a partition between domains block calls from VMs to servers too.
		PartitionServers bool
		// Observe is called with each command that a core returns, for transcripts; it may be nil.
		Observe func(vm teaselstream.VMID, c teaselstream.Cmd)
	}

	// Fleet is a set of VMs and their external systems under one virtual clock.
	Fleet struct {
		c        Config
		Queue    *vtime.Queue
		Store    *Store
		Recorder *invar.Recorder
		// Network holds the latency and faults of the links between VMs.
		Network Network
		// CurrentListMode selects what the platform's list answers.
		CurrentListMode ListMode
		servers         map[teaselstream.ServerID]*Server
		vms             map[teaselstream.VMID]*VM
		rand            *rand.Rand
		start           time.Time

		generations [2]teaselstream.Generation
		staleList   []teaselstream.ListEntry
		// Messages and Bytes count the traffic between VMs.
		Messages, Bytes int
		LoadPolls       int
		// LayerLosses describes the placement orders that removed the last copy of a layer.
		LayerLosses []string
	}

	// Network describes the links between VMs.
	Network struct {
		Latency time.Duration
		// Jitter is the largest delay added to a message; it reorders the messages of a link.
		// DuplicateRate and DropRate are shares of the messages.
		Jitter        time.Duration
		DuplicateRate float64
		DropRate      float64
		// partitioned holds pairs of domains that cannot reach each other.
		partitioned map[[2]teaselstream.DomainID]bool
		// storeUnreachable holds domains that cannot reach the store and the list.
		storeUnreachable map[teaselstream.DomainID]bool
	}

	// ListMode selects the answers of the platform's list.
	ListMode uint8

	slotRecord struct {
		Generation teaselstream.Generation
		Digest     teaselstream.Digest
	}
)

// Modes of the platform's list.
const (
	// ListAccurate lists the VMs and servers that run, with their states.
	ListAccurate ListMode = iota
	ListEmpty
	// ListStale repeats the entries of the time when the mode was set.
	ListStale
	// ListAllLeaving marks all entries as leaving.
	ListAllLeaving
	// ListUnavailable fails each read.
	ListUnavailable
)

// NewFleet returns a fleet whose VMs are not started yet.
func NewFleet(c Config) *Fleet {
	if c.Tick == 0 {
		c.Tick = 100 * time.Millisecond
	}
	if c.Format == nil {
		c.Format = Format{}
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := &Fleet{
		c: c, Queue: vtime.NewQueue(start), Recorder: &invar.Recorder{}, start: start,
		servers: map[teaselstream.ServerID]*Server{}, vms: map[teaselstream.VMID]*VM{},
		rand: rand.New(rand.NewPCG(c.Seed, 1)),
		Network: Network{
			Latency: 500 * time.Microsecond, partitioned: map[[2]teaselstream.DomainID]bool{}, storeUnreachable: map[teaselstream.DomainID]bool{},
		},
	}
	f.Store = newStore(f.Queue, rand.New(rand.NewPCG(c.Seed, 2)))
	if len(c.Document) > 0 {
		f.Promote(Canonical(c.Document), false)
	}
	for i := range c.VMs {
		f.AddVM(VMName(i), DomainName(i%max(c.Domains, 1)))
	}
	return f
}

// VMName returns the name of the i-th VM.
func VMName(i int) teaselstream.VMID { return teaselstream.VMID(fmt.Sprintf("vm%03d", i)) }

// DomainName returns the name of the i-th domain.
func DomainName(i int) teaselstream.DomainID { return teaselstream.DomainID(fmt.Sprintf("d%d", i)) }

// Run processes the events of the next d and advances the virtual clock by d.
func (f *Fleet) Run(d time.Duration) { f.Queue.RunUntil(f.Queue.Now().Add(d)) }

// Elapsed returns the virtual time since the fleet was created.
func (f *Fleet) Elapsed() time.Duration { return f.Queue.Now().Sub(f.start) }

// Promote writes a document to the production or trial slot; it succeeds during a store outage too.
func (f *Fleet) Promote(canonical []byte, trial bool) teaselstream.Generation {
	i, key := 0, "prod"
	if trial {
		i, key = 1, "trial"
	}
	d, err := f.c.Format.Parse(canonical)
	if err != nil {
		panic(err)
	}
	for id, v := range d.Servers {
		if f.servers[id] == nil {
			f.servers[id] = newServer(f, v)
		}
	}
	f.generations[i]++
	digest := f.c.Format.DigestOf(canonical)
	f.put("body/"+string(digest), canonical)
	b, err := json.Marshal(slotRecord{f.generations[i], digest})
	if err != nil {
		panic(err)
	}
	f.put(key, b)
	return f.generations[i]
}

func (f *Fleet) put(key string, value []byte) {
	r, _ := f.Store.read(key)
	if _, err := f.Store.write(key, r.Revision, value, 0); err != nil {
		panic(err)
	}
}

// SetPartitioned separates two domains or reconnects them.
func (f *Fleet) SetPartitioned(a, b teaselstream.DomainID, partitioned bool) {
	f.Network.partitioned[[2]teaselstream.DomainID{a, b}] = partitioned
	f.Network.partitioned[[2]teaselstream.DomainID{b, a}] = partitioned
}

// SetIsolated separates a domain from all others, the store and the list, or reconnects it.
func (f *Fleet) SetIsolated(d teaselstream.DomainID, isolated bool) {
	f.Network.storeUnreachable[d] = isolated
	for _, v := range f.VMs() {
		if v.Domain != d {
			f.SetPartitioned(d, v.Domain, isolated)
			continue
		}
		for _, trial := range []bool{false, true} {
			if stop := v.watches[trial]; isolated && stop != nil {
				stop()
				post := v.poster()
				f.Queue.After(callTimeout, func() { post(spread.SlotRead{Trial: trial, Err: teaselstream.ErrUnavailable}) })
			}
		}
	}
}

// IsPartitioned reports whether two domains are separated.
func (f *Fleet) IsPartitioned(a, b teaselstream.DomainID) bool {
	return f.Network.partitioned[[2]teaselstream.DomainID{a, b}]
}

// deliver encodes a message, applies the faults of the link and passes the decoded message to the receiver.
func (f *Fleet) deliver(from *VM, to teaselstream.VMID, m wire.Message) {
	b, err := wire.Encode(1, m)
	if err != nil {
		panic(err)
	}
	f.Messages++
	f.Bytes += len(b)
	from.SentBytes += len(b)
	t := f.vms[to]
	if t == nil || f.Network.partitioned[[2]teaselstream.DomainID{from.Domain, t.Domain}] || f.rand.Float64() < f.Network.DropRate {
		return
	}
	n := 1
	if f.rand.Float64() < f.Network.DuplicateRate {
		n = 2
	}
	for range n {
		d := f.Network.Latency + time.Duration(f.rand.Float64()*float64(f.Network.Jitter))
		f.Queue.After(d, func() {
			if f.Network.partitioned[[2]teaselstream.DomainID{from.Domain, t.Domain}] {
				return
			}
			_, x, err := wire.Decode(b)
			if err != nil {
				panic(err)
			}
			t.receive(from.Name, x)
		})
	}
}

// SetListMode selects what the platform's list answers from now on.
func (f *Fleet) SetListMode(m ListMode) {
	f.staleList = f.currentList()
	f.CurrentListMode = m
}

func (f *Fleet) list() []teaselstream.ListEntry {
	switch f.CurrentListMode {
	case ListEmpty:
		return nil
	case ListStale:
		return f.staleList
	case ListAllLeaving:
		all := f.currentList()
		for i := range all {
			all[i].State = teaselstream.ListLeaving
		}
		return all
	default:
		return f.currentList()
	}
}

func (f *Fleet) currentList() []teaselstream.ListEntry {
	var out []teaselstream.ListEntry
	for _, id := range slices.Sorted(maps.Keys(f.vms)) {
		if v := f.vms[id]; v.Running() {
			out = append(out, teaselstream.ListEntry{
				Name: string(id), Kind: teaselstream.ListKindVM, Domain: v.Domain, Address: string(id),
				State: teaselstream.ListLive, Incarnation: v.incarnation,
			})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		s := f.servers[id]
		if s.Dead {
			continue
		}
		e := teaselstream.ListEntry{
			Name: string(id), Kind: string(s.Kind), Domain: s.Domain, Address: s.Address,
			State: teaselstream.ListLive, Incarnation: s.Incarnation,
		}
		if s.listedLeaving {
			e.State = teaselstream.ListLeaving
		}
		out = append(out, e)
	}
	return out
}

// VMs returns the VMs in the order of their names.
func (f *Fleet) VMs() []*VM {
	out := make([]*VM, 0, len(f.vms))
	for _, id := range slices.Sorted(maps.Keys(f.vms)) {
		out = append(out, f.vms[id])
	}
	return out
}

// VM returns a VM by its name.
func (f *Fleet) VM(id teaselstream.VMID) *VM { return f.vms[id] }

// Server returns a server by its name.
func (f *Fleet) Server(id teaselstream.ServerID) *Server { return f.servers[id] }

// Servers returns the names of all servers in order.
func (f *Fleet) Servers() []teaselstream.ServerID { return slices.Sorted(maps.Keys(f.servers)) }

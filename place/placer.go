package place

import (
	"slices"
	"strconv"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Config describes the VM that a Placer serves.
	Config struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Environment teaselstream.Environment
		Incarnation teaselstream.Incarnation
		Rand        teaselstream.Rand
		// LoadRate is this domain's part of the weight store's rate; 0 means 1 GB/s.
		LoadRate teaselstream.BytesPerSecond
	}

	// Placer is the state machine of all deciders that one VM may hold.
	Placer struct {
		c        Config
		view     View
		deciders map[teaselstream.ModelID]*decision
		order    []teaselstream.ModelID
		// byModel holds the servers of each model in order of their names.
		byModel map[teaselstream.ModelID][]teaselstream.ServerID
		serial  int
	}
)

const (
	leaseTTL = 15 * time.Second
	// keepPeriod leaves two more attempts before the lease lapses.
	keepPeriod = 5 * time.Second
	// leaseMargin ends the holder's own trust before the store ends the lease.
	leaseMargin = 3 * time.Second
	// sendWindow bounds the time from the start of the write of an intent to its order.
	sendWindow   = 2 * time.Second
	decidePeriod = time.Second
	retryBase    = time.Second
	retryLimit   = 30 * time.Second
	// stepTimeout gives up a step whose answer was lost.
	stepTimeout     = 5 * time.Second
	defaultLoadRate = 1e9
)

// New returns a placer that holds nothing.
func New(c Config) *Placer {
	if c.LoadRate == 0 {
		c.LoadRate = defaultLoadRate
	}
	return &Placer{c: c, deciders: map[teaselstream.ModelID]*decision{}}
}

// Update applies one message.
func (p *Placer) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch x := m.(type) {
	case View:
		p.setView(x)
		return nil
	case teaselstream.Tick:
		var out []teaselstream.Cmd
		for _, id := range p.order {
			out = append(out, p.deciders[id].tick(now)...)
		}
		return out
	case Granted:
		return p.at(x.Decider, func(d *decision) []teaselstream.Cmd { return d.granted(now, x) })
	case KeptAlive:
		return p.at(x.Decider, func(d *decision) []teaselstream.Cmd { return d.keptAlive(now, x) })
	case KeyRead:
		return p.at(x.Decider, func(d *decision) []teaselstream.Cmd { return d.readDone(now, x) })
	case KeyWritten:
		return p.at(x.Decider, func(d *decision) []teaselstream.Cmd { return d.written(now, x) })
	case OrderSent:
		return p.at(x.Decider, func(d *decision) []teaselstream.Cmd { return d.ordered(now, x) })
	case OrdersRead:
		return p.at(x.Decider, func(d *decision) []teaselstream.Cmd { return d.ordersRead(now, x) })
	}
	return nil
}

func (p *Placer) at(id DeciderID, f func(*decision) []teaselstream.Cmd) []teaselstream.Cmd {
	if d := p.deciders[id.Model]; d != nil && d.id == id {
		return f(d)
	}
	return nil
}

// setView takes up and gives up deciders: the first live VM by rendezvous hash decides.
func (p *Placer) setView(v View) {
	changed := p.view.Document != v.Document || !slices.Equal(p.view.VMs, v.VMs)
	p.view = v
	if !changed {
		return
	}
	p.byModel = map[teaselstream.ModelID][]teaselstream.ServerID{}
	here := map[teaselstream.ModelID]bool{}
	for _, s := range v.Document.Servers {
		if s.Kind != teaselstream.KindModel {
			continue
		}
		p.byModel[s.Model] = append(p.byModel[s.Model], s.Name)
		here[s.Model] = here[s.Model] || s.Domain == p.c.Domain
	}
	for _, ids := range p.byModel {
		slices.Sort(ids)
	}
	p.order = p.order[:0]
	for m := range v.Document.Models {
		id := DeciderID{Model: m, Domain: p.c.Domain}
		first := teaselstream.Rendezvous("place/"+string(m)+"/"+string(p.c.Domain), v.VMs)
		mine := here[m] && len(first) > 0 && first[0] == p.c.VM
		switch {
		case mine && p.deciders[m] == nil:
			p.deciders[m] = &decision{p: p, id: id}
		case !mine:
			// The lease lapses by itself; the next decider waits for that.
			delete(p.deciders, m)
		}
	}
	for m := range p.deciders {
		if _, ok := v.Document.Models[m]; !ok {
			delete(p.deciders, m)
			continue
		}
		p.order = append(p.order, m)
	}
	slices.Sort(p.order)
}

// operation returns a name for one write that no other write has.
func (p *Placer) operation() string {
	p.serial++
	return string(p.c.VM) + "/" + strconv.FormatUint(uint64(p.c.Incarnation), 10) + "/" + strconv.Itoa(p.serial)
}

func (p *Placer) recordKey(m teaselstream.ModelID) string {
	return "place/" + string(p.c.Environment) + "/" + string(m)
}

func (p *Placer) leaseKey(d DeciderID) string {
	return p.recordKey(d.Model) + "/" + string(d.Domain) + "/lease"
}

package place

import (
	"slices"
	"strconv"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Config describes the VM on which a Placer runs.
	Config struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Environment teaselstream.Environment
		Incarnation teaselstream.Incarnation
		Rand        teaselstream.Rand
		// LoadRate is this failure domain's share of the weight store's bandwidth; 0 means 1 GB/s.
		LoadRate teaselstream.BytesPerSecond
	}

	// Placer is the state machine of all deciders on one VM.
	Placer struct {
		config   Config
		view     View
		deciders map[teaselstream.ModelID]*deciderState
		// models are the keys of deciders, sorted.
		models []teaselstream.ModelID
		// serversByModel holds the servers of each model, sorted by name.
		serversByModel map[teaselstream.ModelID][]teaselstream.ServerID
		writeCount     int
	}
)

const (
	leaseTTL = 15 * time.Second
	// keepAlivePeriod leaves two more attempts before the lease expires.
	keepAlivePeriod = 5 * time.Second
	// leaseMargin is how long before the lease expires in the store its holder stops acting on it.
	leaseMargin = 3 * time.Second
	// orderWindow bounds the time from the start of the write of an intent to the sending of its order.
	orderWindow = 2 * time.Second
	planPeriod  = time.Second
	retryBase   = time.Second
	retryLimit  = 30 * time.Second
	// stageTimeout ends a stage whose answer was lost.
	stageTimeout = 5 * time.Second
	// defaultLoadRate is in bytes per second.
	defaultLoadRate = 1e9
)

// New returns a placer without deciders.
func New(config Config) *Placer {
	if config.LoadRate == 0 {
		config.LoadRate = defaultLoadRate
	}
	return &Placer{config: config, deciders: map[teaselstream.ModelID]*deciderState{}}
}

// Update applies one message.
func (p *Placer) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch x := m.(type) {
	case View:
		p.setView(x)
		return nil
	case teaselstream.Tick:
		var out []teaselstream.Cmd
		for _, id := range p.models {
			out = append(out, p.deciders[id].tick(now)...)
		}
		return out
	case Granted:
		return p.withDecider(x.Decider, func(d *deciderState) []teaselstream.Cmd { return d.granted(now, x) })
	case KeptAlive:
		return p.withDecider(x.Decider, func(d *deciderState) []teaselstream.Cmd { return d.keptAlive(now, x) })
	case KeyRead:
		return p.withDecider(x.Decider, func(d *deciderState) []teaselstream.Cmd { return d.keyRead(now, x) })
	case KeyWritten:
		return p.withDecider(x.Decider, func(d *deciderState) []teaselstream.Cmd { return d.keyWritten(now, x) })
	case OrderSent:
		return p.withDecider(x.Decider, func(d *deciderState) []teaselstream.Cmd { return d.orderSent(now, x) })
	case OrdersRead:
		return p.withDecider(x.Decider, func(d *deciderState) []teaselstream.Cmd { return d.ordersRead(now, x) })
	}
	return nil
}

// withDecider applies f to a decider unless this VM has given it up.
func (p *Placer) withDecider(id DeciderID, f func(*deciderState) []teaselstream.Cmd) []teaselstream.Cmd {
	if d := p.deciders[id.Model]; d != nil && d.id == id {
		return f(d)
	}
	return nil
}

// setView adds and removes deciders. The VM that ranks first by rendezvous hash in the failure domain runs the decider of a model.
func (p *Placer) setView(v View) {
	changed := p.view.Document != v.Document || !slices.Equal(p.view.VMs, v.VMs)
	p.view = v
	if !changed {
		return
	}
	p.serversByModel = map[teaselstream.ModelID][]teaselstream.ServerID{}
	domainModels := map[teaselstream.ModelID]bool{}
	for _, s := range v.Document.Servers {
		if s.Kind != teaselstream.KindModel {
			continue
		}
		p.serversByModel[s.Model] = append(p.serversByModel[s.Model], s.Name)
		domainModels[s.Model] = domainModels[s.Model] || s.Domain == p.config.Domain
	}
	for _, ids := range p.serversByModel {
		slices.Sort(ids)
	}
	p.models = p.models[:0]
	for m := range v.Document.Models {
		id := DeciderID{Model: m, Domain: p.config.Domain}
		first := teaselstream.RendezvousOrder("place/"+string(m)+"/"+string(p.config.Domain), v.VMs)
		mine := domainModels[m] && len(first) > 0 && first[0] == p.config.VM
		switch {
		case mine && p.deciders[m] == nil:
			p.deciders[m] = &deciderState{p: p, id: id}
		case !mine:
			// The lease expires by itself, and the next decider waits for that.
			delete(p.deciders, m)
		}
	}
	for m := range p.deciders {
		if _, ok := v.Document.Models[m]; !ok {
			delete(p.deciders, m)
			continue
		}
		p.models = append(p.models, m)
	}
	slices.Sort(p.models)
}

// operation returns a unique name for one write.
func (p *Placer) operation() string {
	p.writeCount++
	return string(p.config.VM) + "/" + strconv.FormatUint(uint64(p.config.Incarnation), 10) + "/" + strconv.Itoa(p.writeCount)
}

func (p *Placer) recordKey(m teaselstream.ModelID) string {
	return "place/" + string(p.config.Environment) + "/" + string(m)
}

func (p *Placer) leaseKey(d DeciderID) string {
	return p.recordKey(d.Model) + "/" + string(d.Domain) + "/lease"
}

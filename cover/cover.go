package cover

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// rankDelay is how long a need must last before the next VM in rank meets it; an order and its load take up to 2 s to show in the list.
	rankDelay = 2500 * time.Millisecond
	// backupLook spaces the looks of VMs that rank behind the first; one costs a tenth of a millisecond with 32 servers.
	backupLook = 500 * time.Millisecond
	// settleTime is the wait after the start, in which the VMs of a domain appear.
	settleTime = 1200 * time.Millisecond
	// growTime is how long a domain's list must not have grown before its first layout; servers register with their heartbeats.
	growTime = 1500 * time.Millisecond
	// aloneTime is how long a domain must have no registered VM before VMs of other domains place its layers. A domain
	// that was cut off from the store registers its VMs again within some seconds.
	aloneTime = 10 * time.Second
	// doubtTime is how long a server that does not answer still counts as a holder while other copies serve.
	doubtTime = 1500 * time.Millisecond
	// idleTime is how long an empty server is kept for a loss before it takes a range that is already held.
	idleTime = 1200 * time.Millisecond
	// orderTimeout bounds an order whose load does not show; a full range of the smallest servers loads in some seconds.
	orderTimeout = 12 * time.Second
	// retryDelay is the wait after an order that failed.
	retryDelay = 400 * time.Millisecond
	// maxDown is the share of a domain's servers that may be silent to this VM before it doubts itself.
	maxDown = 0.5
	// emptyFloor is the memory for requests, in tokens, that an emergency may leave on a server.
	emptyFloor = 4000
)

type (
	// Decider is the core that places layers for the domains that this VM serves; VM and Domain must be set.
	Decider struct {
		VM     teaselstream.VMID
		Domain teaselstream.DomainID

		started time.Time
		orders  map[teaselstream.ServerID]*order
		// needs holds since when each domain needs what.
		needs map[string]time.Time
		// looked holds when this VM last looked at each domain's needs, and surveys counts its looks.
		looked  map[string]time.Time
		surveys int
		empty   map[teaselstream.ServerID]time.Time
		grown   map[teaselstream.DomainID]growth
		// alone holds since when no VM of a domain is registered.
		alone map[teaselstream.DomainID]time.Time
	}

	// growth is the largest number of servers seen in a domain, and when it was first seen.
	growth struct {
		servers int
		at      time.Time
	}

	order struct {
		target teaselstream.LayerRange
		// next is the range that the server is ordered to hold once this order has made room for it.
		next teaselstream.LayerRange
		// rank is this VM's rank when it gave the order.
		rank int
		at   time.Time
		// until keeps the server free of orders after a failure.
		until time.Time
	}

	// ViewTick brings a new view; it also serves as the clock tick.
	ViewTick struct{ View *fleet.View }

	// Ended says that an order was carried out or failed.
	Ended struct {
		Server teaselstream.ServerID
		OK     bool
	}

	// Hold asks the shell to order a server to hold a range, after its report shows the expected state.
	Hold struct {
		Server      teaselstream.ServerID
		Address     string
		Incarnation teaselstream.Incarnation
		Holds       teaselstream.LayerRange
		Range       teaselstream.LayerRange
		Cut         bool
		Reason      string
		// Waited is how long the need had lasted, and Rank this VM's rank in the domain.
		Waited time.Duration
		Rank   int
	}
)

// Update applies one message and returns the orders that follow from it.
func (d *Decider) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	if d.orders == nil {
		d.orders = make(map[teaselstream.ServerID]*order)
		d.needs = make(map[string]time.Time)
		d.empty = make(map[teaselstream.ServerID]time.Time)
		d.grown = make(map[teaselstream.DomainID]growth)
		d.alone = make(map[teaselstream.DomainID]time.Time)
		d.looked = make(map[string]time.Time)
		d.started = now
	}
	switch m := m.(type) {
	case Ended:
		d.end(now, m)
	case ViewTick:
		return d.decide(now, m.View)
	}
	return nil
}

func (d *Decider) end(now time.Time, m Ended) {
	if m.OK {
		delete(d.orders, m.Server)
		return
	}
	wait := retryDelay
	if o := d.orders[m.Server]; o != nil && o.rank > 0 {
		// The server's state differs from the list mostly because a VM that ranks before this one acts.
		wait = rankDelay
	}
	d.orders[m.Server] = &order{until: now.Add(wait)}
}

func (d *Decider) decide(now time.Time, v *fleet.View) []teaselstream.Cmd {
	if v == nil || v.Routing == nil || now.Sub(d.started) < settleTime {
		return nil
	}
	for id, o := range d.orders {
		if !o.until.IsZero() && now.After(o.until) || o.until.IsZero() && now.Sub(o.at) > orderTimeout {
			delete(d.orders, id)
		}
	}
	var cmds []teaselstream.Cmd
	for service, pool := range v.Routing.Pools {
		if pool.Engine == nil {
			continue
		}
		for _, domain := range domainsOf(v.Pools[service]) {
			cmds = append(cmds, d.domain(now, v, pool, domain)...)
		}
	}
	return cmds
}

func domainsOf(members []*fleet.Member) []teaselstream.DomainID {
	var out []teaselstream.DomainID
	for _, m := range members {
		if !slices.Contains(out, m.Domain) {
			out = append(out, m.Domain)
		}
	}
	slices.Sort(out)
	return out
}

// rank returns this VM's place among those that may give orders in a domain, or a negative number if it may not.
// VMs of other domains give orders only while none of the domain is registered, since a cut between the domains
// looks to them like a loss of its servers.
func (d *Decider) rank(now time.Time, v *fleet.View, domain teaselstream.DomainID) int {
	var near, far []teaselstream.VMID
	for _, p := range v.Peers {
		if p.Domain == domain {
			near = append(near, p.Name)
		} else {
			far = append(far, p.Name)
		}
	}
	if domain == d.Domain {
		if i := slices.Index(teaselstream.Rendezvous(string(domain), near), d.VM); i >= 0 {
			return i
		}
		return len(near)
	}
	if len(near) > 0 || v.StoreLost {
		delete(d.alone, domain)
		return -1
	}
	if _, ok := d.alone[domain]; !ok {
		d.alone[domain] = now
	}
	if now.Sub(d.alone[domain]) < aloneTime {
		return -1
	}
	return slices.Index(teaselstream.Rendezvous(string(domain), far), d.VM)
}

func (d *Decider) domain(now time.Time, v *fleet.View, pool *teaselstream.Pool, domain teaselstream.DomainID) []teaselstream.Cmd {
	key := string(pool.Service) + "/" + string(domain)
	rank := d.rank(now, v, domain)
	if rank < 0 {
		delete(d.needs, key)
		return nil
	}
	if rank > 0 && now.Sub(d.looked[key]) < backupLook {
		return nil
	}
	d.looked[key] = now
	n := d.survey(now, pool.Engine, v.Pools[pool.Service], domain)
	wants := n.wants()
	if len(wants) == 0 {
		delete(d.needs, key)
		return nil
	}
	since, ok := d.needs[key]
	if !ok {
		since = now
		d.needs[key] = now
	}
	if now.Sub(since) < time.Duration(rank)*rankDelay {
		return nil
	}
	var cmds []teaselstream.Cmd
	for _, h := range wants {
		h.Waited, h.Rank = now.Sub(since), rank
		d.orders[h.Server] = n.orders[h.Server]
		d.orders[h.Server].rank = rank
		cmds = append(cmds, h)
	}
	return cmds
}

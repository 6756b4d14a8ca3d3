package cover

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// rankDelay is how long a need must last per rank before a VM behind the first gives orders. An order and its load take
	// up to 2 s to show in the platform's list.
	rankDelay = 2500 * time.Millisecond
	// backupInterval is the time between evaluations by a VM behind the first. One takes 0.1 ms with 32 servers.
	backupInterval = 500 * time.Millisecond
	// startupDelay is the wait after the start until the other VMs of a domain are listed.
	startupDelay = 1200 * time.Millisecond
	// stableTime is how long a domain's number of servers must not have grown before its first layout. Servers register with
	// their heartbeats, so they appear one after the other.
	stableTime = 1500 * time.Millisecond
	// unregisteredTime is how long a domain must have no registered VM before VMs of other domains place its layers. A
	// domain that was cut off from the store registers its VMs again within seconds.
	unregisteredTime = 10 * time.Second
	// downGraceTime is how long a server that does not answer still counts as a holder, since it may only be unreachable.
	downGraceTime = 1500 * time.Millisecond
	// emptyReserveTime is how long an empty server is kept in reserve for lost layers before it loads a range that has enough
	// holders.
	emptyReserveTime = 1200 * time.Millisecond
	// orderTimeout bounds an order whose end is not reported. A full range of the smallest servers loads in a few seconds.
	orderTimeout = 12 * time.Second
	// retryDelay is the wait before a server gets another order after one that failed.
	retryDelay = 400 * time.Millisecond
	// maxDownShare is the share of a domain's servers that may be down for this VM. Above it the VM assumes that it is cut off
	// itself and gives no orders.
	maxDownShare = 0.5
	// emergencyTokens is the least KV-cache capacity, in tokens, that a server keeps if lost layers cannot be held otherwise.
	emergencyTokens = 4000
)

type (
	// Decider is the state machine that orders servers to hold layers; VM and Domain must be set.
	Decider struct {
		VM     teaselstream.VMID
		Domain teaselstream.DomainID

		started time.Time
		orders  map[teaselstream.ServerID]*order
		// needSince holds since when each service needs orders in each domain, by "service/domain".
		needSince map[string]time.Time
		// evaluatedAt holds when this VM last evaluated each domain, by the same key; evaluations counts all of them.
		evaluatedAt map[string]time.Time
		evaluations int
		emptySince  map[teaselstream.ServerID]time.Time
		domainSizes map[teaselstream.DomainID]domainSize
		// limited holds the servers that have named a limit of requests.
		limited map[teaselstream.ServerID]bool
		// unregisteredSince holds since when no VM of a domain is registered.
		unregisteredSince map[teaselstream.DomainID]time.Time
	}

	// domainSize is the largest number of servers seen in a domain, and when it was first seen.
	domainSize struct {
		servers int
		at      time.Time
	}

	order struct {
		target teaselstream.LayerRange
		// followUp is the range that the server is meant to hold once this order has freed memory for it.
		followUp teaselstream.LayerRange
		// rank is this VM's rank in the domain when it gave the order.
		rank int
		at   time.Time
		// blockedUntil is set after a failed order: the server gets no order before that time.
		blockedUntil time.Time
	}

	// ViewTick is the clock tick; it holds the current view and the servers that have named a limit of requests.
	ViewTick struct {
		View    *fleet.View
		Limited map[teaselstream.ServerID]bool
	}

	// Ended reports that an order was carried out or failed.
	Ended struct {
		Server teaselstream.ServerID
		OK     bool
	}

	// Hold asks the shell to order a server to hold Range, provided that its report shows it idle and holding Holds.
	Hold struct {
		Server      teaselstream.ServerID
		Address     string
		Incarnation teaselstream.Incarnation
		Holds       teaselstream.LayerRange
		Range       teaselstream.LayerRange
		Cut         bool
		Reason      string
		// Waited is how long the need has lasted, and Rank this VM's rank in the domain.
		Waited time.Duration
		Rank   int
	}
)

// Update applies one message and returns the resulting orders.
func (d *Decider) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	if d.orders == nil {
		d.orders = make(map[teaselstream.ServerID]*order)
		d.needSince = make(map[string]time.Time)
		d.emptySince = make(map[teaselstream.ServerID]time.Time)
		d.domainSizes = make(map[teaselstream.DomainID]domainSize)
		d.unregisteredSince = make(map[teaselstream.DomainID]time.Time)
		d.evaluatedAt = make(map[string]time.Time)
		d.started = now
	}
	switch m := m.(type) {
	case Ended:
		d.onEnded(now, m)
	case ViewTick:
		d.limited = m.Limited
		return d.decide(now, m.View)
	}
	return nil
}

func (d *Decider) onEnded(now time.Time, m Ended) {
	if m.OK {
		delete(d.orders, m.Server)
		return
	}
	wait := retryDelay
	if o := d.orders[m.Server]; o != nil && o.rank > 0 {
		// The server's state usually differs from the list because a VM that ranks before this one has given an order.
		wait = rankDelay
	}
	d.orders[m.Server] = &order{blockedUntil: now.Add(wait)}
}

func (d *Decider) decide(now time.Time, v *fleet.View) []teaselstream.Cmd {
	if v == nil || v.Routing == nil || now.Sub(d.started) < startupDelay {
		return nil
	}
	for id, o := range d.orders {
		if !o.blockedUntil.IsZero() && now.After(o.blockedUntil) || o.blockedUntil.IsZero() && now.Sub(o.at) > orderTimeout {
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

// rank returns this VM's rank, from 0, among those that may give orders in a domain, or a negative number if it may not.
// VMs of other domains give orders only while none of the domain is registered, since a broken link between the domains
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
		if i := slices.Index(teaselstream.RendezvousOrder(string(domain), near), d.VM); i >= 0 {
			return i
		}
		return len(near)
	}
	if len(near) > 0 || v.StoreLost {
		delete(d.unregisteredSince, domain)
		return -1
	}
	if _, ok := d.unregisteredSince[domain]; !ok {
		d.unregisteredSince[domain] = now
	}
	if now.Sub(d.unregisteredSince[domain]) < unregisteredTime {
		return -1
	}
	return slices.Index(teaselstream.RendezvousOrder(string(domain), far), d.VM)
}

// domain returns the orders for one service in one failure domain, if there are any and this VM's rank allows them by now.
func (d *Decider) domain(now time.Time, v *fleet.View, pool *teaselstream.Pool, domain teaselstream.DomainID) []teaselstream.Cmd {
	key := string(pool.Service) + "/" + string(domain)
	rank := d.rank(now, v, domain)
	if rank < 0 {
		delete(d.needSince, key)
		return nil
	}
	if rank > 0 && now.Sub(d.evaluatedAt[key]) < backupInterval {
		return nil
	}
	d.evaluatedAt[key] = now
	n := d.domainState(now, pool.Engine, v.Pools[pool.Service], domain)
	neededOrders := n.neededOrders()
	if len(neededOrders) == 0 {
		delete(d.needSince, key)
		return nil
	}
	since, ok := d.needSince[key]
	if !ok {
		since = now
		d.needSince[key] = now
	}
	if now.Sub(since) < time.Duration(rank)*rankDelay {
		return nil
	}
	var cmds []teaselstream.Cmd
	for _, h := range neededOrders {
		h.Waited, h.Rank = now.Sub(since), rank
		d.orders[h.Server] = n.orders[h.Server]
		d.orders[h.Server].rank = rank
		cmds = append(cmds, h)
	}
	return cmds
}

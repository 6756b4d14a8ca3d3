package member

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// maxPolledServers bounds the servers whose load one VM polls.
	maxPolledServers = 128
	// pollsPerRange is the number of polled servers per layer range, if that fits maxPolledServers.
	pollsPerRange = 3
	pollPeriod    = time.Second
	// fullPollServers is the number of polled servers up to which each is polled every second. Above it,
	// maxPollRate polls/s of about 350 B each keep the cost under 7 KB/s, and the load that servers
	// state in answers to traffic makes up for the missing polls.
	fullPollServers = 40
	maxPollRate     = 4
)

// poller polls the load of a bounded set of servers in turn, at a bounded rate.
type poller struct {
	subset []teaselstream.ServerID
	polled map[teaselstream.ServerID]bool
	next   int
	// credit is the number of polls that may be sent now.
	credit   float64
	lastTick time.Time
}

// choose selects the polled servers by rendezvous hash. It prefers servers of this VM's failure domain
// and includes each layer range, as far as maxPolledServers allows.
func (p *poller) choose(c Config, servers map[teaselstream.ServerID]*server) {
	defer func() {
		p.polled = make(map[teaselstream.ServerID]bool, len(p.subset))
		for _, id := range p.subset {
			p.polled[id] = true
		}
	}()
	order := teaselstream.RendezvousOrder(string(c.VM), sortedKeys(servers))
	slices.SortStableFunc(order, func(a, b teaselstream.ServerID) int {
		x, y := servers[a].Domain == c.Domain, servers[b].Domain == c.Domain
		switch {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	})
	p.next = 0
	if len(order) <= maxPolledServers {
		p.subset = order
		return
	}
	groups := map[string]int{}
	for _, id := range order {
		groups[rangeGroup(servers[id].Server)]++
	}
	perRange := min(pollsPerRange, max(1, maxPolledServers/len(groups)))
	clear(groups)
	chosen := map[teaselstream.ServerID]bool{}
	p.subset = nil
	take := func(limit int) {
		for _, id := range order {
			g := rangeGroup(servers[id].Server)
			if !chosen[id] && groups[g] < limit && len(p.subset) < maxPolledServers {
				groups[g]++
				chosen[id] = true
				p.subset = append(p.subset, id)
			}
		}
	}
	take(perRange)
	take(len(order))
}

// pollTick polls the next servers in turn, within the rate.
func (s *Members) pollTick(now time.Time) []teaselstream.Cmd {
	p := &s.poll
	n := len(p.subset)
	if n == 0 {
		return nil
	}
	rate := float64(n)
	if n > fullPollServers {
		rate = maxPollRate
	}
	if !p.lastTick.IsZero() {
		p.credit = min(p.credit+rate*now.Sub(p.lastTick).Seconds(), rate)
	}
	p.lastTick = now
	var out []teaselstream.Cmd
	for range n {
		if p.credit < 1 {
			break
		}
		v := s.servers[p.subset[p.next]]
		p.next = (p.next + 1) % n
		// Dead servers are probed instead, and a load younger than half a period is fresh enough.
		if v.dead || now.Sub(v.load.At) < pollPeriod/2 || v.queryInFlight && now.Sub(v.queriedAt) < probeTimeout {
			continue
		}
		v.queriedAt, v.queryInFlight = now, true
		p.credit--
		out = append(out, PollLoad{Server: v.Name, Address: v.Address})
	}
	return out
}

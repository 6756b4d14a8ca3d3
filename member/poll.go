package member

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// pollLimit bounds the servers whose load one VM reads.
	pollLimit = 128
	// pollCover is how often each layer range is covered, if that fits pollLimit.
	pollCover  = 3
	pollPeriod = time.Second
	// pollSmall is the number of servers up to which each is polled every second. Above, pollRate
	// polls/s of about 350 B keep the cost under 7 KB/s; load in answers fills the gap.
	pollSmall = 40
	pollRate  = 4
)

// poller spreads the polls of a bounded set of servers over time.
type poller struct {
	subset []teaselstream.ServerID
	polls  map[teaselstream.ServerID]bool
	at     int
	// credit is the number of polls that may be sent now.
	credit float64
	last   time.Time
}

// choose picks the polled servers by rendezvous hash, own domain first and every range covered.
func (p *poller) choose(c Config, servers map[teaselstream.ServerID]*server) {
	defer func() {
		p.polls = make(map[teaselstream.ServerID]bool, len(p.subset))
		for _, id := range p.subset {
			p.polls[id] = true
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
	p.at = 0
	if len(order) <= pollLimit {
		p.subset = order
		return
	}
	groups := map[string]int{}
	for _, id := range order {
		groups[group(servers[id].Server)]++
	}
	cover := min(pollCover, max(1, pollLimit/len(groups)))
	clear(groups)
	chosen := map[teaselstream.ServerID]bool{}
	p.subset = nil
	take := func(limit int) {
		for _, id := range order {
			g := group(servers[id].Server)
			if !chosen[id] && groups[g] < limit && len(p.subset) < pollLimit {
				groups[g]++
				chosen[id] = true
				p.subset = append(p.subset, id)
			}
		}
	}
	take(cover)
	take(len(order))
}

// pollTick polls the servers whose load is oldest, within the rate.
func (s *Members) pollTick(now time.Time) []teaselstream.Cmd {
	p := &s.poll
	n := len(p.subset)
	if n == 0 {
		return nil
	}
	rate := float64(n)
	if n > pollSmall {
		rate = pollRate
	}
	if !p.last.IsZero() {
		p.credit = min(p.credit+rate*now.Sub(p.last).Seconds(), rate)
	}
	p.last = now
	var out []teaselstream.Cmd
	for range n {
		if p.credit < 1 {
			break
		}
		v := s.servers[p.subset[p.at]]
		p.at = (p.at + 1) % n
		// Dead servers are probed instead, and a load of the last period is fresh enough.
		if v.dead || now.Sub(v.load.At) < pollPeriod/2 || v.askedBusy && now.Sub(v.asked) < probeTimeout {
			continue
		}
		v.asked, v.askedBusy = now, true
		p.credit--
		out = append(out, PollLoad{Server: v.Name, Address: v.Address})
	}
	return out
}

package reach

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// leastFailed is the number of different servers to which connections have to fail, without one that comes about, before
	// the VM counts as isolated. Fewer servers may be down together.
	leastFailed = 4
	// leastConnected is the number of different servers to which connections have to come about, without one that fails, before
	// the VM counts as connected again.
	leastConnected = 3
	// doubtProbePeriod is the least time between two rounds of probes of a VM that is not isolated. A server that is down is
	// tried again by each request until it is marked.
	doubtProbePeriod = 300 * time.Millisecond
	// isolatedProbePeriod is the time between two probes of a VM that is isolated.
	isolatedProbePeriod = 300 * time.Millisecond
)

// Tracker is the state machine that decides whether this VM is isolated: it reaches no backend server. Its zero value is ready to use.
type Tracker struct {
	servers map[string]known
	// failed holds the servers to which connections failed since one came about, and connected those to which they came about
	// since one failed while the VM is isolated.
	failed    map[string]bool
	connected map[string]bool
	// failingSince is the time of the first failure in failed.
	failingSince time.Time
	probedAt     time.Time
	// confirming means that connections failed to enough servers and have to fail once more.
	confirming bool
	isolated   bool
	// turn is the number of probes so far; it rotates the servers that are probed.
	turn int
}

// Update applies one message and returns the commands that follow from it.
func (t *Tracker) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch m := m.(type) {
	case ViewChanged:
		t.setServers(m.View)
	case Connected:
		return t.applyConnected(now, m.Address)
	case Failed:
		return t.applyFailed(now, m.Address)
	case teaselstream.Tick:
		if t.isolated && now.Sub(t.probedAt) >= isolatedProbePeriod {
			return t.probe(now, 1)
		}
	}
	return nil
}

func (t *Tracker) setServers(v *fleet.View) {
	t.servers = make(map[string]known, len(v.Members))
	for _, m := range v.Members {
		t.servers[m.Address] = known{m.Domain, m.State == fleet.Down}
	}
	maps.DeleteFunc(t.failed, func(a string, _ bool) bool { _, ok := t.servers[a]; return !ok })
	maps.DeleteFunc(t.connected, func(a string, _ bool) bool { _, ok := t.servers[a]; return !ok })
}

func (t *Tracker) applyConnected(now time.Time, address string) []teaselstream.Cmd {
	if _, ok := t.servers[address]; !ok {
		return nil
	}
	if !t.isolated {
		clear(t.failed)
		t.confirming = false
		return nil
	}
	if t.connected == nil {
		t.connected = make(map[string]bool)
	}
	first := len(t.connected) == 0
	t.connected[address] = true
	if n := len(t.connected); n >= min(leastConnected, len(t.servers)) {
		t.isolated = false
		clear(t.failed)
		clear(t.connected)
		return []teaselstream.Cmd{SetIsolated{Servers: n}}
	}
	if first {
		return t.probe(now, leastConnected-1)
	}
	return nil
}

func (t *Tracker) applyFailed(now time.Time, address string) []teaselstream.Cmd {
	if _, ok := t.servers[address]; !ok {
		return nil
	}
	clear(t.connected)
	if t.isolated {
		return nil
	}
	if t.failed == nil {
		t.failed = make(map[string]bool)
	}
	if len(t.failed) == 0 && !t.confirming {
		t.failingSince = now
	}
	t.failed[address] = true
	if t.allFail() && !t.confirming {
		// A process that stood still for a moment finds all connections that it was opening timed out.
		t.confirming = true
		clear(t.failed)
		return t.probe(now, leastFailed)
	}
	if t.allFail() {
		t.isolated, t.confirming, t.probedAt = true, false, now
		return []teaselstream.Cmd{SetIsolated{Isolated: true, Since: t.failingSince, Servers: len(t.failed)}}
	}
	if now.Sub(t.probedAt) >= doubtProbePeriod {
		return t.probe(now, leastFailed)
	}
	return nil
}

// allFail reports whether connections failed to enough servers, among them one of each failure domain: a VM whose domain is cut off
// from the others reaches its own servers.
func (t *Tracker) allFail() bool {
	if len(t.failed) < min(leastFailed, len(t.servers)) {
		return false
	}
	domains := make(map[teaselstream.DomainID]bool)
	for a := range t.failed {
		domains[t.servers[a].domain] = true
	}
	for _, s := range t.servers {
		if !s.down && !domains[s.domain] {
			return false
		}
	}
	return true
}

// probe requests connections to at least n servers that have not failed lately, in all failure domains if n is that many.
func (t *Tracker) probe(now time.Time, n int) []teaselstream.Cmd {
	t.probedAt = now
	byDomain := make(map[teaselstream.DomainID][]string)
	for _, a := range slices.Sorted(maps.Keys(t.servers)) {
		if s := t.servers[a]; !t.connected[a] && (t.isolated || !s.down && !t.failed[a]) {
			byDomain[s.domain] = append(byDomain[s.domain], a)
		}
	}
	domains := slices.Sorted(maps.Keys(byDomain))
	if n >= leastFailed {
		n = max(n, len(domains))
	}
	var chosen []string
	for i := 0; len(chosen) < n && len(domains) > 0; i++ {
		d := domains[(t.turn+i)%len(domains)]
		list := byDomain[d]
		k := t.turn % len(list)
		chosen = append(chosen, list[k])
		if byDomain[d] = slices.Delete(list, k, k+1); len(byDomain[d]) == 0 {
			domains = slices.DeleteFunc(domains, func(x teaselstream.DomainID) bool { return x == d })
		}
	}
	t.turn++
	if len(chosen) == 0 {
		return nil
	}
	return []teaselstream.Cmd{Probe{Addresses: chosen}}
}

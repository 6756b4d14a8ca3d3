package reach

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// leastFailed is the number of different servers whose connections have to fail, without one that brings an answer, before
	// the VM counts as isolated. Fewer servers may be down together.
	leastFailed = 4
	// leastAnswered is the number of different servers that have to answer on new connections, without one that fails, before the
	// VM counts as connected again.
	leastAnswered = 3
	// probePeriod is the time between two rounds of probes. It is longer than a probe takes.
	probePeriod = 300 * time.Millisecond
	// lastingTime is how long no new connection may bring an answer before connections that came about count as cut off. Sound
	// servers fall silent for a second or so, and overloaded ones reset new connections.
	lastingTime = 1500 * time.Millisecond
	// quietTime is the time without a byte from any server after which connections that are broken off count at once. Servers
	// that reset new connections for overload go on with the streams that they have, whose events are a few tens of
	// milliseconds apart.
	quietTime = 200 * time.Millisecond
)

// Tracker is the state machine that decides whether this VM is isolated: it reaches no backend server. Its zero value is ready to use.
type Tracker struct {
	servers map[string]known
	// staying is the number of servers that do not leave.
	staying int
	// failed holds why the connections of each server failed since the last answer.
	failed map[string]Cause
	// failingSince is the time of the first failure since the last answer, or the zero time.
	failingSince time.Time
	// confirming means that connections failed to enough servers and have to fail once more. firstRound is the strongest cause for which
	// they all did.
	confirming bool
	firstRound Cause
	isolated   bool
	isolatedAt time.Time
	// answered holds the servers that answered since one failed, while the VM is isolated.
	answered map[string]bool
	// probed holds the servers of the last round of probes without a result, and probedAt is the time of that round.
	probed   map[string]bool
	probedAt time.Time
	// turn is the number of rounds so far; it rotates the servers that are probed.
	turn int
}

// Update applies one message and returns the commands that follow from it.
func (t *Tracker) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch m := m.(type) {
	case ViewChanged:
		t.setServers(m.View)
	case Answered:
		return t.applyAnswered(now, m)
	case Failed:
		return t.applyFailed(now, m)
	case teaselstream.Tick:
		return t.tick(now)
	}
	return nil
}

func (t *Tracker) setServers(v *fleet.View) {
	t.servers = make(map[string]known, len(v.Members))
	t.staying = 0
	for _, m := range v.Members {
		leaving := !m.LeavingSince.IsZero()
		// A new server may have the address of one that has left.
		if s, ok := t.servers[m.Address]; ok && leaving && !s.leaving {
			continue
		}
		t.servers[m.Address] = known{m.Domain, m.State == fleet.Down, leaving}
	}
	for _, s := range t.servers {
		if !s.leaving {
			t.staying++
		}
	}
	maps.DeleteFunc(t.failed, func(a string, _ Cause) bool { return !t.counts(a) })
	maps.DeleteFunc(t.answered, func(a string, _ bool) bool { _, ok := t.servers[a]; return !ok })
	maps.DeleteFunc(t.probed, func(a string, _ bool) bool { return !t.counts(a) })
	if len(t.failed) == 0 && !t.confirming && !t.isolated {
		t.failingSince = time.Time{}
	}
}

// counts reports whether failures of connections to a server say something about this VM. Servers that have left are remembered for a while
// and refuse connections; so do those that leave, once they have stopped. They count only if all servers leave.
func (t *Tracker) counts(address string) bool {
	s, ok := t.servers[address]
	return ok && (!s.leaving || t.staying == 0)
}

// counting returns the number of servers whose failures count.
func (t *Tracker) counting() int {
	if t.staying == 0 {
		return len(t.servers)
	}
	return t.staying
}

func (t *Tracker) tick(now time.Time) []teaselstream.Cmd {
	switch {
	case now.Sub(t.probedAt) < probePeriod:
		return nil
	case t.isolated:
		return t.probe(now, 1)
	case !t.failingSince.IsZero():
		return t.probe(now, t.roundSize())
	}
	return nil
}

// roundSize returns the number of servers to probe while the VM is not isolated. Most failures are of a single server, so that another one
// that answers is enough.
func (t *Tracker) roundSize() int {
	if len(t.failed) <= 1 && !t.confirming {
		return 1
	}
	return leastFailed
}

func (t *Tracker) applyAnswered(now time.Time, m Answered) []teaselstream.Cmd {
	if _, ok := t.servers[m.Address]; !ok {
		return nil
	}
	if !t.isolated {
		// A connection from before the first failure may have come about before a cut began.
		if !t.failingSince.IsZero() && !m.OpenedAt.Before(t.failingSince) {
			t.clearFailures()
		}
		return nil
	}
	if m.OpenedAt.Before(t.isolatedAt) {
		return nil
	}
	if t.answered == nil {
		t.answered = make(map[string]bool)
	}
	first := len(t.answered) == 0
	t.answered[m.Address] = true
	if n := len(t.answered); n >= min(leastAnswered, t.counting()) {
		t.isolated = false
		clear(t.answered)
		t.clearFailures()
		return []teaselstream.Cmd{SetIsolated{Servers: n}}
	}
	if first {
		return t.probe(now, leastAnswered-1)
	}
	return nil
}

func (t *Tracker) clearFailures() {
	clear(t.failed)
	clear(t.probed)
	t.failingSince, t.confirming = time.Time{}, false
}

func (t *Tracker) applyFailed(now time.Time, m Failed) []teaselstream.Cmd {
	if !t.counts(m.Address) {
		return nil
	}
	if t.isolated {
		clear(t.answered)
		return nil
	}
	if t.failed == nil {
		t.failed = make(map[string]Cause)
	}
	if t.failingSince.IsZero() {
		t.failingSince = now
	}
	t.failed[m.Address] = m.Cause
	wasProbed := t.probed[m.Address]
	delete(t.probed, m.Address)
	enough := t.allFail(Silent)
	cause := t.commonCause()
	switch {
	case enough && t.confirming && t.isCutOff(now, m.ReceivedAt, max(cause, t.firstRound)):
		t.isolated, t.confirming, t.isolatedAt, t.probedAt = true, false, now, now
		return []teaselstream.Cmd{SetIsolated{Isolated: true, Since: t.failingSince, Servers: len(t.failed), Cause: max(cause, t.firstRound)}}
	case enough && (!t.confirming || cause < t.firstRound):
		// A process that stood still for a moment finds all connections that it was opening timed out. Only a round of the same cause
		// confirms one: silent servers are no reason to believe at once that connections do not come about.
		t.confirming, t.firstRound = true, cause
		clear(t.failed)
		return t.probe(now, leastFailed)
	case !enough && wasProbed && len(t.probed) == 0 || now.Sub(t.probedAt) >= probePeriod:
		return t.probe(now, t.roundSize())
	}
	return nil
}

// isCutOff reports whether two rounds of failures to enough servers for a common cause mean that this VM is cut off from them. Connections that do not
// come about do; those that come about may fail because of the servers.
func (t *Tracker) isCutOff(now, receivedAt time.Time, common Cause) bool {
	return common == NotConnected || now.Sub(t.failingSince) >= lastingTime ||
		common == BrokenOff && now.Sub(receivedAt) >= quietTime
}

// commonCause returns the strongest cause for which connections failed to enough servers; a stronger one counts as each weaker one.
func (t *Tracker) commonCause() Cause {
	for c := NotConnected; c < Silent; c++ {
		if t.allFail(c) {
			return c
		}
	}
	return Silent
}

// allFail reports whether connections failed to enough servers for one of the causes up to last, among them one of each failure domain:
// a VM whose domain is cut off from the others reaches its own servers.
func (t *Tracker) allFail(last Cause) bool {
	n := 0
	domains := make(map[teaselstream.DomainID]bool)
	for a, c := range t.failed {
		if c <= last {
			n++
			domains[t.servers[a].domain] = true
		}
	}
	if n < min(leastFailed, t.counting()) {
		return false
	}
	for a, s := range t.servers {
		if t.counts(a) && !s.down && !domains[s.domain] {
			return false
		}
	}
	return true
}

// probe requests exchanges with at least n servers that have not failed or answered lately, in all failure domains if n is leastFailed.
func (t *Tracker) probe(now time.Time, n int) []teaselstream.Cmd {
	t.probedAt = now
	byDomain := t.candidates()
	domains := slices.Sorted(maps.Keys(byDomain))
	if n >= leastFailed {
		n = max(n, len(domains))
	}
	if t.probed == nil {
		t.probed = make(map[string]bool)
	}
	clear(t.probed)
	var chosen []string
	for i := 0; len(chosen) < n && len(domains) > 0; i++ {
		d := domains[(t.turn+i)%len(domains)]
		list := byDomain[d]
		k := t.turn % len(list)
		chosen = append(chosen, list[k])
		t.probed[list[k]] = true
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

// candidates returns the servers to probe in each failure domain. A VM that is cut off finds all its servers down, so that those count if
// there are no others.
func (t *Tracker) candidates() map[teaselstream.DomainID][]string {
	byDomain := make(map[teaselstream.DomainID][]string)
	add := func(wanted func(a string, s known) bool) {
		for _, a := range slices.Sorted(maps.Keys(t.servers)) {
			if s := t.servers[a]; t.counts(a) && wanted(a, s) {
				byDomain[s.domain] = append(byDomain[s.domain], a)
			}
		}
	}
	if t.isolated {
		add(func(a string, _ known) bool { return !t.answered[a] })
		return byDomain
	}
	hasFailed := func(a string) bool { _, ok := t.failed[a]; return ok }
	add(func(a string, s known) bool { return !s.down && !hasFailed(a) })
	if len(byDomain) == 0 {
		add(func(a string, _ known) bool { return !hasFailed(a) })
	}
	if len(byDomain) == 0 {
		add(func(string, known) bool { return true })
	}
	return byDomain
}

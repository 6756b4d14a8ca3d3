package ramp

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// maxServers limits the servers with a share. If more start at once, few are left to take the work instead of them.
	maxServers = 1024
	// maxSamples limits the servers in one result of Counts, so that a message between VMs stays below 8 KB.
	maxSamples = 64
	// maxCount is the largest number of requests that a message may state for one server; no server runs more.
	maxCount = 10_000
	// maxTook is the longest time of an answer that is taken as measured; callers leave long before.
	maxTook = time.Hour
	// noticeable is the least relative change of a share that is published. A smaller one shifts fewer requests than the loads of
	// servers vary by.
	noticeable = 0.1
)

// Tracker is the state machine that keeps the shares; its zero value is ready to use. Only the control goroutine calls it.
type Tracker struct {
	// VM is this VM; counts that come back to it are ignored.
	VM teaselstream.VMID

	servers map[teaselstream.ServerID]*server
	// calls counts the calls of Counts.
	calls uint64
}

// Update applies one message and returns the commands that follow from it.
func (t *Tracker) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch m := m.(type) {
	case Started:
		return t.start(now, m)
	case Answered:
		if s := t.find(m.Server, m.Incarnation); s != nil && m.Took >= 0 && m.Took <= maxTook && m.Expected > 0 {
			s.addAnswer(now.Add(-m.Took), isLate(m.Took, m.Expected))
			return t.publish(m.Server, s, s.decide(now))
		}
	case Refused:
		if s := t.find(m.Server, m.Incarnation); s != nil {
			s.addRefusal()
			return t.publish(m.Server, s, s.decide(now))
		}
	case Reported:
		if s := t.find(m.Server, m.Incarnation); s != nil && m.valid(now) && m.At.After(s.report.At) {
			s.report = m
			return t.publish(m.Server, s, s.applyReport(now))
		}
	case Samples:
		return t.addSamples(now, m)
	case Shared:
		if s := t.find(m.Server, m.Incarnation); s != nil && m.valid(now) {
			return t.publish(m.Server, s, s.follow(now, m))
		}
	case Gone:
		return t.remove(m.Server)
	case teaselstream.Tick:
		return t.tick(now)
	}
	return nil
}

// Share returns the share in (0, 1] that a server takes; it is 1 for a server without a limit.
func (t *Tracker) Share(id teaselstream.ServerID) float64 {
	if s := t.servers[id]; s != nil {
		return s.published
	}
	return 1
}

// Counts returns what this VM has counted since it was last returned and clears it. It returns at most maxSamples servers, those
// first that were not returned for longest, and leaves the others for the next call.
func (t *Tracker) Counts() []Sample {
	t.calls++
	ids := slices.SortedFunc(maps.Keys(t.servers), func(a, b teaselstream.ServerID) int {
		return cmp.Or(cmp.Compare(t.servers[a].returned, t.servers[b].returned), cmp.Compare(a, b))
	})
	var out []Sample
	for _, id := range ids {
		s := t.servers[id]
		if s.counts == (Sample{}) || len(out) == maxSamples {
			continue
		}
		x := s.counts
		x.Server, x.Incarnation, x.Share = id, s.incarnation, s.share
		out = append(out, x)
		s.counts, s.returned = Sample{}, t.calls
	}
	return out
}

func (t *Tracker) find(id teaselstream.ServerID, n teaselstream.Incarnation) *server {
	if s := t.servers[id]; s != nil && s.incarnation == n {
		return s
	}
	return nil
}

func (t *Tracker) start(now time.Time, m Started) []teaselstream.Cmd {
	known := m.Reason == ReasonStarted || m.Reason == ReasonRecovered || m.Reason == ReasonNewLayers
	old := t.servers[m.Server]
	switch {
	case m.Server == "" || !known || old == nil && len(t.servers) >= maxServers:
		return nil
	case old != nil && m.Incarnation < old.incarnation:
		return nil
	case old != nil && m.Incarnation == old.incarnation && m.Reason == ReasonStarted:
		return nil
	}
	share := startShare
	if old != nil && m.Incarnation == old.incarnation {
		share = min(share, old.share)
	}
	if t.servers == nil {
		t.servers = make(map[teaselstream.ServerID]*server)
	}
	s := &server{incarnation: m.Incarnation, share: share, published: 1, caution: 1, startedAt: now, changedAt: now, shrunkAt: now}
	s.window.since = now
	t.servers[m.Server] = s
	return t.publish(m.Server, s, m.Reason)
}

func (t *Tracker) addSamples(now time.Time, m Samples) []teaselstream.Cmd {
	if m.From == "" || m.From == t.VM || len(m.Counts) > maxSamples {
		return nil
	}
	var cmds []teaselstream.Cmd
	for _, x := range m.Counts {
		if s := t.find(x.Server, x.Incarnation); s != nil && x.valid() {
			s.addSample(x)
			cmds = append(cmds, t.publish(x.Server, s, s.decide(now))...)
		}
	}
	return cmds
}

func (t *Tracker) remove(id teaselstream.ServerID) []teaselstream.Cmd {
	if t.servers[id] == nil {
		return nil
	}
	delete(t.servers, id)
	return []teaselstream.Cmd{SetShare{Server: id, Share: 1}}
}

func (t *Tracker) tick(now time.Time) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		cmds = append(cmds, t.publish(id, t.servers[id], t.servers[id].decide(now))...)
	}
	return cmds
}

// publish announces a share that has changed noticeably and forgets a server that takes its full share.
func (t *Tracker) publish(id teaselstream.ServerID, s *server, reason string) []teaselstream.Cmd {
	if s.share >= 1 {
		delete(t.servers, id)
	} else if math.Abs(s.share-s.published) < noticeable*s.published {
		return nil
	}
	s.published = s.share
	return []teaselstream.Cmd{SetShare{Server: id, Share: s.share}, LogChange{Server: id, Share: s.share, Reason: reason}}
}

func (m Reported) valid(now time.Time) bool {
	ok := !math.IsNaN(m.Pace) && !math.IsInf(m.Pace, 0) && m.Pace >= 0 && !m.At.IsZero() && !m.At.After(now)
	return ok && validCount(m.Running) && validCount(m.Waiting) && validCount(m.Slots)
}

func (m Shared) valid(now time.Time) bool {
	return m.Share >= minShare && m.Share <= 1 && now.Sub(m.At).Abs() <= sharedTTL
}

func (x Sample) valid() bool {
	return validCount(x.OnTime) && validCount(x.Late) && validCount(x.Refused) && x.Share >= 0 && x.Share <= 1
}

func validCount(n int) bool { return n >= 0 && n <= maxCount }

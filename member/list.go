package member

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

const (
	// minListPeriod is the least mean time between two reads of the platform's list.
	minListPeriod = 2 * time.Second
	// listEntryBytes and listBudget (bytes per second) make the read period grow with the list: at 7,560 entries each
	// of 360 VMs reads it every 8 minutes, so that some VM reads it every 1.4 s and reports what is new.
	listEntryBytes = 130
	listBudget     = 2000

	listRetryBase  = time.Second
	listRetryLimit = 30 * time.Second
	// listTimeout is the time after which a read without an answer is repeated. A list that took
	// longer than maxListAge to arrive is ignored.
	listTimeout = 90 * time.Second
	maxListAge  = 60 * time.Second
	// leavingShareDivisor limits the servers of a group that the list alone can mark as leaving to 1/3 of the group.
	// Above that, each marked server must confirm that it drains.
	leavingShareDivisor = 3
)

// list is the state of the periodic reads of the platform's list.
type list struct {
	nextRead  time.Time
	inFlight  bool
	startedAt time.Time
	failures  int
}

func (l *list) tick(now time.Time) []teaselstream.Cmd {
	if now.Before(l.nextRead) || l.inFlight && now.Sub(l.startedAt) < listTimeout {
		return nil
	}
	l.inFlight, l.startedAt = true, now
	return []teaselstream.Cmd{ReadList{}}
}

func (s *Members) listRead(now time.Time, x ListRead) []teaselstream.Cmd {
	l := &s.list
	took := now.Sub(l.startedAt)
	l.inFlight = false
	if x.Err != nil {
		l.failures++
		l.nextRead = now.Add(teaselstream.Backoff(s.config.Rand, listRetryBase, listRetryLimit, l.failures))
		return nil
	}
	l.failures = 0
	period := max(minListPeriod, time.Duration(len(x.Entries)*listEntryBytes)*time.Second/listBudget)
	l.nextRead = now.Add(period/2 + time.Duration(s.config.Rand.Float64()*float64(period)))
	if took > maxListAge {
		return nil
	}
	return append(s.listVMs(now, x.Entries), s.listServers(now, x.Entries)...)
}

// listVMs adds VMs that are not known yet. Nothing else is taken from the list about VMs: a VM itself
// announces that it leaves, and its neighbours detect its death. An added VM has incarnation 0, which
// is below any that the VM itself states.
func (s *Members) listVMs(now time.Time, entries []teaselstream.ListEntry) []teaselstream.Cmd {
	added := false
	for _, e := range entries {
		id := teaselstream.VMID(e.Name)
		if e.Kind != teaselstream.ListKindVM || e.State != teaselstream.ListLive || id == s.config.VM || s.vms[id] != nil {
			continue
		}
		s.add(&vm{name: id, domain: e.Domain, address: e.Address, lastHeard: now})
		added = true
	}
	if !added {
		return nil
	}
	s.ringStale = true
	return []teaselstream.Cmd{PeersChanged{}}
}

// listServers applies the leaving marks of the list. Absence from the list is no evidence. If more than
// a third of a group is marked, each marked server is probed and must confirm that it drains.
func (s *Members) listServers(now time.Time, entries []teaselstream.ListEntry) []teaselstream.Cmd {
	marks := map[string][]teaselstream.ListEntry{}
	for _, e := range entries {
		v := s.servers[teaselstream.ServerID(e.Name)]
		if v == nil || e.State != teaselstream.ListLeaving || e.Incarnation != 0 && e.Incarnation < v.incarnation {
			continue
		}
		marks[modelGroup(v.Server)] = append(marks[modelGroup(v.Server)], e)
	}
	var out []teaselstream.Cmd
	for _, g := range sortedKeys(marks) {
		unconfirmed := len(marks[g])*leavingShareDivisor > len(s.groups[g])
		for _, e := range marks[g] {
			v := s.servers[teaselstream.ServerID(e.Name)]
			if v.leaving {
				continue
			}
			// Without an incarnation, the mark of a lagging list may refer to the process before a restart.
			if unconfirmed || e.Incarnation == 0 {
				out = append(out, s.probe(now, v)...)
				continue
			}
			n := s.serverNotice(wire.NoticeLeaving, v)
			n.Incarnation = e.Incarnation
			out = append(out, s.markLeaving(now, v, n, "")...)
		}
	}
	return out
}

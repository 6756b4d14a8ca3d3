package health

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// serversPerEjection limits probation to one in this many servers of a model. A false signal, such as a new version
	// that gives other answers, must not take a model out of service.
	serversPerEjection = 3
	// minReports is the number of other VMs with the same finding that puts a server on probation here; with two, one
	// faulty VM cannot eject servers everywhere.
	minReports = 2
)

// eject puts a server on probation, unless that would exceed a third of its model's servers.
// A wrong server then replaces a slow one, because wrong answers harm callers more.
func (m *Monitor) eject(now time.Time, s *server, c Cause) {
	if s.state == teaselstream.Probation && c == CauseWrong {
		s.cause = c
	}
	if s.state != teaselstream.Serving && s.state != teaselstream.SlowStart {
		return
	}
	total, ejected, slow := m.ejected(s.Model)
	if (ejected+1)*serversPerEjection > total {
		if c != CauseWrong || slow == nil {
			return
		}
		slow.setState(now, teaselstream.SlowStart, CauseNone)
	}
	s.setState(now, teaselstream.Probation, c)
}

// ejected returns the number of a model's servers, how many are on probation, and the least slow of those that are on
// probation for slowness.
func (m *Monitor) ejected(id teaselstream.ModelID) (total, ejected int, slow *server) {
	for _, name := range m.order {
		o := m.servers[name]
		if o.Kind == teaselstream.KindService || o.Model != id {
			continue
		}
		total++
		if o.state != teaselstream.Probation {
			continue
		}
		ejected++
		if o.cause == CauseSlow && (slow == nil || o.slow < slow.slow) {
			slow = o
		}
	}
	return total, ejected, slow
}

// releaseExcess ends probation, of slow servers first, while too many of a model are on probation because others left.
func (m *Monitor) releaseExcess(now time.Time) {
	for _, id := range m.order {
		s := m.servers[id]
		if s.state != teaselstream.Probation {
			continue
		}
		if total, ejected, slow := m.ejected(s.Model); ejected*serversPerEjection > total {
			if slow == nil {
				slow = s
			}
			slow.setState(now, teaselstream.SlowStart, CauseNone)
		}
	}
}

// report records the finding of another VM, tests the server at once, and ejects it once minReports VMs agree.
func (m *Monitor) report(now time.Time, x PeerReport) {
	s := m.current(x.Server, x.Incarnation)
	if s == nil {
		return
	}
	if x.Cause == CauseNone {
		delete(s.reports, x.VM)
		return
	}
	s.reports[x.VM] = x.Cause
	s.nextCanary = now
	n := 0
	for _, c := range s.reports {
		if c == x.Cause {
			n++
		}
	}
	if n >= minReports {
		m.eject(now, s, x.Cause)
	}
}

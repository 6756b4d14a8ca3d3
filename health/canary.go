package health

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/teaselstream/teaselstream"
)

const (
	// canaryPeriod is the time between canaries through a server, probationPeriod that on probation.
	canaryPeriod    = 30 * time.Second
	probationPeriod = 5 * time.Second
	// keptAnswers is the number of latest answers per model among which the majority is sought.
	keptAnswers = 32
	// minAnswers is the number of answers without which there is no majority.
	minAnswers = 3
	// wrongAnswers convicts a server; the second comes from a chain with other partners.
	wrongAnswers = 2
)

// spread returns a delay within the canary period, so that servers are not tested all at once.
func spread(id teaselstream.ServerID) time.Duration {
	return time.Duration(xxhash.Sum64String(string(id)) % uint64(canaryPeriod))
}

func (m *Monitor) canary(now time.Time, s *server) []teaselstream.Cmd {
	if !s.SendCanaries || s.Kind == teaselstream.KindService || !s.state.TakesNewWork() || now.Before(s.nextCanary) {
		return nil
	}
	s.nextCanary = now.Add(period(s))
	return []teaselstream.Cmd{Canary{Model: s.Model, Server: s.Name}}
}

// answer compares a canary's answer with the majority.
// A right answer clears the whole chain; after a wrong one each server is tested with other partners.
func (m *Monitor) answer(now time.Time, x CanaryAnswer) []teaselstream.Cmd {
	if m.answers == nil {
		m.answers = map[teaselstream.ModelID][]teaselstream.Digest{}
	}
	kept := append(m.answers[x.Model], x.Answer)
	m.answers[x.Model] = kept[max(len(kept)-keptAnswers, 0):]
	right, ok := majority(m.answers[x.Model])
	if !ok {
		return nil
	}
	var cmds []teaselstream.Cmd
	for _, id := range x.Chain {
		s := m.servers[id]
		if s == nil {
			continue
		}
		if x.Answer == right {
			s.wrong, s.accused = 0, nil
			s.right++
			s.nextCanary = now.Add(period(s))
			continue
		}
		s.right = 0
		if !s.accuse(x.Chain) {
			continue
		}
		if s.wrong >= wrongAnswers {
			m.eject(now, s, CauseWrong)
		} else if s.state.TakesNewWork() {
			partners := slices.DeleteFunc(slices.Clone(x.Chain), func(o teaselstream.ServerID) bool { return o == id })
			cmds = append(cmds, Canary{Model: x.Model, Server: id, Avoid: partners})
		}
	}
	return append(cmds, m.publish(now, false)...)
}

// accuse counts a wrong answer, unless a partner was in an earlier wrong chain too and may have caused both.
func (s *server) accuse(chain []teaselstream.ServerID) bool {
	for _, id := range chain {
		if s.accused[id] {
			return false
		}
	}
	if s.accused == nil {
		s.accused = map[teaselstream.ServerID]bool{}
	}
	for _, id := range chain {
		if id != s.Name {
			s.accused[id] = true
		}
	}
	s.wrong++
	return true
}

func majority(answers []teaselstream.Digest) (teaselstream.Digest, bool) {
	count := map[teaselstream.Digest]int{}
	for _, a := range answers {
		count[a]++
		if count[a]*2 > len(answers) && len(answers) >= minAnswers {
			return a, true
		}
	}
	return "", false
}

// checkRecovery ends probation after enough right canaries at normal speed.
func (m *Monitor) checkRecovery(now time.Time, s *server) {
	slow := s.cause == CauseSlow && (s.samples < minSamples || m.ratio(s) > recoveredRatio)
	if now.Sub(s.since) < probationTime || s.right < probationRight || slow || len(s.reports) >= minReports {
		return
	}
	s.set(now, teaselstream.SlowStart, CauseNone)
}

func period(s *server) time.Duration {
	if s.state == teaselstream.Probation || s.wrong > 0 {
		return probationPeriod
	}
	return canaryPeriod
}

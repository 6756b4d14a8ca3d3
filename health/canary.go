package health

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/teaselstream/teaselstream"
)

const (
	// canaryPeriod is the time between canaries through a server; probationPeriod applies on probation and after a
	// wrong answer.
	canaryPeriod    = 30 * time.Second
	probationPeriod = 5 * time.Second
	// answerHistory is the number of recent answers per model that the majority is taken from.
	answerHistory = 32
	// minAnswers is the number of answers needed for a majority.
	minAnswers = 3
	// wrongAnswersToEject is the number of wrong answers, from chains with no other server in common, that ejects a server.
	wrongAnswersToEject = 2
)

// canaryOffset returns an offset within the canary period, so that the first canaries are not sent all at once.
func canaryOffset(id teaselstream.ServerID) time.Duration {
	return time.Duration(xxhash.Sum64String(string(id)) % uint64(canaryPeriod))
}

func (m *Monitor) canary(now time.Time, s *server) []teaselstream.Cmd {
	if !s.SendCanaries || s.Kind == teaselstream.KindService || !s.state.TakesNewWork() || now.Before(s.nextCanary) {
		return nil
	}
	s.nextCanary = now.Add(canaryPeriodOf(s))
	return []teaselstream.Cmd{Canary{Model: s.Model, Server: s.Name}}
}

// answer compares a canary's answer with the majority of recent answers.
// A right answer clears all servers of the chain; after a wrong one each of them is tested again with other partners.
func (m *Monitor) answer(now time.Time, x CanaryAnswer) []teaselstream.Cmd {
	if m.answers == nil {
		m.answers = map[teaselstream.ModelID][]teaselstream.Digest{}
	}
	kept := append(m.answers[x.Model], x.Answer)
	m.answers[x.Model] = kept[max(len(kept)-answerHistory, 0):]
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
			s.wrong, s.wrongPartners = 0, nil
			s.right++
			s.nextCanary = now.Add(canaryPeriodOf(s))
			continue
		}
		s.right = 0
		if !s.countWrongAnswer(x.Chain) {
			continue
		}
		if s.wrong >= wrongAnswersToEject {
			m.eject(now, s, CauseWrong)
		} else if s.state.TakesNewWork() {
			partners := slices.DeleteFunc(slices.Clone(x.Chain), func(o teaselstream.ServerID) bool { return o == id })
			cmds = append(cmds, Canary{Model: x.Model, Server: id, Avoid: partners})
		}
	}
	return append(cmds, m.publish(now, false)...)
}

// countWrongAnswer counts a wrong answer and reports true, unless a server of the chain was a partner in an earlier counted
// answer and may have caused both.
func (s *server) countWrongAnswer(chain []teaselstream.ServerID) bool {
	for _, id := range chain {
		if s.wrongPartners[id] {
			return false
		}
	}
	if s.wrongPartners == nil {
		s.wrongPartners = map[teaselstream.ServerID]bool{}
	}
	for _, id := range chain {
		if id != s.Name {
			s.wrongPartners[id] = true
		}
	}
	s.wrong++
	return true
}

// majority returns the answer that more than half of the recent answers agree on.
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

// checkRecovery ends probation after probationTime, if enough canary answers were right, the speed is normal and too few
// other VMs report the server.
func (m *Monitor) checkRecovery(now time.Time, s *server) {
	slow := s.cause == CauseSlow && (s.samples < minSamples || m.ratio(s) > recoveredRatio)
	if now.Sub(s.stateSince) < probationTime || s.right < probationRight || slow || len(s.reports) >= minReports {
		return
	}
	s.setState(now, teaselstream.SlowStart, CauseNone)
}

func canaryPeriodOf(s *server) time.Duration {
	if s.state == teaselstream.Probation || s.wrong > 0 {
		return probationPeriod
	}
	return canaryPeriod
}

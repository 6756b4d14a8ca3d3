package queue

import (
	"math"
	"time"

	"github.com/teaselstream/teaselstream"
)

// service is what a Queue knows about one service.
type service struct {
	// ranks is the number of distinct ranks, at least 1.
	ranks int
	// held holds the requests that wait, in the order in which their holds began.
	held    []*entry
	meanRun time.Duration
	// shares is the latest report of the teams' shares; it counts for sharesMaxAge.
	shares   map[teaselstream.TeamID]float64
	sharesAt time.Time
	// refusedAt is when a request was last refused, by its order.
	refusedAt [maxRanks]time.Time
	// teamsWithWork is the number of teams that run requests elsewhere or had one decided here lately.
	teamsWithWork int
	fairness
}

const (
	// maxServices bounds the services that a Queue tells apart; the others share one state.
	maxServices = 256
	// maxRanks bounds the ranks of a service; less urgent ones count as the last.
	maxRanks = 16
	// maxTeams bounds the teams that are told apart per service; a report with more teams is ignored.
	maxTeams = 1024
	// sharesMaxAge is how long a report of shares counts: VMs report each second, and after three missing reports the running
	// requests, which last seconds, are others.
	sharesMaxAge = 3 * time.Second
	// overShareFactor is how many equal parts a team may use before others go first; a factor of 2 lets uneven teams be.
	overShareFactor = 2.0
	// minTeams is the number of teams with work from which on shares count: of two teams, neither can have twice an equal part.
	minTeams = 3
)

// serviceOf returns the state of a service, with its counts up to date.
func (q *Queue) serviceOf(now time.Time, id teaselstream.ServiceID) *service {
	if q.services[id] == nil && len(q.services) >= maxServices-1 {
		id = ""
	}
	s := q.services[id]
	if s == nil {
		s = &service{ranks: 1}
		if q.services == nil {
			q.services = make(map[teaselstream.ServiceID]*service)
		}
		q.services[id] = s
	}
	s.advance(now)
	return s
}

// setShares replaces the report of the teams' shares.
func (s *service) setShares(now time.Time, shares map[teaselstream.TeamID]float64) {
	s.shares, s.sharesAt = nil, now
	if len(shares) <= maxTeams {
		s.shares = make(map[teaselstream.TeamID]float64, len(shares))
		for t, x := range shares {
			if x > 0 && !math.IsInf(x, 0) {
				s.shares[t] = x
			}
		}
	}
	s.countTeams()
}

// countTeams updates teamsWithWork.
func (s *service) countTeams() {
	s.teamsWithWork = len(s.shares)
	for t := range s.byTeam {
		if s.shares[t] == 0 {
			s.teamsWithWork++
		}
	}
}

// overShare reports whether a team uses more than overShareFactor equal parts of what runs in the failure domain.
func (s *service) overShare(now time.Time, t teaselstream.TeamID) bool {
	if s.teamsWithWork < minTeams || now.Sub(s.sharesAt) > sharesMaxAge {
		return false
	}
	return s.shares[t] > overShareFactor/float64(s.teamsWithWork)
}

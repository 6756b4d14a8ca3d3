package queue

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// counter counts decided requests, and those of them that were sent, by second of the window.
	counter struct {
		decided, sent [windowSeconds]int
	}

	// fairness counts the decisions of the last seconds by rank, team and size.
	fairness struct {
		// second is the latest second that is counted, in Unix time.
		second int64
		all    counter
		byRank [maxRanks]counter
		large  [maxRanks]counter
		// sizes estimates the size that a tenth of the requests of each rank exceed.
		sizes  [maxRanks]float64
		byTeam map[teaselstream.TeamID]*counter
	}
)

const (
	// windowSeconds is the length of the window in which requests are counted; callers that are refused for longer give up.
	windowSeconds = 5
	// starvedRatio is how often a group is sent, as a part of how often all requests are, below which it counts as most urgent. It
	// keeps a distance from half as often, which callers perceive as being shut out.
	starvedRatio = 0.6
	// starvedRequests is the number of requests from which on a group's ratio is more than chance.
	starvedRequests = 10
	// sizeRise and sizeFall change the estimate of the size that a tenth exceed; it rests where one rise offsets nine falls.
	sizeRise, sizeFall = 1.09, 0.99
)

// advance moves the window to the second of now.
func (s *service) advance(now time.Time) {
	second := now.Unix()
	if second <= s.second {
		return
	}
	for i := max(s.second+1, second-windowSeconds+1); i <= second; i++ {
		s.clear(slot(i))
	}
	s.second = second
	for t, c := range s.byTeam {
		if decided, _ := c.totals(); decided == 0 {
			delete(s.byTeam, t)
		}
	}
	s.countTeams()
}

// clear forgets one second of all counters.
func (f *fairness) clear(i int) {
	f.all.clear(i)
	for r := range f.byRank {
		f.byRank[r].clear(i)
		f.large[r].clear(i)
	}
	for _, c := range f.byTeam {
		c.clear(i)
	}
}

// count records that e was sent or refused.
func (f *fairness) count(e *entry, sent bool) {
	if f.byTeam[e.Team] == nil && len(f.byTeam) < maxTeams {
		if f.byTeam == nil {
			f.byTeam = make(map[teaselstream.TeamID]*counter)
		}
		f.byTeam[e.Team] = &counter{}
	}
	for _, c := range f.groups(e) {
		c.add(slot(f.second), 1, sent)
	}
	f.all.add(slot(f.second), 1, sent)
}

// undo takes back that e was sent, which a server has refused.
func (f *fairness) undo(e *entry) {
	second := e.sentAt.Unix()
	if second > f.second || f.second-second >= windowSeconds {
		return
	}
	for _, c := range append(f.groups(e), &f.all) {
		c.add(slot(second), -1, true)
	}
}

// groups returns the counters of e's rank, team and size.
func (f *fairness) groups(e *entry) []*counter {
	groups := []*counter{&f.byRank[e.Rank]}
	if c := f.byTeam[e.Team]; c != nil {
		groups = append(groups, c)
	}
	if e.large {
		groups = append(groups, &f.large[e.Rank])
	}
	return groups
}

// starved reports whether a group of e has been sent too rarely, compared with all requests of the service.
func (f *fairness) starved(e *entry) bool {
	decided, sent := f.all.totals()
	for _, c := range f.groups(e) {
		if d, n := c.totals(); d >= starvedRequests && float64(n)*float64(decided) < starvedRatio*float64(sent)*float64(d) {
			return true
		}
	}
	return false
}

// sendRate returns the rate of sent requests, or 0 if there were too few to tell.
func (f *fairness) sendRate() float64 {
	if _, sent := f.all.totals(); sent >= starvedRequests {
		return float64(sent) / windowSeconds
	}
	return 0
}

// isLarge reports whether a size is among the largest tenth of a rank, and learns from it.
func (f *fairness) isLarge(rank, size int) bool {
	if size <= 0 {
		return false
	}
	x := &f.sizes[rank]
	if *x == 0 {
		*x = float64(size)
	}
	large := float64(size) > *x
	if large {
		*x *= sizeRise
	} else {
		*x *= sizeFall
	}
	return large
}

func (c *counter) add(i, n int, sent bool) {
	c.decided[i] += n
	if sent {
		c.sent[i] += n
	}
}

func (c *counter) clear(i int) { c.decided[i], c.sent[i] = 0, 0 }

func (c *counter) totals() (decided, sent int) {
	for i := range c.decided {
		decided += c.decided[i]
		sent += c.sent[i]
	}
	return decided, sent
}

// slot returns the position of a second in the window.
func slot(second int64) int { return int((second%windowSeconds + windowSeconds) % windowSeconds) }

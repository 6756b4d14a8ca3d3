package blame

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// record holds what is known about a fingerprint that ran on a lost server.
	record struct {
		losses  []loss
		crashes bool
		// verdictAt is the time from which a second loss that happened while the request ran alone counts as proof;
		// it is zero if there was none.
		verdictAt time.Time
		changed   time.Time
	}

	// loss is the loss of a server and the point of the answer at which it happened.
	loss struct {
		Crash
		domain teaselstream.DomainID
		tokens int
		// alone says that no other suspect ran on the server.
		alone bool
	}

	// domainLosses holds the recent losses in one failure domain.
	domainLosses struct {
		recent []timedCrash
		// common holds the losses with a common cause and when it was found; streams may report such a loss late.
		common map[Crash]time.Time
	}

	// timedCrash is a loss with the time of its first report.
	timedCrash struct {
		Crash
		at time.Time
	}
)

const (
	// clearanceTokens is the number of tokens past the point of an earlier loss that clears a request.
	// A loss is detected between two tokens, and a resumed stream may differ by one or two tokens.
	clearanceTokens = 2
	// commonCauseWindow and commonCauseLosses distinguish the failure of a domain from crashes by content:
	// this many servers of one domain lost within the window have a common cause. With 3 losses in 2 s,
	// several contents that crashed servers at the same time cleared each other.
	commonCauseWindow = time.Second
	commonCauseLosses = 5
	// commonCauseTTL is how long a common cause also covers losses that streams report late.
	commonCauseTTL = 10 * time.Second
	// contestTimeout is the longest wait for verdicts on other suspects of the same losses; most are cleared within 3 s.
	contestTimeout = 5 * time.Second
	// suspicionTTL and verdictTTL are how long a suspicion and a verdict are kept.
	suspicionTTL = 10 * time.Minute
	verdictTTL   = 24 * time.Hour
	// crashPause is how long no suspect starts on a server that has crashed: it would be reset by the dead server, which looks
	// as if its content had crashed it too. Every VM has noticed by then that the server is down.
	crashPause = 2 * time.Second
	// maxRecords limits the memory that records take.
	maxRecords = 10000
)

// add records a loss. A second one while the request ran alone leads to a verdict once the common-cause window is over.
func (r *record) add(now time.Time, l loss) {
	r.changed = now
	known := func(x loss) bool { return x.Crash == l.Crash }
	if slices.ContainsFunc(r.losses, known) {
		return
	}
	// A request that has passed the point of an earlier loss did not cause that loss.
	r.losses = slices.DeleteFunc(r.losses, func(x loss) bool { return l.tokens > x.tokens+clearanceTokens })
	r.losses = append(r.losses, l)
	if l.alone && len(r.losses) > 1 {
		r.verdictAt = now.Add(commonCauseWindow)
	}
}

// pastCommonCauseWindow reports whether there is a second loss and the time to find a common cause for it is over.
func (r *record) pastCommonCauseWindow(now time.Time) bool {
	return !r.verdictAt.IsZero() && !now.Before(r.verdictAt)
}

// contestExpired reports whether the wait for verdicts on other suspects of the same losses is over.
func (r *record) contestExpired(now time.Time) bool {
	return now.Sub(r.verdictAt) >= contestTimeout
}

// cleared reports whether a request with the given number of tokens has passed the points of all losses.
func (r *record) cleared(tokens int) bool {
	return !slices.ContainsFunc(r.losses, func(x loss) bool { return tokens <= x.tokens+clearanceTokens })
}

// clearLosses removes losses that have another cause.
func (r *record) clearLosses(crashes []Crash) {
	r.losses = slices.DeleteFunc(r.losses, func(x loss) bool { return slices.Contains(crashes, x.Crash) })
	if len(r.losses) < 2 {
		r.verdictAt = time.Time{}
	}
}

func (r *record) expired(now time.Time) bool {
	if r.crashes {
		return now.Sub(r.changed) > verdictTTL
	}
	return len(r.losses) == 0 || now.Sub(r.changed) > suspicionTTL
}

// add records a loss in the domain and reports whether it has a common cause with others.
// Each loss with a common cause is returned in found once, when the cause is recognized.
func (d *domainLosses) add(now time.Time, c Crash) (found []Crash, common bool) {
	maps.DeleteFunc(d.common, func(_ Crash, at time.Time) bool { return now.Sub(at) > commonCauseTTL })
	if _, ok := d.common[c]; ok {
		return nil, true
	}
	d.recent = slices.DeleteFunc(d.recent, func(x timedCrash) bool { return now.Sub(x.at) > commonCauseWindow })
	if !slices.ContainsFunc(d.recent, func(x timedCrash) bool { return x.Crash == c }) {
		d.recent = append(d.recent, timedCrash{Crash: c, at: now})
	}
	if len(d.recent) < commonCauseLosses {
		return nil, false
	}
	for _, x := range d.recent {
		if _, ok := d.common[x.Crash]; !ok {
			d.common[x.Crash] = now
			found = append(found, x.Crash)
		}
	}
	return found, true
}

func (l *Tracker) domain(id teaselstream.DomainID) *domainLosses {
	if l.domains == nil {
		l.domains = map[teaselstream.DomainID]*domainLosses{}
	}
	d := l.domains[id]
	if d == nil {
		d = &domainLosses{common: map[Crash]time.Time{}}
		l.domains[id] = d
	}
	return d
}

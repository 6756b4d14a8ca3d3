package blame

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// record is what is known of a fingerprint that was on a lost server.
	record struct {
		losses  []loss
		crashes bool
		// convictAt is the time from which a second loss while alone counts as proof, zero if there is none.
		convictAt time.Time
		changed   time.Time
	}

	// loss is a loss of a server with the point of the answer at which it happened.
	loss struct {
		Crash
		tokens int
		// alone says that no other suspect was on the server.
		alone bool
	}

	// domainLosses holds the recent losses in one failure domain.
	domainLosses struct {
		recent []timedCrash
		// common holds the losses with a common cause, whose streams may notice late.
		common map[Crash]time.Time
	}

	timedCrash struct {
		Crash
		at time.Time
	}
)

const (
	// margin is the number of tokens past the point of an earlier loss that clears a request.
	// A loss is noticed between two tokens of a stream, and a resumed stream may differ by a token or two.
	margin = 2
	// commonWindow and commonLosses tell a failure of a domain from crashes by content:
	// so many servers of one domain lost within the window have a common cause. With 3 losses in 2 s,
	// several contents that crash servers at the same time cleared each other.
	commonWindow = time.Second
	commonLosses = 5
	// commonTime is the time for which a common cause explains losses that streams notice late.
	commonTime = 10 * time.Second
	// contestTime is the longest wait for other suspects of the same losses; most are cleared within 3 s.
	contestTime = 5 * time.Second
	// suspectTime and crashTime are the times for which a suspicion and a verdict are kept.
	suspectTime = 10 * time.Minute
	crashTime   = 24 * time.Hour
	// maxRecords bounds the memory for records.
	maxRecords = 10000
)

// add notes a loss; a second one while the request ran alone convicts it once the window for a common cause is over.
func (r *record) add(now time.Time, l loss) {
	r.changed = now
	known := func(x loss) bool { return x.Crash == l.Crash }
	if slices.ContainsFunc(r.losses, known) {
		return
	}
	// A request that got past the point of an earlier loss did not cause that one.
	r.losses = slices.DeleteFunc(r.losses, func(x loss) bool { return l.tokens > x.tokens+margin })
	r.losses = append(r.losses, l)
	if l.alone && len(r.losses) > 1 {
		r.convictAt = now.Add(commonWindow)
	}
}

// provable reports whether the second loss had no common cause with others.
func (r *record) provable(now time.Time) bool {
	return !r.convictAt.IsZero() && !now.Before(r.convictAt)
}

// overdue reports whether other suspects of the same losses had their time to be cleared or convicted.
func (r *record) overdue(now time.Time) bool {
	return now.Sub(r.convictAt) >= contestTime
}

// cleared reports whether a request with so many tokens is past the points of all losses.
func (r *record) cleared(tokens int) bool {
	return !slices.ContainsFunc(r.losses, func(x loss) bool { return tokens <= x.tokens+margin })
}

// explain drops losses that have another cause.
func (r *record) explain(crashes []Crash) {
	r.losses = slices.DeleteFunc(r.losses, func(x loss) bool { return slices.Contains(crashes, x.Crash) })
	if len(r.losses) < 2 {
		r.convictAt = time.Time{}
	}
}

func (r *record) expired(now time.Time) bool {
	if r.crashes {
		return now.Sub(r.changed) > crashTime
	}
	return len(r.losses) == 0 || now.Sub(r.changed) > suspectTime
}

// add notes a loss in the domain and reports whether it has a common cause with others.
// Losses that are found to have one now are returned once.
func (d *domainLosses) add(now time.Time, c Crash) (found []Crash, common bool) {
	maps.DeleteFunc(d.common, func(_ Crash, at time.Time) bool { return now.Sub(at) > commonTime })
	if _, ok := d.common[c]; ok {
		return nil, true
	}
	d.recent = slices.DeleteFunc(d.recent, func(x timedCrash) bool { return now.Sub(x.at) > commonWindow })
	if !slices.ContainsFunc(d.recent, func(x timedCrash) bool { return x.Crash == c }) {
		d.recent = append(d.recent, timedCrash{Crash: c, at: now})
	}
	if len(d.recent) < commonLosses {
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

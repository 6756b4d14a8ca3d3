package route

import (
	"math"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// counter tracks this VM's own streams on one server or link.
	counter struct {
		mu sync.Mutex
		// open is the number of this VM's streams in flight.
		open int
		// decayedStarts is the number of started streams at the time at, where older starts count exponentially less.
		decayedStarts float64
		at            time.Time
		// recent holds the starts and ends that the last load report may not include.
		recent []change
	}

	change struct {
		at    time.Time
		delta int
	}

	// counters holds the counters of servers and of pairs of domains.
	counters struct {
		servers sync.Map
		links   sync.Map
	}

	domainPair struct {
		from teaselstream.DomainID
		to   teaselstream.DomainID
	}
)

const (
	// maxRecent bounds the changes that are stored for a server whose load reports stop.
	maxRecent = 1024
	// rateWindow is the time constant of the rate of starts. It is long compared with the time between requests, so
	// that the rate is smooth, and short compared with the time in which the load changes.
	rateWindow = 2 * time.Second
)

func (c *counter) add(now time.Time, delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = max(c.open+delta, 0)
	if delta > 0 {
		c.decayedStarts = c.startsAt(now) + 1
		c.at = now
	}
	if len(c.recent) >= maxRecent {
		c.recent = append(c.recent[:0], c.recent[maxRecent/2:]...)
	}
	c.recent = append(c.recent, change{at: now, delta: delta})
}

// netChangeSince returns the change of the number of streams in flight after time t, and deletes older changes.
func (c *counter) netChangeSince(t time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(c.recent) && !c.recent[n].at.After(t) {
		n++
	}
	c.recent = append(c.recent[:0], c.recent[n:]...)
	total := 0
	for _, r := range c.recent {
		total += r.delta
	}
	return total
}

// startsAt returns decayedStarts as of the given time.
func (c *counter) startsAt(now time.Time) float64 {
	return c.decayedStarts * math.Exp(-max(now.Sub(c.at), 0).Seconds()/rateWindow.Seconds())
}

// rate returns the number of streams that this VM starts per second.
func (c *counter) rate(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsAt(now) / rateWindow.Seconds()
}

func (c *counter) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

func (c *counters) server(id teaselstream.ServerID) *counter { return loadCounter(&c.servers, id) }

func (c *counters) link(from, to teaselstream.DomainID) *counter {
	return loadCounter(&c.links, domainPair{from: from, to: to})
}

func loadCounter(m *sync.Map, key any) *counter {
	if v, ok := m.Load(key); ok {
		return v.(*counter)
	}
	v, _ := m.LoadOrStore(key, &counter{})
	return v.(*counter)
}

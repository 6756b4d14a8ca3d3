package moves

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// defaultPatience is the time without an event after which callers leave if a stream does not say.
	defaultPatience = 2 * time.Second
	// keepLoss is how long a loss is kept. Twice the patience of callers later, each of its streams has moved or ended.
	keepLoss = 2 * defaultPatience
	// keepSlow is how long a server counts as slow without a further report. Reports come each second or so, and a server that nobody
	// reports on is as likely to have recovered.
	keepSlow = 30 * time.Second
	// keepMoves is how long the moves of a stream are kept after its last question, longer than a stream may run.
	keepMoves = 10 * time.Minute
	// sweepInterval is the least time between two searches for state to forget.
	sweepInterval = time.Second
	// maxServers bounds the lost and the slow servers that are kept; beyond it streams are answered as if the server were unknown.
	maxServers = 256
	// maxMoved bounds the streams whose moves are kept; beyond it no further stream leaves a slow server.
	maxMoved = 4096
)

type (
	// Scheduler decides when the streams of one VM move. The zero value knows no lost or slow server: it moves streams at once off
	// servers that are said to be lost and keeps them on slow ones.
	Scheduler struct {
		lost, slow map[teaselstream.ServerID]*backlog
		moved      map[teaselstream.AttemptID]*history
		sweepAt    time.Time
		// objectives reports that some stream had an objective for its pauses; without any, no order is needed.
		objectives bool
	}

	// history holds the moves of a stream off slow servers.
	history struct {
		left          []teaselstream.ServerID
		movedAt, used time.Time
	}
)

// Update applies one message and returns the resulting commands; each Ask and AskSlow gets exactly one Move or Stay.
func (s *Scheduler) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	s.sweep(now)
	switch m := m.(type) {
	case Lost:
		s.onLost(now, m)
	case Ask:
		return s.onAsk(now, m)
	case Slowed:
		s.onSlowed(now, m)
	case AskSlow:
		return s.onAskSlow(now, m)
	case Ended:
		s.onEnded(now, m)
	}
	return nil
}

// onEnded withdraws the tokens of a stream that was still to move.
func (s *Scheduler) onEnded(now time.Time, m Ended) {
	for _, b := range s.lost {
		b.withdraw(now, m.Request)
	}
	for _, b := range s.slow {
		b.withdraw(now, m.Request)
	}
}

func (s *Scheduler) sweep(now time.Time) {
	if now.Before(s.sweepAt) {
		return
	}
	s.sweepAt = now.Add(sweepInterval)
	forget(s.lost, func(b *backlog) bool { return now.Sub(b.heard) > keepLoss })
	forget(s.slow, func(b *backlog) bool { return now.Sub(b.heard) > keepSlow })
	forget(s.moved, func(h *history) bool { return now.Sub(h.used) > keepMoves })
}

func forget[K comparable, V any](entries map[K]V, old func(V) bool) {
	for k, v := range entries {
		if old(v) {
			delete(entries, k)
		}
	}
}

// put keeps a backlog unless too many are kept already.
func put(entries *map[teaselstream.ServerID]*backlog, id teaselstream.ServerID, b *backlog) {
	if *entries == nil {
		*entries = make(map[teaselstream.ServerID]*backlog)
	}
	if _, known := (*entries)[id]; known || len(*entries) < maxServers {
		(*entries)[id] = b
	}
}

// shareOf returns the part of b's read rate that is left for it, as the other backlogs of the same layers take an equal part each.
func (s *Scheduler) shareOf(now time.Time, b *backlog) float64 {
	sharing := 1
	for _, entries := range []map[teaselstream.ServerID]*backlog{s.lost, s.slow} {
		for _, other := range entries {
			if other != b && other.overlaps(b) && other.remaining(now) > 0 {
				sharing++
			}
		}
	}
	return b.rate / float64(sharing)
}

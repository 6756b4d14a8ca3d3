package flow

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Departure asks when the stream may leave a server that was lost, and reports whether to ask again then.
	Departure func(now time.Time, lost teaselstream.ServerID, silent time.Duration) (at time.Time, again bool)

	// turn is when the stream may leave a server that was lost; its zero value means that this was not asked.
	turn struct {
		// at is the zero time once it has come.
		at    time.Time
		asked bool
		again bool
	}
)

// mayLeave reports whether the stream's turn to leave its lost servers has come. All streams of a server move at the same moment otherwise,
// and the servers that take them read so long that all are late.
func (s *Stream) mayLeave(now time.Time, lost teaselstream.ServerID) bool {
	if s.Departure == nil {
		return true
	}
	if now.Before(s.turn.at) {
		return false
	}
	if s.turn.asked && !s.turn.again {
		return true
	}
	at, again := s.Departure(now, lost, now.Sub(s.lastActivity))
	if !again && !now.Before(at) {
		s.turn = turn{asked: true}
		return true
	}
	s.turn = turn{at: at, asked: true, again: again}
	return false
}

// awaitsTurn reports whether the stream waits to leave a lost server by a move.
func (s *Stream) awaitsTurn() bool { return !s.turn.at.IsZero() && !s.moving && s.lostPart() }

// earlierProbe returns the time of the next probe if it is before another time.
func (s *Stream) earlierProbe(at time.Time) time.Time {
	if next := s.lastActivity.Add(s.probeDelay); !s.probing && next.Before(at) {
		return next
	}
	return at
}

// firstLost returns a server of the running attempt's path that is in avoid.
func (s *Stream) firstLost() teaselstream.ServerID {
	for _, p := range s.Path {
		if s.avoid[p.Server] {
			return p.Server
		}
	}
	return ""
}

// MeanGap returns the moving mean of the time between two events, or 0 before the second one.
func (s *Stream) MeanGap() time.Duration { return s.meanGap }

package health

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// server is the state of one backend server.
type server struct {
	Known
	state teaselstream.ServerState
	cause Cause
	since time.Time
	// published is the last SetState.
	published SetState

	firstFailure time.Time
	nextProbe    time.Time
	probeWait    time.Duration

	// slow is the estimated time per layer over the document's; past is its long mean.
	slow     float64
	past     float64
	samples  int
	slowHits int

	nextCanary time.Time
	// wrong counts wrong canary answers since the last right one; right counts right ones on probation.
	wrong int
	right int
	// accused holds the partners in the wrong chains counted by wrong.
	accused map[teaselstream.ServerID]bool
	// reports holds the VMs that report the server, by cause.
	reports map[teaselstream.VMID]Cause
}

const (
	// deathTime is the time from the first failed use without a later success to Dead.
	deathTime = 2 * time.Second
	// slowStartTime is the time over which the weight of a new or returning server grows to 1.
	slowStartTime   = 10 * time.Second
	slowStartWeight = 0.1
	probationWeight = 0.01
	// probation ends after so long and so many right canaries.
	probationTime  = 30 * time.Second
	probationRight = 5
	minProbeWait   = time.Second
	maxProbeWait   = 5 * time.Second
)

func (s *server) set(now time.Time, state teaselstream.ServerState, c Cause) {
	s.state, s.cause, s.since = state, c, now
	switch state {
	case teaselstream.Dead:
		s.probeWait, s.nextProbe = minProbeWait, now
	case teaselstream.Probation:
		s.right, s.nextCanary = 0, now
		s.samples = 0
	case teaselstream.SlowStart:
		s.firstFailure = time.Time{}
		s.wrong, s.accused, s.slowHits = 0, nil, 0
	}
}

func (s *server) weight(now time.Time) float64 {
	switch s.state {
	case teaselstream.Probation:
		return probationWeight
	case teaselstream.SlowStart:
		grown := float64(now.Sub(s.since)) / float64(slowStartTime)
		return min(slowStartWeight+(1-slowStartWeight)*grown, 1)
	default:
		return 1
	}
}

// use applies the result of a use to a server that is not leaving.
func (s *server) use(now time.Time, r CallStatus) {
	if s.state == teaselstream.Leaving || s.state == teaselstream.Dead {
		return
	}
	switch r {
	case CallOK:
		s.firstFailure = time.Time{}
	case CallRefused:
		s.set(now, teaselstream.Dead, CauseFailed)
	case CallFailed:
		if s.firstFailure.IsZero() {
			s.firstFailure = now
		}
		s.checkDeath(now)
	}
}

func (s *server) checkDeath(now time.Time) {
	if !s.firstFailure.IsZero() && now.Sub(s.firstFailure) >= deathTime && s.state.TakesNewWork() {
		s.set(now, teaselstream.Dead, CauseFailed)
	}
}

// probe applies the answer to a probe; a dead server that answers returns by slow start.
func (s *server) probe(now time.Time, ok bool) {
	if s.state != teaselstream.Dead {
		return
	}
	if ok {
		s.set(now, teaselstream.SlowStart, CauseNone)
		return
	}
	s.probeWait = min(2*s.probeWait, maxProbeWait)
	s.nextProbe = now.Add(s.probeWait)
}

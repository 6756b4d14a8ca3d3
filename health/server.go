package health

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// server holds the health of one backend server.
type server struct {
	Known
	state      teaselstream.ServerState
	cause      Cause
	stateSince time.Time
	// published is the latest SetState.
	published SetState

	firstFailure time.Time
	nextProbe    time.Time
	probeWait    time.Duration

	// slow is the ratio of the estimated time per layer to the document's; longMean is its long-term mean.
	slow     float64
	longMean float64
	samples  int
	// slowHits counts the latest samples in a row with a ratio of slowRatio or more.
	slowHits int

	nextCanary time.Time
	// wrong counts wrong canary answers since the last right one; right counts right ones since the last wrong one or the
	// start of probation.
	wrong int
	right int
	// wrongPartners holds the other servers of the chains whose answers wrong counts.
	wrongPartners map[teaselstream.ServerID]bool
	// reports holds the cause that each other VM reports for the server.
	reports map[teaselstream.VMID]Cause
}

const (
	// failureTimeout is the time from the first failed call without a later success until the server counts as dead.
	failureTimeout = 2 * time.Second
	// slowStartTime is the time over which the weight of a new or returning server grows to 1.
	slowStartTime = 10 * time.Second
	// slowStartWeight and probationWeight are fractions of the traffic of a healthy server.
	slowStartWeight = 0.1
	probationWeight = 0.01
	// probationTime and probationRight are the least time on probation and the right canary answers needed to end it.
	probationTime  = 30 * time.Second
	probationRight = 5
	// minProbeWait and maxProbeWait bound the exponential backoff between probes of a dead server.
	minProbeWait = time.Second
	maxProbeWait = 5 * time.Second
)

func (s *server) setState(now time.Time, state teaselstream.ServerState, c Cause) {
	s.state, s.cause, s.stateSince = state, c, now
	switch state {
	case teaselstream.Dead:
		s.probeWait, s.nextProbe = minProbeWait, now
	case teaselstream.Probation:
		s.right, s.nextCanary = 0, now
		s.samples = 0
	case teaselstream.SlowStart:
		s.firstFailure = time.Time{}
		s.wrong, s.wrongPartners, s.slowHits = 0, nil, 0
	}
}

func (s *server) weight(now time.Time) float64 {
	switch s.state {
	case teaselstream.Probation:
		return probationWeight
	case teaselstream.SlowStart:
		grown := float64(now.Sub(s.stateSince)) / float64(slowStartTime)
		return min(slowStartWeight+(1-slowStartWeight)*grown, 1)
	default:
		return 1
	}
}

// applyCallResult applies the result of a call unless the server is leaving or already dead.
func (s *server) applyCallResult(now time.Time, r CallStatus) {
	if s.state == teaselstream.Leaving || s.state == teaselstream.Dead {
		return
	}
	switch r {
	case CallOK:
		s.firstFailure = time.Time{}
	case CallRefused:
		s.setState(now, teaselstream.Dead, CauseFailed)
	case CallFailed:
		if s.firstFailure.IsZero() {
			s.firstFailure = now
		}
		s.checkFailureTimeout(now)
	}
}

func (s *server) checkFailureTimeout(now time.Time) {
	if !s.firstFailure.IsZero() && now.Sub(s.firstFailure) >= failureTimeout && s.state.TakesNewWork() {
		s.setState(now, teaselstream.Dead, CauseFailed)
	}
}

// applyProbeResult applies the result of a probe; a dead server that answers returns through slow start.
func (s *server) applyProbeResult(now time.Time, ok bool) {
	if s.state != teaselstream.Dead {
		return
	}
	if ok {
		s.setState(now, teaselstream.SlowStart, CauseNone)
		return
	}
	s.probeWait = min(2*s.probeWait, maxProbeWait)
	s.nextProbe = now.Add(s.probeWait)
}

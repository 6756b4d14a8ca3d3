package flow

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// stallDeviations is the number of mean deviations beyond the mean pause after which a stream stands still, as for retransmission
	// timers.
	stallDeviations = 4
	// gapWeight is the reciprocal of the weight of the newest pause in the moving means.
	gapWeight = 8
	// unknownDeviation is the reciprocal of the assumed deviation as a part of the first pause.
	unknownDeviation = 2
)

// StreamStalled reports that the running attempt has had no event for longer than usual; other VMs may know which server of its path is
// the cause.
type StreamStalled struct {
	Path   teaselstream.Path
	Silent time.Duration
}

// reportsStall reports whether the stream is still to be reported if no event comes.
func (s *Stream) reportsStall() bool {
	return s.StallDelay > 0 && s.attemptDelivered && !s.stallReported
}

// stallAfter returns the time without an event after which the stream stands still.
func (s *Stream) stallAfter() time.Duration {
	return max(s.StallDelay, s.meanGap+stallDeviations*s.gapDeviation)
}

// reportStall returns the report if it is due, and leaves servers that are known to be down by then.
func (s *Stream) reportStall(now time.Time, silent time.Duration) []teaselstream.Cmd {
	if !s.reportsStall() || silent < s.stallAfter() {
		return nil
	}
	s.stallReported = true
	cmds := []teaselstream.Cmd{StreamStalled{slices.Clone(s.Path), silent}}
	if !s.lostPart() {
		return cmds
	}
	return append(cmds, s.moveOrReplace(now, "part is down")...)
}

// recordGap adds the pause before an event to the moving mean.
func (s *Stream) recordGap(now time.Time) {
	s.stallReported = false
	if !s.attemptDelivered {
		return
	}
	gap := now.Sub(s.lastEventAt)
	if s.meanGap == 0 {
		s.meanGap, s.gapDeviation = gap, gap/unknownDeviation
	}
	off := gap - s.meanGap
	s.meanGap += off / gapWeight
	s.gapDeviation += (off.Abs() - s.gapDeviation) / gapWeight
}

// leastSilence returns the time without an event from which on a path with a server in avoid does not work any more. For a stream that was reported
// as standing still, that is the time after which it was.
func (s *Stream) leastSilence() time.Duration {
	if s.stallReported {
		return s.stallAfter()
	}
	return nextEventProbeDelay
}

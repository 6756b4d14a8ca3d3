package ramp

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// startShare is the share of a server that has just started. Beside three sound servers it takes 4 % of the requests: a wrong
	// guess meets few callers, and in a domain with 75 requests a second about three answers come each second.
	startShare = 1.0 / 8
	// minShare is the smallest share. A server that gets no request gives no answer that shows its recovery.
	minShare = 1.0 / 16
	// growth is the factor by which a share grows: a server is asked for at most twice of what it has just shown.
	growth = 2
	// shrinkage is the factor by which a share shrinks, back to what the server coped with.
	shrinkage = 1.0 / 2
	// enoughAnswers is the number of answers in a window that decides; a server that is late every second time passes such a
	// window in 5 of 16 cases and the three windows to its full share in 1 of 33.
	enoughAnswers = 4
	// minBad is the number of late or refused answers from which a share shrinks; a single one may be due to its request.
	minBad = 2
	// badPart is the part of the answers, as 1/badPart, that may be late; callers on sound servers meet as many long answers.
	badPart = 4
	// maxCaution limits the factor by which windows grow after a share has shrunk, so that a server that recovers after many
	// tries is not left idle for longer than two windows.
	maxCaution = 2
	// lateFactor is the multiple of the expected time from which an answer is late; callers' objectives leave about that much.
	lateFactor = 2
	// lateMargin is added to it, for delays of the network that callers do not notice.
	lateMargin = 50 * time.Millisecond
	// quietTime is how long too few answers for a decision are waited for. A request that a server got at the beginning of that
	// time shows in its answers or its report by then, since reports are up to a second old.
	quietTime = time.Second
	// windowTime is how long a window stays open without a decision, so that one late answer of a server with few requests
	// does not keep its share down. It leaves the longest quiet time as long again for a report to arrive.
	windowTime = 2 * maxCaution * quietTime
	// normalPace is the pace from which a report counts as slow; the paces of sound servers vary by less.
	normalPace = 1.25
	// reportTTL is the age up to which a report limits growth; a stream lasts a few seconds.
	reportTTL = 3 * time.Second
	// sharedTTL is how long the share of the domain's observing VM is used, so that one or two lost messages change nothing.
	sharedTTL = 2 * time.Second
)

type (
	// server is the state of a server with a share below 1.
	server struct {
		incarnation teaselstream.Incarnation
		share       float64
		// published is the share of the last SetShare.
		published float64
		startedAt time.Time
		// changedAt is when the share last changed and shrunkAt when it last shrank or began.
		changedAt time.Time
		shrunkAt  time.Time
		// caution is the factor by which enoughAnswers and quietTime are larger than usual.
		caution int
		window  window
		report  Reported
		// sharedAt is the time of the last share that the domain's observing VM found, or the zero time.
		sharedAt time.Time
		// counts holds what Counts has not returned yet.
		counts   Sample
		returned uint64
	}

	// window counts the answers of all VMs since the last decision.
	window struct {
		since  time.Time
		onTime int
		bad    int
	}
)

func isLate(took, expected time.Duration) bool { return (took-lateMargin)/lateFactor > expected }

// addAnswer counts an answer to a request of this VM. One on time says nothing about a share that has changed since the request
// was sent, and a late one says nothing about a share that has shrunk since.
func (s *server) addAnswer(sentAt time.Time, late bool) {
	switch {
	case late && !sentAt.Before(s.shrunkAt):
		s.counts.Late++
		s.window.bad++
	case !late && !sentAt.Before(s.changedAt):
		s.counts.OnTime++
		s.window.onTime++
	}
}

func (s *server) addRefusal() {
	s.counts.Refused++
	s.window.bad++
}

// addSample counts the answers of another VM, by the same rule as addAnswer.
func (s *server) addSample(x Sample) {
	if x.Share == 0 || x.Share >= s.share {
		s.window.onTime += x.OnTime
	}
	if x.Share == 0 || x.Share <= s.share {
		s.window.bad += x.Late + x.Refused
	}
}

// decide changes the share if the window allows it and returns the reason.
func (s *server) decide(now time.Time) string {
	if !s.sharedAt.IsZero() {
		if now.Sub(s.sharedAt) <= sharedTTL {
			return ""
		}
		s.sharedAt, s.window = time.Time{}, window{since: now}
	}
	n := s.window.onTime + s.window.bad
	switch {
	case s.window.bad >= minBad && badPart*s.window.bad > n:
		return s.shrink(now, minShare, "late or refused")
	case n >= enoughAnswers*s.caution:
		return s.grow(now, "answers on time")
	case s.quiet(now):
		return s.grow(now, "few answers, none late")
	case now.Sub(s.window.since) > windowTime:
		s.window = window{since: now}
	}
	return ""
}

// quiet reports whether a window that has too few answers lets the share grow: because all were on time, or because there are
// none and the server's report shows that none will come.
func (s *server) quiet(now time.Time) bool {
	until := s.window.since.Add(quietTime * time.Duration(s.caution))
	if now.Before(until) || s.window.bad > 0 {
		return false
	}
	return s.window.onTime > 0 || !s.report.At.Before(until) && s.report.Running == 0 && s.report.Waiting == 0
}

// applyReport shrinks the share of a server whose report shows waiting requests or a slow pace.
func (s *server) applyReport(now time.Time) string {
	switch {
	case !s.sharedAt.IsZero() && now.Sub(s.sharedAt) <= sharedTTL:
		return ""
	case s.share > s.ceiling(now):
		return s.shrink(now, s.ceiling(now), "slow pace reported")
	case s.crowded(now) && s.report.At.Sub(s.shrunkAt) > quietTime:
		return s.shrink(now, minShare, "requests waiting")
	}
	return s.decide(now)
}

// crowded reports whether requests wait at the server at the present share.
func (s *server) crowded(now time.Time) bool {
	return s.report.Waiting > 0 && s.report.At.After(s.changedAt) && now.Sub(s.report.At) <= reportTTL
}

// ceiling returns the largest share for the pace that the server reports: one that takes three times as long does a third.
func (s *server) ceiling(now time.Time) float64 {
	if s.report.Pace <= normalPace || now.Sub(s.report.At) > reportTTL {
		return 1
	}
	return max(1/s.report.Pace, minShare)
}

func (s *server) grow(now time.Time, reason string) string {
	s.window = window{since: now}
	if s.crowded(now) || s.share >= s.ceiling(now) {
		return ""
	}
	s.caution = max(s.caution/2, 1)
	s.set(now, min(s.share*growth, s.ceiling(now)))
	return reason
}

func (s *server) shrink(now time.Time, least float64, reason string) string {
	s.window = window{since: now}
	s.caution = min(s.caution*2, maxCaution)
	s.set(now, min(s.share, max(s.share*shrinkage, least)))
	return reason
}

// follow takes over the share that the domain's observing VM found.
func (s *server) follow(now time.Time, m Shared) string {
	if m.At.Before(s.startedAt) || !m.At.After(s.sharedAt) {
		return ""
	}
	s.sharedAt = m.At
	if m.Share != s.share {
		s.set(now, m.Share)
	}
	return "share of the failure domain"
}

// set changes the share and drops the counts that say nothing about the new one.
func (s *server) set(now time.Time, share float64) {
	if share > s.share {
		s.counts.OnTime = 0
	} else {
		s.counts.Late, s.counts.Refused, s.shrunkAt = 0, 0, now
	}
	s.share, s.changedAt = share, now
}

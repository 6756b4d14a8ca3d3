package moves

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// gatherTime is how long the first streams wait for the questions of the others, whose lengths and silence then count. A VM asks for
	// all its streams at the same moment, and objectives for a pause are some hundred milliseconds.
	gatherTime = 5 * time.Millisecond
	// sendRate is the rate of moves as a multiple of the read rate. Holders then always have a move waiting although tokens are
	// overestimated by up to a fifth, and the order of arrival is kept.
	sendRate = 1.25
	// patienceShare is the part of a caller's patience within which a waiting stream is sent and read if nothing else is. The rest is
	// for reading that is shared with other streams and for a second try if the move is refused.
	patienceShare = 0.5
	// maxWait bounds each wait, whatever the caller's patience. The runner of streams replaces an attempt that is silent for 1.6 s, which
	// costs more than a move; the other half of that time is left for the reading.
	maxWait = 800 * time.Millisecond
)

func (s *Scheduler) onLost(now time.Time, m Lost) {
	if b := s.lost[m.Server]; b != nil && now.Sub(b.since) < defaultPatience {
		// VMs report the same loss one after the other.
		return
	}
	delete(s.slow, m.Server)
	put(&s.lost, m.Server, newBacklog(now, m))
}

func (s *Scheduler) onAsk(now time.Time, a Ask) []teaselstream.Cmd {
	b := s.lost[a.Server]
	if b == nil || b.rate == 0 {
		return moveNow(now, a.Request, "server is lost")
	}
	b.add(a.Request, a.Rank, a.Tokens, span(a.Silent)-now.Sub(b.since))
	rate := s.shareOf(now, b)
	s.objectives = s.objectives || a.Gap > 0
	if !s.objectives || b.readInTime(a, rate) {
		b.commit(a.Request, now)
		return moveNow(now, a.Request, "server is lost; no stream comes late by it")
	}
	if until := b.since.Add(gatherTime); now.Before(until) && !now.Before(b.since) && waitLimit(a, 0) >= gatherTime {
		return stay(now, a, until, "waits for the questions of other streams")
	}
	return s.sendInOrder(now, b, a, rate)
}

// readInTime reports whether all tokens are read within the objective of a stream, so that no order is needed. With one rank the silence
// until now does not count, since a stream that was late already takes no time from more urgent ones.
func (b *backlog) readInTime(a Ask, rate float64) bool {
	objective := span(a.Gap)
	if !b.oneRank() {
		objective -= span(a.Silent)
	}
	return b.total() <= rate*objective.Seconds()
}

// sendInOrder answers a stream of a server whose streams cannot all be read in time.
func (s *Scheduler) sendInOrder(now time.Time, b *backlog, a Ask, rate float64) []teaselstream.Cmd {
	tokens := float64(clamp(int64(a.Tokens), 0, maxTokens))
	budget, others := 0.0, 0.0
	if a.Gap > 0 {
		// Positions count from the loss on, silence until now.
		budget = rate * (now.Sub(b.since) + span(a.Gap) - span(a.Silent)).Seconds()
		others = rate * (span(a.Gap) - b.meanSilence()).Seconds()
	}
	ahead, late := b.position(rankOf(a.Rank), lengthOf(tokens, a.Left, b.mean(rankOf(a.Rank))), budget, others)
	reading := seconds(tokens * float64(b.holders) / rate)
	// A backlog that takes longer than any stream may wait is sent faster, which keeps its order to the end.
	speed := max(sendRate*rate, b.total()/maxWait.Seconds())
	wait := min(b.readBy(ahead, speed).Sub(now), waitLimit(a, reading))
	b.commit(a.Request, now.Add(max(wait, 0)))
	if wait <= 0 {
		return moveNow(now, a.Request, "server is lost; its turn has come")
	}
	reason := "waits for more urgent or shorter streams"
	if late {
		reason = "is late in any case and gives way"
	}
	return []teaselstream.Cmd{
		Move{Request: a.Request, At: now.Add(wait), Reason: "server is lost"},
		LogDecision{a.Request, a.Server, a.Rank, wait, reason},
	}
}

// waitLimit returns the longest wait of a stream whose own reading takes the given time.
func waitLimit(a Ask, reading time.Duration) time.Duration {
	patience := span(a.Patience)
	if patience == 0 {
		patience = defaultPatience
	}
	return min(maxWait, time.Duration(patienceShare*float64(patience))-span(a.Silent)-reading)
}

// lengthOf orders streams of equal tokens by the events that are left: up to a hundredth of the mean length is added.
func lengthOf(tokens float64, left int, mean float64) float64 {
	if left <= 0 {
		return tokens
	}
	events := float64(left)
	return tokens + mean/100*events/(events+100)
}

func moveNow(now time.Time, id teaselstream.AttemptID, reason string) []teaselstream.Cmd {
	return []teaselstream.Cmd{Move{Request: id, At: now, Reason: reason}}
}

func stay(now time.Time, a Ask, until time.Time, reason string) []teaselstream.Cmd {
	return []teaselstream.Cmd{
		Stay{a.Request, until, reason},
		LogDecision{a.Request, a.Server, a.Rank, until.Sub(now), reason},
	}
}

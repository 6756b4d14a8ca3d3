package moves

import (
	"math"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// minFactor is the slowness from which streams leave a server. Pauses on a sound path reach half of the usual objective of 250 ms, so
	// that a server up to twice as slow keeps it.
	minFactor = 2.0
	// slowShare is the part of their time for which the other holders read streams that leave a slow server. Their own streams pause for
	// up to 130 ms; a quarter less time makes that 175 ms, which leaves room for new prompts within the objective of 250 ms.
	slowShare = 0.25
	// pauseSpread is the longest pause of a stream as a multiple of its mean: a step that reads a piece of a prompt takes about twice as
	// long as one that does not.
	pauseSpread = 2
	// minReturn is the least time that a move saves as a multiple of what it costs, since it delays the streams beside it as much as the
	// stream itself.
	minReturn = 2
	// unknownLeft is the number of events that a stream of unknown length has probably still to come. Short answers have about this many,
	// so that a move that pays only for longer ones is not made.
	unknownLeft = 16
	// maxMoves bounds the moves of one stream off slow servers; each is a pause that the caller sees.
	maxMoves = 2
	// settleTime is the least time between two such moves of a stream. It equals the pause after which callers leave, so that two moves
	// never make one pause.
	settleTime = defaultPatience
	// askInterval is when a stream that stays asks again. An answer is then no older than the usual objective for a pause.
	askInterval = 250 * time.Millisecond
)

// onSlowed starts or updates the slowness of a server. The order starts anew when it has become twice as slow.
func (s *Scheduler) onSlowed(now time.Time, m Slowed) {
	if !(m.Factor >= minFactor) {
		delete(s.slow, m.Server)
		return
	}
	b := s.slow[m.Server]
	if b != nil && m.Factor < 2*b.factor {
		b.heard = now
		b.rate = rateOf(m.ReadRate)
		return
	}
	b = newBacklog(now, Lost{m.Server, m.Ahead, m.Streams, m.VMs, m.ReadRate, m.Holders, m.Range})
	b.factor = min(m.Factor, math.MaxFloat32)
	put(&s.slow, m.Server, b)
}

func (s *Scheduler) onAskSlow(now time.Time, a AskSlow) []teaselstream.Cmd {
	b := s.slow[a.Server]
	if b == nil || b.rate == 0 {
		return staySlow(now, a, now.Add(askInterval), "server is not slow enough or its other holders are not known")
	}
	h := s.moved[a.Request]
	if h != nil {
		h.used = now
	}
	if until, reason := s.barred(now, h); reason != "" {
		return staySlow(now, a, until, reason)
	}
	rate := s.shareOf(now, b) * slowShare
	late, reason := s.pays(now, b, a)
	if reason != "" {
		return staySlow(now, a, now.Add(askInterval), reason)
	}
	b.add(a.Request, a.Rank, a.Tokens, 0)
	if until := b.since.Add(gatherTime); !b.known && now.Before(until) && !now.Before(b.since) {
		return staySlow(now, a, until, "waits for the questions of other streams")
	}
	if at := b.turn(a, rate, late); at.After(now) {
		return staySlow(now, a, earlier(at, now.Add(askInterval)), "waits until the other holders have time to read it")
	}
	return s.leave(now, b, a)
}

// barred returns why a stream may not leave a slow server now because of its earlier moves, and until when.
func (s *Scheduler) barred(now time.Time, h *history) (time.Time, string) {
	switch {
	case h == nil && len(s.moved) >= maxMoved:
		return now.Add(askInterval), "too many streams have moved lately"
	case h == nil:
		return time.Time{}, ""
	case len(h.left) >= maxMoves:
		return now.Add(settleTime), "has moved as often as allowed"
	case now.Sub(h.movedAt) < settleTime:
		return earlier(h.movedAt.Add(settleTime), now.Add(settleTime)), "has moved just now"
	}
	return time.Time{}, ""
}

// pays returns why a move does not pay, or an empty reason; late reports that a stream that moves has missed its objective already.
func (s *Scheduler) pays(now time.Time, b *backlog, a AskSlow) (late bool, reason string) {
	tokens := float64(clamp(int64(a.Tokens), 0, maxTokens))
	cost := max(span(a.ReadTime), seconds(tokens*float64(b.holders)/b.rate)) + s.readingNow(now, b)
	left := a.Left
	if left <= 0 {
		left = unknownLeft
	}
	saved := seconds(float64(left) * (span(a.Pace) - span(a.NormalPace)).Seconds())
	pause, gap := span(a.Pause), span(a.Gap)
	keeps := gap > 0 && pause <= gap
	inDanger := keeps && pauseSpread*span(a.Pace) > gap
	moveKeeps := cost+span(a.NormalPace) <= gap
	switch {
	case inDanger && moveKeeps && saved >= cost:
		return false, ""
	case keeps && !inDanger && !moveKeeps:
		return false, "a move would make it miss its objective"
	case saved < minReturn*cost || saved <= 0:
		return !keeps, "ends before a move pays"
	}
	return !keeps || !moveKeeps, ""
}

// readingNow estimates how long the same holders still read the streams of lost servers.
func (s *Scheduler) readingNow(now time.Time, b *backlog) time.Duration {
	tokens := 0.0
	for _, id := range sortedServers(s.lost) {
		if other := s.lost[id]; other.overlaps(b) {
			tokens += other.remaining(now)
		}
	}
	return seconds(tokens / b.rate)
}

// turn returns when a stream leaves a slow server. Those that still meet their objective come first, as after a loss.
func (b *backlog) turn(a AskSlow, rate float64, late bool) time.Time {
	budget := 0.0
	if !late {
		budget = rate * span(a.Gap).Seconds()
	}
	rank := rankOf(a.Rank)
	length := lengthOf(float64(clamp(int64(a.Tokens), 0, maxTokens)), a.Left, b.mean(rank))
	ahead, _ := b.position(rank, length, budget, budget)
	return b.readBy(ahead, rate)
}

// leave moves a stream now and remembers it.
func (s *Scheduler) leave(now time.Time, b *backlog, a AskSlow) []teaselstream.Cmd {
	b.commit(a.Request, now)
	if s.moved == nil {
		s.moved = make(map[teaselstream.AttemptID]*history)
	}
	h := s.moved[a.Request]
	if h == nil {
		h = &history{}
		s.moved[a.Request] = h
	}
	h.left = append(h.left, a.Server)
	h.movedAt, h.used = now, now
	return []teaselstream.Cmd{Move{a.Request, now, slices.Clone(h.left), "server is slow"}}
}

func staySlow(now time.Time, a AskSlow, until time.Time, reason string) []teaselstream.Cmd {
	return stay(now, Ask{Request: a.Request, Server: a.Server, Rank: a.Rank}, until, reason)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sortedServers returns the servers in a fixed order, so that sums of rounded numbers do not depend on the order of a map.
func sortedServers(entries map[teaselstream.ServerID]*backlog) []teaselstream.ServerID {
	ids := make([]teaselstream.ServerID, 0, len(entries))
	for id := range entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

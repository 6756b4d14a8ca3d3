package proxy

import (
	"log/slog"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/moves"
)

const (
	// slowFactor is the slowness from which package moves is asked about a server.
	slowFactor = 2.0
	// callerPatience is the least time without an event after which callers leave.
	callerPatience = 2 * time.Second
	// gapPatience is the same as a multiple of the objective for pauses.
	gapPatience = 8
)

// departures orders the streams of a VM that leave servers; its zero value works. It is safe for concurrent use.
type departures struct {
	mu        sync.Mutex
	scheduler moves.Scheduler
}

// update passes messages to the scheduler and returns the commands of the last one.
func (d *departures) update(now time.Time, messages ...teaselstream.Msg) []teaselstream.Cmd {
	d.mu.Lock()
	defer d.mu.Unlock()
	var cmds []teaselstream.Cmd
	for _, m := range messages {
		cmds = d.scheduler.Update(now, m)
	}
	return cmds
}

// readers returns the rate in tokens a second at which the other servers of a member's failure domain read through its layers, and their
// number.
func readers(v *fleet.View, e *teaselstream.EngineSpec, of *fleet.Member) (rate float64, count int) {
	layers := max(of.Holds.Len(), 1)
	for _, m := range v.Pools[of.Service] {
		from, to := max(m.Holds.From, of.Holds.From), min(m.Holds.To, of.Holds.To)
		if m.ID == of.ID || m.Domain != of.Domain || m.State != fleet.Serving || to <= from {
			continue
		}
		pace := max(e.Kinds[m.Accelerator].ReadPace, 1) * max(m.Slowdown, 1)
		rate += float64(e.ReadPerSecond) / pace * float64(max(e.Layers, 1)) / float64(layers) * float64(to-from) / float64(layers)
		count++
	}
	return rate, count
}

// departure returns when a stream may leave a lost server; see flow.Departure.
func (s *streamRunner) departure(now time.Time, lost teaselstream.ServerID, silent time.Duration) (time.Time, bool) {
	v := s.handler.View()
	m := v.Members[lost]
	if m == nil || s.pool.Engine == nil {
		return now, false
	}
	rank, _ := s.rank()
	rate, holders := readers(v, s.pool.Engine, m)
	cmds := s.handler.departures.update(now,
		moves.Lost{Server: lost, VMs: v.DomainVMs(v.Domain), ReadRate: rate, Holders: holders, Range: m.Holds},
		moves.Ask{
			Request: s.head.Attempt, Server: lost, Rank: rank, Tokens: s.tokensSoFar(), Left: s.eventsLeft(), Silent: silent,
			Gap: s.route.Gap, Patience: max(callerPatience, gapPatience*s.route.Gap),
		})
	at, again := now, false
	for _, c := range cmds {
		switch c := c.(type) {
		case moves.Move:
			at = c.At
		case moves.Stay:
			at, again = c.Until, true
		case moves.LogDecision:
			s.logDeparture(c)
		}
	}
	return at, again
}

// leaveSlow moves the stream off a slow server of its path if that pays and its turn has come.
func (s *streamRunner) leaveSlow(now time.Time, v *fleet.View) []teaselstream.Cmd {
	if now.Before(s.askSlowAt) || s.core.MeanGap() == 0 {
		return nil
	}
	var slow *fleet.Member
	var factors, layers float64
	for i, p := range s.core.Path {
		m := v.Members[p.Server]
		if m == nil || m.State != fleet.Serving {
			continue
		}
		weight := float64(p.Range.Len()) * max(s.pool.Engine.Kinds[m.Accelerator].Pace, 1)
		factors, layers = factors+weight*max(m.Slowdown, 1), layers+weight
		if i > 0 && m.Slowdown >= slowFactor && (slow == nil || m.Slowdown > slow.Slowdown) {
			slow = m
		}
	}
	if slow == nil {
		return nil
	}
	rank, _ := s.rank()
	rate, holders := readers(v, s.pool.Engine, slow)
	tokens := s.tokensSoFar()
	ask := moves.AskSlow{
		Request: s.head.Attempt, Server: slow.ID, Rank: rank, Tokens: tokens, Left: s.eventsLeft(), Gap: s.route.Gap, Pause: s.longestGap,
		Pace: s.core.MeanGap(), NormalPace: time.Duration(float64(s.core.MeanGap()) * layers / max(factors, 1)),
	}
	if rate > 0 {
		ask.ReadTime = time.Duration(float64(tokens) * float64(holders) / rate * float64(time.Second))
	}
	slowed := moves.Slowed{Server: slow.ID, Factor: slow.Slowdown, VMs: v.DomainVMs(v.Domain), ReadRate: rate, Holders: holders, Range: slow.Holds}
	for _, c := range s.handler.departures.update(now, slowed, ask) {
		switch c := c.(type) {
		case moves.Move:
			s.askSlowAt = now.Add(slowAskInterval)
			cmds := s.core.MoveOff(now, slow.ID, "part is slow")
			if len(cmds) == 0 {
				return nil
			}
			s.log("StreamLeavesSlow", slog.LevelInfo, "server", string(slow.ID), "factor", slow.Slowdown, "rank", rank, "tokens", tokens)
			s.handler.Meter.Count(meter.LeftSlow, 1)
			return cmds
		case moves.Stay:
			s.askSlowAt = c.Until
		}
	}
	return nil
}

// slowAskInterval is the least time between two questions of a stream that has moved off a slow server.
const slowAskInterval = 250 * time.Millisecond

func (s *streamRunner) logDeparture(c moves.LogDecision) {
	s.handler.Meter.Count(meter.MoveWaits, 1)
	s.log("StreamWaitsToMove", slog.LevelInfo, "server", string(c.Server), "rank", c.Rank, "waitsMs", c.Waits.Milliseconds(), "reason", c.Reason)
}

// tokensSoFar returns the number of tokens that another server has to read to go on with the stream.
func (s *streamRunner) tokensSoFar() int {
	return s.head.PromptTokens + (s.events+int(s.head.LastEvent))*max(s.pool.Engine.Stride, 1)
}

// eventsLeft returns the number of events that are probably still to come, at least 1.
func (s *streamRunner) eventsLeft() int {
	return max(s.expectedTokens()/max(s.pool.Engine.Stride, 1)-s.events, 1)
}

package flow

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// firstProbe is the wait for the first event before the first server is asked what the request waits for: over the
	// age of its figures, and well under the usual objective of 500 ms, so that another path can still meet it.
	firstProbe = 230 * time.Millisecond
	// eventProbe is the same wait for a further event; the longest pauses of a loaded path are 130 ms.
	eventProbe = 230 * time.Millisecond
	// probeGrowth spaces further probes of a path whose servers all answer.
	probeGrowth = 1.6
	// hungTime is the silence after which a path whose servers all answer is given up. The new parts of a move read all
	// tokens of many streams for up to 1.5 s; callers leave after 2 s without an event.
	hungTime = 1600 * time.Millisecond
	// patience bounds the wait of a running stream for a path; callers leave after 2 s without an event.
	patience = 1600 * time.Millisecond
	// planWait spaces the looks for a path in that time.
	planWait = 100 * time.Millisecond
	// maxOpens bounds the times a request is sent, refused ones included; a running stream goes on while its caller waits.
	maxOpens = 5
	// laterWait spaces the sends of a running stream beyond that.
	laterWait = 250 * time.Millisecond
	// maxRepaths bounds the moves of one attempt, refused ones included; a path has few other holders of a part.
	maxRepaths = 6
	// fullTime is how long a server that refused a move is left out of further ones; requests end every some ten milliseconds.
	fullTime = 300 * time.Millisecond
	// refusalWait is the wait after the second refusal as not run, which doubles with each further one.
	refusalWait = 40 * time.Millisecond
	// retryAfterFull tells a caller when to come back after refusals for lack of room; a usual stream lasts about this long.
	retryAfterFull = 1 * time.Second
	// maxRetryAfter bounds the time after which a caller is asked to come back when the queues are long.
	maxRetryAfter = 3 * time.Second
	// retryAfterLost tells a caller when to come back while no path covers all layers; a lost range is loaded again in about this time.
	retryAfterLost = 2 * time.Second
)

type (
	// Planner finds a path for the request.
	Planner interface {
		// Plan returns a path that avoids servers and starts at first, unless that is empty.
		Plan(now time.Time, avoid map[teaselstream.ServerID]bool, first teaselstream.ServerID) (teaselstream.Path, time.Duration, bool)
		// QueueTime estimates how long the request would wait for others on a path.
		QueueTime(now time.Time, path teaselstream.Path) time.Duration
		// Down reports whether a server is known not to answer.
		Down(id teaselstream.ServerID) bool
		// RemoteDomainServers returns the servers that a part may be cut off with: those of its failure domain, if the first server of
		// the path is in another one.
		RemoteDomainServers(first, part teaselstream.ServerID) []teaselstream.ServerID
		// Resolve returns the server at an address.
		Resolve(address string) teaselstream.ServerID
	}

	// Options describes the request.
	Options struct {
		Planner Planner
		// MayRetry draws on the retry budget; begun says that the caller has a part of the answer.
		MayRetry func(begun bool) bool
		// Resumable says that the stream may go on at another server.
		Resumable bool
		// MaxServers bounds the servers on which the request may run.
		MaxServers int
		// Objective is the time within which the first event is worth most; 0 means none.
		Objective time.Duration
		// LastEvent is the last event that the caller has from an earlier request.
		LastEvent uint64
	}

	// Stream is the core of one model request.
	Stream struct {
		Options
		Path    teaselstream.Path
		Attempt teaselstream.Attempt

		// before is the path that a move in progress leaves, and that stays if the move fails.
		before teaselstream.Path
		avoid  map[teaselstream.ServerID]bool
		// full holds when a server refused a move for lack of room.
		full map[teaselstream.ServerID]time.Time
		// opens counts sends, runs those that may have run, and repaths the moves of this attempt.
		opens, runs, repaths int
		// ranOn holds the first servers of the attempts that may have run.
		ranOn []teaselstream.ServerID
		// mayHaveRun says that some attempt may have run.
		mayHaveRun bool
		last       uint64
		delivered  bool
		step       time.Duration
		// progress is the time of the last sign of life, probeWait the silence before the next probe.
		progress time.Time
		// eventAt is when the last event was delivered.
		eventAt   time.Time
		probeWait time.Duration
		probing   bool
		moving    bool
		opened    bool
		begun     bool
		reopen    time.Time
		// owed says that the next send still has to draw on the retry budget.
		owed bool
		done bool
	}
)

// Update applies one message and returns the commands that follow from it.
func (s *Stream) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	if s.done {
		return nil
	}
	switch m := m.(type) {
	case Start:
		s.avoid = make(map[teaselstream.ServerID]bool)
		s.full = make(map[teaselstream.ServerID]time.Time)
		s.last = s.LastEvent
		return s.open(now, "first")
	case Opened:
		return s.onOpened(now, m)
	case Event:
		return s.onEvent(now, m)
	case Closed:
		return s.onClosed(now, m)
	case Probed:
		return s.onProbed(now, m)
	case Repathed:
		return s.onRepathed(now, m)
	case ServersDown:
		return s.onLost(now, m)
	case TimedOut:
		return s.timeOut()
	case CallerDisconnected:
		s.done = true
		return []teaselstream.Cmd{Abort{s.Attempt, "caller left"}, Finish{CallerDisconnected: true}}
	case teaselstream.Tick:
		return s.tick(now)
	}
	return nil
}

// Delivered reports whether the caller has events of this request.
func (s *Stream) Delivered() bool { return s.delivered }

// LastDelivered returns the number of the last event that the caller has.
func (s *Stream) LastDelivered() uint64 { return s.last }

func (s *Stream) open(now time.Time, reason string) []teaselstream.Cmd {
	path, step, ok := s.Planner.Plan(now, s.avoid, "")
	if !ok && len(s.avoid) > 0 {
		// A server that refused once may serve now; only those that do not answer stay avoided.
		for id := range s.avoid {
			if !s.Planner.Down(id) {
				delete(s.avoid, id)
			}
		}
		path, step, ok = s.Planner.Plan(now, s.avoid, "")
	}
	if !ok && s.callerWaits(now) {
		// The caller still waits for the next event, and a lost range may be held again in time.
		s.reopen = now.Add(planWait)
		return nil
	}
	if !ok {
		return s.fail(teaselstream.CodeNoRoute, "no path covers all layers", retryAfterLost)
	}
	if wait := s.Planner.QueueTime(now, path); s.opens == 0 && s.LastEvent == 0 && s.Objective > 0 && wait > s.Objective {
		// The queue would make this request late and those behind it too, although others would be in time. A resumed
		// stream goes on, since most of its work is done.
		return s.fail(teaselstream.CodeOverloaded, "servers have too many requests waiting", min(wait, maxRetryAfter))
	}
	s.Attempt++
	s.opens++
	s.Path, s.step = path, step
	s.repaths, s.probing, s.moving, s.opened, s.begun = 0, false, false, false, false
	s.progress, s.reopen = now, time.Time{}
	s.probeWait = firstProbe
	last := uint64(0)
	if s.last != s.LastEvent {
		last = s.last
	}
	return []teaselstream.Cmd{Open{Attempt: s.Attempt, Path: path, LastEvent: last, Reason: reason}}
}

func (s *Stream) onOpened(now time.Time, m Opened) []teaselstream.Cmd {
	if m.Attempt != s.Attempt {
		return nil
	}
	s.progress = now
	switch {
	case m.Status/100 == 2:
		s.opened = true
		s.note()
		return nil
	case m.Answer.NotRun:
		return s.refused(now, m)
	default:
		// The server ran the request and reports a failure of its own.
		s.note()
		if s.delivered {
			return s.again(now, "failure status")
		}
		if s.mayRepeat() && s.counted() < max(s.MaxServers, 1) && s.opens < maxOpens && s.mayRetry() {
			s.avoid[s.Path[0].Server] = true
			return append([]teaselstream.Cmd{Abort{s.Attempt, "failure status"}}, s.open(now, "failure status")...)
		}
		s.done = true
		return []teaselstream.Cmd{PassThrough{s.Attempt}}
	}
}

// note records that the current attempt may have run.
func (s *Stream) note() {
	if !s.begun {
		s.begun = true
		s.runs++
		if !slices.Contains(s.ranOn, s.Path[0].Server) {
			s.ranOn = append(s.ranOn, s.Path[0].Server)
		}
		s.mayHaveRun = true
	}
}

func (s *Stream) mayRetry() bool { return s.MayRetry(s.delivered || s.LastEvent > 0) }

func (s *Stream) mayRepeat() bool { return s.Resumable }

func (s *Stream) onEvent(now time.Time, m Event) []teaselstream.Cmd {
	if m.Attempt != s.Attempt {
		return nil
	}
	s.note()
	s.progress = now
	if m.ID != 0 && m.ID <= s.last {
		return nil
	}
	if m.ID != 0 && s.last != 0 && m.ID != s.last+1 {
		return append([]teaselstream.Cmd{Abort{s.Attempt, "events are missing"}}, s.again(now, "events are missing")...)
	}
	if m.ID != 0 {
		s.last = m.ID
	}
	s.delivered, s.eventAt = true, now
	s.probeWait = eventProbe
	return []teaselstream.Cmd{Deliver{s.Attempt, m.Data}}
}

func (s *Stream) onClosed(now time.Time, m Closed) []teaselstream.Cmd {
	if m.Attempt != s.Attempt || !s.reopen.IsZero() {
		return nil
	}
	if m.Complete && s.opened {
		s.done = true
		return []teaselstream.Cmd{Finish{Complete: true}}
	}
	if !m.NotSent {
		s.note()
	}
	if len(s.Path) > 0 {
		s.avoid[s.Path[0].Server] = true
	}
	return s.again(now, m.Reason)
}

// NextTick returns when a Tick is next needed.
func (s *Stream) NextTick() time.Time {
	switch {
	case s.done:
		return time.Time{}
	case !s.reopen.IsZero():
		return s.reopen
	case s.probing || s.moving:
		// The result of the probe or move comes as a message.
		return s.progress.Add(hungTime + s.probeWait)
	}
	return s.progress.Add(s.probeWait)
}

package flow

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// firstEventProbeDelay is the wait for the first event before the first server is probed. It is longer than the age of
	// that server's report, and well under the usual objective of 500 ms, so that another path can still meet it.
	firstEventProbeDelay = 230 * time.Millisecond
	// nextEventProbeDelay is the same wait for each later event. Pauses between events of a loaded path reach 130 ms.
	nextEventProbeDelay = 230 * time.Millisecond
	// probeDelayFactor multiplies the delay after each probe, so that a path whose servers all answer is probed less often.
	probeDelayFactor = 1.6
	// hungTimeout is the time without an event after which an attempt is replaced although its servers answer probes. After
	// a move the new parts read all tokens of many streams, for up to 1.5 s; callers disconnect after 2 s without an event.
	hungTimeout = 1600 * time.Millisecond
	// maxEventWait bounds the time since the last event in which a running stream waits for a path or retry budget; callers
	// disconnect after 2 s without an event.
	maxEventWait = 1600 * time.Millisecond
	// maxServerWait bounds the time without an event in which a stream waits for servers that it may use. It ends after a server that is
	// cut off has proved to be, and before callers disconnect.
	maxServerWait = 1900 * time.Millisecond
	// replanInterval is the time between searches for a path during that wait.
	replanInterval = 100 * time.Millisecond
	// maxStreamAttempts bounds how often a request is sent, refused attempts included. A running stream that is refused is
	// still retried until maxEventWait.
	maxStreamAttempts = 5
	// lateRetryInterval is the time between attempts of a running stream beyond maxStreamAttempts.
	lateRetryInterval = 250 * time.Millisecond
	// maxRepaths bounds the moves of one attempt, refused ones included; few other servers hold the layers of a part.
	maxRepaths = 6
	// refusalTime is how long a server that refused a move or a replacement of the running attempt is excluded from both. Requests
	// end every few tens of milliseconds, so that a full server soon has room.
	refusalTime = 300 * time.Millisecond
	// refusalBackoff is the wait after the second refusal; it doubles with each further one.
	refusalBackoff = 40 * time.Millisecond
	// retryAfterRefusals is the Retry-After of a request that servers refused or that could not be sent. A typical stream
	// lasts about this long and then frees its memory.
	retryAfterRefusals = 1 * time.Second
	// retryAfterOtherVM is the Retry-After of a request that this VM may not send again although a path has room: the caller
	// comes back to another VM, whose part of the retry budget is not used up. A caller's new connection takes some
	// milliseconds, and most objectives are some hundred.
	retryAfterOtherVM = 100 * time.Millisecond
	// maxRetryAfter bounds the Retry-After that is derived from queue time.
	maxRetryAfter = 3 * time.Second
	// limitHold is the fraction of the objective for which a request is held until a server that has named a limit takes it. A
	// longer wait would leave too little time for the first event.
	limitHold = 0.25
	// minLimitRetry is the least Retry-After of a request for which the limits of servers leave no room; other requests come
	// meanwhile.
	minLimitRetry = 250 * time.Millisecond
	// retryAfterUncovered is the Retry-After while no path covers all layers; another server loads a lost range in about this
	// time.
	retryAfterUncovered = 2 * time.Second
)

type (
	// Planner finds paths for the request.
	Planner interface {
		// Plan returns a path and its time per token. The path uses no server in avoid and starts at first unless first is
		// empty; the last result is false if there is none.
		Plan(now time.Time, avoid map[teaselstream.ServerID]bool, first teaselstream.ServerID) (teaselstream.Path, time.Duration, bool)
		// PlanMove is Plan for a move of the running attempt, which keeps its first server and as many other parts as is worth it.
		PlanMove(now time.Time, avoid map[teaselstream.ServerID]bool, current teaselstream.Path) (teaselstream.Path, time.Duration, bool)
		// Wait estimates how long the request would wait behind others on a path.
		Wait(now time.Time, path teaselstream.Path) time.Duration
		// Take uses up one request of the limit that a server has named, and reports whether there was one. Plan does not return
		// paths that start at a server without one, unless first is set.
		Take(now time.Time, first teaselstream.ServerID) bool
		// LimitWait returns the time until a server takes the next request if the limits of servers are why there is no path; limited
		// is false if they are not. A negative time means that this VM may send it none.
		LimitWait(now time.Time, avoid map[teaselstream.ServerID]bool) (wait time.Duration, limited bool)
		// HasRoom reports whether all servers of a path probably take the request now.
		HasRoom(now time.Time, path teaselstream.Path) bool
		// Down reports whether a server is known to be unreachable.
		Down(id teaselstream.ServerID) bool
		// Incarnation returns the incarnation of a server, or 0 if it is not known.
		Incarnation(id teaselstream.ServerID) teaselstream.Incarnation
		// Gone reports whether an incarnation of a server is known to have ended or to be cut off, as opposed to being silent for a moment.
		Gone(id teaselstream.ServerID, n teaselstream.Incarnation) bool
		// RemoteDomainServers returns the servers in the failure domain of part, or none if first is in the same domain. A
		// broken link between the domains makes all of them unreachable from first.
		RemoteDomainServers(first, part teaselstream.ServerID) []teaselstream.ServerID
		// Resolve returns the server at an address, or an empty id.
		Resolve(address string) teaselstream.ServerID
	}

	// Options describes a model request.
	Options struct {
		Planner Planner
		// MayRetry takes one retry from the retry budget and reports whether there was one; begun is set if the caller already
		// has a part of the answer.
		MayRetry func(begun bool) bool
		// MayRun reports whether the request may be sent to a server, because requests like it are not known to crash servers; nil
		// always allows it.
		MayRun func() bool
		// Resumable allows the stream to continue at another server.
		Resumable bool
		// MaxServers bounds the number of servers that may run the request as the first of a path.
		MaxServers int
		// Objective is the target time to the first event; 0 means none.
		Objective time.Duration
		// StallDelay is the least time without an event after which a running stream is reported as standing still; 0 means never.
		StallDelay time.Duration
		// LastEvent is the number of the last event that the caller received in an earlier request, or 0.
		LastEvent uint64
		// Departure orders the streams that leave a lost server by a move; nil lets each leave at once.
		Departure Departure
	}

	// ranServer is an incarnation of a server that may have run the request.
	ranServer struct {
		id          teaselstream.ServerID
		incarnation teaselstream.Incarnation
	}

	// Stream is the state machine of one model request.
	Stream struct {
		Options
		Path    teaselstream.Path
		Attempt teaselstream.Attempt

		// previousPath is the path before a move in progress; it is restored if the move fails.
		previousPath teaselstream.Path
		avoid        map[teaselstream.ServerID]bool
		// leaving holds the parts that will soon stop but still work, so that they are a reason to move and none to end the attempt.
		leaving map[teaselstream.ServerID]bool
		// leavingReason is why the stream leaves the newest one in leaving.
		leavingReason string
		// refusedAt holds when each server refused a move or a replacement for lack of room.
		refusedAt map[teaselstream.ServerID]time.Time
		// replacement is the attempt that is opened beside the running one.
		replacement replacement
		// replaceAfter is the earliest time at which the next one may be opened.
		replaceAfter time.Time
		// attempts counts the times the request was sent, possiblyRan the attempts that may have run, and repaths the moves of
		// the current attempt.
		attempts, possiblyRan, repaths int
		// ranOn lists the first servers of the attempts that may have run.
		ranOn []ranServer
		// silentAt holds when each server was last found not to answer.
		silentAt map[teaselstream.ServerID]time.Time
		// mayHaveRun reports that some attempt may have run, and attemptMayHaveRun that the current one may.
		mayHaveRun  bool
		lastEventID uint64
		// delivered reports that the caller has a part of the answer, and attemptDelivered that it has one from the current attempt.
		delivered, attemptDelivered bool
		// stepTime is the planned time per token on Path.
		stepTime time.Duration
		// lastActivity is when the current attempt was opened, answered or moved, or had its last event; probeDelay is the time
		// from then to the next probe.
		lastActivity time.Time
		startedAt    time.Time
		// lastEventAt is when the last event was delivered; meanGap and gapDeviation are the moving mean and mean deviation of the time
		// between two events.
		lastEventAt           time.Time
		meanGap, gapDeviation time.Duration
		// turn is when the stream may leave the lost servers of its path.
		turn turn
		// stallReported means that the stream was reported as standing still since its last event.
		stallReported     bool
		probeDelay        time.Duration
		probing           bool
		moving            bool
		opened            bool
		attemptMayHaveRun bool
		// attemptCounted reports that the current attempt added its first server to ranOn.
		attemptCounted bool
		reopenAt       time.Time
		// limitedSince is when the request first waited for a server that has named a limit.
		limitedSince time.Time
		// retryUncharged reports that the next attempt has yet to be charged to the retry budget.
		retryUncharged bool
		done           bool
	}
)

// Update applies one message and returns the resulting commands.
func (s *Stream) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	if s.done {
		return nil
	}
	switch m := m.(type) {
	case Start:
		s.avoid = make(map[teaselstream.ServerID]bool)
		s.leaving = make(map[teaselstream.ServerID]bool)
		s.refusedAt = make(map[teaselstream.ServerID]time.Time)
		s.silentAt = make(map[teaselstream.ServerID]time.Time)
		s.startedAt = now
		s.lastEventID = s.LastEvent
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
		return s.onServersDown(now, m)
	case Harmful:
		return s.onHarmful()
	case TimedOut:
		return s.timeOut()
	case CallerDisconnected:
		s.done = true
		return []teaselstream.Cmd{Abort{s.Attempt, "caller disconnected"}, Finish{CallerLeft: true}}
	case teaselstream.Tick:
		return s.tick(now)
	}
	return nil
}

// Delivered reports whether events of this request were delivered to the caller.
func (s *Stream) Delivered() bool { return s.delivered }

// LastDelivered returns the number of the last event that the caller has, from this or an earlier request.
func (s *Stream) LastDelivered() uint64 { return s.lastEventID }

func (s *Stream) open(now time.Time, reason string) []teaselstream.Cmd {
	if s.MayRun != nil && !s.MayRun() {
		return s.fail(teaselstream.CodeCrashesServers, crashesServers, 0)
	}
	path, stepTime, ok := s.plan(now, s.avoid)
	if !ok && len(s.avoid) > 0 {
		// A server that refused earlier may accept now; only unreachable servers stay excluded.
		for id := range s.avoid {
			if !s.Planner.Down(id) {
				delete(s.avoid, id)
			}
		}
		path, stepTime, ok = s.plan(now, s.avoid)
	}
	if !ok && s.serversUsed() >= max(s.MaxServers, 1) {
		return s.waitForServers(now, reason)
	}
	if !ok {
		if wait, limited := s.Planner.LimitWait(now, s.avoid); limited {
			return s.waitForLimit(now, wait)
		}
	}
	if !ok && s.callerWaits(now) {
		// Another server may load the missing layers before the caller gives up on the next event.
		s.reopenAt = now.Add(replanInterval)
		return nil
	}
	if !ok {
		return s.fail(teaselstream.CodeNoRoute, "no path covers all layers", retryAfterUncovered)
	}
	if wait := s.Planner.Wait(now, path); s.attempts == 0 && s.LastEvent == 0 && s.Objective > 0 && wait > s.Objective {
		// In the queue this request would miss its objective and make those behind it miss theirs. A resumed stream is
		// accepted, since most of its work is done.
		return s.fail(teaselstream.CodeOverloaded, "servers have too many requests waiting", min(wait, maxRetryAfter))
	}
	if !s.Planner.Take(now, path[0].Server) {
		// Another request has been faster.
		return s.waitForLimit(now, 0)
	}
	s.attempts++
	s.begin(now, teaselstream.Attempt(s.attempts), path, stepTime)
	return []teaselstream.Cmd{Open{Attempt: s.Attempt, Path: path, LastEvent: s.resumeAfter(), Reason: reason}}
}

// begin makes an attempt the running one.
func (s *Stream) begin(now time.Time, n teaselstream.Attempt, path teaselstream.Path, stepTime time.Duration) {
	s.Attempt, s.Path, s.stepTime = n, path, stepTime
	s.repaths, s.probing, s.moving, s.opened, s.attemptMayHaveRun, s.attemptDelivered = 0, false, false, false, false, false
	s.lastActivity, s.reopenAt = now, time.Time{}
	s.probeDelay = firstEventProbeDelay
	s.turn, s.stallReported = turn{}, false
	clear(s.leaving)
}

// resumeAfter returns the number of the event after which a new attempt goes on, or 0 if the caller's own header already says it.
func (s *Stream) resumeAfter() uint64 {
	if s.lastEventID == s.LastEvent {
		return 0
	}
	return s.lastEventID
}

// NextTick returns when the next Tick is needed, or the zero time after the request has ended.
func (s *Stream) NextTick() time.Time {
	switch {
	case s.done:
		return time.Time{}
	case !s.reopenAt.IsZero():
		return s.reopenAt
	case s.awaitsTurn():
		return s.earlierProbe(s.turn.at)
	case s.probing || s.moving:
		// The result of the probe or move arrives as a message; a tick before it does nothing.
		return s.lastActivity.Add(hungTimeout + s.probeDelay)
	case s.reportsStall():
		return s.lastActivity.Add(min(s.stallAfter(), s.probeDelay))
	}
	return s.lastActivity.Add(s.probeDelay)
}

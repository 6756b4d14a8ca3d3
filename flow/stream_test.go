package flow

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
)

// scriptPlanner returns the first of its paths that uses no excluded server.
type scriptPlanner struct {
	paths []teaselstream.Path
	down  map[teaselstream.ServerID]bool
	// silent holds the servers that are down and may go on.
	silent map[teaselstream.ServerID]bool
	wait   time.Duration
	// full holds the servers without room.
	full map[teaselstream.ServerID]bool
	// limits holds how many requests each server takes, or is nil if there are no limits; limitWait is the time until the next one.
	limits    map[teaselstream.ServerID]int
	limitWait time.Duration
}

func (p *scriptPlanner) Plan(_ time.Time, avoid map[teaselstream.ServerID]bool, first teaselstream.ServerID) (teaselstream.Path, time.Duration, bool) {
	for _, path := range p.paths {
		ok := first == "" || path[0].Server == first
		for _, x := range path {
			ok = ok && !avoid[x.Server] && !p.down[x.Server]
		}
		if first == "" && p.limits != nil && p.limits[path[0].Server] <= 0 {
			ok = false
		}
		if ok {
			return path, 0, true
		}
	}
	return nil, 0, false
}

func (p *scriptPlanner) PlanMove(now time.Time, avoid map[teaselstream.ServerID]bool, current teaselstream.Path) (teaselstream.Path, time.Duration, bool) {
	return p.Plan(now, avoid, current[0].Server)
}

func (p *scriptPlanner) Wait(time.Time, teaselstream.Path) time.Duration { return p.wait }

func (p *scriptPlanner) HasRoom(_ time.Time, path teaselstream.Path) bool {
	for _, x := range path {
		if p.full[x.Server] {
			return false
		}
	}
	return true
}

func (p *scriptPlanner) Take(_ time.Time, first teaselstream.ServerID) bool {
	if p.limits == nil {
		return true
	}
	p.limits[first]--
	return p.limits[first] >= 0
}

func (p *scriptPlanner) LimitWait(time.Time, map[teaselstream.ServerID]bool) (time.Duration, bool) {
	return p.limitWait, p.limits != nil
}

func (p *scriptPlanner) Down(id teaselstream.ServerID) bool { return p.down[id] }

func (p *scriptPlanner) Incarnation(teaselstream.ServerID) teaselstream.Incarnation { return 1 }

func (p *scriptPlanner) Gone(id teaselstream.ServerID, _ teaselstream.Incarnation) bool {
	return p.down[id] && !p.silent[id]
}

// RemoteDomainServers treats servers whose names begin with the same capital letter as one failure domain.
func (p *scriptPlanner) RemoteDomainServers(first, part teaselstream.ServerID) []teaselstream.ServerID {
	var ids []teaselstream.ServerID
	for _, path := range p.paths {
		for _, x := range path {
			if part[0] >= 'A' && part[0] <= 'Z' && first[0] != part[0] && x.Server[0] == part[0] {
				ids = append(ids, x.Server)
			}
		}
	}
	return ids
}

func (p *scriptPlanner) Resolve(address string) teaselstream.ServerID {
	return teaselstream.ServerID(address)
}

type streamScript struct {
	planner *scriptPlanner
	stream  *Stream
	retries int
	harmful bool
	// reserve is the part of retries that only requests with delivered events may use.
	reserve int
	start   time.Time
	// turns holds the answers to the questions when the stream may leave a lost server, as times; one with "?" is asked again then.
	turns []string
}

func (s *streamScript) departure(now time.Time, _ teaselstream.ServerID, _ time.Duration) (time.Time, bool) {
	if len(s.turns) == 0 {
		return now, false
	}
	text, again := strings.CutSuffix(s.turns[0], "?")
	s.turns = s.turns[1:]
	at, _ := time.ParseDuration(text)
	return s.start.Add(at), again
}

// Guards against streams that lose or repeat events, run on more servers than their route allows, are retried although
// they may have run and must not run twice, wait for a part that does not answer, or end with a wrong final answer.
func TestStreamScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/stream", func(t *testing.T, path string) {
		s := &streamScript{start: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *streamScript) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "stream":
		s.planner = &scriptPlanner{down: make(map[teaselstream.ServerID]bool), silent: make(map[teaselstream.ServerID]bool)}
		s.stream = &Stream{Options: Options{Planner: s.planner, MaxServers: 2, MayRetry: s.mayRetry, Resumable: !d.HasArg("once")}}
		s.harmful = d.HasArg("harmful")
		s.stream.MayRun = func() bool { return !s.harmful }
		s.stream.Objective = 500 * time.Millisecond
		if d.HasArg("wait") {
			var wait string
			d.ScanArgs(t, "wait", &wait)
			s.planner.wait, _ = time.ParseDuration(wait)
		}
		if d.HasArg("limit") {
			var limit, wait string
			d.ScanArgs(t, "limit", &limit, &wait)
			s.planner.limits = map[teaselstream.ServerID]int{}
			s.planner.limits["a"] = int(numberOf(limit))
			s.planner.limitWait, _ = time.ParseDuration(wait)
		}
		s.turns = nil
		if d.HasArg("turns") {
			for _, a := range d.CmdArgs {
				if a.Key == "turns" {
					s.turns = a.Vals
				}
			}
			s.stream.Departure = s.departure
		}
		if d.HasArg("stall") {
			var stall string
			d.ScanArgs(t, "stall", &stall)
			delay, err := time.ParseDuration(stall)
			if err != nil {
				d.Fatalf(t, "stall: %v", err)
			}
			s.stream.StallDelay = delay
		}
		s.planner.full = make(map[teaselstream.ServerID]bool)
		if d.HasArg("full") {
			var full string
			d.ScanArgs(t, "full", &full)
			s.planner.full[teaselstream.ServerID(full)] = true
		}
		if d.HasArg("resumed") {
			s.stream.LastEvent = 3
		}
		s.retries, s.reserve = 100, 0
		if d.HasArg("reserve") {
			d.ScanArgs(t, "reserve", &s.reserve)
		}
		if d.HasArg("retries") {
			d.ScanArgs(t, "retries", &s.retries)
		}
		for _, line := range strings.Fields(d.Input) {
			s.planner.paths = append(s.planner.paths, pathOf(line))
		}
		return "ok"
	case "steps":
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			fmt.Fprintf(&out, "%s\n", line)
			for _, c := range s.step(t, strings.Fields(line)) {
				fmt.Fprintf(&out, "  %s\n", describe(c))
			}
		}
		return out.String()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (s *streamScript) mayRetry(begun bool) bool {
	if !begun && s.retries <= s.reserve {
		return false
	}
	s.retries--
	return s.retries >= 0
}

// pathOf parses "a,b,c" as a path with ten layers per part.
func pathOf(text string) teaselstream.Path {
	var p teaselstream.Path
	for i, id := range strings.Split(text, ",") {
		from := teaselstream.Layer(10 * i)
		p = append(p, teaselstream.Part{Server: teaselstream.ServerID(id), Address: id, Range: teaselstream.LayerRange{From: from, To: from + 10}})
	}
	return p
}

// step applies one script line of the form "TIME message arguments".
func (s *streamScript) step(t *testing.T, f []string) []teaselstream.Cmd {
	at, err := time.ParseDuration(f[0])
	if err != nil {
		t.Fatal(err)
	}
	now := s.start.Add(at)
	switch f[1] {
	case "start":
		return s.stream.Update(now, Start{})
	case "opened":
		answer := teaselstream.AnswerHead{NotRun: len(f) > 4 && f[4] == "notrun"}
		if len(f) > 5 {
			answer.Fault = f[5]
		}
		return s.stream.Update(now, Opened{attemptOf(f[2]), int(numberOf(f[3])), answer, len(f) > 4 && f[4] == "whole"})
	case "event":
		data := "data: x\n\n"
		if len(f) > 4 && f[4] == "comment" {
			data = ": x\n\n"
		}
		return s.stream.Update(now, Event{attemptOf(f[2]), numberOf(f[3]), []byte(data)})
	case "closed":
		return s.stream.Update(now, Closed{Attempt: attemptOf(f[2]), Complete: f[3] == "complete", NotSent: f[3] == "notsent", Reason: f[3]})
	case "probed":
		m := Probed{Attempt: attemptOf(f[2])}
		switch {
		case f[3] == "silent":
			m.Unresponsive = true
		case f[3] != "fine":
			m.BlockedOn = f[3]
		}
		return s.stream.Update(now, m)
	case "moved":
		return s.stream.Update(now, Repathed{Attempt: attemptOf(f[2])})
	case "notmoved":
		m := Repathed{Attempt: attemptOf(f[2]), Err: teaselstream.ErrConflict}
		switch {
		case len(f) > 3 && f[3] == "unknown":
			m.Err = teaselstream.ErrOutcomeUnknown
		case len(f) > 3:
			m.Fault = f[3]
		}
		return s.stream.Update(now, m)
	case "lost":
		return s.stream.Update(now, ServersDown{[]teaselstream.ServerID{teaselstream.ServerID(f[2])}})
	case "down":
		s.planner.down[teaselstream.ServerID(f[2])] = true
		return nil
	case "silent":
		id := teaselstream.ServerID(f[2])
		s.planner.down[id], s.planner.silent[id] = true, true
		return nil
	case "answers":
		delete(s.planner.down, teaselstream.ServerID(f[2]))
		return nil
	case "cutoff":
		delete(s.planner.silent, teaselstream.ServerID(f[2]))
		return nil
	case "up":
		delete(s.planner.down, teaselstream.ServerID(f[2]))
		return nil
	case "grant":
		s.planner.limits[teaselstream.ServerID(f[2])]++
		return nil
	case "refill":
		s.retries = int(numberOf(f[2]))
		return nil
	case "vacate":
		return s.stream.MoveOff(now, teaselstream.ServerID(f[2]), "part is leaving")
	case "tick":
		return s.stream.Update(now, teaselstream.Tick{})
	case "harmful":
		s.harmful = true
		return s.stream.Update(now, Harmful{})
	case "refused-now":
		s.harmful = true
		return nil
	case "timeout":
		return s.stream.Update(now, TimedOut{})
	case "gone":
		return s.stream.Update(now, CallerDisconnected{})
	}
	t.Fatalf("unknown message %s", f[1])
	return nil
}

func attemptOf(text string) teaselstream.Attempt { return teaselstream.Attempt(numberOf(text)) }

// numberOf parses a number; an invalid one becomes 0, which then shows in the output.
func numberOf(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func describe(c teaselstream.Cmd) string {
	switch c := c.(type) {
	case Open:
		return fmt.Sprintf("open %d %v after %d: %s", c.Attempt, c.Path.Servers(), c.LastEvent, c.Reason)
	case Abort:
		return fmt.Sprintf("abort %d: %s", c.Attempt, c.Reason)
	case Probe:
		return fmt.Sprintf("probe %d %s", c.Attempt, c.Path[0].Server)
	case Repath:
		return fmt.Sprintf("move %d %v: %s", c.Attempt, c.Path.Servers(), c.Reason)
	case StreamStalled:
		return fmt.Sprintf("stands still on %v", c.Path.Servers())
	case Deliver:
		return fmt.Sprintf("deliver from %d", c.Attempt)
	case PassThrough:
		return fmt.Sprintf("pass on %d", c.Attempt)
	case Finish:
		return "finish " + ending(c.Complete, c.Refusal)
	case CallSend:
		return fmt.Sprintf("send %d: %s", c.AttemptNumber, c.Reason)
	case CallDeliver:
		return fmt.Sprintf("deliver %d", c.AttemptNumber)
	case CallRefuse:
		return "refuse " + ending(false, c.Refusal)
	}
	return fmt.Sprintf("%T", c)
}

func ending(complete bool, e *teaselstream.Error) string {
	switch {
	case complete:
		return "complete"
	case e == nil:
		return "without an answer"
	default:
		return fmt.Sprintf("%s %s retry after %s", e.Code, e.Outcome, e.RetryAfter)
	}
}

// Guards against moving streams that end before their leaving server does. When a release replaced six servers, such
// moves made the new parts read all tokens of 100 streams for over a second.
func TestOutlasts(t *testing.T) {
	for _, x := range []struct {
		name             string
		expected, events int
		running, left    time.Duration
		want             bool
	}{
		{"not begun", 60, 0, 0, time.Second, true},
		{"ends in time", 60, 40, 1200 * time.Millisecond, time.Second, false},
		{"goes on", 60, 10, 300 * time.Millisecond, time.Second, true},
		{"longer than expected", 60, 70, 2 * time.Second, time.Second, true},
		{"no time left", 60, 59, 2 * time.Second, 0, true},
	} {
		if got := Outlasts(x.expected, x.events, x.running, x.left); got != x.want {
			t.Errorf("%s: Outlasts() = %t, want %t", x.name, got, x.want)
		}
	}
}

package queue

import (
	"flag"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/vtime"
)

// TestMain fixes the seed of rapid so that runs are reproducible; the command-line flag overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// Guards against urgent requests that find no room or are overtaken, requests that are held to the end without a chance or beyond
// their time, teams over their share that go first, groups that are never sent, callers that return at once, and any change for
// services that have one rank and room.
func TestQueueScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/queue", func(t *testing.T, path string) {
		var q *Queue
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "queue" {
				q = &Queue{}
			}
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				fmt.Fprintln(&out, line)
				now, m := parse(t, strings.Fields(line))
				for _, c := range q.Update(now, m) {
					fmt.Fprintf(&out, "  %s\n", describe(c))
				}
			}
			fmt.Fprintf(&out, "held %d\n", q.Held())
			return out.String()
		})
	})
}

// parse reads a line of the form "TIME message id-or-service key=value...".
func parse(t *testing.T, f []string) (time.Time, teaselstream.Msg) {
	now := time.Unix(1000, 0)
	args := make(map[string]string)
	for _, x := range f[3:] {
		k, v, _ := strings.Cut(x, "=")
		args[k] = v
	}
	number := func(key string) float64 {
		x, err := strconv.ParseFloat(args[key], 64)
		if err != nil && args[key] != "" {
			t.Fatalf("%s=%s: %v", key, args[key], err)
		}
		return x
	}
	duration := func(text string) time.Duration {
		d, err := time.ParseDuration(text)
		if err != nil && text != "" {
			t.Fatal(err)
		}
		return d
	}
	at := now.Add(duration(f[0]))
	id, service := teaselstream.AttemptID(f[2]), teaselstream.ServiceID(f[2])
	switch f[1] {
	case "arrive":
		m := Arrive{
			Request: id, Service: "m", Rank: int(number("rank")), Team: teaselstream.TeamID(args["team"]), Size: int(number("size")),
			Objective: duration(args["objective"]), Usual: duration(args["usual"]), Load: number("load"), Part: number("part"),
		}
		m.Waited = duration(args["waited"])
		_, m.Resumed = args["resumed"]
		if x, ok := args["deadline"]; ok {
			m.Deadline = now.Add(duration(x))
		}
		return at, m
	case "again":
		return at, Again{Request: id, Load: number("load"), Part: number("part")}
	case "rejected":
		return at, Rejected{id}
	case "ended":
		return at, Ended{id}
	case "ranks":
		return at, Ranks{service, int(number("count"))}
	case "teams":
		shares := make(map[teaselstream.TeamID]float64)
		for k := range args {
			shares[teaselstream.TeamID(k)] = number(k)
		}
		return at, Teams{service, shares}
	}
	t.Fatalf("unknown message %s", f[1])
	return at, nil
}

func describe(c teaselstream.Cmd) string {
	switch c := c.(type) {
	case Send:
		return fmt.Sprintf("send %s: %s", c.Request, c.Reason)
	case Hold:
		return fmt.Sprintf("hold %s for %s: %s", c.Request, c.For, c.Reason)
	case Refuse:
		return fmt.Sprintf("refuse %s retry after %s: %s", c.Request, c.RetryAfter, c.Reason)
	case LogDecision:
		return fmt.Sprintf("log %s rank %d team %q load %.2f waited %s: %s", c.Request, c.Rank, c.Team, c.Load, c.Waited, c.Reason)
	}
	return fmt.Sprintf("%T", c)
}

// Guards against a service with one rank and room at its servers whose requests no longer all go at once.
func TestOneRankWithRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		now := time.Unix(1000, 0)
		for i := range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			m := Arrive{
				Request: teaselstream.AttemptID(fmt.Sprint(i)), Team: teaselstream.TeamID(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "team"))),
				Size: rapid.IntRange(0, 1000).Draw(t, "size"), Objective: time.Duration(rapid.IntRange(0, 3000).Draw(t, "objective")) * time.Millisecond,
				Usual: 100 * time.Millisecond, Load: rapid.Float64Range(0, 1).Draw(t, "load"),
			}
			if cmds := q.Update(now, m); len(cmds) != 1 || cmds[0] != (Send{m.Request, reasonRoom}) {
				t.Fatalf("%+v: %v, want only Send", m, cmds)
			}
		}
	})
}

// Guards against state that grows with the number of requests, teams, services and ranks, and against requests beyond the bound on held
// ones that get no answer.
func TestBounds(t *testing.T) {
	var q Queue
	now := time.Unix(1000, 0)
	for i := range 3 * maxSent / 2 {
		id := fmt.Sprint(i)
		m := Arrive{
			Request: teaselstream.AttemptID(id), Service: teaselstream.ServiceID(fmt.Sprint(i % 1000)), Team: teaselstream.TeamID(id), Rank: i,
			Objective: time.Second, Deadline: now.Add(time.Second), Load: float64(i%2) * 1.1,
		}
		if cmds := q.Update(now.Add(time.Duration(i)*10*time.Microsecond), m); len(cmds) == 0 {
			t.Fatalf("%+v: no answer", m)
		}
	}
	if q.Held() > maxHeld || len(q.sent) > maxSent || len(q.services) > maxServices {
		t.Errorf("%d held, %d sent, %d services, want at most %d, %d, %d", q.Held(), len(q.sent), len(q.services), maxHeld, maxSent, maxServices)
	}
	for id, s := range q.services {
		if len(s.byTeam) > maxTeams {
			t.Errorf("service %s: %d teams, want at most %d", id, len(s.byTeam), maxTeams)
		}
	}
}

// randomRun answers the commands of a Queue as package proxy does, with random loads, refusals and ends.
type randomRun struct {
	*rapid.T
	*vtime.Queue
	q        Queue
	requests map[teaselstream.AttemptID]*randomRequest
}

type randomRequest struct {
	Arrive
	arrivedAt time.Time
	// last is the latest answer, and holds counts the holds, so that a replaced hold does not end.
	last  teaselstream.Cmd
	holds int
	gone  bool
}

// Guards against requests without a final answer, holds beyond half of the objective, Retry-After out of bounds, and panics on odd
// numbers.
func TestRandomQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &randomRun{T: t, Queue: vtime.NewQueue(time.Unix(1000, 0)), requests: map[teaselstream.AttemptID]*randomRequest{}}
		for i := range rapid.IntRange(1, 60).Draw(t, "requests") {
			r.RunUntil(r.Now().Add(r.duration("pause", 100)))
			r.step(i)
		}
		r.RunUntil(r.Now().Add(time.Minute))
		for id, x := range r.requests {
			if _, held := x.last.(Hold); (held || x.last == nil) && !x.gone {
				t.Errorf("%s has no final answer: %v", id, x.last)
			}
		}
		if r.q.Held() != 0 {
			t.Errorf("%d requests are held in the end", r.q.Held())
		}
	})
}

func (r *randomRun) duration(name string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(r.T, name)) * time.Millisecond
}

func (r *randomRun) number(name string) float64 {
	odd := rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1, 1e300})
	return rapid.OneOf(rapid.Float64Range(0, 2), rapid.Float64Range(0.8, 1.2), odd).Draw(r.T, name)
}

func (r *randomRun) step(i int) {
	const teams = "abcd"
	team := teaselstream.TeamID(teams[rapid.IntRange(0, 3).Draw(r.T, "team"):][:1])
	switch rapid.IntRange(0, 9).Draw(r.T, "step") {
	case 0:
		r.update(Ranks{"m", rapid.IntRange(-1, 20).Draw(r.T, "ranks")})
	case 1:
		r.update(Teams{"m", map[teaselstream.TeamID]float64{team: r.number("share"), "x": 0.1, "y": 0.1}})
	default:
		m := Arrive{
			Request: teaselstream.AttemptID(fmt.Sprint(i)), Service: "m", Rank: rapid.IntRange(-1, 20).Draw(r.T, "rank"), Team: team,
			Size: rapid.IntRange(-1, 100).Draw(r.T, "size"), Objective: r.duration("objective", 3000) - 10*time.Millisecond,
			Usual: r.duration("usual", 500) - 10*time.Millisecond, Resumed: rapid.IntRange(0, 9).Draw(r.T, "resumed") == 0,
			Load: r.number("load"), Part: r.number("part"), Waited: r.duration("waited", 1000) - 10*time.Millisecond,
		}
		if rapid.Bool().Draw(r.T, "limited") {
			m.Deadline = r.Now().Add(r.duration("deadline", 5000) - 10*time.Millisecond)
		}
		r.requests[m.Request] = &randomRequest{Arrive: m, arrivedAt: r.Now()}
		r.update(m)
	}
}

func (r *randomRun) update(m teaselstream.Msg) {
	for _, c := range r.q.Update(r.Now(), m) {
		switch c := c.(type) {
		case Send:
			x := r.answer(c.Request, c)
			r.After(r.duration("run", 2000), func() {
				switch {
				case x.last != c:
				case rapid.IntRange(0, 2).Draw(r.T, "rejected") == 0:
					r.update(Rejected{c.Request})
				default:
					r.update(Ended{c.Request})
				}
			})
		case Hold:
			r.hold(r.answer(c.Request, c), c)
		case Refuse:
			r.refused(r.answer(c.Request, c), c)
		}
	}
}

// answer notes an answer to a request, which must not have been refused before.
func (r *randomRun) answer(id teaselstream.AttemptID, c teaselstream.Cmd) *randomRequest {
	x := r.requests[id]
	if _, refused := x.last.(Refuse); refused || x.gone {
		r.Fatalf("%v after %v", c, x.last)
	}
	x.last = c
	x.holds++
	return x
}

func (r *randomRun) hold(x *randomRequest, c Hold) {
	end := r.Now().Add(c.For)
	longest := max(x.Objective/2, noObjectiveHold)
	if x.Objective > 0 {
		longest = x.Objective / 2
	}
	if c.For < 0 || !x.Resumed && c.For > 0 && end.Sub(x.arrivedAt) > longest {
		r.Fatalf("%v at %s, arrived %s", c, r.Now(), x.arrivedAt)
	}
	if !x.Deadline.IsZero() && c.For > 0 && end.After(x.Deadline) {
		r.Fatalf("%v ends at %s, after the deadline %s", c, end, x.Deadline)
	}
	n := x.holds
	r.After(c.For, func() {
		switch {
		case n != x.holds:
		case rapid.IntRange(0, 19).Draw(r.T, "gone") == 0:
			x.gone = true
			r.update(Ended{x.Request})
		default:
			r.update(Again{x.Request, r.number("load"), r.number("part")})
		}
	})
}

func (r *randomRun) refused(x *randomRequest, c Refuse) {
	longest := maxRetryAfter
	if left := x.Deadline.Sub(r.Now()); !x.Deadline.IsZero() && left > 0 {
		longest = min(longest, left/3)
	}
	if x.Resumed && x.holds == 1 {
		r.Fatalf("%v of a request that resumes, without Send", c)
	}
	if c.RetryAfter > longest || c.RetryAfter < min(minRetryAfter, longest)-time.Millisecond {
		r.Fatalf("%v, want between %s and %s", c, min(minRetryAfter, longest), longest)
	}
}

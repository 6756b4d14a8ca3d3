package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
)

// tickPeriod is the time between two steps of a line whose time is a range.
const tickPeriod = 100 * time.Millisecond

type coreScript struct {
	core  Core
	view  *View
	start time.Time
}

// Guards against servers that are dropped during a store outage, kept after their removal, credited with the layers of an
// earlier incarnation, or used while they are down, and against an older configuration that replaces a newer one.
func TestCoreScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &coreScript{start: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *coreScript) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "new" {
		s.core, s.view = Core{Domain: "zone"}, nil
		return "ok"
	}
	var out strings.Builder
	for _, line := range strings.Split(d.Input, "\n") {
		f := strings.Fields(line)
		first, last, isRange := strings.Cut(f[0], "-")
		at, err := time.ParseDuration(first)
		if err != nil {
			t.Fatal(err)
		}
		end := at
		if isRange {
			if end, err = time.ParseDuration(last); err != nil {
				t.Fatal(err)
			}
		}
		for ; at <= end; at += tickPeriod {
			for _, c := range s.core.Update(s.start.Add(at), message(t, f[1:])) {
				switch c := c.(type) {
				case PublishView:
					s.view = c.View
				case LogEvent:
					fmt.Fprintf(&out, "%s: %s %s\n", at, c.Event, c.Server)
				case ReadReport:
					fmt.Fprintf(&out, "%s: read report of %s\n", at, c.Server)
				case Returned:
					fmt.Fprintf(&out, "%s: %s takes work again, cause %d\n", at, c.Server, c.Cause)
				case CheckEnded:
					fmt.Fprintf(&out, "%s: check the end of %s\n", at, c.Server)
				}
			}
		}
	}
	return out.String() + s.state()
}

func (s *coreScript) state() string {
	if s.view == nil {
		return "no view"
	}
	var out strings.Builder
	for _, id := range slices.Sorted(maps.Keys(s.view.Members)) {
		m := s.view.Members[id]
		fmt.Fprintf(&out, "%s %s holds %s incarnation %d", id, m.State, m.Holds, m.Incarnation)
		if !m.LeavingSince.IsZero() {
			fmt.Fprintf(&out, " leaves since %s", m.LeavingSince.Sub(s.start))
		}
		if m.Ended {
			fmt.Fprint(&out, " ended")
		}
		if m.CutOff {
			fmt.Fprint(&out, " cut off")
		}
		if m.Share > 0 {
			fmt.Fprintf(&out, " share %g", m.Share)
		}
		fmt.Fprintln(&out)
	}
	for link, until := range s.view.CutLinks {
		fmt.Fprintf(&out, "no way from %s to %s until %s\n", link.From, link.To, until.Sub(s.start))
	}
	if s.view.Routing != nil {
		fmt.Fprintf(&out, "generation %d\n", s.view.Routing.Generation)
	}
	return out.String()
}

// message parses "listed NAME[@HEARTBEATS]...", "changed NAME [from-to] [born=N] [beat=N] [draining] [age=D]", "removed NAME [age=D]", "reported NAME from-to
// [born=N]", "stated NAME [born=N]", "silent NAME [born=N] [ended] [for=D]", "notasked NAME", "observed NAME answering|silent|ended [from-to] [born=N]
// [age=D] [cutoff]", "stalled NAME", "share NAME N", "plain", "dropped", "refused NAME [misplaced]", "invalid NAME [born=N]", "lost", "regained", "restored", "routing N" or "tick".
func message(t *testing.T, f []string) teaselstream.Msg {
	var id teaselstream.ServerID
	if len(f) > 1 {
		id = teaselstream.ServerID(f[1])
	}
	r := replicaOf(id, f)
	switch f[0] {
	case "listed":
		var l ReplicasListed
		for _, name := range f[1:] {
			name, beat, _ := strings.Cut(name, "@")
			l.Replicas = append(l.Replicas, replicaOf(teaselstream.ServerID(name), []string{"beat=" + beat}))
		}
		return l
	case "changed":
		return ReplicaChanged{r, ageOf(t, f)}
	case "removed":
		return ReplicaRemoved{id, ageOf(t, f)}
	case "reported":
		return ReportReceived{Server: id, Report: teaselstream.ReplicaReport{Incarnation: r.Incarnation, Holds: r.Holds, Pace: 1}}
	case "stated":
		return LeavingStated{Server: id, Incarnation: r.Incarnation}
	case "silent":
		return Unreachable{Server: id, Incarnation: r.Incarnation, Ended: slices.Contains(f, "ended"), Unanswered: durationOf(t, f, "for=")}
	case "observed":
		o := Observation{Server: id, Incarnation: r.Incarnation, Age: ageOf(t, f), CutOff: slices.Contains(f, "cutoff")}
		o.Report = teaselstream.ReplicaReport{Incarnation: r.Incarnation, Holds: r.Holds, Pace: 1, CacheTotal: 100}
		switch f[2] {
		case "silent":
			o.State = Silent
		case "ended":
			o.State = Ended
		}
		return Observed{From: "vm2", Observations: []Observation{o}}
	case "share":
		var share float64
		if _, err := fmt.Sscan(f[2], &share); err != nil {
			t.Fatal(err)
		}
		return ShareFound{Server: id, Share: share}
	case "plain":
		return RoutingRead{&teaselstream.Routing{Generation: 9, Pools: map[teaselstream.ServiceID]*teaselstream.Pool{"model": {}}}}
	case "stalled":
		return StreamStalled{Servers: []teaselstream.ServerID{id}}
	case "notasked":
		return NotAsked{Server: id}
	case "dropped":
		return MessagesDropped{}
	case "isolated":
		age := ageOf(t, f)
		return ServersIsolated{Since: time.Unix(1000, 0).Add(age)}
	case "refused":
		by := teaselstream.ServerID("")
		if len(f) > 2 && f[2] != "misplaced" {
			by = teaselstream.ServerID(f[2])
		}
		return WorkRefused{Server: id, ReportedBy: by, WrongLayers: slices.Contains(f, "misplaced")}
	case "invalid":
		return AnswerInvalid{Server: id, Incarnation: r.Incarnation}
	case "lost":
		return StoreLost{}
	case "regained":
		return StoreRegained{}
	case "restored":
		return StoreRestored{}
	case "routing":
		var n teaselstream.Generation
		if _, err := fmt.Sscan(f[1], &n); err != nil {
			t.Fatal(err)
		}
		return RoutingRead{&teaselstream.Routing{Generation: n}}
	case "tick":
		return teaselstream.Tick{}
	}
	t.Fatalf("unknown message %s", f[0])
	return nil
}

// ageOf parses "age=DURATION".
func ageOf(t *testing.T, f []string) time.Duration { return durationOf(t, f, "age=") }

func durationOf(t *testing.T, f []string, prefix string) time.Duration {
	for _, word := range f {
		if text, ok := strings.CutPrefix(word, prefix); ok {
			d, err := time.ParseDuration(text)
			if err != nil {
				t.Fatal(err)
			}
			return d
		}
	}
	return 0
}

func replicaOf(id teaselstream.ServerID, f []string) teaselstream.Replica {
	r := teaselstream.Replica{ID: id, Service: "model", Address: string(id), Domain: "zone", Incarnation: 1}
	for _, word := range f {
		var from, to, born, beat int
		if n, _ := fmt.Sscanf(word, "%d-%d", &from, &to); n == 2 {
			r.Holds = teaselstream.LayerRange{From: teaselstream.Layer(from), To: teaselstream.Layer(to)}
		}
		if n, _ := fmt.Sscanf(word, "beat=%d", &beat); n == 1 {
			r.Heartbeats = uint64(beat)
		}
		if n, _ := fmt.Sscanf(word, "born=%d", &born); n == 1 {
			r.Incarnation = teaselstream.Incarnation(born)
		}
		r.Draining = r.Draining || word == "draining"
		if word == "far" {
			r.Domain = "far"
		}
	}
	return r
}

// Guards against load that is counted twice, and against reports that are used for too long.
func TestLoadEstimate(t *testing.T) {
	now := time.Unix(1000, 0)
	var u LoadEstimate
	if _, ok := u.TotalRequests(now); ok {
		t.Error("TotalRequests() is known before any report")
	}
	u.OwnRequests.Store(3)
	u.RecordReport(now, 8, 2, 0.5)
	u.OwnRequests.Store(5)
	if n, ok := u.TotalRequests(now.Add(time.Second)); !ok || n != 12 {
		t.Errorf("TotalRequests() = %d, %t after two more own requests, want 12, true", n, ok)
	}
	u.RecordReport(now, 20, 0, -1)
	if utilization, _ := u.CacheUtilization(now); utilization != 0.5 {
		t.Errorf("CacheUtilization() = %v after a report without memory, want the earlier 0.5", utilization)
	}
	if _, ok := u.TotalRequests(now.Add(loadMaxAge + time.Second)); ok {
		t.Error("TotalRequests() uses an old report")
	}
}

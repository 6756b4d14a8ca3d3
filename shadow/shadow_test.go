package shadow

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/envdoc"
	"github.com/teaselstream/teaselstream/route"
)

type script struct {
	core     Core
	snapshot *teaselstream.Snapshot
}

// Guards against evaluations that miss a difference between the documents, count a false one, count in the wrong
// field, or keep the counts of an earlier trial document.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{snapshot: &teaselstream.Snapshot{Domain: "d1", LiveVMs: 1, Servers: map[teaselstream.ServerID]teaselstream.ServerView{}}}
		datadriven.RunTest(t, path, s.run)
	})
}

// run executes the commands production and trial, which take a document, state, which sets a server's state and load,
// and requests, which evaluates one request for each line.
func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	next := *s.snapshot
	switch d.Cmd {
	case "production":
		next.Document = parse(t, d.Input)
		for id, v := range next.Document.Servers {
			next.Servers[id] = teaselstream.ServerView{Server: v, Weight: 1, Slowdown: 1, Local: true}
		}
	case "trial":
		next.Trial = parse(t, d.Input)
	case "state":
		var id, state string
		d.ScanArgs(t, "server", &id)
		v := next.Servers[teaselstream.ServerID(id)]
		d.MaybeScanArgs(t, "running", &v.Load.Running)
		if d.MaybeScanArgs(t, "state", &state); state == "Dead" {
			v.State = teaselstream.Dead
		}
		next.Servers[v.Name] = v
	case "requests":
		for _, line := range strings.Split(d.Input, "\n") {
			s.core.Update(time.Unix(1, 0), sample(t, &next, line))
		}
		return report(&s.core)
	}
	s.snapshot = &next
	return "ok"
}

// sample parses "KEY model NAME BYTES [PRIORITY [WORTH]]", "KEY call SERVICE METHOD PATH" or "KEY".
func sample(t *testing.T, s *teaselstream.Snapshot, line string) Sample {
	t.Helper()
	f := strings.Fields(line)
	x := Sample{Snapshot: s, Key: teaselstream.Digest(strings.Repeat(f[0], 64))}
	switch {
	case len(f) == 1:
	case f[1] == "model":
		x.ModelRequest = admit.ModelRequest{Model: f[2], MaxTokens: 10, HasPriority: len(f) > 4}
		if _, err := fmt.Sscan(strings.Join(f[3:], " "), &x.ModelRequest.PromptBytes); err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Sscan(strings.Join(f[min(4, len(f)):], " "), &x.ModelRequest.Priority, &x.Worth)
	case f[1] == "call":
		x.Service, x.Call = teaselstream.ServiceID(f[2]), teaselstream.ServiceCall{Method: f[3], Path: f[4]}
	}
	return x
}

func parse(t *testing.T, text string) *teaselstream.Document {
	t.Helper()
	d, err := envdoc.Parse("doc.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// report lists the counts that are not zero.
func report(c *Core) string {
	_, n := c.Counts()
	v := reflect.ValueOf(n)
	var lines []string
	for i := range v.NumField() {
		if f := v.Field(i); !f.IsZero() && (f.Kind() != reflect.Map || f.Len() > 0) {
			lines = append(lines, fmt.Sprintf("%s %v", v.Type().Field(i).Name, f))
		}
	}
	return strings.Join(lines, "\n")
}

// Guards against a sampler that blocks on its evaluation, exceeds its rate limit, lets refused keys displace requests,
// or takes samples without a trial document.
func TestOfferNeverWaits(t *testing.T) {
	s := &teaselstream.Snapshot{Document: &teaselstream.Document{Digest: "p"}, Trial: &teaselstream.Document{Digest: "t"}}
	sm := NewSampler(func() time.Time { return time.Unix(1, 0) })
	built := 0
	build := func() Sample { built++; return Sample{} }
	sm.Offer(&teaselstream.Snapshot{Document: s.Document}, build)
	sm.Offer(s, build)
	sm.Offer(s, build)
	sm.OfferRefusedKey(s, "k")
	sm.OfferRefusedKey(s, "k")
	if built != 1 || len(sm.samples) != 2 {
		t.Fatalf("%d requests built and %d samples at one time, want 1 and 2", built, len(sm.samples))
	}
	for range 2 * queueLength {
		sm.requests.next.Store(0)
		sm.Offer(s, build)
	}
	if got := sm.dropped.Load(); got != queueLength+2 {
		t.Errorf("dropped %d of %d samples, want %d", got, built+1, queueLength+2)
	}
}

// Guards against evaluations that change the snapshot, the production planner's counts, or admission.
func TestProductionIsUnchanged(t *testing.T) {
	s := &script{snapshot: &teaselstream.Snapshot{Domain: "d1", LiveVMs: 1, Servers: map[teaselstream.ServerID]teaselstream.ServerView{}}}
	datadriven.RunTest(t, "testdata/differences", s.run)
	now := time.Unix(1, 0)
	ask := teaselstream.PlanRequest{Model: "m", PromptTokens: 100, MaxTokens: 10}
	// decisions plans and admits on state of its own, with or without evaluations between the steps.
	decisions := func(evaluate bool) string {
		var out strings.Builder
		planner, queue := route.NewCheapest(route.Options{}), &admit.Queue{}
		queue.Update(now, admit.Capacity{Slots: 2, LiveVMs: 1})
		for i := range 20 {
			if evaluate {
				s.core.Update(now, sample(t, s.snapshot, "a model m 400"))
			}
			p, ok := planner.Plan(now, s.snapshot, ask)
			planner.Started(now, p)
			id := teaselstream.RequestID(fmt.Sprint(i))
			_, _ = fmt.Fprintln(&out, p, ok, queue.Update(now, admit.Arrive{Request: id, Team: "t1", Cost: 1}))
		}
		return out.String()
	}
	before := fmt.Sprint(s.snapshot.Servers, *s.snapshot.Document)
	if with, without := decisions(true), decisions(false); with != without {
		t.Errorf("with evaluations:\n%s\nwithout:\n%s", with, without)
	}
	if after := fmt.Sprint(s.snapshot.Servers, *s.snapshot.Document); after != before {
		t.Errorf("the snapshot changed from %s to %s", before, after)
	}
}

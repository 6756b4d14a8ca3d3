package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

type planScript struct {
	snapshot *teaselstream.Snapshot
	prefixes *Prefixes
}

// Guards against planners that use servers which take no new work, ignore kept or avoided servers, leave layers
// uncovered, ignore load or links, or always choose the same one of several equal chains.
func TestPlanScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &planScript{}
		datadriven.RunTest(t, path, s.run)
	})
}

func (p *planScript) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "fleet":
		p.snapshot = parseFleet(t, d)
		p.prefixes = &Prefixes{}
		return "ok"
	case "events":
		var id string
		var events []teaselstream.CacheEvent
		d.ScanArgs(t, "server", &id)
		for _, line := range strings.Split(d.Input, "\n") {
			var e teaselstream.CacheEvent
			_, _ = fmt.Sscan(line, &e.Sequence, &e.Prefix, &e.Tokens, &e.Evicted)
			events = append(events, e)
		}
		p.prefixes.Apply(time.Time{}, teaselstream.ServerID(id), events)
		return "ok"
	case "plan":
		return p.plan(t, d)
	case "bound":
		return fmt.Sprintf("%.1f", TokenRateBound(p.snapshot.Document))
	}
	return "unknown command"
}

// parseFleet reads lines "server NAME domain from to step slots running state weight" and "link A B rate latency".
func parseFleet(t *testing.T, d *datadriven.TestData) *teaselstream.Snapshot {
	doc := &teaselstream.Document{
		Models:  map[teaselstream.ModelID]teaselstream.Model{},
		Servers: map[teaselstream.ServerID]teaselstream.Server{},
	}
	s := &teaselstream.Snapshot{Domain: "d1", Document: doc, LiveVMs: 1, Servers: map[teaselstream.ServerID]teaselstream.ServerView{}}
	m := teaselstream.Model{Name: "m", ActivationBytes: 1000}
	d.ScanArgs(t, "layers", &m.Layers)
	d.MaybeScanArgs(t, "vms", &s.LiveVMs)
	doc.Models["m"] = m
	for _, line := range strings.Split(d.Input, "\n") {
		f := strings.Fields(line)
		if f[0] == "link" {
			l := teaselstream.Link{A: teaselstream.DomainID(f[1]), B: teaselstream.DomainID(f[2])}
			_, _ = fmt.Sscan(f[3], &l.Rate)
			l.Latency, _ = time.ParseDuration(f[4])
			doc.Links = append(doc.Links, l)
			continue
		}
		v := teaselstream.ServerView{Weight: 1, Slowdown: 1}
		v.Name, v.Kind, v.Model, v.Domain = teaselstream.ServerID(f[1]), teaselstream.KindModel, "m", teaselstream.DomainID(f[2])
		state := ""
		v.TimePerLayer, _ = time.ParseDuration(f[5])
		_, err := fmt.Sscan(strings.Join(slices.Delete(f, 5, 6)[3:], " "), &v.Layers.From, &v.Layers.To, &v.MaxConcurrent, &v.Load.Running, &state, &v.Weight)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		for _, x := range []teaselstream.ServerState{teaselstream.SlowStart, teaselstream.Probation, teaselstream.Leaving, teaselstream.Dead} {
			if x.String() == state {
				v.State = x
			}
		}
		doc.Servers[v.Name] = v.Server
		s.Servers[v.Name] = v
	}
	return s
}

func (p *planScript) plan(t *testing.T, d *datadriven.TestData) string {
	name, n, keep, avoid, prefix := "", 1, "", "", ""
	d.ScanArgs(t, "with", &name)
	d.MaybeScanArgs(t, "n", &n)
	d.MaybeScanArgs(t, "keep", &keep)
	d.MaybeScanArgs(t, "avoid", &avoid)
	d.MaybeScanArgs(t, "prefix", &prefix)
	hold, fault := d.HasArg("hold"), d.HasArg("ignore-leaving")
	recorder := &invar.Recorder{}
	o := Options{Rand: rand.New(rand.NewPCG(7, 7)), Recorder: recorder, Prefixes: p.prefixes}
	if fault {
		o.Faults = invar.IgnoreLeaving
	}
	planner := map[string]teaselstream.Planner{
		"cheapest": NewCheapest(o), "random": NewRandom(o), "least": NewLeastOutstanding(o),
	}[name]
	r := teaselstream.PlanRequest{Model: "m", PromptTokens: 640, MaxTokens: 10, Avoid: map[teaselstream.ServerID]bool{}}
	if prefix != "" {
		r.Prefixes = []teaselstream.Digest{teaselstream.Digest(prefix)}
	}
	if avoid != "" {
		r.Avoid[teaselstream.ServerID(avoid)] = true
	}
	if keep != "" {
		h := teaselstream.Hop{}
		_, _ = fmt.Sscanf(strings.ReplaceAll(keep, ":", " "), "%s %d %d", &h.Server, &h.From, &h.To)
		r.Keep = []teaselstream.Hop{h}
	}
	counts := map[string]int{}
	now := time.Unix(1, 0)
	for range n {
		c, ok := planner.Plan(now, p.snapshot, r)
		counts[describe(c, ok)]++
		if hold {
			planner.Started(now, c)
		}
	}
	return report(counts, recorder)
}

func describe(c teaselstream.Plan, ok bool) string {
	if !ok {
		return "no chain"
	}
	var parts []string
	for _, h := range c.Chain {
		parts = append(parts, fmt.Sprintf("%s[%d-%d]", h.Server, h.From, h.To))
	}
	return strings.Join(parts, " ")
}

func report(counts map[string]int, r *invar.Recorder) string {
	var lines []string
	for c, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", c, n))
	}
	slices.Sort(lines)
	if f := r.Found(); len(f) > 0 {
		lines = append(lines, fmt.Sprintf("violations: %d of %s", len(f), f[0].Invariant))
	}
	return strings.Join(lines, "\n")
}

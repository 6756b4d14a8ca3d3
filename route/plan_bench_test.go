package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// BenchmarkPlan plans over a model with the servers of a large fleet: 600 replicas in 10 failure domains.
func BenchmarkPlan(b *testing.B) {
	doc := &teaselstream.Document{Models: map[teaselstream.ModelID]teaselstream.Model{"m": {Name: "m", Layers: 60, ActivationBytes: 8192}}}
	s := &teaselstream.Snapshot{Domain: "d0", Document: doc, LiveVMs: 360, Servers: map[teaselstream.ServerID]teaselstream.ServerView{}}
	for i := range 10 {
		for j := range i {
			doc.Links = append(doc.Links, teaselstream.Link{A: domainName(i), B: domainName(j), Rate: 1e7, Latency: time.Millisecond})
		}
	}
	for i := range 600 {
		v := teaselstream.ServerView{Weight: 1}
		v.Name, v.Model, v.Kind, v.Domain = teaselstream.ServerID(fmt.Sprint(i)), "m", teaselstream.KindModel, domainName(i%10)
		v.Layers = teaselstream.LayerRange{From: teaselstream.Layer(i % 6 * 10), To: teaselstream.Layer(i%6*10 + 10)}
		v.TimePerLayer, v.MaxConcurrent, v.Load.Running = time.Millisecond, 8, i%7
		s.Servers[v.Name] = v
	}
	p := NewCheapest(Options{})
	r := teaselstream.PlanRequest{Model: "m", PromptTokens: 100, MaxTokens: 100}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := p.Plan(s.At, s, r); !ok {
			b.Fatal("no chain")
		}
	}
}

func domainName(i int) teaselstream.DomainID { return teaselstream.DomainID(fmt.Sprintf("d%d", i)) }

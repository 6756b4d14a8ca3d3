package shadow

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/order"
	"github.com/teaselstream/teaselstream/route"
)

// judge decides under one document, with a planner and a key index that production does not share.
type judge struct {
	keys    admit.KeyIndex
	random  *rand.PCG
	planner teaselstream.Planner
}

func newJudge() *judge {
	j := &judge{random: rand.NewPCG(0, 0)}
	j.planner = route.NewCheapest(route.Options{Rand: rand.New(j.random)})
	return j
}

// decide returns the decision on a sample under the document of a snapshot.
//
// Equal seeds make equal random choices, so that equal documents give equal routes.
func (j *judge) decide(now time.Time, s *teaselstream.Snapshot, x Sample, seed uint64) decision {
	d := s.Document
	team, ok := j.keys.Find(d, x.Key)
	switch {
	case !ok:
		return decision{code: teaselstream.CodeUnauthorized}
	case x.Service != "":
		return call(s, team, x)
	case x.ModelRequest.Model == "":
		return decision{}
	}
	t, err := admit.Resolve(d, team, x.ModelRequest)
	if err != nil {
		var e *teaselstream.Error
		errors.As(err, &e)
		return decision{code: e.Code}
	}
	j.random.Seed(seed, seed)
	p, ok := j.planner.Plan(now, s, teaselstream.PlanRequest{
		Model: t.Model.Name, PromptTokens: admit.PromptTokens(x.ModelRequest.PromptBytes), MaxTokens: t.MaxTokens,
	})
	if !ok {
		return decision{code: teaselstream.CodeNoRoute}
	}
	return decision{terms: t, worth: worth(x, team), plan: p}
}

func call(s *teaselstream.Snapshot, t teaselstream.Team, x Sample) decision {
	v, ok := s.Document.Services[x.Service]
	if !ok || !admit.MayCall(t, x.Service) {
		return decision{code: teaselstream.CodeUnknownService}
	}
	for _, w := range s.Servers {
		if w.TakesCalls(x.Service) {
			return decision{idempotent: order.Idempotent(v.Idempotent, x.Call)}
		}
	}
	return decision{code: teaselstream.CodeNoRoute}
}

func worth(x Sample, t teaselstream.Team) teaselstream.Worth {
	if x.Worth > 0 {
		return x.Worth
	}
	return t.Worth
}

// underTrial returns a copy of a snapshot as it would be with the trial document in force.
//
// Servers that production knows keep their state and load, new ones count as serving.
func underTrial(s *teaselstream.Snapshot) *teaselstream.Snapshot {
	t := *s
	t.Document, t.Trial = s.Trial, nil
	t.Servers = make(map[teaselstream.ServerID]teaselstream.ServerView, len(s.Trial.Servers))
	for id, w := range s.Trial.Servers {
		v, ok := s.Servers[id]
		if !ok {
			v = teaselstream.ServerView{State: teaselstream.Serving, Weight: 1, Slowdown: 1}
		}
		// Placement may have changed the view of a server, which an unchanged section leaves in force.
		if !ok || s.Document.Servers[id] != w {
			v.Server, v.Local = w, w.Domain == s.Domain
		}
		t.Servers[id] = v
	}
	return &t
}

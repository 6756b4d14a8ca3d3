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

// evaluator decides on samples under one document, with a planner and a key index of its own.
type evaluator struct {
	keys    admit.KeyIndex
	random  *rand.PCG
	planner teaselstream.Planner
}

func newEvaluator() *evaluator {
	ev := &evaluator{random: rand.NewPCG(0, 0)}
	ev.planner = route.NewCheapest(route.Options{Rand: rand.New(ev.random)})
	return ev
}

// decide returns the decision on a sample under the document of a snapshot.
//
// Equal seeds give equal random choices, so that equal documents give equal routes.
func (ev *evaluator) decide(now time.Time, s *teaselstream.Snapshot, x Sample, seed uint64) decision {
	d := s.Document
	team, ok := ev.keys.Find(d, x.Key)
	switch {
	case !ok:
		return decision{code: teaselstream.CodeUnauthorized}
	case x.Service != "":
		return decideCall(s, team, x)
	case x.ModelRequest.Model == "":
		return decision{}
	}
	t, err := admit.Resolve(d, team, x.ModelRequest)
	if err != nil {
		var e *teaselstream.Error
		errors.As(err, &e)
		return decision{code: e.Code}
	}
	ev.random.Seed(seed, seed)
	p, ok := ev.planner.Plan(now, s, teaselstream.PlanRequest{
		Model: t.Model.Name, PromptTokens: admit.PromptTokens(x.ModelRequest.PromptBytes), MaxTokens: t.MaxTokens,
	})
	if !ok {
		return decision{code: teaselstream.CodeNoRoute}
	}
	return decision{resolved: t, worth: worth(x, team), plan: p}
}

// decideCall returns the decision on a call to a plain service.
func decideCall(s *teaselstream.Snapshot, t teaselstream.Team, x Sample) decision {
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

// worth returns the worth that the caller stated, or the team's.
func worth(x Sample, t teaselstream.Team) teaselstream.Worth {
	if x.Worth > 0 {
		return x.Worth
	}
	return t.Worth
}

// withTrialDocument returns a copy of a snapshot as it would be with the trial document in force.
//
// Servers that are also in the production document keep their state and load; new ones count as serving.
func withTrialDocument(s *teaselstream.Snapshot) *teaselstream.Snapshot {
	t := *s
	t.Document, t.Trial = s.Trial, nil
	t.Servers = make(map[teaselstream.ServerID]teaselstream.ServerView, len(s.Trial.Servers))
	for id, w := range s.Trial.Servers {
		v, ok := s.Servers[id]
		if !ok {
			v = teaselstream.ServerView{State: teaselstream.Serving, Weight: 1, Slowdown: 1}
		}
		// Package place may have changed the layers of a server since its section was read, so the view of a
		// server with an unchanged section stays as it is.
		if !ok || s.Document.Servers[id] != w {
			v.Server, v.Local = w, w.Domain == s.Domain
		}
		t.Servers[id] = v
	}
	return &t
}

package proxy

import (
	"slices"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// Guards against ranks that mix services, count a rank twice, or stay after the configuration has changed.
func TestRanks(t *testing.T) {
	route := func(p teaselstream.Priority, stream bool, s teaselstream.ServiceID) *teaselstream.Route {
		return &teaselstream.Route{Priority: p, Stream: stream, Targets: []teaselstream.Target{{Service: s, Weight: 1}}}
	}
	first := &teaselstream.Routing{Hosts: map[string][]*teaselstream.Route{
		"one": {route(0, true, "model"), route(-2, true, "model"), route(-1, false, "plain")},
		"two": {route(-2, true, "model"), route(-1, true, "other")},
	}}
	second := &teaselstream.Routing{Hosts: first.Hosts, Keys: map[string]*teaselstream.Caller{"k": {Ranked: true, Priority: 5}}}
	var x rankIndex
	for _, c := range []struct {
		routing *teaselstream.Routing
		service teaselstream.ServiceID
		want    []teaselstream.Priority
	}{
		{first, "model", []teaselstream.Priority{0, -2}}, {first, "other", []teaselstream.Priority{-1}}, {first, "plain", nil},
		{second, "model", []teaselstream.Priority{5, 0, -2}},
	} {
		if got := x.of(c.routing, c.service); !slices.Equal(got, c.want) {
			t.Errorf("ranks of %s are %v, want %v", c.service, got, c.want)
		}
	}
}

// Guards against a rate of reading that counts servers which cannot take over the layers: down, in another failure domain, or without them.
func TestReaders(t *testing.T) {
	e := &teaselstream.EngineSpec{Layers: 80, ReadPerSecond: 1000, Kinds: map[teaselstream.Accelerator]teaselstream.AcceleratorSpec{"acc": {ReadPace: 2}}}
	v := &fleet.View{Pools: make(map[teaselstream.ServiceID][]*fleet.Member)}
	add := func(id string, domain teaselstream.DomainID, from, to teaselstream.Layer, state fleet.State) *fleet.Member {
		m := &fleet.Member{State: state, Slowdown: 1}
		m.ID, m.Service, m.Domain, m.Accelerator = teaselstream.ServerID(id), "model", domain, "acc"
		m.Holds = teaselstream.LayerRange{From: from, To: to}
		v.Pools["model"] = append(v.Pools["model"], m)
		return m
	}
	lost := add("lost", "near", 0, 20, fleet.Down)
	add("whole", "near", 0, 40, fleet.Serving)
	add("half", "near", 10, 30, fleet.Serving)
	add("none", "near", 20, 80, fleet.Serving)
	add("down", "near", 0, 20, fleet.Down)
	add("far", "far", 0, 20, fleet.Serving)
	// 20 of 80 layers are read four times as fast as all of them; a server with half of them reads half.
	if rate, n := readers(v, e, lost); rate != 3000 || n != 2 {
		t.Errorf("readers() = %g, %d; want 3000, 2", rate, n)
	}
}

// Guards against counts of teams that stay after their requests have ended, and shares of a service that other services change.
func TestTeamCounts(t *testing.T) {
	var a Admission
	a.count("model", "alpha", 1)
	a.count("model", "alpha", 1)
	a.count("model", "beta", 1)
	a.count("model", "alpha", -1)
	a.count("model", "beta", -1)
	if got := a.Running(); !slices.Equal(got, []TeamCount{{"model", "alpha", 1}}) {
		t.Errorf("running requests are %v", got)
	}
}

// Guards against a search for the pace of all servers while a deployment starts, which limited them when the first requests came.
func TestStreamedSince(t *testing.T) {
	var h Handler
	now := time.Unix(1000, 0)
	if h.StreamedSince(now.Add(-time.Hour)) {
		t.Error("a VM without a stream counts as one that sends requests")
	}
	h.firstEventAt.Store(now.UnixNano())
	if !h.StreamedSince(now.Add(-time.Second)) || h.StreamedSince(now) {
		t.Error("the time of the last first event is not used")
	}
}

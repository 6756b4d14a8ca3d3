package runs

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// Server is a fake backend server.
type Server struct {
	teaselstream.Server
	Incarnation teaselstream.Incarnation
	// Dead servers refuse connections; Unresponsive ones never answer a request.
	Dead, Unresponsive, Draining bool

	fleet         *Fleet
	listedLeaving bool
	// Running returns the number of streams that the server reports as its load; nil means 0.
	Running func() int
	// LeavingKnownAt is the time at which the first VM learned that the server leaves.
	LeavingKnownAt time.Time
	Requests       int
	// LastOrder is the last placement order that the engine applied; before any, it holds the configured layers.
	LastOrder      teaselstream.PlacementOrder
	AppliedOrders  int
	highestFencing teaselstream.Fencing
	lostAt         time.Time
	// FirstFailedAt is the time at which the first request to an unresponsive server failed.
	FirstFailedAt time.Time
}

func newServer(f *Fleet, v teaselstream.Server) *Server {
	return &Server{Server: v, Incarnation: 1, fleet: f, LastOrder: teaselstream.PlacementOrder{
		Model: v.Model, From: v.Layers.From, To: v.Layers.To,
	}}
}

// Leave makes the server drain, and the platform's list mark it as leaving.
func (s *Server) Leave() {
	s.Draining, s.listedLeaving = true, true
	s.lostAt = s.fleet.Queue.Now()
}

// Crash makes the server refuse connections.
func (s *Server) Crash() {
	s.Dead = true
	s.lostAt = s.fleet.Queue.Now()
}

// Restart starts a new process of the server with the next incarnation.
func (s *Server) Restart() {
	s.Incarnation++
	s.Dead, s.Unresponsive, s.Draining, s.listedLeaving = false, false, false, false
	s.LeavingKnownAt = time.Time{}
	// A new process holds the layers of its configuration.
	s.LastOrder = teaselstream.PlacementOrder{Model: s.Model, From: s.Layers.From, To: s.Layers.To}
}

func (s *Server) load() teaselstream.Load {
	l := teaselstream.Load{Draining: s.Draining, Incarnation: s.Incarnation, CacheFree: 1}
	if s.Running != nil {
		l.Running = s.Running()
	}
	return l
}

package runs

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// Server is a fake backend server.
type Server struct {
	teaselstream.Server
	Incarnation teaselstream.Incarnation
	// Dead servers refuse connections; Unresponsive ones never answer.
	Dead, Unresponsive, Draining bool

	fleet       *Fleet
	listLeaving bool
	// Running counts the streams that the server reports; nil means none.
	Running func() int
	// LeavingKnownAt is the time at which the first VM learned that the server leaves.
	LeavingKnownAt time.Time
	Requests       int
	// LastOrder is the last order that the engine took.
	LastOrder     teaselstream.PlacementOrder
	AppliedOrders int
	fenced        teaselstream.Fencing
	lostAt        time.Time
	// FirstFailedAt is the time at which the first use of a mute server failed.
	FirstFailedAt time.Time
}

func newServer(f *Fleet, v teaselstream.Server) *Server {
	return &Server{Server: v, Incarnation: 1, fleet: f, LastOrder: teaselstream.PlacementOrder{
		Model: v.Model, From: v.Layers.From, To: v.Layers.To,
	}}
}

// Leave makes the server drain and the platform say so.
func (s *Server) Leave() {
	s.Draining, s.listLeaving = true, true
	s.lostAt = s.fleet.Queue.Now()
}

// Crash makes the server refuse connections.
func (s *Server) Crash() {
	s.Dead = true
	s.lostAt = s.fleet.Queue.Now()
}

// Restart gives the server a new process.
func (s *Server) Restart() {
	s.Incarnation++
	s.Dead, s.Unresponsive, s.Draining, s.listLeaving = false, false, false, false
	s.LeavingKnownAt = time.Time{}
	// A new process holds what it was started with.
	s.LastOrder = teaselstream.PlacementOrder{Model: s.Model, From: s.Layers.From, To: s.Layers.To}
}

func (s *Server) load() teaselstream.Load {
	l := teaselstream.Load{Draining: s.Draining, Incarnation: s.Incarnation, CacheFree: 1}
	if s.Running != nil {
		l.Running = s.Running()
	}
	return l
}

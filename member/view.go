package member

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

// state returns a server's state and weight for request routing.
func (s *Members) state(now time.Time, v *server) (teaselstream.ServerState, float64) {
	leaving := v.leaving && !s.config.Faults.Has(invar.IgnoreLeaving)
	switch {
	case v.dead, !v.confirmed && (s.poll.polled[v.Name] || now.Sub(v.added) < unpolledDelay):
		return teaselstream.Dead, slowStartWeight
	case leaving:
		return teaselstream.Leaving, slowStartWeight
	case !v.firstFailure.IsZero():
		return teaselstream.Probation, suspectWeight
	case !v.slowStartAt.IsZero() && now.Sub(v.slowStartAt) < slowStart:
		// The weight rises in ten steps, which limits how often the snapshot changes.
		step := float64(now.Sub(v.slowStartAt)*10/slowStart) / 10
		return teaselstream.SlowStart, slowStartWeight + (1-slowStartWeight)*step
	}
	return teaselstream.Serving, 1
}

// Views returns the servers of the document as request routing sees them.
func (s *Members) Views(now time.Time) map[teaselstream.ServerID]teaselstream.ServerView {
	out := make(map[teaselstream.ServerID]teaselstream.ServerView, len(s.servers))
	for id, v := range s.servers {
		state, weight := s.state(now, v)
		s.config.Recorder.Check(!v.leaving || now.Sub(v.leavingSince) < leavingGrace || !state.TakesNewWork(),
			invar.NoNewWorkToLeaving, "VM %s publishes leaving server %s as %s", s.config.VM, id, state)
		out[id] = teaselstream.ServerView{
			Server: v.Server, State: state, Weight: weight, Incarnation: v.incarnation,
			Load: v.load, Slowdown: 1, Local: v.Domain == s.config.Domain,
		}
	}
	return out
}

// Known returns the description and incarnation of each server.
func (s *Members) Known() []teaselstream.ServerView {
	out := make([]teaselstream.ServerView, 0, len(s.servers))
	for _, v := range s.servers {
		out = append(out, teaselstream.ServerView{Server: v.Server, Incarnation: v.incarnation})
	}
	return out
}

// HasServer reports whether a server is in the document.
func (s *Members) HasServer(id teaselstream.ServerID) bool { return s.servers[id] != nil }

// ServerCount returns the number of servers in the document.
func (s *Members) ServerCount() int { return len(s.servers) }

// PolledServers returns the servers that this VM polls in the order in which they were chosen, with those of its own failure domain preferred.
func (s *Members) PolledServers() []teaselstream.ServerID { return s.poll.subset }

// Neighbours returns the VMs to which this VM sends heartbeats.
func (s *Members) Neighbours() []teaselstream.VMID { return s.neighbours() }

package runs

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/member"
)

const (
	// leavingGrace is the promise of the design page: no new work 3 s after any VM learned.
	leavingGrace = 3 * time.Second
	streamTime   = 4 * time.Second
)

// publish keeps the snapshot and notes when the first VM learned that a server leaves.
func (v *VM) publish(s *teaselstream.Snapshot) {
	if old := v.Snapshot; old != nil {
		v.fleet.Recorder.Check(s.Document.Generation >= old.Document.Generation, invar.GenerationMonotonic,
			"VM %s publishes generation %d after %d", v.Name, s.Document.Generation, old.Document.Generation)
	}
	v.Snapshot = s
	for id, x := range s.Servers {
		t := v.fleet.servers[id]
		learned := x.State == teaselstream.Leaving || x.Load.Draining && x.Load.Incarnation == t.Incarnation
		if learned && t.Draining && t.LeavingKnown.IsZero() {
			t.LeavingKnown = v.fleet.Queue.Now()
		}
	}
}

// traffic uses a random server that takes new work, as a planner would.
func (v *VM) traffic(run int) func() {
	return func() {
		if !v.up || v.run != run {
			return
		}
		if !v.paused && !v.closed && v.Snapshot != nil {
			v.useOne()
		}
		v.fleet.Queue.After(v.fleet.c.Traffic, v.traffic(run))
	}
}

func (v *VM) useOne() {
	f, now := v.fleet, v.fleet.Queue.Now()
	var open []teaselstream.ServerID
	for _, id := range slices.Sorted(maps.Keys(v.Snapshot.Servers)) {
		if v.Snapshot.Servers[id].State.TakesNewWork() {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	id := open[f.rand.IntN(len(open))]
	s, post := f.servers[id], v.later()
	f.Recorder.Check(s.LeavingKnown.IsZero() || now.Sub(s.LeavingKnown) <= leavingGrace, invar.NoNewWorkToLeaving,
		"VM %s gives leaving server %s new work %s after it was known", v.Name, id, now.Sub(s.LeavingKnown))
	if s.Dead {
		f.Queue.After(f.Net.Latency, func() { post(member.RequestResult{Server: id, Refused: true}) })
		return
	}
	if s.Mute {
		f.Queue.After(time.Second, func() {
			if s.FirstFailed.IsZero() {
				s.FirstFailed = f.Queue.Now()
			}
			post(member.RequestResult{Server: id})
		})
		return
	}
	s.Uses++
	v.Streams++
	run := v.run
	f.Queue.After(time.Duration(f.rand.Float64()*float64(streamTime)), func() {
		if v.run != run {
			return
		}
		v.Streams--
		post(member.RequestResult{Server: id, OK: !s.Dead})
	})
}

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
	// leavingGrace is the time after which no VM gives a leaving server new work, counted from when the
	// first VM learned that it leaves; the design guarantees 3 s.
	leavingGrace  = 3 * time.Second
	maxStreamTime = 4 * time.Second
)

// applySnapshot stores the VM's new snapshot and records when the first VM learned that a server leaves.
func (v *VM) applySnapshot(s *teaselstream.Snapshot) {
	if old := v.Snapshot; old != nil {
		v.fleet.Recorder.Check(s.Document.Generation >= old.Document.Generation, invar.GenerationMonotonic,
			"VM %s publishes generation %d after %d", v.Name, s.Document.Generation, old.Document.Generation)
	}
	v.Snapshot = s
	for id, x := range s.Servers {
		t := v.fleet.servers[id]
		knownLeaving := x.State == teaselstream.Leaving || x.Load.Draining && x.Load.Incarnation == t.Incarnation
		if knownLeaving && t.Draining && t.LeavingKnownAt.IsZero() {
			t.LeavingKnownAt = v.fleet.Queue.Now()
		}
	}
}

// traffic returns a function that sends a request to a random server and schedules the next one, until the process ends.
func (v *VM) traffic(process int) func() {
	return func() {
		if !v.running || v.process != process {
			return
		}
		if !v.paused && !v.listenersClosed && v.Snapshot != nil {
			v.sendRequest()
		}
		v.fleet.Queue.After(v.fleet.c.TrafficPeriod, v.traffic(process))
	}
}

func (v *VM) sendRequest() {
	f, now := v.fleet, v.fleet.Queue.Now()
	var candidates []teaselstream.ServerID
	for _, id := range slices.Sorted(maps.Keys(v.Snapshot.Servers)) {
		if v.Snapshot.Servers[id].State.TakesNewWork() {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return
	}
	id := candidates[f.rand.IntN(len(candidates))]
	s, post := f.servers[id], v.poster()
	f.Recorder.Check(s.LeavingKnownAt.IsZero() || now.Sub(s.LeavingKnownAt) <= leavingGrace, invar.NoNewWorkToLeaving,
		"VM %s gives leaving server %s new work %s after it was known", v.Name, id, now.Sub(s.LeavingKnownAt))
	if s.Dead {
		f.Queue.After(f.Network.Latency, func() { post(member.RequestResult{Server: id, Refused: true}) })
		return
	}
	if s.Unresponsive {
		f.Queue.After(time.Second, func() {
			if s.FirstFailedAt.IsZero() {
				s.FirstFailedAt = f.Queue.Now()
			}
			post(member.RequestResult{Server: id})
		})
		return
	}
	s.Requests++
	v.Streams++
	process := v.process
	f.Queue.After(time.Duration(f.rand.Float64()*float64(maxStreamTime)), func() {
		if v.process != process {
			return
		}
		v.Streams--
		post(member.RequestResult{Server: id, OK: !s.Dead})
	})
}

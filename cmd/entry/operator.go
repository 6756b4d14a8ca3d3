package main

import (
	"cmp"
	"slices"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/shadow"
)

type (
	// operator serves the operator interface from the current snapshot.
	operator struct{ process *process }

	status struct {
		VM         teaselstream.VMID
		Domain     teaselstream.DomainID
		Generation teaselstream.Generation
		Digest     teaselstream.Digest
		LiveVMs    int
		Stopping   bool
		InFlight   int
		Servers    []serverStatus
	}

	serverStatus struct {
		Name        teaselstream.ServerID
		State       string
		Weight      float64
		Running     int
		Waiting     int
		Incarnation teaselstream.Incarnation
	}

	trialStatus struct {
		Generation teaselstream.Generation
		Digest     teaselstream.Digest
		InTrial    bool
		// Counts compares decisions under the document in production with those under the document in trial.
		Counts shadow.Counts
	}
)

// Status returns this VM's view of the environment.
func (o operator) Status() any {
	s := o.process.control.Snapshot()
	st := status{InFlight: o.process.models.InFlight(), Stopping: o.process.stopping.Load(), Servers: []serverStatus{}}
	if s == nil {
		return st
	}
	st.VM, st.Domain, st.LiveVMs = s.VM, s.Domain, s.LiveVMs
	if s.Document != nil {
		st.Generation, st.Digest = s.Document.Generation, s.Document.Digest
	}
	for name, v := range s.Servers {
		st.Servers = append(st.Servers, serverStatus{
			Name: name, State: v.State.String(), Weight: v.Weight,
			Running: v.Load.Running, Waiting: v.Load.Waiting, Incarnation: v.Incarnation,
		})
	}
	slices.SortFunc(st.Servers, func(a, b serverStatus) int { return cmp.Compare(a.Name, b.Name) })
	return st
}

// Trial returns the document that this VM has in trial, and how decisions under it differ from those in production.
func (o operator) Trial() any {
	s := o.process.control.Snapshot()
	if s == nil || s.Trial == nil {
		return trialStatus{}
	}
	return trialStatus{Generation: s.Trial.Generation, Digest: s.Trial.Digest, InTrial: true, Counts: o.process.shadow.Counts(s.Trial.Digest)}
}

package member

import (
	"slices"

	"github.com/teaselstream/teaselstream"
)

const (
	// maxMeshVMs is the number of VMs up to which each VM sends heartbeats to all others.
	maxMeshVMs = 8
	// crossDomainNeighbours is the number of neighbours outside a VM's own failure domain.
	crossDomainNeighbours = 2
)

// ringOffsets are the distances on the ring from a VM to its neighbours. They double, so that a notice
// reaches all 36 VMs of a failure domain in five hops; with the next five VMs on the ring it would take eight.
var ringOffsets = []int{1, 2, 4, 8, 16}

// ring orders the live VMs by failure domain and name, so that all VMs compute the same neighbours for each VM.
type ring struct {
	domains []teaselstream.DomainID
	byName  map[teaselstream.DomainID][]teaselstream.VMID
	size    int
}

func newRing(peers []teaselstream.PeerView) ring {
	r := ring{byName: map[teaselstream.DomainID][]teaselstream.VMID{}, size: len(peers)}
	for _, p := range peers {
		if r.byName[p.Domain] == nil {
			r.domains = append(r.domains, p.Domain)
		}
		r.byName[p.Domain] = append(r.byName[p.Domain], p.VM)
	}
	slices.Sort(r.domains)
	for _, d := range r.domains {
		slices.Sort(r.byName[d])
	}
	return r
}

// heartbeatTargets returns the VMs to which v sends heartbeats.
func (r ring) heartbeatTargets(v teaselstream.VMID, d teaselstream.DomainID) []teaselstream.VMID {
	var out []teaselstream.VMID
	add := func(t teaselstream.VMID) {
		if t != v && !slices.Contains(out, t) {
			out = append(out, t)
		}
	}
	if r.size <= maxMeshVMs {
		for _, x := range r.domains {
			for _, t := range r.byName[x] {
				add(t)
			}
		}
		return out
	}
	own := r.byName[d]
	at := slices.Index(own, v)
	if at < 0 {
		return nil
	}
	for _, n := range ringOffsets {
		add(own[(at+n)%len(own)])
	}
	index := slices.Index(r.domains, d)
	for i := range min(crossDomainNeighbours, len(r.domains)-1) {
		// Adjacent positions link to different failure domains, so that each domain is linked to every other.
		step := 1 + (at*crossDomainNeighbours+i)%(len(r.domains)-1)
		there := r.byName[r.domains[(index+step)%len(r.domains)]]
		add(there[at%len(there)])
	}
	return out
}

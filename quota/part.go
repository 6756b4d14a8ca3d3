package quota

import (
	"maps"
	"slices"

	"github.com/teaselstream/teaselstream"
)

// nearShare is the share of a limit that VMs in the server's failure domain get. The rest lets callers of other domains in
// when their own servers are lost.
const nearShare = 0.8

// divide returns this VM's parts of all limits if they may have changed.
func (t *Tracker) divide() []teaselstream.Cmd {
	if !t.undivided {
		return nil
	}
	t.undivided = false
	parts := make(map[teaselstream.ServerID]Part)
	for id, l := range t.limits {
		near, far := t.order(id)
		l.rank = max(slices.Index(append(slices.Clip(near), far...), t.VM), 0)
		if l.has {
			parts[id] = Part{Limit: l.limit, Rate: t.part(near, far, l.limit)}
		}
	}
	if maps.Equal(parts, t.parts) {
		return nil
	}
	t.parts = parts
	return []teaselstream.Cmd{SetParts{parts}}
}

// part returns this VM's part of the limit of a server, for the VMs in the server's failure domain and those outside of it. It is
// 0 for a VM that is not registered, since the others do not count it.
func (t *Tracker) part(near, far []teaselstream.VMID, limit teaselstream.RequestsPerSecond) teaselstream.RequestsPerSecond {
	if len(near) == 0 || len(far) == 0 {
		return partOf(append(slices.Clip(near), far...), t.VM, limit)
	}
	if slices.Contains(near, t.VM) {
		return partOf(near, t.VM, nearShare*limit)
	}
	return partOf(far, t.VM, (1-nearShare)*limit)
}

// partOf returns the part of a rate of one VM. The rate is divided among so few of the first VMs that each sends about one request
// a second or more. Each may also send one request at once, and these add up to no more than the rate and one.
func partOf(vms []teaselstream.VMID, vm teaselstream.VMID, rate teaselstream.RequestsPerSecond) teaselstream.RequestsPerSecond {
	n := max(1, min(len(vms), int(rate)))
	if i := slices.Index(vms, vm); i < 0 || i >= n {
		return 0
	}
	return rate / teaselstream.RequestsPerSecond(n)
}

// order returns the registered VMs in the failure domain of a server and those outside of it, in the order in which they get a
// part of its limit; all VMs compute the same one.
func (t *Tracker) order(id teaselstream.ServerID) (near, far []teaselstream.VMID) {
	if t.view == nil {
		return nil, nil
	}
	m := t.view.Members[id]
	for _, p := range t.view.Peers {
		if m != nil && p.Domain == m.Domain {
			near = append(near, p.Name)
		} else {
			far = append(far, p.Name)
		}
	}
	return teaselstream.RendezvousOrder(string(id), near), teaselstream.RendezvousOrder(string(id), far)
}

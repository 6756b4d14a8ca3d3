package node

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/place"
	"github.com/teaselstream/teaselstream/wire"
)

// placementPeriod is the time after which placements are repeated to one neighbour, for VMs that were cut off.
const placementPeriod = 10 * time.Second

// placed takes a decider's record and passes it on; each VM sends each revision once.
func (n *Node) placed(now time.Time, p wire.Placement, from teaselstream.VMID) []teaselstream.Cmd {
	if p.Revision <= n.placements[p.Model].Revision {
		return nil
	}
	n.placements[p.Model] = p
	n.urgent = true
	var out []teaselstream.Cmd
	for _, t := range n.members.Neighbours() {
		if t != from {
			out = append(out, n.send(t, p))
		}
	}
	return out
}

func (n *Node) repeatPlacements(now time.Time) []teaselstream.Cmd {
	to := n.members.Neighbours()
	if now.Sub(n.repeated) < placementPeriod || len(to) == 0 {
		return nil
	}
	n.repeated = now
	return n.sendPlacements(to[n.c.Rand.IntN(len(to))])
}

func (n *Node) sendPlacements(to teaselstream.VMID) []teaselstream.Cmd {
	if n.document == nil {
		return nil
	}
	var out []teaselstream.Cmd
	for _, m := range sortedModels(n.document) {
		if p := n.placements[m]; p.Revision > 0 && len(p.Servers) > 0 {
			out = append(out, n.send(to, p))
		}
	}
	return out
}

// applyPlacements replaces the document's layer ranges by what servers hold.
func (n *Node) applyPlacements(views map[teaselstream.ServerID]teaselstream.ServerView) {
	for _, p := range n.placements {
		for _, e := range p.Servers {
			v, ok := views[e.Server]
			// A placement is void once the document gives the server another range.
			if !ok || v.Layers != e.Base {
				continue
			}
			v.Layers = e.Layers
			if e.Pending {
				// While an engine loads, it serves neither range.
				v.Layers = teaselstream.LayerRange{}
			}
			views[e.Server] = v
		}
	}
}

func placement(x place.PlacementChanged) wire.Placement {
	p := wire.Placement{Model: x.Model, Revision: x.Revision}
	for _, e := range x.Entries {
		p.Servers = append(p.Servers, wire.PlacedServer{
			Server: e.Server, Layers: teaselstream.LayerRange{From: e.From, To: e.To},
			Base: teaselstream.LayerRange{From: e.BaseFrom, To: e.BaseTo}, Pending: e.Pending,
		})
	}
	return p
}

// viewForPlacer gives the deciders what traffic sees; a VM that stops leaves its deciders to others.
func (n *Node) viewForPlacer(now time.Time, s *teaselstream.Snapshot) {
	v := place.View{Document: s.Document, Servers: s.Servers}
	for _, p := range n.members.ActiveVMs() {
		if p.Domain == n.c.Domain && (p.VM != n.c.VM || !s.Stopping) {
			v.VMs = append(v.VMs, p.VM)
		}
		if !slices.Contains(v.Domains, p.Domain) {
			v.Domains = append(v.Domains, p.Domain)
		}
	}
	n.placer.Update(now, v)
}

func sortedModels(d *teaselstream.Document) []teaselstream.ModelID {
	return slices.Sorted(maps.Keys(d.Models))
}

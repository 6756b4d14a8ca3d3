package node

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/place"
	"github.com/teaselstream/teaselstream/wire"
)

// placementRepeatPeriod is the period of sending the placements again to one neighbour, for VMs that were cut off.
const placementRepeatPeriod = 10 * time.Second

// placementReceived applies the placement of a model and forwards it to the neighbours. Each VM forwards each revision once.
func (n *Node) placementReceived(now time.Time, p wire.Placement, from teaselstream.VMID) []teaselstream.Cmd {
	if p.Revision <= n.placements[p.Model].Revision {
		return nil
	}
	n.placements[p.Model] = p
	n.publishSoon = true
	var out []teaselstream.Cmd
	for _, t := range n.members.Neighbours() {
		if t != from {
			out = append(out, n.sendTo(t, p))
		}
	}
	return out
}

func (n *Node) repeatPlacements(now time.Time) []teaselstream.Cmd {
	to := n.members.Neighbours()
	if now.Sub(n.lastPlacementRepeat) < placementRepeatPeriod || len(to) == 0 {
		return nil
	}
	n.lastPlacementRepeat = now
	return n.sendPlacements(to[n.c.Rand.IntN(len(to))])
}

func (n *Node) sendPlacements(to teaselstream.VMID) []teaselstream.Cmd {
	if n.document == nil {
		return nil
	}
	var out []teaselstream.Cmd
	for _, m := range sortedModels(n.document) {
		if p := n.placements[m]; p.Revision > 0 && len(p.Servers) > 0 {
			out = append(out, n.sendTo(to, p))
		}
	}
	return out
}

// applyPlacements replaces the document's layer ranges by those that servers hold.
func (n *Node) applyPlacements(views map[teaselstream.ServerID]teaselstream.ServerView) {
	for _, p := range n.placements {
		for _, e := range p.Servers {
			v, ok := views[e.Server]
			// A placement is void once the document gives the server another range than at the time of the move.
			if !ok || v.Layers != e.Base {
				continue
			}
			v.Layers = e.Layers
			if e.Pending {
				// While an engine loads layers, it serves neither the old nor the new range.
				v.Layers = teaselstream.LayerRange{}
			}
			views[e.Server] = v
		}
	}
}

func placementMessage(x place.PlacementChanged) wire.Placement {
	p := wire.Placement{Model: x.Model, Revision: x.Revision}
	for _, e := range x.Entries {
		p.Servers = append(p.Servers, wire.PlacedServer{
			Server: e.Server, Layers: teaselstream.LayerRange{From: e.From, To: e.To},
			Base: teaselstream.LayerRange{From: e.BaseFrom, To: e.BaseTo}, Pending: e.Pending,
		})
	}
	return p
}

// updatePlacer gives the placer the servers of the snapshot. A stopping VM omits itself, so that other VMs take over its deciders.
func (n *Node) updatePlacer(now time.Time, s *teaselstream.Snapshot) {
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

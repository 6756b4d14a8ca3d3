package proxy

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

func (p *streamPlanner) Plan(now time.Time, avoid map[teaselstream.ServerID]bool, first teaselstream.ServerID) (teaselstream.Path, time.Duration, bool) {
	pathRequest := p.pathRequest
	pathRequest.Avoid, pathRequest.First = avoid, first
	pathRequest.MayStart = func(id teaselstream.ServerID) bool { return p.request.handler.mayStart(now, id) }
	return p.request.handler.Planner.Plan(now, p.request.handler.View(), pathRequest)
}

func (p *streamPlanner) PlanMove(now time.Time, avoid map[teaselstream.ServerID]bool, current teaselstream.Path) (teaselstream.Path, time.Duration, bool) {
	pathRequest := p.pathRequest
	pathRequest.Avoid, pathRequest.First = avoid, current[0].Server
	if p.request.handler.observed() {
		pathRequest.Current = current
	}
	return p.request.handler.Planner.Plan(now, p.request.handler.View(), pathRequest)
}

func (p *streamPlanner) Take(now time.Time, first teaselstream.ServerID) bool {
	h := p.request.handler
	m := h.View().Members[first]
	return m != nil && h.Notices.Wait(now, first, m.Incarnation) <= 0 && h.Limits.Take(now, first)
}

func (p *streamPlanner) LimitWait(now time.Time, avoid map[teaselstream.ServerID]bool) (time.Duration, bool) {
	h := p.request.handler
	// soonest is the shortest wait of all servers at which a path could start.
	soonest, limited := time.Duration(-1), false
	for _, m := range h.View().Pools[p.pathRequest.Service] {
		if !m.Holds.Contains(0) || avoid[m.ID] || m.State != fleet.Serving {
			continue
		}
		wait, ok := h.startWait(now, m.ID, m.Incarnation)
		if ok && wait <= 0 {
			continue
		}
		limited = true
		if ok && (soonest < 0 || wait < soonest) {
			soonest = wait
		}
	}
	if !limited {
		return 0, false
	}
	pathRequest := p.pathRequest
	pathRequest.Avoid = avoid
	_, _, limited = h.Planner.Plan(now, h.View(), pathRequest)
	return soonest, limited
}

func (p *streamPlanner) Wait(now time.Time, path teaselstream.Path) time.Duration {
	m := p.request.handler.View().Members[path[0].Server]
	if m == nil {
		return 0
	}
	return m.LoadEstimate.Wait(now, p.request.handler.streamDurations.mean())
}

func (p *streamPlanner) HasRoom(now time.Time, path teaselstream.Path) bool {
	return p.request.handler.Planner.HasRoom(now, p.request.handler.View(), p.pathRequest, path)
}

func (p *streamPlanner) Down(id teaselstream.ServerID) bool {
	m := p.request.handler.View().Members[id]
	return m == nil || m.State == fleet.Down
}

func (p *streamPlanner) Incarnation(id teaselstream.ServerID) teaselstream.Incarnation {
	if m := p.request.handler.View().Members[id]; m != nil {
		return m.Incarnation
	}
	return 0
}

// Gone needs a proof: a server that is down, leaves or is not listed may go on with what it runs.
func (p *streamPlanner) Gone(id teaselstream.ServerID, n teaselstream.Incarnation) bool {
	m := p.request.handler.View().Members[id]
	return m != nil && (n != 0 && m.Incarnation > n || m.Ended || m.CutOff)
}

func (p *streamPlanner) RemoteDomainServers(first, part teaselstream.ServerID) []teaselstream.ServerID {
	v := p.request.handler.View()
	a, b := v.Members[first], v.Members[part]
	if a == nil || b == nil || a.Domain == b.Domain {
		return nil
	}
	var ids []teaselstream.ServerID
	for _, m := range v.Pools[b.Service] {
		if m.Domain == b.Domain {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (p *streamPlanner) Resolve(address string) teaselstream.ServerID {
	if address == "" {
		return ""
	}
	if m := p.request.handler.View().ByAddress(address); m != nil {
		return m.ID
	}
	return ""
}

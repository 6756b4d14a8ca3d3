package chain

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// crossDomainCost is added where a path enters another failure domain. All activations between two domains share one slow
	// link.
	crossDomainCost = 1500 * time.Millisecond
	// remoteHeadCost is added if the first part is outside this VM's failure domain, since the answer then crosses domains.
	remoteHeadCost = 800 * time.Millisecond
	// leavingCost is added for a part on a leaving server, which is used only if the other holders of a layer would refuse
	// the request or there are none.
	leavingCost = 20 * time.Second
	// overloadCost, times the load, is added for a part whose slots or KV-cache memory the requests would exceed.
	overloadCost = 4 * time.Second
	// refusalCost is added for a part that refused work recently, or whose KV cache has no room for the request. A refusal
	// takes a retry, so this cost exceeds those of a leaving server and of another failure domain.
	refusalCost = 30 * time.Second
	// loadWeight scales the cost factor of a part by its load; a fully loaded part costs 1+loadWeight times an idle one.
	loadWeight = 8.0
	// headWeight scales the cost that the load of a path's first part adds, in mean times of a whole answer.
	headWeight = 6.0
	// movedTogether is the number of streams that read on one new part at the same time after a loss: all streams of a server leave it at
	// once, and each waits for the reading of the others.
	movedTogether = 20
	// partOverhead is the network and queueing time of one part for one pass.
	partOverhead = 500 * time.Microsecond
	// jitter is the largest random share added to a part's cost, so that VMs with the same view choose different paths.
	jitter = 0.2
	// drainMargin is the time between the last new work for a leaving server and the end of its drain time.
	drainMargin = 700 * time.Millisecond
)

type (
	// PathRequest describes a request for which a path is planned.
	PathRequest struct {
		Service teaselstream.ServiceID
		// Engine describes the service if the configuration no longer does; requests end on the service on which they began.
		Engine       *teaselstream.EngineSpec
		PromptTokens int
		AnswerTokens int
		// Avoid holds servers that must not be used.
		Avoid map[teaselstream.ServerID]bool
		// MayStart reports whether a new request may be sent to a server as the first of its path; nil allows all.
		MayStart func(id teaselstream.ServerID) bool
		// First is the server that must run the first part, or empty for any.
		First teaselstream.ServerID
		// Current is the path of a running request that is to move; its parts that stay have read all tokens already.
		Current teaselstream.Path
		// Within is the only failure domain that the path may use, or empty for all.
		Within teaselstream.DomainID
	}

	// Planner plans paths; its zero value uses no leaving servers.
	Planner struct {
		// DrainTime is how long a leaving server drains. It takes new work until drainMargin before the end.
		DrainTime time.Duration
		// Rand draws the jitter; nil means none.
		Rand teaselstream.Rand
	}

	// state is the cheapest path from layer 0 to a layer boundary whose last part is in a given failure domain.
	state struct {
		cost   time.Duration
		member *fleet.Member
		// fromBoundary and fromDomain are the indexes of the state that the last part extends.
		fromBoundary int
		fromDomain   int
		reached      bool
	}

	search struct {
		planner    *Planner
		now        time.Time
		view       *fleet.View
		engine     *teaselstream.EngineSpec
		request    PathRequest
		boundaries []teaselstream.Layer
		domains    []teaselstream.DomainID
		states     [][]state
		// meanAnswer is the time of the request's answer on servers of mean pace.
		meanAnswer time.Duration
	}
)

// engineIn returns the engine of the request's service in a view, or the one that the request holds.
func (a PathRequest) engineIn(v *fleet.View) *teaselstream.EngineSpec {
	switch {
	case v == nil:
		return nil
	case v.Routing == nil || v.Routing.Pools[a.Service] == nil || v.Routing.Pools[a.Service].Engine == nil:
		return a.Engine
	}
	return v.Routing.Pools[a.Service].Engine
}

// Plan returns the cheapest path and its estimated time per step; ok is false if no path covers all layers.
func (p *Planner) Plan(now time.Time, v *fleet.View, a PathRequest) (path teaselstream.Path, step time.Duration, ok bool) {
	engine := a.engineIn(v)
	if engine == nil {
		return nil, 0, false
	}
	s := &search{planner: p, now: now, view: v, engine: engine, request: a}
	all := s.usableMembers()
	members := p.draw(all, a.First)
	path, step, ok = s.plan(members)
	if len(members) < len(all) && (!ok || !s.hasRoom(path)) {
		// The servers that the draw left out are the only ones for some layers, or the only ones with room.
		return s.plan(all)
	}
	return path, step, ok
}

// draw leaves out servers whose pace is being found, each for all but its share of the plans.
func (p *Planner) draw(members []*fleet.Member, first teaselstream.ServerID) []*fleet.Member {
	if p.Rand == nil {
		return members
	}
	leftOut := func(m *fleet.Member) bool { return m.Share > 0 && m.ID != first && !m.Draws(p.Rand.Float64()) }
	if !slices.ContainsFunc(members, func(m *fleet.Member) bool { return m.Share > 0 }) {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), leftOut)
}

// plan returns the cheapest path over some members.
func (s *search) plan(members []*fleet.Member) (teaselstream.Path, time.Duration, bool) {
	s.indexStates(members)
	s.meanAnswer = s.meanAnswerTime(members)
	for i := range s.boundaries {
		for _, m := range members {
			if from := s.boundaries[i]; m.Holds.Contains(from) {
				s.relax(i, m)
			}
		}
	}
	return s.cheapest()
}

// HasRoom reports whether the servers of a path probably take a request now: none of them has refused work lately, and each
// has slots and cache memory left by the same estimates as in Plan.
func (p *Planner) HasRoom(now time.Time, v *fleet.View, a PathRequest, path teaselstream.Path) bool {
	engine := a.engineIn(v)
	if engine == nil {
		return false
	}
	s := &search{planner: p, now: now, view: v, engine: engine, request: a}
	return s.hasRoom(path)
}

func (s *search) hasRoom(path teaselstream.Path) bool {
	for _, part := range path {
		m := s.view.Members[part.Server]
		if m == nil || m.State != fleet.Serving || s.now.Before(m.PausedUntil) || s.lacksCacheRoom(m) || s.load(m) > 1 {
			return false
		}
	}
	return true
}

func (s *search) usableMembers() []*fleet.Member {
	var out []*fleet.Member
	for _, m := range s.view.Pools[s.request.Service] {
		if m.Holds.Empty() || m.Holds.To > s.engine.Layers || s.request.Avoid[m.ID] || m.State == fleet.Down {
			continue
		}
		if m.State == fleet.Leaving && !s.planner.TakesNewWork(s.now, m.LeavingSince) {
			continue
		}
		if s.request.Within != "" && m.Domain != s.request.Within {
			continue
		}
		out = append(out, m)
	}
	return out
}

// TakesNewWork reports whether a server that has been leaving for some time still takes new work.
func (p *Planner) TakesNewWork(now, leavingSince time.Time) bool {
	return now.Sub(leavingSince) <= p.DrainTime-drainMargin
}

// Uncovered returns the ranges of layers that no usable server holds, for the log of a request without a path. If there are
// none, cut links between failure domains, the required First server or MaxParts rule out every path.
func (p *Planner) Uncovered(now time.Time, v *fleet.View, a PathRequest) []teaselstream.LayerRange {
	engine := a.engineIn(v)
	if engine == nil {
		return nil
	}
	s := &search{planner: p, now: now, view: v, engine: engine, request: a}
	held := make([]bool, s.engine.Layers)
	for _, m := range s.usableMembers() {
		for l := max(m.Holds.From, 0); l < m.Holds.To; l++ {
			held[l] = true
		}
	}
	var out []teaselstream.LayerRange
	for l := teaselstream.Layer(0); l < s.engine.Layers; l++ {
		switch {
		case held[l]:
		case len(out) > 0 && out[len(out)-1].To == l:
			out[len(out)-1].To++
		default:
			out = append(out, teaselstream.LayerRange{From: l, To: l + 1})
		}
	}
	return out
}

func (s *search) indexStates(members []*fleet.Member) {
	s.boundaries = []teaselstream.Layer{0, s.engine.Layers}
	s.domains = []teaselstream.DomainID{""}
	for _, m := range members {
		s.boundaries = append(s.boundaries, m.Holds.From, m.Holds.To)
		if !slices.Contains(s.domains, m.Domain) {
			s.domains = append(s.domains, m.Domain)
		}
	}
	slices.Sort(s.boundaries)
	s.boundaries = slices.Compact(s.boundaries)
	s.states = make([][]state, len(s.boundaries))
	for i := range s.states {
		s.states[i] = make([]state, len(s.domains))
	}
	s.states[0][0].reached = true
}

// relax extends every state at a boundary by a part on a member that runs from there to the end of its range.
func (s *search) relax(i int, m *fleet.Member) {
	first := i == 0
	if first && s.request.First != "" && m.ID != s.request.First {
		return
	}
	if first && s.request.First == "" && s.request.MayStart != nil && !s.request.MayStart(m.ID) {
		return
	}
	end, _ := slices.BinarySearch(s.boundaries, m.Holds.To)
	domain := slices.Index(s.domains, m.Domain)
	cost := s.cost(m, teaselstream.LayerRange{From: s.boundaries[i], To: m.Holds.To})
	for d := range s.states[i] {
		at := s.states[i][d]
		if !at.reached {
			continue
		}
		if !first && d != domain && s.now.Before(s.view.CutLinks[fleet.Link{From: s.domains[d], To: m.Domain}]) {
			continue
		}
		total := at.cost + cost
		switch {
		case first && m.Domain != s.view.Domain:
			total += remoteHeadCost
		case !first && d != domain:
			total += crossDomainCost
		}
		if to := &s.states[end][domain]; !to.reached || total < to.cost {
			*to = state{cost: total, member: m, fromBoundary: i, fromDomain: d, reached: true}
		}
	}
}

// cost returns the cost of one part: the estimated time of the request on it, increased by load and penalties.
func (s *search) cost(m *fleet.Member, r teaselstream.LayerRange) time.Duration {
	answer := max(s.request.AnswerTokens, 1)
	stride := max(s.engine.Stride, 1)
	kept := s.keeps(m, r)
	busy := s.stepTime(m, r)*time.Duration(answer) + partOverhead*time.Duration(answer/stride+1) + s.readingTime(m, r, kept)
	load := s.load(m)
	factor := 1 + loadWeight*loadPenalty(load)
	if s.planner.Rand != nil && !kept {
		factor *= 1 + jitter*s.planner.Rand.Float64()
	}
	total := time.Duration(float64(busy) * factor)
	if r.From == 0 {
		// The first part's load stands for the whole path, since the servers behind it report theirs only when probed.
		total += time.Duration(headWeight * loadPenalty(load) * float64(s.meanAnswer))
	}
	if load > 1 {
		total += time.Duration(float64(overloadCost) * load)
	}
	if s.lacksCacheRoom(m) || s.now.Before(m.PausedUntil) {
		total += refusalCost
	}
	if m.State == fleet.Leaving {
		total += leavingCost
	}
	return total
}

// keeps reports whether a part is one of the path of a request that is to move.
func (s *search) keeps(m *fleet.Member, r teaselstream.LayerRange) bool {
	return slices.ContainsFunc(s.request.Current, func(p teaselstream.Part) bool { return p.Server == m.ID && p.Range == r })
}

// readingTime returns the cost of reading the prompt on a part: nothing on one that has read it, and that of all streams which move together on a
// new part of a moved request.
func (s *search) readingTime(m *fleet.Member, r teaselstream.LayerRange, kept bool) time.Duration {
	switch {
	case kept:
		return 0
	case len(s.request.Current) > 0:
		return movedTogether * s.promptTime(m, r)
	}
	return s.promptTime(m, r)
}

// lacksCacheRoom reports whether the prompt does not fit in a part's KV cache, by the server's last report and the requests
// that this VM has sent since.
func (s *search) lacksCacheRoom(m *fleet.Member) bool {
	share, ok := m.LoadEstimate.CacheUtilization(s.now)
	if !ok {
		return false
	}
	tokens := s.request.PromptTokens + max(m.LoadEstimate.NewSinceReport(), 0)*s.engine.UsualPrompt
	capacity := s.engine.CacheTokens(m.Accelerator, m.Holds.Len())
	return share*float64(capacity)+float64(tokens) > float64(capacity)
}

// cacheWith returns the fraction of a part's KV cache that is in use with this request's prompt, from the fraction in use without it.
func (s *search) cacheWith(m *fleet.Member, used float64) float64 {
	capacity := max(s.engine.CacheTokens(m.Accelerator, m.Holds.Len()), 1)
	return used + float64(s.request.PromptTokens)/float64(capacity)
}

// Fullness returns the share in use of the fullest server of a path with the request, and the share that the request adds there, as another VM
// has read them; servers without such a load count by this VM's own estimate.
func (p *Planner) Fullness(now time.Time, v *fleet.View, a PathRequest, path teaselstream.Path) (load, part float64) {
	engine := a.engineIn(v)
	if engine == nil {
		return 0, 0
	}
	s := &search{planner: p, now: now, view: v, engine: engine, request: a}
	for i, x := range path {
		m := v.Members[x.Server]
		if m == nil {
			continue
		}
		used := s.fullness(m, i == 0)
		if used > load {
			load = used
			part = float64(a.PromptTokens) / float64(max(s.engine.CacheTokens(m.Accelerator, m.Holds.Len()), 1))
		}
	}
	return load, part
}

// fullness returns the share of a part's KV cache, and of its slots if it is the first of the path, that is in use with this request.
func (s *search) fullness(m *fleet.Member, first bool) float64 {
	requests, used, ok := m.LoadEstimate.Observed(s.now)
	if !ok {
		return min(s.load(m), 1)
	}
	load := s.cacheWith(m, used)
	if first {
		load = max(load, float64(requests+1)/float64(max(m.Slots, 1)))
	}
	return load
}

// loadPenalty grows steeply with load: a half-loaded part costs little more than an idle one, so that paths stay in their
// failure domain, and a nearly full one is avoided.
func loadPenalty(load float64) float64 { return load * load * load * load }

func (s *search) layerShare(r teaselstream.LayerRange) float64 {
	return float64(r.Len()) / float64(max(s.engine.Layers, 1))
}

// meanAnswerTime returns the time of the request's answer at the servers' mean pace, weighted by the layers that they hold.
func (s *search) meanAnswerTime(members []*fleet.Member) time.Duration {
	var sum, layers float64
	for _, m := range members {
		sum += float64(m.Holds.Len()) * s.engine.Kinds[m.Accelerator].Pace
		layers += float64(m.Holds.Len())
	}
	if layers == 0 {
		return 0
	}
	return time.Duration(float64(s.engine.Step) * sum / layers * float64(max(s.request.AnswerTokens, 1)))
}

// stepTime returns the time of one token on a part.
func (s *search) stepTime(m *fleet.Member, r teaselstream.LayerRange) time.Duration {
	pace := s.engine.Kinds[m.Accelerator].Pace
	return time.Duration(float64(s.engine.Step) * s.layerShare(r) * max(pace, 1) * max(m.Slowdown, 1))
}

// promptTime returns the time to read the prompt on a part.
func (s *search) promptTime(m *fleet.Member, r teaselstream.LayerRange) time.Duration {
	if s.engine.ReadPerSecond <= 0 {
		return 0
	}
	seconds := float64(s.request.PromptTokens) / float64(s.engine.ReadPerSecond)
	pace := s.engine.Kinds[m.Accelerator].ReadPace
	return time.Duration(seconds * s.layerShare(r) * max(pace, 1) * max(m.Slowdown, 1) * float64(time.Second))
}

// load estimates the share of a part's slots or KV cache that is in use with this request, whichever is larger. Without a
// recent report of the server it multiplies this VM's own requests by the number of VMs in the server's failure domain.
func (s *search) load(m *fleet.Member) float64 {
	slots := max(m.Slots, 1)
	running, ok := m.LoadEstimate.TotalRequests(s.now)
	if !ok {
		running = int(m.LoadEstimate.OwnRequests.Load()) * s.view.DomainVMs(m.Domain)
	}
	capacity := s.engine.CacheTokens(m.Accelerator, m.Holds.Len())
	if capacity <= 0 {
		return 2
	}
	usual := s.engine.UsualPrompt + s.engine.UsualAnswer/2
	memory := float64(running*max(usual, 1)+s.request.PromptTokens+s.request.AnswerTokens) / float64(capacity)
	share, _ := m.LoadEstimate.CacheUtilization(s.now)
	return max(float64(running+1)/float64(slots), memory, share)
}

func (s *search) cheapest() (teaselstream.Path, time.Duration, bool) {
	last, domain := len(s.boundaries)-1, -1
	if s.boundaries[last] != s.engine.Layers {
		return nil, 0, false
	}
	for d, x := range s.states[last] {
		if x.reached && last > 0 && (domain < 0 || x.cost < s.states[last][domain].cost) {
			domain = d
		}
	}
	if domain < 0 {
		return nil, 0, false
	}
	var path teaselstream.Path
	var stepTime time.Duration
	for i, d := last, domain; i > 0; {
		x := s.states[i][d]
		r := teaselstream.LayerRange{From: s.boundaries[x.fromBoundary], To: s.boundaries[i]}
		path = append(path, teaselstream.Part{Server: x.member.ID, Address: x.member.Address, Range: r})
		stepTime += s.stepTime(x.member, r)
		i, d = x.fromBoundary, x.fromDomain
	}
	slices.Reverse(path)
	return path, stepTime, len(path) <= MaxParts
}

// MaxParts is the largest number of parts in a path that the engines accept.
const MaxParts = 32

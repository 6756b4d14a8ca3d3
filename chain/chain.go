package chain

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// crossCost is added where a path enters another failure domain; activations share one slow pipe for each pair of domains.
	crossCost = 1500 * time.Millisecond
	// awayCost is added if the first part is outside this VM's failure domain; the answer then crosses domains.
	awayCost = 800 * time.Millisecond
	// leavingCost keeps work away from servers that leave, unless nothing else covers a layer.
	leavingCost = 20 * time.Second
	// fullCost is added for a part whose memory the running requests would exceed.
	fullCost = 4 * time.Second
	// refusalCost is added for a part that has just refused work, or whose memory does not take the request. Its refusal
	// would cost a retry, so that it exceeds the cost of a server that leaves and of another failure domain.
	refusalCost = 30 * time.Second
	// loadWeight scales how much a part in use costs more than an idle one.
	loadWeight = 8.0
	// headWeight scales how much the load of a path's first part adds, in usual times of a whole request.
	headWeight = 6.0
	// hopTime is the network and queueing time of one part for one pass.
	hopTime = 500 * time.Microsecond
	// jitter is the largest random share added to a part's cost, so that VMs with the same view do not choose alike.
	jitter = 0.2
	// drainMargin is kept between the last new work for a leaving server and the end of its drain time.
	drainMargin = 700 * time.Millisecond
)

type (
	// PathRequest describes the request that needs a path.
	PathRequest struct {
		Service      teaselstream.ServiceID
		PromptTokens int
		AnswerTokens int
		// Avoid holds servers that must not be used.
		Avoid map[teaselstream.ServerID]bool
		// First is the server that must run the first part, or empty.
		First teaselstream.ServerID
		// Within restricts the path to one failure domain, or is empty.
		Within teaselstream.DomainID
	}

	// Planner chooses paths; its zero value uses no servers that leave.
	Planner struct {
		// DrainTime is how long a leaving server takes new work at most.
		DrainTime time.Duration
		// Rand draws the jitter; nil means none.
		Rand teaselstream.Rand
	}

	// state is the cheapest way to reach a layer boundary in a failure domain.
	state struct {
		cost   time.Duration
		member *fleet.Member
		// from is the boundary index and the domain index that the state was reached from.
		fromBoundary int
		fromDomain   int
		reached      bool
	}

	search struct {
		planner    *Planner
		now        time.Time
		view       *fleet.View
		engine     *teaselstream.EngineSpec
		ask        PathRequest
		boundaries []teaselstream.Layer
		domains    []teaselstream.DomainID
		states     [][]state
		// usual is the time of the request on a path of mean pace.
		usual time.Duration
	}
)

// Plan returns the cheapest path and its estimated time for one step; ok is false if no path covers all layers.
func (p *Planner) Plan(now time.Time, v *fleet.View, a PathRequest) (path teaselstream.Path, step time.Duration, ok bool) {
	if v == nil || v.Routing == nil || v.Routing.Pools[a.Service] == nil || v.Routing.Pools[a.Service].Engine == nil {
		return nil, 0, false
	}
	s := &search{planner: p, now: now, view: v, engine: v.Routing.Pools[a.Service].Engine, ask: a}
	members := s.usable()
	s.index(members)
	s.usual = s.usualTime(members)
	for i := range s.boundaries {
		for _, m := range members {
			if from := s.boundaries[i]; m.Holds.Contains(from) {
				s.relax(i, m)
			}
		}
	}
	return s.best()
}

func (s *search) usable() []*fleet.Member {
	var out []*fleet.Member
	for _, m := range s.view.Pools[s.ask.Service] {
		if m.Holds.Empty() || m.Holds.To > s.engine.Layers || s.ask.Avoid[m.ID] || m.State == fleet.Down {
			continue
		}
		if m.State == fleet.Leaving && s.now.Sub(m.LeavingSince) > s.planner.DrainTime-drainMargin {
			continue
		}
		if s.ask.Within != "" && m.Domain != s.ask.Within {
			continue
		}
		out = append(out, m)
	}
	return out
}

// Uncovered returns the ranges of layers that no usable server holds, for the log of a request without a path. None of
// them means that the servers of different failure domains do not reach each other.
func (p *Planner) Uncovered(now time.Time, v *fleet.View, a PathRequest) []teaselstream.LayerRange {
	if v == nil || v.Routing == nil || v.Routing.Pools[a.Service] == nil || v.Routing.Pools[a.Service].Engine == nil {
		return nil
	}
	s := &search{planner: p, now: now, view: v, engine: v.Routing.Pools[a.Service].Engine, ask: a}
	held := make([]bool, s.engine.Layers)
	for _, m := range s.usable() {
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

func (s *search) index(members []*fleet.Member) {
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

// relax extends every state at a boundary by a member that runs on to the end of its range.
func (s *search) relax(i int, m *fleet.Member) {
	first := i == 0
	if first && s.ask.First != "" && m.ID != s.ask.First {
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
		if !first && d != domain && s.now.Before(s.view.Cut[fleet.Link{From: s.domains[d], To: m.Domain}]) {
			continue
		}
		total := at.cost + cost
		switch {
		case first && m.Domain != s.view.Domain:
			total += awayCost
		case !first && d != domain:
			total += crossCost
		}
		if to := &s.states[end][domain]; !to.reached || total < to.cost {
			*to = state{cost: total, member: m, fromBoundary: i, fromDomain: d, reached: true}
		}
	}
}

// cost estimates the request's time on one part.
func (s *search) cost(m *fleet.Member, r teaselstream.LayerRange) time.Duration {
	answer := max(s.ask.AnswerTokens, 1)
	stride := max(s.engine.Stride, 1)
	busy := s.step(m, r)*time.Duration(answer) + hopTime*time.Duration(answer/stride+1) + s.read(m, r)
	load := s.load(m)
	factor := 1 + loadWeight*pressure(load)
	if s.planner.Rand != nil {
		factor *= 1 + jitter*s.planner.Rand.Float64()
	}
	total := time.Duration(float64(busy) * factor)
	if r.From == 0 {
		// The first part's load stands for the whole path, since the servers behind it state theirs only when probed.
		total += time.Duration(headWeight * pressure(load) * float64(s.usual))
	}
	if load > 1 {
		total += time.Duration(float64(fullCost) * load)
	}
	if s.refuses(m) || s.now.Before(m.PausedUntil) {
		total += refusalCost
	}
	if m.State == fleet.Leaving {
		total += leavingCost
	}
	return total
}

// refuses reports whether a part's memory, by its last statement and what this VM has sent since, does not take the prompt.
func (s *search) refuses(m *fleet.Member) bool {
	share, ok := m.Use.Cache(s.now)
	if !ok {
		return false
	}
	tokens := s.ask.PromptTokens + max(m.Use.Since(), 0)*s.engine.UsualPrompt
	capacity := s.engine.CacheTokens(m.Accelerator, m.Holds.Len())
	return share*float64(capacity)+float64(tokens) > float64(capacity)
}

// pressure grows steeply with load: a part that is half in use costs little more than an idle one, so that paths stay
// in their failure domain, and one that is nearly full is left to others.
func pressure(load float64) float64 { return load * load * load * load }

func (s *search) share(r teaselstream.LayerRange) float64 {
	return float64(r.Len()) / float64(max(s.engine.Layers, 1))
}

// usualTime returns the time of the request's answer on servers of mean pace, weighted by the layers that they hold.
func (s *search) usualTime(members []*fleet.Member) time.Duration {
	var sum, layers float64
	for _, m := range members {
		sum += float64(m.Holds.Len()) * s.engine.Kinds[m.Accelerator].Pace
		layers += float64(m.Holds.Len())
	}
	if layers == 0 {
		return 0
	}
	return time.Duration(float64(s.engine.Step) * sum / layers * float64(max(s.ask.AnswerTokens, 1)))
}

// step returns the time of one token on a part.
func (s *search) step(m *fleet.Member, r teaselstream.LayerRange) time.Duration {
	pace := s.engine.Kinds[m.Accelerator].Pace
	return time.Duration(float64(s.engine.Step) * s.share(r) * max(pace, 1) * max(m.Slowdown, 1))
}

// read returns the time to read the prompt on a part.
func (s *search) read(m *fleet.Member, r teaselstream.LayerRange) time.Duration {
	if s.engine.ReadPerSecond <= 0 {
		return 0
	}
	seconds := float64(s.ask.PromptTokens) / float64(s.engine.ReadPerSecond)
	pace := s.engine.Kinds[m.Accelerator].ReadPace
	return time.Duration(seconds * s.share(r) * max(pace, 1) * max(m.Slowdown, 1) * float64(time.Second))
}

// load estimates the share of a part's slots or request memory in use with this request. Without a recent statement
// of the server it is taken from this VM's own requests and the number of VMs in the server's failure domain.
func (s *search) load(m *fleet.Member) float64 {
	slots := max(m.Slots, 1)
	running, ok := m.Use.Running(s.now)
	if !ok {
		running = int(m.Use.Requests.Load()) * s.view.DomainVMs(m.Domain)
	}
	capacity := s.engine.CacheTokens(m.Accelerator, m.Holds.Len())
	if capacity <= 0 {
		return 2
	}
	usual := s.engine.UsualPrompt + s.engine.UsualAnswer/2
	memory := float64(running*max(usual, 1)+s.ask.PromptTokens+s.ask.AnswerTokens) / float64(capacity)
	share, _ := m.Use.Cache(s.now)
	return max(float64(running+1)/float64(slots), memory, share)
}

func (s *search) best() (teaselstream.Path, time.Duration, bool) {
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
	var step time.Duration
	for i, d := last, domain; i > 0; {
		x := s.states[i][d]
		r := teaselstream.LayerRange{From: s.boundaries[x.fromBoundary], To: s.boundaries[i]}
		path = append(path, teaselstream.Part{Server: x.member.ID, Address: x.member.Address, Range: r})
		step += s.step(x.member, r)
		i, d = x.fromBoundary, x.fromDomain
	}
	slices.Reverse(path)
	return path, step, len(path) <= MaxParts
}

// MaxParts is the longest path that the engines accept.
const MaxParts = 32

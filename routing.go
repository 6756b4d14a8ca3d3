package teaselstream

import (
	"strings"
	"time"
)

type (
	// RouteID names a route.
	RouteID string

	// Routing says where requests go and who may send them; it is immutable after decoding.
	Routing struct {
		Generation Generation
		// Hosts holds the routes of each host name in lower case, longest prefix first.
		Hosts map[string][]*Route
		// Pools holds the services that routes name.
		Pools map[ServiceID]*Pool
		// Keys finds the team that holds a key; nil means that no key is needed.
		Keys   map[string]*Caller
		Limits EdgeLimits
	}

	// Route says which requests it takes and how they are handled.
	Route struct {
		Name    RouteID
		Host    string
		Prefix  string
		Targets []Target
		// Stream marks answers that are a series of events.
		Stream bool
		// Idempotent requests may run more than once.
		Idempotent bool
		// Resumable streams may go on at another server after the last event that was delivered.
		Resumable bool
		// Anonymous routes need no key.
		Anonymous bool
		// Timeout bounds the time to the final answer; 0 means none.
		Timeout time.Duration
		// Objective is the time within which an answer has its full worth.
		Objective time.Duration
		// MaxEventGap is the longest pause between events of an answer in time.
		MaxEventGap time.Duration
		// MaxServers bounds the servers on which one request may run; 0 means 1.
		MaxServers int
		// Priority orders routes; a higher number goes first.
		Priority Priority
	}

	// Target is a service that takes a share of a route's requests.
	Target struct {
		Service ServiceID
		Weight  int
	}

	// Caller is the team behind a key.
	Caller struct {
		Team TeamID
		// Priority goes before the route's; a higher number goes first.
		Priority Priority
		// HasPriority reports whether the team has a priority of its own.
		HasPriority bool
	}

	// Pool is a set of replicas that do the same work.
	Pool struct {
		Service ServiceID
		// HealthPath answers 200 while a replica is healthy.
		HealthPath string
		// MaxConns bounds the connections of all callers to one replica.
		MaxConns int
		// Engine is set for replicas that run layers of a model.
		Engine *EngineSpec
	}

	// EngineSpec describes the replicas that share a model's layers and how long their work takes.
	EngineSpec struct {
		Layers        Layer
		BytesPerLayer Bytes
		// CacheBytesPerToken is the memory of one token in all layers.
		CacheBytesPerToken Bytes
		ActivationBytes    Bytes
		// LoadTime is the time to load all layers.
		LoadTime time.Duration
		// LoadsAtOnce is the number of loads that the weight store serves at full speed.
		LoadsAtOnce int
		// StepTime is the time of one token step over all layers on an accelerator of pace 1.
		StepTime time.Duration
		// StepTimePerRequest is added for each request in a step.
		StepTimePerRequest time.Duration
		// PrefillRate is the rate at which prompt tokens are read over all layers.
		PrefillRate TokensPerSecond
		// Stride is the number of steps in one pass, and of tokens in one event.
		Stride int
		// ReportLag is the age of the figures in a replica's report.
		ReportLag time.Duration
		// MeanPromptTokens and UsualAnswer are mean token counts of a request.
		MeanPromptTokens int
		MeanAnswerTokens int
		Kinds            map[Accelerator]AcceleratorSpec
	}

	// AcceleratorSpec describes a kind of replica.
	AcceleratorSpec struct {
		Memory Bytes
		// Pace multiplies the time of steps.
		Pace float64
		// PrefillPace multiplies the time to read prompts.
		PrefillPace float64
	}

	// EdgeLimits bounds what a caller may send and how long it may take.
	EdgeLimits struct {
		MaxHeader     Bytes
		MaxBody       Bytes
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}
)

// Match returns the route with the longest prefix for a host and path, or nil.
func (r *Routing) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, x := range r.Hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, x.Prefix) {
			return x
		}
	}
	return nil
}

// Pick returns the service for a number drawn from [0, 1), by the targets' weights.
func (r *Route) Pick(draw float64) (ServiceID, bool) {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := int(draw * float64(sum))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service, true
		}
		at -= t.Weight
	}
	return "", false
}

// CacheTokens returns how many tokens of requests fit beside a number of layers, or a negative number if the layers do not fit.
func (e *EngineSpec) CacheTokens(a Accelerator, layers int) int {
	k, ok := e.Kinds[a]
	if !ok {
		return -1
	}
	free := k.Memory - Bytes(layers)*e.BytesPerLayer
	if free < 0 {
		return -1
	}
	perToken := float64(e.CacheBytesPerToken) / float64(max(e.Layers, 1)) * float64(max(layers, 1))
	return int(float64(free) / max(perToken, 1))
}

// MaxLayers returns how many layers fit a kind of replica with room for a number of tokens of requests.
func (e *EngineSpec) MaxLayers(a Accelerator, tokens int) int {
	k, ok := e.Kinds[a]
	if !ok {
		return 0
	}
	perLayer := float64(e.BytesPerLayer) + float64(tokens)*float64(e.CacheBytesPerToken)/float64(max(e.Layers, 1))
	return min(int(float64(k.Memory)/max(perLayer, 1)), int(e.Layers))
}

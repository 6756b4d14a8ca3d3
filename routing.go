package teaselstream

import (
	"strings"
	"time"
)

type (
	// RouteID names a route.
	RouteID string

	// Routing is the routing table: where requests go and who may send them. It is immutable after decoding.
	Routing struct {
		Generation Generation
		// Hosts holds the routes of each host by its name in lower case, longest prefix first.
		Hosts map[string][]*Route
		// Pools holds the services that routes name.
		Pools map[ServiceID]*Pool
		// Keys holds the caller behind each key; nil means that no key is needed.
		Keys   map[string]*Caller
		Limits EdgeLimits
	}

	// Route matches requests by host and path prefix and says how they are handled.
	Route struct {
		Name    RouteID
		Host    string
		Prefix  string
		Targets []Target
		// Stream marks a route whose answers are streams of events.
		Stream bool
		// Idempotent requests may run more than once.
		Idempotent bool
		// Resumable streams may continue on another server after the last delivered event.
		Resumable bool
		// Anonymous routes need no key.
		Anonymous bool
		// Timeout is the limit of the time to the complete answer; 0 means none.
		Timeout time.Duration
		// Objective is the latency target: an answer that takes longer has less than its full worth.
		Objective time.Duration
		// Gap is the target for the longest pause between two events of an answer.
		Gap time.Duration
		// MaxServers bounds the servers on which one request may run; 0 means 1.
		MaxServers int
		// Priority orders routes; a higher number goes first.
		Priority Priority
	}

	// Target is a service that gets a part of a route's requests in proportion to its weight.
	Target struct {
		Service ServiceID
		Weight  int
	}

	// Caller is the team behind a key.
	Caller struct {
		Team TeamID
		// Priority replaces the route's if Ranked is set; a higher number goes first.
		Priority Priority
		// Ranked reports whether the team has a priority of its own.
		Ranked bool
	}

	// Pool describes the replicas of one service.
	Pool struct {
		Service ServiceID
		// HealthPath is a path that answers with status 200 while a replica is healthy.
		HealthPath string
		// MaxConns bounds the connections of all callers to one replica.
		MaxConns int
		// Engine is set for replicas that run layers of a model.
		Engine *EngineSpec
	}

	// EngineSpec describes a model whose layers are divided among replicas, and how long their work takes.
	EngineSpec struct {
		Layers        Layer
		BytesPerLayer Bytes
		// CacheBytesPerToken is the memory of one token in all layers.
		CacheBytesPerToken Bytes
		ActivationBytes    Bytes
		// LoadTime is the time to load all layers.
		LoadTime time.Duration
		// LoadsAtOnce is the number of concurrent loads that the storage of the weights serves at full speed.
		LoadsAtOnce int
		// Step is the time to generate one token over all layers on an accelerator with a Pace of 1.
		Step time.Duration
		// StepPerRequest is added to Step for each request in the batch.
		StepPerRequest time.Duration
		// ReadPerSecond is the rate at which prompt tokens are processed over all layers.
		ReadPerSecond TokensPerSecond
		// Stride is the number of decoding steps in one pass over a path, and of tokens in one event.
		Stride int
		// ReportLag is the age of the values in a replica's report.
		ReportLag time.Duration
		// UsualPrompt and UsualAnswer are the mean numbers of tokens of a request.
		UsualPrompt int
		UsualAnswer int
		Kinds       map[Accelerator]AcceleratorSpec
	}

	// AcceleratorSpec describes the replicas with one kind of accelerator.
	AcceleratorSpec struct {
		Memory Bytes
		// Pace is the factor on Step.
		Pace float64
		// ReadPace is the factor on the time to process prompts.
		ReadPace float64
	}

	// EdgeLimits holds the limits of the size of a caller's request and of the time to send it.
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

// Pick returns the service for a random number in [0, 1), so that each target is picked in proportion to its weight.
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

// CacheTokens returns the number of tokens whose KV cache fits in memory beside the given number of layers, or a
// negative number if the layers do not fit.
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

// MaxLayers returns the number of layers that fit in the memory of a replica beside the KV cache of the given number of tokens.
func (e *EngineSpec) MaxLayers(a Accelerator, tokens int) int {
	k, ok := e.Kinds[a]
	if !ok {
		return 0
	}
	perLayer := float64(e.BytesPerLayer) + float64(tokens)*float64(e.CacheBytesPerToken)/float64(max(e.Layers, 1))
	return min(int(float64(k.Memory)/max(perLayer, 1)), int(e.Layers))
}

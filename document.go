package teaselstream

import "time"

type (
	// Document is the parsed configuration of one environment; it is immutable after parsing.
	Document struct {
		Environment Environment
		Generation  Generation
		Digest      Digest
		Limits      Limits
		Models      map[ModelID]Model
		Teams       map[TeamID]Team
		Services    map[ServiceID]ServiceSpec
		Servers     map[ServerID]Server
		Links       []Link
	}

	// Limits holds the limits of each request in an environment.
	Limits struct {
		MaxPromptBytes  Bytes
		MaxTokens       int
		DefaultDeadline time.Duration
		OrderRetention  time.Duration
		QueueTime       time.Duration
	}

	// Model describes a model and its layers.
	Model struct {
		Name            ModelID
		Layers          Layer
		Version         string
		Adapters        []string
		BytesPerLayer   Bytes
		ActivationBytes Bytes
		// CanaryPrompt is a prompt with a deterministic answer, by which servers are checked; empty disables the check.
		CanaryPrompt string
	}

	// Team describes a customer with keys, a share of the capacity and a priority.
	Team struct {
		Name        TeamID
		KeyDigests  []Digest
		Share       Share
		Priority    Priority
		MaxPriority Priority
		Worth       Worth
		Rate        RequestsPerSecond
		Models      []ModelID
		Services    []ServiceID
	}

	// ServiceSpec describes a plain service and which of its calls are idempotent.
	ServiceSpec struct {
		Name ServiceID
		// Idempotent lists "METHOD /prefix" patterns of idempotent calls; all other calls are non-idempotent.
		Idempotent []string
		// StatusLookup is a path with the placeholder {key} that returns the status of a call, or empty if there is none.
		StatusLookup  string
		ChecksFencing bool
		// KeyTimeOptional accepts idempotency keys without a time; a call that is sent again with such a key after the
		// retention cannot be recognized.
		KeyTimeOptional bool
		Timeout         time.Duration
		MaxAnswerBytes  Bytes
	}

	// ServerKind says what a backend server runs.
	ServerKind string

	// Server describes a backend server.
	Server struct {
		Name         ServerID
		Kind         ServerKind
		Domain       DomainID
		Region       RegionID
		Address      string
		Model        ModelID
		Service      ServiceID
		Accelerator  Accelerator
		Accelerators int
		Layers       LayerRange
		// TimePerLayer is the time to run one layer for one token at batch size 1.
		TimePerLayer  time.Duration
		MaxConcurrent int
		Memory        Bytes
		ChecksFencing bool
		// Key authenticates the router to the server; empty means that the server needs none.
		Key string
	}

	// Link describes the network between two failure domains, which is the same in both directions.
	Link struct {
		A       DomainID
		B       DomainID
		Rate    BytesPerSecond
		Latency time.Duration
	}
)

const (
	// KindModel is a model engine that holds a range of layers.
	KindModel ServerKind = "Model"
	// KindService is a replica of a plain service.
	KindService ServerKind = "Service"
)

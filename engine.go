package teaselstream

import (
	"context"
	"time"
)

type (
	// Hop is one stage of a chain: a server that runs the layers [From, To) of a model.
	Hop struct {
		Server  ServerID
		Address string
		From    Layer
		To      Layer
		// Import is the name of an exported KV cache to import; if it is empty, the server computes the cache again.
		Import string `json:",omitempty"`
	}

	// Receipt states that a server ran the layers [From, To) for one token.
	Receipt struct {
		Server ServerID
		From   Layer
		To     Layer
	}

	// StreamRequest starts or resumes a stream at the first server of a chain.
	StreamRequest struct {
		Request   RequestID
		Attempt   Attempt
		Model     ModelID
		Version   string `json:",omitempty"`
		Adapter   string `json:",omitempty"`
		Prompt    string
		Emitted   []string
		MaxTokens int
		Priority  Priority
		Seed      uint64
		Chain     []Hop
	}

	// TokenEvent is one generated token.
	TokenEvent struct {
		Request  RequestID
		Attempt  Attempt
		Sequence Sequence
		Index    TokenIndex
		Text     string
		Receipts []Receipt
	}

	// DoneEvent ends a stream whose answer is complete.
	DoneEvent struct {
		Request  RequestID
		Attempt  Attempt
		Sequence Sequence
		Reason   string
		// Tokens is the number of tokens in the whole answer, those of earlier attempts included.
		Tokens int
	}

	// LostEvent ends a stream because a stage stopped answering.
	LostEvent struct {
		Request RequestID
		Attempt Attempt
		Stage   StageIndex
		Server  ServerID
		Reason  string
	}

	// CacheEvent reports that a prompt prefix was added to a server's KV cache or evicted from it.
	CacheEvent struct {
		Sequence Sequence
		Prefix   Digest
		Tokens   int
		Evicted  bool
	}

	// PlacementOrder tells an engine which layers of which model to load.
	PlacementOrder struct {
		Fencing Fencing
		Model   ModelID
		Version string
		Adapter string
		From    Layer
		To      Layer
		Role    string
	}

	// StreamKeepAlive reports that a stream is alive although it has no new token.
	StreamKeepAlive struct{}

	// EngineStream yields tokens, then one DoneEvent or LostEvent.
	EngineStream interface {
		// Next returns a *TokenEvent that is valid until the next call, a
		// DoneEvent, a LostEvent, a StreamKeepAlive, or a Tick if nothing
		// arrived within the wait. An error means that the connection was lost.
		Next(wait time.Duration) (Msg, error)
		// Buffered reports whether Next would return without waiting.
		Buffered() bool
		// Interrupt makes a waiting Next return a Tick; it may be called from any goroutine.
		Interrupt()
		Close() error
	}

	// Engine calls model engines by their addresses.
	Engine interface {
		Start(ctx context.Context, address string, r StreamRequest) (EngineStream, error)
		Cancel(ctx context.Context, address string, id RequestID, a Attempt) error
		Load(ctx context.Context, address string) (Load, error)
		CacheEvents(ctx context.Context, address string, after Sequence) ([]CacheEvent, error)
		// Export writes the KV cache of a request and returns its name and the tokens that it covers.
		Export(ctx context.Context, address string, id RequestID) (string, TokenIndex, error)
		Order(ctx context.Context, address string, o PlacementOrder) error
		Orders(ctx context.Context, address string) (PlacementOrder, error)
	}
)

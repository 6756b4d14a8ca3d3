package admit

import (
	"slices"
	"strings"

	"github.com/teaselstream/teaselstream"
)

// bytesPerToken estimates the tokens of a prompt, which only the engine can count.
const bytesPerToken = 4

type (
	// ModelRequest is the part of a model request that a document decides on.
	ModelRequest struct {
		// Model may name an adapter as "MODEL:ADAPTER".
		Model       string
		PromptBytes teaselstream.Bytes
		MaxTokens   int
		// Priority is used if HasPriority is set, and the team's default otherwise.
		Priority    teaselstream.Priority
		HasPriority bool
	}

	// ResolvedRequest are the conditions under which a document lets a model request run.
	ResolvedRequest struct {
		Model     teaselstream.Model
		Adapter   string
		MaxTokens int
		Priority  teaselstream.Priority
	}
)

// Resolve returns the terms of a team's request under a document; its error is a *teaselstream.Error.
func Resolve(d *teaselstream.Document, t teaselstream.Team, a ModelRequest) (ResolvedRequest, error) {
	name, adapter, _ := strings.Cut(a.Model, ":")
	m, ok := d.Models[teaselstream.ModelID(name)]
	allowed := len(t.Models) == 0 || slices.Contains(t.Models, m.Name)
	if !ok || !allowed || adapter != "" && !slices.Contains(m.Adapters, adapter) {
		return ResolvedRequest{}, refuse(teaselstream.CodeUnknownModel, "the team has no model "+a.Model)
	}
	if limit := d.Limits.MaxPromptBytes; limit > 0 && a.PromptBytes > limit {
		return ResolvedRequest{}, refuse(teaselstream.CodeTooLarge, "the prompt exceeds the environment's limit")
	}
	return ResolvedRequest{
		Model: m, Adapter: adapter, MaxTokens: maxTokens(a.MaxTokens, d.Limits.MaxTokens), Priority: priority(t, a),
	}, nil
}

// PromptTokens returns the estimated number of tokens of a prompt.
func PromptTokens(size teaselstream.Bytes) int { return int(size/bytesPerToken) + 1 }

// MayCall reports whether a team may call a plain service.
func MayCall(t teaselstream.Team, v teaselstream.ServiceID) bool {
	return len(t.Services) == 0 || slices.Contains(t.Services, v)
}

func priority(t teaselstream.Team, a ModelRequest) teaselstream.Priority {
	if !a.HasPriority {
		return t.Priority
	}
	return min(a.Priority, max(t.MaxPriority, t.Priority))
}

func maxTokens(asked, limit int) int {
	if asked <= 0 || limit > 0 && asked > limit {
		return limit
	}
	return asked
}

func refuse(c teaselstream.Code, message string) error {
	return &teaselstream.Error{Code: c, Outcome: teaselstream.NotRun, Message: message}
}

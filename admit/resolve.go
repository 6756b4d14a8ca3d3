package admit

import (
	"slices"
	"strings"

	"github.com/teaselstream/teaselstream"
)

// bytesPerToken is the assumed mean size of a prompt token in bytes; only the engine can count tokens exactly.
const bytesPerToken = 4

type (
	// ModelRequest holds the parameters of a model request that the configuration document restricts.
	ModelRequest struct {
		// Model may name an adapter as "MODEL:ADAPTER".
		Model       string
		PromptBytes teaselstream.Bytes
		MaxTokens   int
		// Priority applies if HasPriority is set; otherwise the team's default applies.
		Priority    teaselstream.Priority
		HasPriority bool
	}

	// ResolvedRequest holds the parameters with which a model request runs, after the limits of the document.
	ResolvedRequest struct {
		Model     teaselstream.Model
		Adapter   string
		MaxTokens int
		Priority  teaselstream.Priority
	}
)

// Resolve applies a document's limits to a team's request; its error is a *teaselstream.Error.
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

// PromptTokens returns the estimated number of tokens in a prompt of the given size.
func PromptTokens(size teaselstream.Bytes) int { return int(size/bytesPerToken) + 1 }

// MayCall reports whether a team may call a plain service; a team without a list of services may call all.
func MayCall(t teaselstream.Team, v teaselstream.ServiceID) bool {
	return len(t.Services) == 0 || slices.Contains(t.Services, v)
}

// priority returns the requested priority, capped at the team's maximum.
func priority(t teaselstream.Team, a ModelRequest) teaselstream.Priority {
	if !a.HasPriority {
		return t.Priority
	}
	return min(a.Priority, max(t.MaxPriority, t.Priority))
}

// maxTokens returns the requested number of tokens, capped at the document's limit; 0 means no limit.
func maxTokens(asked, limit int) int {
	if asked <= 0 || limit > 0 && asked > limit {
		return limit
	}
	return asked
}

func refuse(c teaselstream.Code, message string) error {
	return &teaselstream.Error{Code: c, Outcome: teaselstream.NotRun, Message: message}
}

package teaselstream

import "time"

type (
	// PlanRequest asks for a chain of servers.
	PlanRequest struct {
		Model        ModelID
		PromptTokens int
		MaxTokens    int
		Prefixes     []Digest
		// Keep holds hops of an earlier attempt that must be part of the chain.
		Keep []Hop
		// Avoid holds servers that must not be used.
		Avoid map[ServerID]bool
	}

	// Plan is a chain that covers all layers of a model once and in order.
	Plan struct {
		Chain []Hop
		// FirstToken is the estimated time to the first token.
		FirstToken time.Duration
		// PerToken is the estimated time between tokens.
		PerToken time.Duration
	}

	// Planner chooses chains; ok is false if no chain covers the model.
	Planner interface {
		Plan(now time.Time, s *Snapshot, r PlanRequest) (p Plan, ok bool)
		// Started and Finished count this VM's streams, by which the planner corrects the load that servers report.
		Started(now time.Time, p Plan)
		Finished(now time.Time, p Plan)
	}
)

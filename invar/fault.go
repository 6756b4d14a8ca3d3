package invar

// Faults is a set of injected faults, each of which violates an invariant, so that tests can
// show that the checks detect it. Mutation tests set them; production processes never do.
type Faults uint

const (
	// SkipClaim sends a non-idempotent call without first storing its claim durably.
	SkipClaim Faults = 1 << iota
	// IgnoreAttempt accepts stream frames of older attempts and of other requests.
	IgnoreAttempt
	// InvertGeneration replaces a document by one of an older generation.
	InvertGeneration
	// IgnoreLeaving routes new work to leaving servers.
	IgnoreLeaving
	// SkipReceipts delivers tokens without checking the servers' receipts for the layers that they ran.
	SkipReceipts
	// CutDrain exits from a graceful stop without waiting for requests in flight.
	CutDrain
	// ClaimNotRun reports the outcome NotRun although the call was sent.
	ClaimNotRun
)

// Has reports whether the set contains fault x.
func (f Faults) Has(x Faults) bool { return f&x != 0 }

package shadow

import (
	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
)

type (
	// Sample holds the facts of one production request that a document decides on.
	//
	// With neither ModelRequest.Model nor Service set, only the key is judged: production refused the key before it read
	// the rest of the request.
	Sample struct {
		// Snapshot is the one under which production decided.
		Snapshot *teaselstream.Snapshot
		// Key is the SHA-256 digest of the caller's key, or empty.
		Key teaselstream.Digest
		// ModelRequest describes a model request.
		ModelRequest admit.ModelRequest
		// Service and Call describe a call to a plain service; the body is not needed.
		Service teaselstream.ServiceID
		Call    teaselstream.ServiceCall
		// Worth is the worth that the caller stated, or 0 for the team's.
		Worth teaselstream.Worth
	}

	// decision is what one document decides about a sample.
	decision struct {
		// code is empty if the request is admitted.
		code       teaselstream.Code
		terms      admit.ResolvedRequest
		worth      teaselstream.Worth
		idempotent bool
		plan       teaselstream.Plan
	}
)

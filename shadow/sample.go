package shadow

import (
	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
)

type (
	// Sample holds the properties of one production request that decisions depend on.
	//
	// If neither ModelRequest.Model nor Service is set, only the key is checked: production refused it before reading the
	// rest of the request.
	Sample struct {
		// Snapshot is the snapshot that production used to decide.
		Snapshot *teaselstream.Snapshot
		// Key is the SHA-256 digest of the caller's key, or empty.
		Key teaselstream.Digest
		// ModelRequest describes a model request.
		ModelRequest admit.ModelRequest
		// Service and Call describe a call to a plain service; the body of Call may be empty.
		Service teaselstream.ServiceID
		Call    teaselstream.ServiceCall
		// Worth is the worth that the caller stated; 0 means the team's.
		Worth teaselstream.Worth
	}

	// decision is the result for a sample under one document.
	decision struct {
		// code is empty if the request is admitted.
		code       teaselstream.Code
		resolved   admit.ResolvedRequest
		worth      teaselstream.Worth
		idempotent bool
		plan       teaselstream.Plan
	}
)

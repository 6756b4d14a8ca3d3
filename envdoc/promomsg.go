package envdoc

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// The messages and commands of Promotion: a ReadDone answers each Read, a
// WriteDone each Write, and a Tick each Wait.
type (
	// Put requests that a document, encoded by EncodeBody, be stored.
	Put struct {
		Digest teaselstream.Digest
		Parts  [][]byte
	}

	// Try requests that a stored document be put into trial.
	Try struct{ Digest teaselstream.Digest }

	// Promote requests that the document in trial be put into production.
	Promote struct {
		// Digest identifies the document that the operator expects in trial.
		Digest teaselstream.Digest
		// Replaces is the production generation that the operator expects to replace; nil accepts any.
		Replaces *teaselstream.Generation
	}

	// ReadDone answers Read.
	ReadDone struct {
		Record teaselstream.Record
		// Err wraps ErrNotFound for a missing record; any other error means that the store did not answer.
		Err error
	}

	// WriteDone answers Write.
	WriteDone struct {
		Revision teaselstream.Revision
		// Err wraps ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
		Err error
	}

	// Read requests a record from the store.
	Read struct{ Key string }

	// Write requests a compare-and-swap in the store.
	Write struct {
		Key      string
		Expected teaselstream.Revision
		Value    []byte
	}

	// Wait requests a Tick after a duration.
	Wait struct{ Duration time.Duration }

	// Finish is the last command and carries the result.
	Finish struct{ Result Result }
)

// Outcome says how a put, try or promote operation ended.
type Outcome string

const (
	// Done means that the write has taken effect.
	Done Outcome = "Done"
	// Lost means that another operator's write took effect first; nothing was changed.
	Lost Outcome = "Lost"
	// StoreDown means that the store could not be reached; nothing was changed.
	StoreDown Outcome = "StoreDown"
	// NotInTrial means that a different document or none is in trial; nothing was changed.
	NotInTrial Outcome = "NotInTrial"
	// NotStored means that the document is not in the store; nothing was changed.
	NotStored Outcome = "NotStored"
	// Malformed means that a record in the store cannot be decoded; nothing was changed.
	Malformed Outcome = "Malformed"
	// Unsettled means that the answer to the write was lost and that reads of the store did not show whether it took effect.
	Unsettled Outcome = "Unsettled"
)

// Result is the result of a put, try or promote operation.
type Result struct {
	Outcome Outcome
	// Slot is the record that this operation wrote or tried to write.
	Slot Slot
	// Current is the record in the slot, or the one that prevented the operation.
	Current Slot
	Cause   error
}

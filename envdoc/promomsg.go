package envdoc

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// The messages and commands of Promotion; each Read and Write is answered by
// a ReadDone or WriteDone, and each Wait by a Tick.
type (
	// Put asks to store a document, encoded by EncodeBody.
	Put struct {
		Digest teaselstream.Digest
		Parts  [][]byte
	}

	// Try asks to put a stored document into trial.
	Try struct{ Digest teaselstream.Digest }

	// Promote asks to put the document in trial into production.
	Promote struct {
		// Digest names the document that the operator expects in trial.
		Digest teaselstream.Digest
		// Replaces names the production generation that the operator expects; nil accepts the current one.
		Replaces *teaselstream.Generation
	}

	// ReadDone answers Read.
	ReadDone struct {
		Record teaselstream.Record
		// Err wraps ErrNotFound, or any other error for a store that did not answer.
		Err error
	}

	// WriteDone answers Write.
	WriteDone struct {
		Revision teaselstream.Revision
		// Err wraps ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
		Err error
	}

	// Read asks for a record of the store.
	Read struct{ Key string }

	// Write asks for a compare-and-swap.
	Write struct {
		Key      string
		Expected teaselstream.Revision
		Value    []byte
	}

	// Wait asks for a Tick after a time.
	Wait struct{ Duration time.Duration }

	// Finish is the last command.
	Finish struct{ Result Result }
)

// Outcome says how a put, try or promotion ended.
type Outcome string

const (
	// Done means that the write is in force.
	Done Outcome = "Done"
	// Lost means that another operator's write is in force instead; nothing was changed.
	Lost Outcome = "Lost"
	// StoreDown means that the store could not be reached; nothing was changed.
	StoreDown Outcome = "StoreDown"
	// NotInTrial means that another document, or none, is in trial; nothing was changed.
	NotInTrial Outcome = "NotInTrial"
	// NotStored means that the document was not put into the store; nothing was changed.
	NotStored Outcome = "NotStored"
	// Malformed means that a record of the store cannot be read; nothing was changed.
	Malformed Outcome = "Malformed"
	// Unsettled means that the answer of the write is lost and the store could not be read since.
	Unsettled Outcome = "Unsettled"
)

// Result is the end of a put, try or promotion.
type Result struct {
	Outcome Outcome
	// Slot is the record that this operation wrote, or wanted to write.
	Slot Slot
	// Current is the record that won, or that is in the way.
	Current Slot
	Cause   error
}

package crash

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Lost reports that a server ended while a request of this VM was on it without an answer.
	Lost struct {
		Request     teaselstream.AttemptID
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Traits      []Trait
		// Begun reports that the response had started.
		Begun bool
	}

	// Answered reports that a server answered a request of this VM, or wrote enough of the answer to show that the request
	// does not crash it.
	Answered struct{ Traits []Trait }

	// ReportRead carries the report of another VM.
	ReportRead struct{ Report Report }

	// RecordRead carries the signatures that the store keeps. At is the place of their last write, with revision 0 if the store has no
	// record.
	RecordRead struct {
		Record Record
		At     teaselstream.Position
	}

	// Peers carries the names of all VMs, this one included.
	Peers struct {
		Self teaselstream.VMID
		VMs  []teaselstream.VMID
	}

	// Report is what one VM has seen lately; it is stored under the VM's lease.
	Report struct {
		Suspicions []Suspicion
		Cleared    []Clearance
		// WrittenAt is when the report was written, in Unix seconds; a VM that starts may read an old one.
		WrittenAt int64
	}

	// Suspicion is a request that was on a server when the server ended.
	Suspicion struct {
		Request     teaselstream.AttemptID
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Traits      []Trait
		Begun       bool
		// Age is the time from the loss to the report.
		Age time.Duration
	}

	// Clearance is a trait of a request that a server has answered.
	Clearance struct {
		Trait Trait
		// Age is the time from the answer to the report.
		Age time.Duration
	}

	// Record holds the signatures that outlast the VMs.
	Record struct {
		Signatures []RecordedSignature
	}

	// RecordedSignature is a signature with the time at which it was found, in Unix seconds.
	RecordedSignature struct {
		Signature
		FoundAt int64
	}

	// PublishReport replaces this VM's report in the store.
	PublishReport struct{ Report Report }

	// WriteRecord replaces the record in the store if it is still at the given revision; 0 means that there is none yet.
	WriteRecord struct {
		Record   Record
		Revision teaselstream.Revision
	}

	// PublishQuarantine replaces the set that request handlers read.
	PublishQuarantine struct{ Quarantine *Quarantine }

	// LogSignature is a signature that came into force or ended, to write to the log.
	LogSignature struct {
		Signature Signature
		// Found is false if the signature ended.
		Found bool
		// Servers lists the servers that ended with a request that has the signature, and Begun is the number of those that had begun to
		// answer such a request.
		Servers []teaselstream.ServerID
		Begun   int
	}
)

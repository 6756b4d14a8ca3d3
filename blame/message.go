package blame

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// Messages about the requests of this VM.
type (
	// CheckStart asks whether a request may start on servers that it did not use before. The answer is Run, Wait or
	// Refuse; it comes at once, or after the permits that the request needs have been requested.
	CheckStart struct {
		Request     teaselstream.RequestID
		Fingerprint Fingerprint
		Servers     []teaselstream.ServerID
	}

	// Lost reports that a server was lost while a request ran on it.
	Lost struct {
		Request     teaselstream.RequestID
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Domain      teaselstream.DomainID
		// Tokens is the number of answer tokens so far, including those of earlier attempts.
		Tokens int
		// Planned says that the server was shutting down, so that the request did not cause the loss.
		Planned bool
	}

	// Progress reports the number of answer tokens so far of a request that runs with permits.
	Progress struct {
		Request teaselstream.RequestID
		Tokens  int
	}

	// Completed reports that a request ended with its complete answer.
	Completed struct {
		Request teaselstream.RequestID
	}

	// Ended reports that a request ended without its complete answer, for example because its caller disconnected.
	Ended struct {
		Request teaselstream.RequestID
	}

	// Peers sets the name of this VM and the names of all live VMs, including this one.
	Peers struct {
		Self teaselstream.VMID
		Live []teaselstream.VMID
	}

	// Tick issues due verdicts, drops expired records and permits, and treats overdue permit answers as denials.
	Tick = teaselstream.Tick
)

// Messages between VMs. Each command of this group arrives at the receiving VM as a message of the same type;
// To names the receiver and From the sender.
type (
	// Subject names what a permit covers: one fingerprint or one server.
	Subject string

	// Suspicion tells all VMs, or one that did not hear of it, that a server was lost while a request ran on it.
	Suspicion struct {
		// To is the only receiver, or empty for all VMs.
		To          teaselstream.VMID `cbor:"-"`
		Fingerprint Fingerprint
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Domain      teaselstream.DomainID
		Tokens      int
		// Alone says that the request held the permit for the server, so that no other suspect ran on it.
		Alone bool
	}

	// Verdict tells all VMs, or one that did not hear of it, that a fingerprint crashes servers, or that it is no longer under
	// suspicion.
	Verdict struct {
		// To is the only receiver, or empty for all VMs.
		To          teaselstream.VMID `cbor:"-"`
		Fingerprint Fingerprint
		Crashes     bool
		// Losses lists the losses that the fingerprint caused if Crashes is set, and else those that it did not cause.
		Losses []Crash
	}

	// Crash identifies the loss of one incarnation of a server.
	Crash struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
	}

	// AskPermit asks the owner of a subject for its permit; there is one permit per subject.
	AskPermit struct {
		From, To teaselstream.VMID
		Subject  Subject
		Request  teaselstream.RequestID
	}

	// AnswerPermit grants or denies a permit.
	AnswerPermit struct {
		From, To teaselstream.VMID
		Subject  Subject
		Request  teaselstream.RequestID
		Granted  bool
	}

	// ReleasePermit returns a permit.
	ReleasePermit struct {
		From, To teaselstream.VMID
		Subject  Subject
		Request  teaselstream.RequestID
	}
)

// Commands for the requests of this VM.
type (
	// Run allows a request to start. Alone says that it holds permits and must send Progress until its tokens clear it.
	Run struct {
		Request teaselstream.RequestID
		Alone   bool
	}

	// Wait says that a request cannot start yet, for example because another suspect holds a permit. CheckStart may be
	// sent again after the delay, with other servers than those in Busy if possible.
	Wait struct {
		Request    teaselstream.RequestID
		RetryAfter time.Duration
		Busy       []teaselstream.ServerID
	}

	// Refuse ends a request whose content has crashed servers.
	Refuse struct {
		Request teaselstream.RequestID
		Code    teaselstream.Code
	}
)

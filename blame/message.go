package blame

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// Messages of this VM's own requests.
type (
	// CheckStart asks whether a request may start on servers that it did not use before.
	// Run, Wait or Refuse follows, at once or after permits were asked for.
	CheckStart struct {
		Request     teaselstream.RequestID
		Fingerprint Fingerprint
		Servers     []teaselstream.ServerID
	}

	// Lost says that a server was lost while a request ran on it.
	Lost struct {
		Request     teaselstream.RequestID
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Domain      teaselstream.DomainID
		// Tokens is the number of tokens of the answer so far, those of earlier attempts included.
		Tokens int
		// Planned says that the server was leaving, which explains the loss.
		Planned bool
	}

	// Progress reports the number of tokens so far of a request that runs alone.
	Progress struct {
		Request teaselstream.RequestID
		Tokens  int
	}

	// Completed says that a request ended with its complete answer.
	Completed struct {
		Request teaselstream.RequestID
	}

	// Ended says that a request ended in another way, for example because its caller went away.
	Ended struct {
		Request teaselstream.RequestID
	}

	// Peers gives this VM and all live VMs, itself included.
	Peers struct {
		Self teaselstream.VMID
		Live []teaselstream.VMID
	}

	// Tick forgets old records and gives up on permits that were not answered.
	Tick = teaselstream.Tick
)

// Messages between VMs; each command of this group arrives at the named VM as the message of the same type,
// with To holding the receiver and From the sender.
type (
	// Subject names what a permit covers: a fingerprint or a server.
	Subject string

	// Suspicion tells all VMs of a loss of a server and a request on it.
	Suspicion struct {
		Fingerprint Fingerprint
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Domain      teaselstream.DomainID
		Tokens      int
		// Alone says that the request ran with permits when the server was lost.
		Alone bool
	}

	// Verdict tells all VMs that a fingerprint crashes servers, or that it is cleared.
	Verdict struct {
		Fingerprint Fingerprint
		Crashes     bool
		// Losses lists the losses that the fingerprint caused, or that it did not cause if it is cleared.
		Losses []Crash
	}

	// Crash identifies a loss of a server.
	Crash struct {
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
	}

	// AskPermit asks the subject's owner for the only permit.
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

// Commands for this VM's own requests.
type (
	// Run allows a request to start; Alone asks for Progressed messages until its tokens clear it.
	Run struct {
		Request teaselstream.RequestID
		Alone   bool
	}

	// Wait says that a permit is held by another suspect; MayRun may be sent again after the delay,
	// with other servers than those in Busy if there are any.
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

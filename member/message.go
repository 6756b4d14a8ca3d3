package member

import (
	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

type (
	// DocumentAdopted gives the servers of the document in force.
	DocumentAdopted struct{ Document *teaselstream.Document }

	// ListRead answers ReadList.
	ListRead struct {
		Entries []teaselstream.ListEntry
		Err     error
	}

	// HeartbeatReceived is a heartbeat from the VM that it names.
	HeartbeatReceived struct{ Heartbeat wire.Heartbeat }

	// VMFound reports a VM whose identity is proved.
	VMFound struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Address     string
		Incarnation teaselstream.Incarnation
	}

	// NoticeReceived is a peer's report; it may have passed through several VMs.
	NoticeReceived struct {
		From   teaselstream.VMID
		Notice wire.Notice
	}

	// QuestionReceived is a peer's question about a VM.
	QuestionReceived struct {
		From     teaselstream.VMID
		Question wire.Question
	}

	// ReplyReceived answers Ask.
	ReplyReceived struct {
		From  teaselstream.VMID
		Reply wire.Reply
	}

	// GoodbyeReceived means that a VM has stopped as planned.
	GoodbyeReceived struct{ Goodbye wire.Goodbye }

	// UseResult reports one use of a backend server by this VM's traffic.
	UseResult struct {
		Server teaselstream.ServerID
		OK     bool
		// Refused means that the connection was refused or reset, so that the server cannot have been only slow.
		Refused bool
	}

	// LoadRead answers PollLoad and ProbeServer, or carries load from a server's answer.
	LoadRead struct {
		Server  teaselstream.ServerID
		Load    teaselstream.Load
		Err     error
		Refused bool
	}

	// Stopping makes this VM tell its peers that it leaves.
	Stopping struct{}

	// Generations gives the documents in force for the next heartbeats.
	Generations struct {
		Of []wire.SlotGeneration
		// Push sends a heartbeat to all neighbours at once.
		Push bool
		// PushTo, if not empty, sends a heartbeat to this VM at once.
		PushTo teaselstream.VMID
	}

	// SendHeartbeat sends a heartbeat to a neighbour.
	SendHeartbeat struct {
		To        teaselstream.VMID
		Heartbeat wire.Heartbeat
	}

	// SendNotice forwards reports to a neighbour at once.
	SendNotice struct {
		To      teaselstream.VMID
		Notices []wire.Notice
	}

	// Ask sends a question about a silent VM.
	Ask struct {
		To       teaselstream.VMID
		Question wire.Question
	}

	// Answer answers a question.
	Answer struct {
		To    teaselstream.VMID
		Reply wire.Reply
	}

	// ProbeServer asks a suspect or dead server for its load; LoadRead answers.
	ProbeServer struct {
		Server  teaselstream.ServerID
		Address string
	}

	// PollLoad asks a server for its load; LoadRead answers.
	PollLoad struct {
		Server  teaselstream.ServerID
		Address string
	}

	// ReadList asks for the platform's list; ListRead answers.
	ReadList struct{}

	// PeersChanged reports that the set of live VMs changed.
	PeersChanged struct{}

	// ServersChanged reports that the state of a server changed.
	ServersChanged struct {
		// Set reports that a server came, went or has a new incarnation.
		Set bool
	}

	// Suspicion tells the other VMs that this one has a server on probation; no cause ends it.
	Suspicion struct {
		Server teaselstream.ServerID
		Cause  string
	}

	// Suspected is another VM's Suspicion.
	Suspected struct {
		VM          teaselstream.VMID
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Cause       string
	}
)

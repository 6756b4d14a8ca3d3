package member

import (
	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

type (
	// DocumentAdopted carries the document in force, which lists the backend servers.
	DocumentAdopted struct{ Document *teaselstream.Document }

	// ListRead answers ReadList.
	ListRead struct {
		Entries []teaselstream.ListEntry
		Err     error
	}

	// HeartbeatReceived carries a heartbeat that was sent by the VM that it names.
	HeartbeatReceived struct{ Heartbeat wire.Heartbeat }

	// VMAuthenticated reports a VM that has proved its identity on a link.
	VMAuthenticated struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Address     string
		Incarnation teaselstream.Incarnation
	}

	// NoticeReceived carries a notice from a peer, which may have passed through several VMs.
	NoticeReceived struct {
		From   teaselstream.VMID
		Notice wire.Notice
	}

	// QuestionReceived carries a peer's question whether this VM has heard from a VM.
	QuestionReceived struct {
		From     teaselstream.VMID
		Question wire.Question
	}

	// ReplyReceived answers SendQuestion.
	ReplyReceived struct {
		From  teaselstream.VMID
		Reply wire.Reply
	}

	// GoodbyeReceived reports that a VM has ended its planned stop.
	GoodbyeReceived struct{ Goodbye wire.Goodbye }

	// RequestResult reports the outcome of one request of this VM's traffic to a backend server.
	RequestResult struct {
		Server teaselstream.ServerID
		OK     bool
		// Refused means that the connection was refused or reset, so that the server is not merely slow.
		Refused bool
	}

	// LoadRead answers PollLoad and ProbeServer, or carries the load that a server stated in an answer to traffic.
	LoadRead struct {
		Server  teaselstream.ServerID
		Load    teaselstream.Load
		Err     error
		Refused bool
	}

	// SetLeaving makes this VM tell its peers that it is leaving, also on later heartbeats.
	SetLeaving struct{}

	// Generations sets the generations of the documents in force that heartbeats state.
	Generations struct {
		List []wire.SlotGeneration
		// Push sends a heartbeat to all neighbours at once.
		Push bool
		// PushTo, if not empty, sends a heartbeat to this VM at once.
		PushTo teaselstream.VMID
	}

	// SendHeartbeat sends a heartbeat to a VM.
	SendHeartbeat struct {
		To        teaselstream.VMID
		Heartbeat wire.Heartbeat
	}

	// SendNotices sends notices to a VM at once.
	SendNotices struct {
		To      teaselstream.VMID
		Notices []wire.Notice
	}

	// SendQuestion asks a VM whether it has heard from a silent one.
	SendQuestion struct {
		To       teaselstream.VMID
		Question wire.Question
	}

	// SendReply sends the reply to a question.
	SendReply struct {
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

	// ReadList reads the platform's list; ListRead answers.
	ReadList struct{}

	// PeersChanged reports that the set of live VMs changed, or that a live VM began to leave.
	PeersChanged struct{}

	// ServersChanged reports that the state of a server changed.
	ServersChanged struct {
		// SetChanged reports that a server was added, was removed or has a new incarnation.
		SetChanged bool
	}

	// LocalSuspicion tells the other VMs that this one has a server on probation; an empty cause ends the probation.
	LocalSuspicion struct {
		Server teaselstream.ServerID
		Cause  string
	}

	// PeerSuspicion reports that another VM has a server on probation; an empty cause ends the probation.
	PeerSuspicion struct {
		VM          teaselstream.VMID
		Server      teaselstream.ServerID
		Incarnation teaselstream.Incarnation
		Cause       string
	}
)

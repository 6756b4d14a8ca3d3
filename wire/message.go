package wire

import "github.com/teaselstream/teaselstream"

type (
	// Message is one of the message types of this package.
	Message interface{ kind() Kind }

	// Kind identifies the type of a message on the wire.
	Kind uint8

	// NoticeKind says what a notice reports about its subject.
	NoticeKind uint8

	// Hello opens a handshake.
	Hello struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Incarnation teaselstream.Incarnation
		Nonce       []byte
	}

	// Proof shows knowledge of the shared secret.
	Proof struct{ MAC []byte }

	// SlotGeneration is the document that a VM has in force in one slot.
	SlotGeneration struct {
		Environment teaselstream.Environment
		Trial       bool `cbor:",omitempty"`
		Generation  teaselstream.Generation
		Digest      teaselstream.Digest
	}

	// Heartbeat shows that a VM lives and which documents it has.
	Heartbeat struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Address     string
		Incarnation teaselstream.Incarnation
		Sequence    teaselstream.Sequence
		Generations []SlotGeneration
		Load        int
		Notices     []Notice `cbor:",omitempty"`
	}

	// Notice is evidence about a VM or backend server.
	Notice struct {
		Kind        NoticeKind
		VM          bool `cbor:",omitempty"`
		Subject     string
		Source      teaselstream.VMID
		Incarnation teaselstream.Incarnation
		// Age is the time since the source saw the evidence; it grows at each hop.
		Age teaselstream.Millis
		// Sequence is that of the subject VM's last heartbeat that the source knows of.
		Sequence teaselstream.Sequence `cbor:",omitempty"`
		// Domain and Address are given for VMs only.
		Domain  teaselstream.DomainID `cbor:",omitempty"`
		Address string                `cbor:",omitempty"`
		// Cause says why a server is suspect; empty ends the suspicion.
		Cause string `cbor:",omitempty"`
	}

	// Notices carries notices that are forwarded at once.
	Notices struct{ Notices []Notice }

	// Question asks when the receiver last heard from a VM.
	Question struct{ Subject teaselstream.VMID }

	// Reply answers a Question.
	Reply struct {
		Subject teaselstream.VMID
		Heard   bool
		Age     teaselstream.Millis
	}

	// DeltaPull asks for the changes since a document.
	DeltaPull struct {
		Environment teaselstream.Environment
		Trial       bool `cbor:",omitempty"`
		Have        teaselstream.Digest
	}

	// Delta is a step from one document to another.
	Delta struct {
		Environment teaselstream.Environment
		Trial       bool `cbor:",omitempty"`
		Base        teaselstream.Digest
		Generation  teaselstream.Generation
		Digest      teaselstream.Digest
		// Sections is the encoded envdoc.Delta.
		Sections []byte
	}

	// BodyPull asks for a whole document.
	BodyPull struct {
		Environment teaselstream.Environment
		Trial       bool `cbor:",omitempty"`
	}

	// Body is one part of a whole document.
	Body struct {
		Environment teaselstream.Environment
		Trial       bool `cbor:",omitempty"`
		Generation  teaselstream.Generation
		Digest      teaselstream.Digest
		Part        int
		Parts       int
		Data        []byte
	}

	// Payload is the content of a message that other packages interpret.
	Payload struct {
		Request teaselstream.RequestID
		Attempt teaselstream.Attempt
		Data    []byte
	}

	// OrderForward carries a non-idempotent call to the preferred VM of its shard.
	OrderForward struct{ Payload }

	// OrderAnswer answers an OrderForward.
	OrderAnswer struct{ Payload }

	// Permit asks the owner of a fingerprint for permission to run a request.
	Permit struct{ Payload }

	// PermitAnswer answers a Permit.
	PermitAnswer struct{ Payload }

	// PlacedServer is a server that holds something other than its document says.
	PlacedServer struct {
		Server teaselstream.ServerID
		Layers teaselstream.LayerRange
		// Base is the document's range to which the placement refers.
		Base    teaselstream.LayerRange
		Pending bool `cbor:",omitempty"`
	}

	// Placement is the desired state of one model as its deciders wrote it.
	Placement struct {
		Model    teaselstream.ModelID
		Revision teaselstream.Revision
		Servers  []PlacedServer
	}

	// Goodbye is the last message of a VM that stops.
	Goodbye struct {
		VM          teaselstream.VMID
		Incarnation teaselstream.Incarnation
	}
)

// Kinds of messages; the numbers are part of the protocol.
const (
	KindHello Kind = iota + 1
	KindProof
	KindHeartbeat
	KindNotices
	KindQuestion
	KindReply
	KindDeltaPull
	KindDelta
	KindBodyPull
	KindBody
	KindOrderForward
	KindOrderAnswer
	KindPermit
	KindPermitAnswer
	KindGoodbye
	KindPlacement
)

// Kinds of notices; the numbers are part of the protocol.
const (
	NoticeLeaving NoticeKind = iota + 1
	NoticeDead
	NoticeAlive
	NoticeSuspect
)

func (Hello) kind() Kind        { return KindHello }
func (Proof) kind() Kind        { return KindProof }
func (Heartbeat) kind() Kind    { return KindHeartbeat }
func (Notices) kind() Kind      { return KindNotices }
func (Question) kind() Kind     { return KindQuestion }
func (Reply) kind() Kind        { return KindReply }
func (DeltaPull) kind() Kind    { return KindDeltaPull }
func (Delta) kind() Kind        { return KindDelta }
func (BodyPull) kind() Kind     { return KindBodyPull }
func (Body) kind() Kind         { return KindBody }
func (OrderForward) kind() Kind { return KindOrderForward }
func (OrderAnswer) kind() Kind  { return KindOrderAnswer }
func (Permit) kind() Kind       { return KindPermit }
func (PermitAnswer) kind() Kind { return KindPermitAnswer }
func (Goodbye) kind() Kind      { return KindGoodbye }
func (Placement) kind() Kind    { return KindPlacement }

// String returns the name of the notice kind.
func (k NoticeKind) String() string {
	switch k {
	case NoticeLeaving:
		return "Leaving"
	case NoticeDead:
		return "Dead"
	case NoticeAlive:
		return "Alive"
	case NoticeSuspect:
		return "Suspect"
	default:
		return "Unknown"
	}
}

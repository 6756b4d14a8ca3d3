package wire

import "github.com/teaselstream/teaselstream"

type (
	// Message is one of the message types of this package.
	Message interface{ kind() Kind }

	// Kind identifies the type of a message on the wire.
	Kind uint8

	// NoticeKind says what a notice reports about its subject.
	NoticeKind uint8

	// Hello is the first message of each end in the handshake.
	Hello struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Incarnation teaselstream.Incarnation
		Nonce       []byte
	}

	// Proof proves knowledge of the shared secret in the handshake.
	Proof struct{ MAC []byte }

	// SlotGeneration identifies the document that a VM uses in one slot, production or trial.
	SlotGeneration struct {
		Environment teaselstream.Environment
		Trial       bool `cbor:",omitempty"`
		Generation  teaselstream.Generation
		Digest      teaselstream.Digest
	}

	// Heartbeat shows that a VM is alive and which documents it has.
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
		// Age is the time since the source saw the evidence; it increases at each hop.
		Age teaselstream.Millis
		// Sequence is the number of the last heartbeat of the subject VM that the source knows.
		Sequence teaselstream.Sequence `cbor:",omitempty"`
		// Domain and Address are set only if the subject is a VM.
		Domain  teaselstream.DomainID `cbor:",omitempty"`
		Address string                `cbor:",omitempty"`
		// Cause says why a server is suspected; an empty cause ends the suspicion.
		Cause string `cbor:",omitempty"`
	}

	// Notices carries notices that are forwarded immediately, without waiting for a heartbeat.
	Notices struct{ Notices []Notice }

	// Question asks the receiver when it last heard from the subject VM.
	Question struct{ Subject teaselstream.VMID }

	// Reply answers a Question.
	Reply struct {
		Subject teaselstream.VMID
		Heard   bool
		Age     teaselstream.Millis
	}

	// DeltaPull requests the changes since the document that the sender has.
	DeltaPull struct {
		Environment teaselstream.Environment
		Trial       bool `cbor:",omitempty"`
		Have        teaselstream.Digest
	}

	// Delta carries the changes from the base document to another document.
	Delta struct {
		Environment teaselstream.Environment
		Trial       bool `cbor:",omitempty"`
		Base        teaselstream.Digest
		Generation  teaselstream.Generation
		Digest      teaselstream.Digest
		// Sections is an encoded envdoc.Delta.
		Sections []byte
	}

	// BodyPull requests a whole document.
	BodyPull struct {
		Environment teaselstream.Environment
		Trial       bool `cbor:",omitempty"`
	}

	// Body carries one part of a whole document.
	Body struct {
		Environment teaselstream.Environment
		Trial       bool `cbor:",omitempty"`
		Generation  teaselstream.Generation
		Digest      teaselstream.Digest
		Part        int
		Parts       int
		Data        []byte
	}

	// Payload is message content that other packages interpret.
	Payload struct {
		Request teaselstream.RequestID
		Attempt teaselstream.Attempt
		Data    []byte
	}

	// OrderForward carries a non-idempotent call to the preferred VM of its shard.
	OrderForward struct{ Payload }

	// OrderAnswer answers an OrderForward.
	OrderAnswer struct{ Payload }

	// Permit asks the VM that owns a request's fingerprint for permission to run the request.
	Permit struct{ Payload }

	// PermitAnswer answers a Permit.
	PermitAnswer struct{ Payload }

	// PlacedServer is a server whose placement differs from the document.
	PlacedServer struct {
		Server teaselstream.ServerID
		Layers teaselstream.LayerRange
		// Base is the layer range that the document gave the server when it was placed.
		Base    teaselstream.LayerRange
		Pending bool `cbor:",omitempty"`
	}

	// Placement is the desired placement of one model, as written by the VMs that decide it.
	Placement struct {
		Model    teaselstream.ModelID
		Revision teaselstream.Revision
		Servers  []PlacedServer
	}

	// Goodbye is the last message from a VM that stops.
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

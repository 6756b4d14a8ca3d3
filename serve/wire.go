package serve

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/blame"
	"github.com/teaselstream/teaselstream/wire"
)

// blameFrame is the encoding of one message of package blame between VMs; exactly one field is set.
type blameFrame struct {
	Suspicion     *blame.Suspicion     `cbor:",omitempty"`
	Verdict       *blame.Verdict       `cbor:",omitempty"`
	AskPermit     *blame.AskPermit     `cbor:",omitempty"`
	AnswerPermit  *blame.AnswerPermit  `cbor:",omitempty"`
	ReleasePermit *blame.ReleasePermit `cbor:",omitempty"`
}

// EncodeBlameMessage encodes a command of package blame as a peer message and returns it with the VM that it is for;
// an empty VM means all VMs.
func EncodeBlameMessage(c teaselstream.Cmd) (teaselstream.VMID, wire.Message, error) {
	var f blameFrame
	var to teaselstream.VMID
	switch c := c.(type) {
	case blame.Suspicion:
		f.Suspicion, to = &c, c.To
	case blame.Verdict:
		f.Verdict, to = &c, c.To
	case blame.AskPermit:
		f.AskPermit, to = &c, c.To
	case blame.AnswerPermit:
		f.AnswerPermit, to = &c, c.To
	case blame.ReleasePermit:
		f.ReleasePermit, to = &c, c.To
	default:
		return "", nil, fmt.Errorf("encode %T: not a message that VMs exchange", c)
	}
	data, err := cbor.Marshal(f)
	if err != nil {
		return "", nil, fmt.Errorf("encode %T: %w", c, err)
	}
	if f.AnswerPermit != nil {
		return to, wire.PermitAnswer{Payload: wire.Payload{Data: data}}, nil
	}
	return to, wire.Permit{Payload: wire.Payload{Data: data}}, nil
}

// ReceiveBlameMessage handles a peer message made by EncodeBlameMessage; it rejects one that names another sender.
func (s *Service) ReceiveBlameMessage(from teaselstream.VMID, data []byte) error {
	var f blameFrame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return fmt.Errorf("decode message from %s: %w", from, err)
	}
	var m teaselstream.Msg
	sender := from
	switch {
	case f.Suspicion != nil:
		m = *f.Suspicion
	case f.Verdict != nil:
		m = *f.Verdict
	case f.AskPermit != nil:
		m, sender = *f.AskPermit, f.AskPermit.From
	case f.AnswerPermit != nil:
		m, sender = *f.AnswerPermit, f.AnswerPermit.From
	case f.ReleasePermit != nil:
		m, sender = *f.ReleasePermit, f.ReleasePermit.From
	default:
		return fmt.Errorf("decode message from %s: no field is set", from)
	}
	if sender != from {
		return fmt.Errorf("message from %s names %s as its sender", from, sender)
	}
	s.crashGuard.notify(time.Now(), m)
	return nil
}

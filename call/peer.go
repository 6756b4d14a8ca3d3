package call

import (
	"errors"
	"fmt"
	"log/slog"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/order"
	"github.com/teaselstream/teaselstream/wire"
)

var errNoLinks = errors.New("no connections to other VMs")

// Receive handles a message from another VM; messages about other things than orders are ignored.
func (h *Handler) Receive(from teaselstream.VMID, m wire.Message) {
	if h.runner == nil {
		return
	}
	switch m := m.(type) {
	case wire.OrderForward:
		var c order.PeerCall
		if err := cbor.Unmarshal(m.Data, &c); err != nil || c.From != from {
			slog.Warn("malformed forwarded order", "from", from, "error", err)
			return
		}
		r := order.ForwardReceived{Call: c}
		if s := h.options.Snapshot(); s != nil && s.Document != nil {
			r.Service, r.Known = s.Document.Services[c.Service]
		}
		h.runner.post(r)
	case wire.OrderAnswer:
		var a order.PeerAnswer
		if err := cbor.Unmarshal(m.Data, &a); err != nil {
			slog.Warn("malformed answer to an order", "from", from, "error", err)
			return
		}
		h.runner.post(order.ForwardAnswered{From: from, Answer: a})
	}
}

func payload(r teaselstream.RequestID, v any) wire.Payload {
	b, err := cbor.Marshal(v)
	if err != nil {
		// Encoding fails only for types that CBOR cannot express, which is a bug in this package.
		panic(fmt.Errorf("encode %T: %w", v, err))
	}
	return wire.Payload{Request: r, Data: b}
}

// sendPeer sends a message to another VM; an error guarantees that the message was not sent.
func (s *runner) sendPeer(to teaselstream.VMID, m wire.Message) error {
	if s.h.options.SendPeer == nil {
		return errNoLinks
	}
	return s.h.options.SendPeer(to, m)
}

// answerForward answers a call that another VM forwarded; an answer larger than a frame is replaced by an error.
func (s *runner) answerForward(c order.AnswerForward) {
	err := s.sendPeer(c.To, wire.OrderAnswer{Payload: payload("", c.Answer)})
	if errors.Is(err, wire.ErrTooLarge) {
		short := order.PeerAnswer{
			ID: c.Answer.ID, Incarnation: c.Answer.Incarnation, Kind: order.Failed,
			Code: teaselstream.CodeTooLarge, Outcome: teaselstream.Ran, Message: "the answer exceeds a peer frame",
		}
		err = s.sendPeer(c.To, wire.OrderAnswer{Payload: payload("", short)})
	}
	if err != nil {
		slog.Debug("order not answered", "to", c.To, "error", err)
	}
}

package relay

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

func (r *Relay) handleToken(now time.Time, e *teaselstream.TokenEvent) {
	if r.config.Faults.Has(invar.IgnoreAttempt) {
		r.acceptToken(now, e)
		return
	}
	if !r.isCurrent(e.Request, e.Attempt) {
		r.counts.Stale++
		return
	}
	switch {
	case e.Sequence <= r.sequence:
		r.counts.Duplicate++
		return
	case e.Sequence > r.sequence+1:
		r.holdBack(now, copyToken(e))
		return
	}
	r.acceptToken(now, e)
	r.releaseHeld(now)
}

// isCurrent reports whether a frame belongs to this request and its current attempt.
func (r *Relay) isCurrent(id teaselstream.RequestID, a teaselstream.Attempt) bool {
	return r.state == streaming && id == r.config.Request.Request && a == r.attempt
}

// acceptToken checks the token that is next in sequence and delivers it.
func (r *Relay) acceptToken(now time.Time, e *teaselstream.TokenEvent) {
	r.sequence = e.Sequence
	next := teaselstream.TokenIndex(len(r.emitted))
	if !r.config.Faults.Has(invar.IgnoreAttempt) && e.Index != next {
		if e.Index < next {
			r.counts.Duplicate++
			r.noteProgress(now)
			return
		}
		r.replaceServer(now, r.headServer(), BadOrder)
		return
	}
	if !r.config.Faults.Has(invar.SkipReceipts) && !ReceiptsCover(e.Receipts, r.config.Layers) {
		r.replaceServer(now, r.mismatchedServer(e.Receipts), BadReceipts)
		return
	}
	if !r.checkInvariants(e, next) {
		r.finishWithError(teaselstream.CodeInternal, "an invariant was violated", 0)
		return
	}
	r.noteProgress(now)
	r.received++
	r.attemptsWithoutToken = 0
	r.emitted = append(r.emitted, e.Text)
	r.tokenCmd = EmitToken{Index: next, Text: e.Text}
	r.command(&r.tokenCmd)
	r.refreshExports()
}

// checkInvariants checks a token at its delivery independently of the filters, which an injected fault can turn off.
func (r *Relay) checkInvariants(e *teaselstream.TokenEvent, next teaselstream.TokenIndex) bool {
	v := r.config.Invariants
	if !ReceiptsCover(e.Receipts, r.config.Layers) {
		return v.Check(false, invar.LayerCoverage, "request %s token %d: receipts %v do not cover %d layers",
			r.config.Request.Request, e.Index, e.Receipts, r.config.Layers)
	}
	if e.Request != r.config.Request.Request || e.Attempt != r.attempt || e.Index != next || r.state != streaming {
		return v.Check(false, invar.AnswerOwnership, "request %s attempt %d token %d got request %s attempt %d token %d",
			r.config.Request.Request, r.attempt, next, e.Request, e.Attempt, e.Index)
	}
	return true
}

// ReceiptsCover reports whether receipts cover the layers [0, n) exactly once and in order.
func ReceiptsCover(receipts []teaselstream.Receipt, n teaselstream.Layer) bool {
	var at teaselstream.Layer
	for _, x := range receipts {
		if x.From != at || x.To <= x.From {
			return false
		}
		at = x.To
	}
	return at == n
}

// mismatchedServer returns the server of the first hop that has no matching receipt.
func (r *Relay) mismatchedServer(receipts []teaselstream.Receipt) teaselstream.ServerID {
	for i, h := range r.plan.Chain {
		if i >= len(receipts) || receipts[i] != (teaselstream.Receipt{Server: h.Server, From: h.From, To: h.To}) {
			return h.Server
		}
	}
	return r.headServer()
}

// holdBack keeps a frame until the earlier frames of its attempt have arrived.
func (r *Relay) holdBack(now time.Time, m teaselstream.Msg) {
	if len(r.heldFrames) >= maxHeldFrames {
		r.replaceServer(now, r.headServer(), BadOrder)
		return
	}
	r.counts.Reordered++
	r.heldFrames = append(r.heldFrames, m)
}

// releaseHeld handles the held frames that are next in sequence.
func (r *Relay) releaseHeld(now time.Time) {
	for i := 0; i < len(r.heldFrames) && r.state == streaming; i++ {
		if sequenceOf(r.heldFrames[i]) > r.sequence+1 {
			continue
		}
		m := r.heldFrames[i]
		r.heldFrames = slices.Delete(r.heldFrames, i, i+1)
		switch m := m.(type) {
		case *teaselstream.TokenEvent:
			if m.Sequence <= r.sequence {
				r.counts.Duplicate++
			} else {
				r.acceptHeld(now, m)
			}
		case teaselstream.DoneEvent:
			r.handleDone(now, m)
		}
		i = -1
	}
}

// acceptHeld accepts a held token. One Update may deliver several, so it copies an earlier command out of the shared tokenCmd.
func (r *Relay) acceptHeld(now time.Time, e *teaselstream.TokenEvent) {
	for i, c := range r.cmds {
		if c == teaselstream.Cmd(&r.tokenCmd) {
			first := r.tokenCmd
			r.cmds[i] = &first
		}
	}
	r.acceptToken(now, e)
}

func sequenceOf(m teaselstream.Msg) teaselstream.Sequence {
	switch m := m.(type) {
	case *teaselstream.TokenEvent:
		return m.Sequence
	case teaselstream.DoneEvent:
		return m.Sequence
	}
	return 0
}

// copyToken copies a token event, because the event that Update gets is overwritten after the call.
func copyToken(e *teaselstream.TokenEvent) *teaselstream.TokenEvent {
	c := *e
	c.Receipts = slices.Clone(e.Receipts)
	return &c
}

func (r *Relay) countLateFrame(m teaselstream.Msg) {
	switch m.(type) {
	case *teaselstream.TokenEvent, teaselstream.DoneEvent, teaselstream.LostEvent:
		r.counts.Stale++
	}
}

package relay

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

func (r *Relay) token(now time.Time, e *teaselstream.TokenEvent) {
	if r.config.Faults.Has(invar.IgnoreAttempt) {
		r.accept(now, e)
		return
	}
	if !r.mine(e.Request, e.Attempt) {
		r.counts.Stale++
		return
	}
	switch {
	case e.Sequence <= r.sequence:
		r.counts.Duplicate++
		return
	case e.Sequence > r.sequence+1:
		r.hold(now, copyToken(e))
		return
	}
	r.accept(now, e)
	r.releaseHeld(now)
}

// mine reports whether a frame belongs to this request and its current attempt.
func (r *Relay) mine(id teaselstream.RequestID, a teaselstream.Attempt) bool {
	return r.state == streaming && id == r.config.Request.Request && a == r.attempt
}

// accept takes the token that is next in sequence.
func (r *Relay) accept(now time.Time, e *teaselstream.TokenEvent) {
	r.sequence = e.Sequence
	next := teaselstream.TokenIndex(len(r.emitted))
	if !r.config.Faults.Has(invar.IgnoreAttempt) && e.Index != next {
		if e.Index < next {
			r.counts.Duplicate++
			r.progress = now
			return
		}
		r.replace(now, r.head(), BadOrder)
		return
	}
	if !r.config.Faults.Has(invar.SkipReceipts) && !ReceiptsCover(e.Receipts, r.config.Layers) {
		r.replace(now, r.wrongServer(e.Receipts), BadReceipts)
		return
	}
	if !r.verify(e, next) {
		r.fail(teaselstream.CodeInternal, "an invariant was violated", 0)
		return
	}
	r.progress = now
	r.probed = false
	r.received++
	r.fruitless = 0
	r.emitted = append(r.emitted, e.Text)
	r.emit = EmitToken{Index: next, Text: e.Text}
	r.put(&r.emit)
	r.renewExports()
}

// verify checks the invariants of a token at its delivery, independently of the filters above.
func (r *Relay) verify(e *teaselstream.TokenEvent, next teaselstream.TokenIndex) bool {
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

// wrongServer returns the server of the first stage whose receipt differs from the chain.
func (r *Relay) wrongServer(receipts []teaselstream.Receipt) teaselstream.ServerID {
	for i, h := range r.plan.Chain {
		if i >= len(receipts) || receipts[i] != (teaselstream.Receipt{Server: h.Server, From: h.From, To: h.To}) {
			return h.Server
		}
	}
	return r.head()
}

// hold keeps a frame that came before an earlier one of its attempt.
func (r *Relay) hold(now time.Time, m teaselstream.Msg) {
	if len(r.held) >= maxHeld {
		r.replace(now, r.head(), BadOrder)
		return
	}
	r.counts.Reordered++
	r.held = append(r.held, m)
}

func (r *Relay) releaseHeld(now time.Time) {
	for i := 0; i < len(r.held) && r.state == streaming; i++ {
		if sequenceOf(r.held[i]) > r.sequence+1 {
			continue
		}
		m := r.held[i]
		r.held = slices.Delete(r.held, i, i+1)
		switch m := m.(type) {
		case *teaselstream.TokenEvent:
			if m.Sequence <= r.sequence {
				r.counts.Duplicate++
			} else {
				r.emitHeld(now, m)
			}
		case teaselstream.DoneEvent:
			r.done(now, m)
		}
		i = -1
	}
}

// emitHeld accepts a held token, with a command of its own since one Update may yield several.
func (r *Relay) emitHeld(now time.Time, e *teaselstream.TokenEvent) {
	for i, c := range r.cmds {
		if c == teaselstream.Cmd(&r.emit) {
			first := r.emit
			r.cmds[i] = &first
		}
	}
	r.accept(now, e)
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

func copyToken(e *teaselstream.TokenEvent) *teaselstream.TokenEvent {
	c := *e
	c.Receipts = slices.Clone(e.Receipts)
	return &c
}

func (r *Relay) countLate(m teaselstream.Msg) {
	switch m.(type) {
	case *teaselstream.TokenEvent, teaselstream.DoneEvent, teaselstream.LostEvent:
		r.counts.Stale++
	}
}

package envdoc

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// maxSettles bounds the reads after a lost answer: with doubling waits from 100 ms it gives up after about 13 s.
	maxSettles = 8
	firstWait  = 100 * time.Millisecond
)

type (
	// Promotion is the state machine of one put, try or promotion.
	//
	// A write whose answer is lost is repeated with the same expected revision
	// only, so that it takes effect at most once, and the operation id in the
	// slot tells whose write won. Before production's slot is replaced, its
	// record is kept in the history, so that the history has no gaps and
	// settles the case that a later promotion has replaced ours already.
	Promotion struct {
		c     PromotionConfig
		phase phase
		parts [][]byte
		// key is the slot's key.
		key  string
		want Promote
		slot Slot
		// old is the slot to replace, and expected its revision.
		old      teaselstream.Record
		oldSlot  Slot
		expected teaselstream.Revision
		// uncertain is true once an answer of the slot's write was lost.
		uncertain bool
		settles   int
		// current is the newest slot seen while settling.
		current Slot
	}

	// PromotionConfig says who acts in which environment.
	PromotionConfig struct {
		Environment teaselstream.Environment
		Writer      string
		// Operation must be unique for each put, try or promotion.
		Operation string
	}

	phase uint8
)

const (
	idle phase = iota
	writingParts
	readingBody
	readingTrial
	readingSlot
	keepingOld
	writingSlot
	settling
	readingHistory
	waiting
	keepingNew
	finished
)

var _ teaselstream.Core = (*Promotion)(nil)

// NewPromotion returns a state machine that expects one Put, Try or Promote.
func NewPromotion(c PromotionConfig) *Promotion { return &Promotion{c: c} }

// Update applies one message and returns the store calls that follow, or Finish.
func (p *Promotion) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch x := m.(type) {
	case Put:
		p.slot.Digest, p.parts = x.Digest, x.Parts
		return p.writePart()
	case Try:
		p.want.Digest, p.key = x.Digest, TrialKey(p.c.Environment)
		return p.read(readingBody, BodyKey(p.c.Environment, x.Digest))
	case Promote:
		p.want, p.key = x, ProdKey(p.c.Environment)
		return p.read(readingTrial, TrialKey(p.c.Environment))
	case ReadDone:
		return p.readDone(now, x)
	case WriteDone:
		return p.writeDone(x)
	case teaselstream.Tick:
		if p.phase == waiting {
			return p.read(settling, p.key)
		}
	}
	return nil
}

func (p *Promotion) read(next phase, key string) []teaselstream.Cmd {
	p.phase = next
	return []teaselstream.Cmd{Read{Key: key}}
}

func (p *Promotion) write(next phase, key string, expected teaselstream.Revision, value []byte) []teaselstream.Cmd {
	p.phase = next
	return []teaselstream.Cmd{Write{Key: key, Expected: expected, Value: value}}
}

func (p *Promotion) finish(v Outcome, current Slot, cause error) []teaselstream.Cmd {
	p.phase = finished
	return []teaselstream.Cmd{Finish{Result: Result{Outcome: v, Slot: p.slot, Current: current, Cause: cause}}}
}

// promoting reports whether the operation writes production's slot, which has a history.
func (p *Promotion) promoting() bool { return p.key == ProdKey(p.c.Environment) }

// writePart writes the parts from the last to the first, so that a first record implies that all others are there.
func (p *Promotion) writePart() []teaselstream.Cmd {
	n := len(p.parts) - 1
	if n < 0 {
		return p.finish(Done, Slot{}, nil)
	}
	return p.write(writingParts, PartKey(p.c.Environment, p.slot.Digest, n), 0, p.parts[n])
}

// writeSlot writes the slot, again after a lost answer.
func (p *Promotion) writeSlot() []teaselstream.Cmd {
	data, err := p.slot.Encode()
	if err != nil {
		return p.finish(Malformed, Slot{}, err)
	}
	return p.write(writingSlot, p.key, p.expected, data)
}

// retryLater waits before the slot is read again, and gives up after maxSettles waits.
func (p *Promotion) retryLater(cause error) []teaselstream.Cmd {
	if p.settles >= maxSettles && !p.uncertain {
		return p.finish(StoreDown, Slot{}, cause)
	}
	if p.settles >= maxSettles {
		return p.finish(Unsettled, Slot{}, cause)
	}
	d := firstWait << min(p.settles, 5)
	p.settles++
	p.phase = waiting
	return []teaselstream.Cmd{Wait{Duration: d}}
}

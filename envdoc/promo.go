package envdoc

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// maxRetries bounds the reads and repeated writes after a lost answer. The waits before reads double from 100 ms to
	// 3.2 s, so the operation gives up after about 13 s.
	maxRetries   = 8
	firstBackoff = 100 * time.Millisecond
)

type (
	// Promotion is the state machine of one put, try or promote operation.
	//
	// A write whose answer is lost is retried only with the same expected
	// revision, so it takes effect at most once. The operation id in the slot
	// tells whose write succeeded. Before the production slot is replaced, its
	// record is copied to the history. The history therefore has no gaps, and
	// it shows whether a write succeeded that a later promotion has replaced.
	Promotion struct {
		config PromotionConfig
		phase  phase
		parts  [][]byte
		// key is the store key of the slot to write.
		key       string
		requested Promote
		slot      Slot
		// old is the record of the slot to replace, and expected is its revision.
		old      teaselstream.Record
		oldSlot  Slot
		expected teaselstream.Revision
		// answerLost is true once the answer to a write of the slot was lost.
		answerLost bool
		retries    int
		// current is the newest slot that was read back after the write.
		current Slot
	}

	// PromotionConfig identifies the environment, the operator and the operation.
	PromotionConfig struct {
		Environment teaselstream.Environment
		Writer      string
		// Operation must be unique for each put, try or promote operation.
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
	archivingOld
	writingSlot
	verifying
	readingHistory
	waiting
	archivingNew
	finished
)

var _ teaselstream.Core = (*Promotion)(nil)

// NewPromotion returns a state machine that accepts one Put, Try or Promote.
func NewPromotion(config PromotionConfig) *Promotion { return &Promotion{config: config} }

// Update applies one message and returns the store calls that follow, or Finish.
func (p *Promotion) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch x := m.(type) {
	case Put:
		p.slot.Digest, p.parts = x.Digest, x.Parts
		return p.writePart()
	case Try:
		p.requested.Digest, p.key = x.Digest, TrialKey(p.config.Environment)
		return p.read(readingBody, BodyKey(p.config.Environment, x.Digest))
	case Promote:
		p.requested, p.key = x, ProdKey(p.config.Environment)
		return p.read(readingTrial, TrialKey(p.config.Environment))
	case ReadDone:
		return p.readDone(now, x)
	case WriteDone:
		return p.writeDone(x)
	case teaselstream.Tick:
		if p.phase == waiting {
			return p.read(verifying, p.key)
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

// promoting reports whether the operation writes the production slot, which has a history.
func (p *Promotion) promoting() bool { return p.key == ProdKey(p.config.Environment) }

// writePart writes the last part that is not stored yet; the first record is written last, so it implies that all other parts exist.
func (p *Promotion) writePart() []teaselstream.Cmd {
	n := len(p.parts) - 1
	if n < 0 {
		return p.finish(Done, Slot{}, nil)
	}
	return p.write(writingParts, PartKey(p.config.Environment, p.slot.Digest, n), 0, p.parts[n])
}

// writeSlot writes the slot; it is also the retry after a lost answer.
func (p *Promotion) writeSlot() []teaselstream.Cmd {
	data, err := p.slot.Encode()
	if err != nil {
		return p.finish(Malformed, Slot{}, err)
	}
	return p.write(writingSlot, p.key, p.expected, data)
}

// waitAndVerify waits before it reads the slot again, and gives up after maxRetries waits.
func (p *Promotion) waitAndVerify(cause error) []teaselstream.Cmd {
	if p.retries >= maxRetries && !p.answerLost {
		return p.finish(StoreDown, Slot{}, cause)
	}
	if p.retries >= maxRetries {
		return p.finish(Unsettled, Slot{}, cause)
	}
	d := firstBackoff << min(p.retries, 5)
	p.retries++
	p.phase = waiting
	return []teaselstream.Cmd{Wait{Duration: d}}
}

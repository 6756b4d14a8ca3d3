package memory

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/teaselstream/teaselstream"
)

// DefaultLimit is the limit of a Budget without one. It is an eighth of the 256 MB that a small VM has.
const DefaultLimit teaselstream.Bytes = 32 << 20

// ErrEnded reports that a message was given up because all messages together exceeded the limit and it was the largest.
var ErrEnded = errors.New("message is given up: messages exceed the memory for them")

type (
	// Budget bounds the bytes of all messages that are held. Once they exceed the limit, the largest message that is still being read is
	// ended, and the oldest of several. Its zero value has DefaultLimit; a nil Budget has no limit. It is safe for concurrent use.
	Budget struct {
		mu    sync.Mutex
		limit teaselstream.Bytes
		used  teaselstream.Bytes
		// holders maps each message that is held to its number, in the order of their opening.
		holders map[*Holder]uint64
		opened  uint64
	}

	// Holder counts the bytes of one message. A nil Holder counts nothing.
	Holder struct {
		budget *Budget
		held   teaselstream.Bytes
		end    func()
		// kept means that the message is whole and is not ended any more.
		kept bool
		// closed means that the message no longer counts, and ended that the budget has ended it.
		closed, ended bool
	}

	// reader counts what is read from another reader.
	reader struct {
		io.Reader
		holder *Holder
	}
)

// SetLimit sets the bytes that all messages may have together; 0 means DefaultLimit.
func (b *Budget) SetLimit(n teaselstream.Bytes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = n
}

// Open starts counting a message. The function end is called in a goroutine of its own if the message is given up; it stops its sender.
func (b *Budget) Open(end func()) *Holder {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Holder{budget: b, end: end}
	if b.holders == nil {
		b.holders = make(map[*Holder]uint64)
	}
	b.opened++
	b.holders[h] = b.opened
	return h
}

// Used returns the bytes of all messages that are held.
func (b *Budget) Used() teaselstream.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Grow counts n more bytes. The error wraps ErrEnded if the message was given up, now or before.
func (h *Holder) Grow(n int) error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.closed {
		h.held += teaselstream.Bytes(n)
		b.used += teaselstream.Bytes(n)
	}
	limit := b.limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	for b.used > limit {
		largest := b.largest()
		if largest == nil {
			break
		}
		largest.ended = true
		if largest != h && largest.end != nil {
			go largest.end()
		}
		b.release(largest)
	}
	if h.ended {
		return fmt.Errorf("count message: %w", ErrEnded)
	}
	return nil
}

// Keep marks a message that is whole. It goes on counting, but is not given up any more.
func (h *Holder) Keep() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.kept = true
}

// Shrink counts n bytes less, which are no longer held.
func (h *Holder) Shrink(n int) {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	less := min(teaselstream.Bytes(n), h.held)
	h.held -= less
	b.used -= less
}

// Close ends counting a message that is no longer held.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.release(h)
}

// Reader returns a reader that counts what is read from r. Its error wraps ErrEnded once the message was given up.
func (h *Holder) Reader(r io.Reader) io.Reader {
	if h == nil {
		return r
	}
	return reader{r, h}
}

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if endErr := r.holder.Grow(n); endErr != nil {
		return 0, endErr
	}
	return n, err
}

// release removes a message from those that are held.
func (b *Budget) release(h *Holder) {
	b.used -= h.held
	h.held, h.closed = 0, true
	delete(b.holders, h)
}

// largest returns the message with the most bytes that is not whole yet, and the oldest of several, or nil if there is none.
func (b *Budget) largest() *Holder {
	var found *Holder
	for h, number := range b.holders {
		if h.kept {
			continue
		}
		if found == nil || h.held > found.held || h.held == found.held && number < b.holders[found] {
			found = h
		}
	}
	return found
}

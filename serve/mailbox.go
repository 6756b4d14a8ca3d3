package serve

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// post queues a message and wakes the session; it may be called from any goroutine.
func (b *mailbox) post(m teaselstream.Msg) {
	b.mu.Lock()
	b.messages = append(b.messages, m)
	if b.stream != nil {
		b.stream.Interrupt()
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take removes and returns the oldest message, or returns nil.
func (b *mailbox) take() teaselstream.Msg {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.messages) == 0 {
		return nil
	}
	m := b.messages[0]
	b.messages = b.messages[1:]
	return m
}

// wait returns after d, or earlier if a message may have arrived.
func (b *mailbox) wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-b.wake:
	case <-t.C:
	}
}

func (b *mailbox) setStream(s teaselstream.EngineStream) {
	b.mu.Lock()
	b.stream = s
	b.mu.Unlock()
}

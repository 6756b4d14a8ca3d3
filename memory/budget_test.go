package memory

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/teaselstream/teaselstream"
)

// Guards against messages that exceed the limit together, against the end of a small message in place of the largest, and against bytes
// that go on counting after a message has ended.
func TestLargestEndsFirst(t *testing.T) {
	var b Budget
	b.SetLimit(100)
	ended := make(chan string, 4)
	open := func(name string) *Holder { return b.Open(func() { ended <- name }) }
	small, large, old := open("small"), open("large"), open("old")
	steps := []struct {
		name string
		h    *Holder
		grow int
		want error
		used teaselstream.Bytes
		ends string
	}{
		{"below the limit", small, 20, nil, 20, ""},
		{"the largest of two", large, 60, nil, 80, ""},
		{"another one exceeds the limit", old, 30, nil, 50, "large"},
		{"a message that was ended", large, 10, ErrEnded, 50, ""},
		{"the message itself is the largest", small, 90, ErrEnded, 30, ""},
	}
	for _, s := range steps {
		if err := s.h.Grow(s.grow); !errors.Is(err, s.want) {
			t.Errorf("%s: Grow() = %v, want %v", s.name, err, s.want)
		}
		if got := b.Used(); got != s.used {
			t.Errorf("%s: %d bytes are used, want %d", s.name, got, s.used)
		}
		if s.ends == "" {
			continue
		}
		if got := <-ended; got != s.ends {
			t.Errorf("%s: %s is ended, want %s", s.name, got, s.ends)
		}
	}
	old.Shrink(10)
	if got := b.Used(); got != 20 {
		t.Errorf("after Shrink %d bytes are used, want 20", got)
	}
	old.Shrink(1000)
	old.Close()
	old.Close()
	if got := b.Used(); got != 0 {
		t.Errorf("after Close %d bytes are used, want 0", got)
	}
	if err := old.Grow(10); err != nil || b.Used() != 0 {
		t.Errorf("a closed message counts: %v, %d bytes", err, b.Used())
	}
}

// Guards against the end of a newer message where an older one is as large.
func TestOldestOfEqualEndsFirst(t *testing.T) {
	var b Budget
	b.SetLimit(100)
	first, second := b.Open(nil), b.Open(nil)
	if err := errors.Join(second.Grow(50), first.Grow(50)); err != nil {
		t.Fatal(err)
	}
	third := b.Open(nil)
	if err := third.Grow(1); err != nil {
		t.Errorf("a small message is ended: %v", err)
	}
	if err := first.Grow(0); !errors.Is(err, ErrEnded) {
		t.Errorf("the oldest message goes on: %v", err)
	}
	if err := second.Grow(0); err != nil {
		t.Errorf("the newer message is ended: %v", err)
	}
}

// Guards against the end of a whole message, and against bytes beyond the limit because whole messages use it up.
func TestWholeMessagesAreKept(t *testing.T) {
	var b Budget
	b.SetLimit(100)
	whole := b.Open(func() { t.Error("a whole message is ended") })
	if err := whole.Grow(90); err != nil {
		t.Fatal(err)
	}
	whole.Keep()
	next := b.Open(nil)
	if err := next.Grow(20); !errors.Is(err, ErrEnded) {
		t.Errorf("Grow() = %v beside a whole message, want %v", err, ErrEnded)
	}
	if got := b.Used(); got != 90 {
		t.Errorf("%d bytes are used, want those of the whole message", got)
	}
}

// Guards against a reader that passes on bytes of a message beyond the limit, and against a nil budget that counts.
func TestReader(t *testing.T) {
	var b Budget
	b.SetLimit(1000)
	h := b.Open(nil)
	data, err := io.ReadAll(h.Reader(strings.NewReader(strings.Repeat("x", 3000))))
	if !errors.Is(err, ErrEnded) || len(data) > 1000 {
		t.Errorf("%d bytes are read, error %v; want at most 1000 and %v", len(data), err, ErrEnded)
	}
	var none *Budget
	n := none.Open(nil)
	if data, err = io.ReadAll(n.Reader(strings.NewReader("text"))); err != nil || string(data) != "text" {
		t.Errorf("without a budget %q is read, error %v", data, err)
	}
	n.Shrink(1)
	n.Close()
}

// Guards against races between messages that grow and end.
func TestConcurrentHolders(t *testing.T) {
	var b Budget
	b.SetLimit(500)
	var wait sync.WaitGroup
	for range 16 {
		wait.Go(func() {
			for range 200 {
				h := b.Open(func() {})
				for range 5 {
					if h.Grow(40) != nil {
						break
					}
				}
				h.Shrink(40)
				h.Close()
			}
		})
	}
	wait.Wait()
	if got := b.Used(); got != 0 {
		t.Errorf("%d bytes are used after all messages have ended", got)
	}
}

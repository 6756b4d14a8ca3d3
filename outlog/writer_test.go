package outlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is an output that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// Guards against traffic that waits for a log that nobody reads, and against lines that are lost without a word.
func TestWriterNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := New(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * queueLines {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write() blocks while nobody reads the output")
	}
	if w.Dropped() == 0 {
		t.Error("Dropped() = 0 after three queues of lines")
	}
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.got.String(), "LogLinesDropped") {
		t.Error("no line says that lines were dropped")
	}
}

// Guards against lines that are lost or reordered at a stop.
func TestWriterWritesAllAtClose(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := w.Write([]byte(line)); err != nil {
			t.Error(err)
		}
	}
	w.Close()
	if out.String() != "a\nb\nc\n" {
		t.Errorf("output %q, want all lines in order", out.String())
	}
}

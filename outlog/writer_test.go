package outlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// Guards against requests that block on a log that nobody reads, and against lines that are dropped without a report.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
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
		t.Error("output lacks LogLinesDropped after dropped lines")
	}
}

// Guards against lines that are lost or reordered by Close.
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

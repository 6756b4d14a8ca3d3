package outlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the queue; it holds a few seconds of a VM's log.
	maxQueuedLines = 4096
	// targetBatchBytes is the size from which a batch is written without further lines.
	targetBatchBytes = 32 << 10
	// closeTimeout bounds how long Close waits for the output.
	closeTimeout = 200 * time.Millisecond
)

// Writer queues lines for an output that may be slow; New creates it.
type Writer struct {
	queue   chan []byte
	stop    chan struct{}
	stopped chan struct{}
	dropped atomic.Int64
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{queue: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line and never waits; its error is always nil.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that no LogLinesDropped event has reported yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and waits at most closeTimeout for the output to accept them.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.stopped:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run(out io.Writer) {
	defer close(w.stopped)
	batch := make([]byte, 0, targetBatchBytes)
	for {
		select {
		case line := <-w.queue:
			batch = w.fillBatch(append(batch[:0], line...))
		case <-w.stop:
			if batch = w.fillBatch(batch[:0]); len(batch) == 0 {
				return
			}
		}
		// The error is ignored: the log itself is the place where it would be reported.
		_, _ = out.Write(batch)
	}
}

// fillBatch appends the number of dropped lines, if any, and queued lines to a batch.
func (w *Writer) fillBatch(batch []byte) []byte {
	if n := w.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"WARN\",\"msg\":\"LogLinesDropped\",\"count\":%d}\n", n)
	}
	for len(batch) < targetBatchBytes {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

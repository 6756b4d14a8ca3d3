package outlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait; at the load of a VM it holds some seconds.
	queueLines = 4096
	// batchBytes bounds one write to the output.
	batchBytes = 32 << 10
	// flushTime bounds the wait of Close for the output.
	flushTime = 200 * time.Millisecond
)

// Writer queues lines for an output that may be slow; New makes one.
type Writer struct {
	queue   chan []byte
	stop    chan struct{}
	stopped chan struct{}
	dropped atomic.Int64
}

// New returns a writer to an output.
func New(out io.Writer) *Writer {
	w := &Writer{queue: make(chan []byte, queueLines), stop: make(chan struct{}), stopped: make(chan struct{})}
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

// Dropped returns the number of lines dropped since the last report.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, as far as the output takes it in a short time.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.stopped:
	case <-time.After(flushTime):
	}
}

func (w *Writer) run(out io.Writer) {
	defer close(w.stopped)
	batch := make([]byte, 0, batchBytes)
	for {
		select {
		case line := <-w.queue:
			batch = w.fill(append(batch[:0], line...))
		case <-w.stop:
			if batch = w.fill(batch[:0]); len(batch) == 0 {
				return
			}
		}
		// Nothing can be done about an output that fails, and the log is where it would be reported.
		_, _ = out.Write(batch)
	}
}

// fill adds queued lines to a batch, and the number of dropped ones.
func (w *Writer) fill(batch []byte) []byte {
	if n := w.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"WARN\",\"msg\":\"LogLinesDropped\",\"count\":%d}\n", n)
	}
	for len(batch) < batchBytes {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

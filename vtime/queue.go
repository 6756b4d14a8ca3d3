package vtime

import (
	"container/heap"
	"time"
)

type (
	// Queue runs events in time order on a virtual clock; the clock of its zero value starts at the zero time.
	Queue struct {
		now      time.Time
		sequence uint64
		events   eventHeap
	}

	event struct {
		at       time.Time
		sequence uint64
		run      func()
	}

	eventHeap []event
)

// NewQueue returns a queue whose clock starts at the given time.
func NewQueue(start time.Time) *Queue { return &Queue{now: start} }

// Now returns the virtual time.
func (q *Queue) Now() time.Time { return q.now }

// After schedules f to run after d; events of the same time run in the order in which they were scheduled.
func (q *Queue) After(d time.Duration, f func()) {
	q.sequence++
	heap.Push(&q.events, event{at: q.now.Add(max(d, 0)), sequence: q.sequence, run: f})
}

// Step advances the clock to the next event, runs it and reports whether there was one.
func (q *Queue) Step() bool {
	if len(q.events) == 0 {
		return false
	}
	e := heap.Pop(&q.events).(event)
	q.now = e.at
	e.run()
	return true
}

// RunUntil runs all events up to time t, inclusive, and advances the clock to t.
func (q *Queue) RunUntil(t time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(t) {
		q.Step()
	}
	if q.now.Before(t) {
		q.now = t
	}
}

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	// Clearing the slot lets the garbage collector free what the event refers to.
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

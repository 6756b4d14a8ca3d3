package vtime

import (
	"testing"
	"time"
)

// Guards against events that run out of time order, or in an order that varies if their times are equal.
func TestQueueOrder(t *testing.T) {
	q := NewQueue(time.Unix(0, 0))
	var got []int
	q.After(2*time.Second, func() { got = append(got, 3) })
	q.After(time.Second, func() {
		got = append(got, 1)
		q.After(0, func() { got = append(got, 2) })
	})
	q.RunUntil(time.Unix(10, 0))
	if len(got) != 3 || got[0] != 1 || got[1] != 2 || got[2] != 3 {
		t.Errorf("order of events = %v, want [1 2 3]", got)
	}
	if !q.Now().Equal(time.Unix(10, 0)) {
		t.Errorf("Now() = %v, want the end of the run", q.Now())
	}
}

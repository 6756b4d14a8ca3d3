package serve

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
)

const (
	// capacityPeriod is the least time between two counts of the slots, whose cost grows with the number of servers; a new
	// document is counted at once.
	capacityPeriod = time.Second
	// defaultSlots is the number of concurrent streams of a server for which the document sets no limit.
	defaultSlots = 16
)

// admissionQueue connects the sessions of a VM to the state machine of package admit.
type admissionQueue struct {
	mu         sync.Mutex
	queue      admit.Queue
	sessions   map[teaselstream.RequestID]*Session
	document   *teaselstream.Document
	capacityAt time.Time
}

// enqueue adds a session; the answer, admit.Admit or admit.Refuse, is posted to its mailbox.
func (q *admissionQueue) enqueue(now time.Time, s *teaselstream.Snapshot, n *Session, a admit.Arrive) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.sessions == nil {
		q.sessions = make(map[teaselstream.RequestID]*Session)
	}
	q.refresh(now, s)
	q.sessions[a.Request] = n
	q.update(now, a)
}

// finish removes a session and frees its slot.
func (q *admissionQueue) finish(now time.Time, id teaselstream.RequestID, d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.sessions, id)
	q.update(now, admit.Finished{Request: id, Duration: d})
}

func (q *admissionQueue) tick(now time.Time, s *teaselstream.Snapshot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refresh(now, s)
	q.update(now, admit.Tick{})
}

// refresh updates the queue and its capacity after a change of the document, and otherwise the capacity once per
// capacityPeriod.
func (q *admissionQueue) refresh(now time.Time, s *teaselstream.Snapshot) {
	if s == nil || s.Document == nil {
		return
	}
	changed := q.document != s.Document
	if changed {
		q.document = s.Document
		shares := make(map[teaselstream.TeamID]teaselstream.Share, len(s.Document.Teams))
		for id, t := range s.Document.Teams {
			shares[id] = t.Share
		}
		q.update(now, admit.Shares{Teams: shares, QueueTime: s.Document.Limits.QueueTime})
	}
	if changed || now.Sub(q.capacityAt) >= capacityPeriod {
		q.capacityAt = now
		q.update(now, admit.Capacity{Slots: totalSlots(s), LiveVMs: s.LiveVMs})
	}
}

func (q *admissionQueue) update(now time.Time, m teaselstream.Msg) {
	for _, c := range q.queue.Update(now, m) {
		var id teaselstream.RequestID
		switch c := c.(type) {
		case admit.Admit:
			id = c.Request
		case admit.Refuse:
			id = c.Request
		case admit.Preempt:
			id = c.Request
		}
		if n := q.sessions[id]; n != nil {
			n.mailbox.post(c)
		}
	}
}

// totalSlots returns the number of streams that all models together can run concurrently. The layer with the fewest slots
// limits a model.
func totalSlots(s *teaselstream.Snapshot) int {
	delta := make(map[teaselstream.ModelID][]int, len(s.Document.Models))
	for id, m := range s.Document.Models {
		delta[id] = make([]int, m.Layers+1)
	}
	for _, v := range s.Servers {
		c := delta[v.Model]
		if v.Kind != teaselstream.KindModel || !v.State.TakesNewWork() || int(v.Layers.To) >= len(c) {
			continue
		}
		width := v.MaxConcurrent
		if width == 0 {
			width = defaultSlots
		}
		c[v.Layers.From] += width
		c[v.Layers.To] -= width
	}
	total := 0
	for _, c := range delta {
		width, narrowest := 0, -1
		for _, d := range c[:len(c)-1] {
			if width += d; narrowest < 0 || width < narrowest {
				narrowest = width
			}
		}
		total += max(narrowest, 0)
	}
	return total
}

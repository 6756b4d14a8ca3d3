package plat

import (
	"net/http"
	"strconv"
	"time"
)

type (
	// Refusal is a request that a replica has turned away, and the Retry-After of its answer.
	Refusal struct {
		Arrival
		Wait time.Duration
	}

	// Arrival is a request of a caller, or an order or report, that reached a replica.
	Arrival struct {
		// Attempt is the caller's attempt id, or empty.
		Attempt string
		At      time.Time
	}
)

// Heartbeat writes the replica's entry again.
func (r *Replica) Heartbeat() { r.writeEntry() }

// Drain lists the replica as draining and makes it say so in all its answers.
func (r *Replica) Drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.writeEntry()
}

// DrainUnlisted makes the replica say in all its answers that it leaves, while its entry goes on saying that it is ready.
func (r *Replica) DrainUnlisted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining, r.silent = true, true
}

func (r *Replica) announceLeaving(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		w.Header().Set("Server-Leaving", "1")
	}
}

func (r *Replica) recordReached(q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached = append(r.reached, Arrival{q.Header.Get("X-Attempt-Id"), time.Now()})
}

// Reached returns everything that reached the replica, in order, also what it refused.
func (r *Replica) Reached() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.reached...)
}

// TurnAway makes the replica answer everything, reports and orders included, with 503 and a Retry-After for a time.
func (r *Replica) TurnAway(retryAfter, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turnsAway, r.turnsAwayUntil = retryAfter, time.Now().Add(duration)
}

// TurnedAway returns the requests that the replica has turned away with a Retry-After, in order.
func (r *Replica) TurnedAway() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Refusal(nil), r.turnedAway...)
}

func (r *Replica) turnAway(w http.ResponseWriter, q *http.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !now.Before(r.turnsAwayUntil) {
		return false
	}
	attempt := q.Header.Get("X-Attempt-Id")
	r.turnedAway = append(r.turnedAway, Refusal{Arrival{attempt, now}, r.turnsAway})
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Not-Executed", "busy")
	w.Header().Set("Retry-After", strconv.FormatFloat(r.turnsAway.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

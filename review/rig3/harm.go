//go:build review

package main

import "time"

const (
	harmfulPart = "bad0"
	// soundGap is the time between two sound requests of a VM.
	soundGap    = 150 * time.Millisecond
	soundEvents = 15
	// maxLate is the number of requests with the part that may reach replicas later than contactTime after the fifth crash.
	maxLate = 3
)

// lateHarmful checks the rule on parts that crash replicas: BUDGET, counted from contactTime after the fifth crash.
func (w *world) lateHarmful() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	crashes, arrivals := w.crashes, w.arrivals
	late, lost := 0, w.lost()
	if len(crashes) >= 5 {
		for _, a := range arrivals {
			if a.harmful && a.at.After(crashes[4].Add(contactTime)) {
				late++
			}
		}
	}
	w.result("%d crashes; %d requests with the part reached replicas later than %s after the fifth, at most %d are allowed; %d clients got a broken answer or 502",
		len(crashes), late, contactTime, maxLate, lost)
	return late > maxLate
}

//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	rebornReplicas = 10
	rebornCount    = 4
	// rebornVMs are fewer than those from which on one VM of a failure domain looks at servers for the others.
	rebornVMs = 4
	downTime  = 2 * time.Second
	// lingerTime is how long a draining replica goes on; the pages say DrainMs and a little longer, at times many seconds.
	lingerTime = 6 * time.Second
	// dayGap and nightGap are the times between two requests of a VM; the release is played in the quiet hours.
	dayGap   = 200 * time.Millisecond
	nightGap = 700 * time.Millisecond
	// nightEvents makes a stream last 5.7 s, so that one that begins late is cut when its replica exits.
	nightEvents = 190
	// runSequence is the count of heartbeats of a replica that has run for a day.
	runSequence = 72_000
)

func init() { cases["reborn"] = reborn }

// reborn crashes replicas that start again under their ids, one after the other, and later drains them.
func reborn(w *world, trouble bool) (bool, error) {
	for i := range rebornReplicas {
		if _, err := w.add(writer, fmt.Sprintf("r%d", i+1), runSequence, 24*time.Hour); err != nil {
			return false, err
		}
	}
	// Streams that may not be resumed may run once.
	w.store.Put("op/config", configuration(1, false))
	if err := w.startVMs(w.program, w.template, rebornVMs); err != nil {
		return false, err
	}
	if err := w.awaitService(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	stopDay := w.load(dayGap, soundEvents, sharedPart)
	time.Sleep(2 * time.Second)
	for _, r := range w.replicas[:rebornCount] {
		if trouble {
			r.end()
			time.Sleep(downTime)
			if err := r.start(0, time.Now(), heartbeat); err != nil {
				return false, err
			}
			w.note("replica %s starts again", r.id)
		}
		time.Sleep(3 * time.Second)
	}
	stopDay()
	stopNight := w.load(nightGap, nightEvents, sharedPart)
	time.Sleep(contactTime)
	for i, r := range w.replicas[:rebornCount] {
		// In a release the new replica starts first.
		if _, err := w.add(writer, fmt.Sprintf("new%d", i+1), 0, 0); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		r.drain(lingerTime)
		time.Sleep(lingerTime + time.Second)
	}
	stopNight()
	return w.lateAtDraining(), nil
}

// lateAtDraining checks DRAIN: no request reaches a replica later than DrainMs after the store has accepted that it is draining.
func (w *world) lateAtDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	late, lost := 0, 0
	for _, a := range w.arrivals {
		for _, r := range w.replicas {
			if r.id != a.replica || r.born != a.born || r.ackAt.IsZero() || a.at.Sub(r.ackAt) <= drainTime {
				continue
			}
			late++
			if !w.answers[a.attempt].whole {
				lost++
			}
			fmt.Fprintf(w.record, "late: %s reached %s %d ms after the ack, answered in full: %t\n", a.attempt, a.replica, a.at.Sub(r.ackAt).Milliseconds(), w.answers[a.attempt].whole)
		}
	}
	w.result("%d requests reached draining replicas later than %s after the ack; %d of them were lost", late, drainTime, lost)
	return late > 0
}

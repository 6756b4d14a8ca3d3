//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	queryReplicas = 8
	queryGap      = 500 * time.Millisecond
	querySent     = 40
	harmfulPath   = "/draft/bad"
	constantBody  = "the same body"
	// maxRetries is the number of retries that may reach replicas later than contactTime after the third crash.
	maxRetries = 3
)

func init() { cases["query"] = query }

// query sends one request again and again, with the same path, caller and body and the time of sending in the query; with trouble it crashes
// replicas.
func query(w *world, trouble bool) (bool, error) {
	if trouble {
		w.harmfulPath = harmfulPath
	}
	for i := range queryReplicas {
		if _, err := w.add(writer, fmt.Sprintf("r%d", i+1), 100, time.Hour); err != nil {
			return false, err
		}
	}
	if err := w.startVMs(w.program, w.template, gates); err != nil {
		return false, err
	}
	if err := w.awaitService(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	stop := w.load(soundGap, soundEvents, sharedPart)
	time.Sleep(2 * time.Second)
	for i := range querySent {
		go w.sendTo(w.vms[i%len(w.vms)], harmfulPath, constantBody, soundEvents, sharedPart)
		time.Sleep(queryGap)
	}
	time.Sleep(2 * time.Second)
	stop()
	return w.lateRetries(), nil
}

// lateRetries checks BUDGET for a request that crashes replicas, counted from contactTime after the third crash.
func (w *world) lateRetries() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	late, lost := 0, w.lost()
	if len(w.crashes) >= 3 {
		for _, a := range w.arrivals {
			if a.harmful && a.at.After(w.crashes[2].Add(contactTime)) {
				late++
			}
		}
	}
	w.result("%d crashes; the request reached replicas %d times later than %s after the third, at most %d are allowed; %d clients got a broken answer or 502",
		len(w.crashes), late, contactTime, maxRetries, lost)
	return late > maxRetries
}

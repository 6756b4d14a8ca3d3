//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	streamReplicas = 6
	// spoilingReplicas of the streamReplicas spoil spoiledShare of their streams.
	spoilingReplicas = 2
	streamGap        = 30 * time.Millisecond
	streamTime       = 50 * time.Second
	streamEvents     = 30
)

func init() { cases["spoiled"] = spoiled }

// spoiled lets replicas write one wrong byte into the number of one event in some streams.
func spoiled(w *world, trouble bool) (bool, error) {
	for i := range streamReplicas {
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
	if trouble {
		w.spoils = func(r *replica) bool {
			return w.garbled() && r.id <= fmt.Sprintf("r%d", spoilingReplicas) && rand.Float64() < spoiledShare
		}
	}
	for i := range int(streamTime / streamGap) {
		go w.send(w.vms[i%len(w.vms)], streamEvents, sharedPart)
		time.Sleep(streamGap)
	}
	time.Sleep(3 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	answered, doubled := 0, 0
	for id, a := range w.answers {
		if a.status != http.StatusOK || a.err != nil {
			continue
		}
		answered++
		if piece := doubledPiece(string(a.body)); piece != "" {
			doubled++
			fmt.Fprintf(w.record, "%s has %q more than once: %q\n", id, piece, a.body)
		}
	}
	w.result("%d streams answered in full, %d of them with a piece that comes twice", answered, doubled)
	if answered == 0 {
		return false, fmt.Errorf("no stream was answered")
	}
	return doubled > 0, nil
}

// doubledPiece returns the first piece that a stream has more than once, or an empty string.
func doubledPiece(body string) string {
	seen := make(map[string]bool)
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, "data:") {
			continue
		}
		if seen[line] {
			return strings.TrimSpace(line)
		}
		seen[line] = true
	}
	return ""
}

//go:build review

package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	deepReplicas = 8
	// turns is the number of parts of a prompt that all requests of the conversation share.
	turns    = 18
	deepGap  = 500 * time.Millisecond
	deepSent = 40
)

func init() { cases["deep"] = deep }

// deep sends prompts of many parts, as those of a long conversation; with trouble the last shared part crashes replicas.
func deep(w *world, trouble bool) (bool, error) {
	w.harmful = harmfulPart
	for i := range deepReplicas {
		if _, err := w.add(fmt.Sprintf("r%d", i+1), 100, time.Hour); err != nil {
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
	var shared []string
	for i := range turns {
		shared = append(shared, fmt.Sprintf("c%03x:40", i))
	}
	stop := w.load(soundGap, soundEvents, shared...)
	time.Sleep(2 * time.Second)
	part := "0a0a:40"
	if trouble {
		part = harmfulPart + ":40"
	}
	for i := range deepSent {
		go w.send(w.vms[i%len(w.vms)], soundEvents, append(slices.Clone(shared), part)...)
		time.Sleep(deepGap)
	}
	time.Sleep(2 * time.Second)
	stop()
	return w.lateHarmful(), nil
}

//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	batchReplicas = 12
	batchSize     = 4
	batchGap      = 5 * time.Second
	batches       = 4
)

func init() { cases["batch"] = batch }

// batch lets one client send its requests in small batches; with trouble they have a part that crashes replicas.
func batch(w *world, trouble bool) (bool, error) {
	w.harmful = harmfulPart
	for i := range batchReplicas {
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
	// The VMs are in touch from contactTime after their start on.
	time.Sleep(contactTime + time.Second)
	stop := w.load(soundGap, soundEvents, sharedPart)
	time.Sleep(2 * time.Second)
	part := "0a0a:400"
	if trouble {
		part = harmfulPart + ":400"
	}
	for range batches {
		var sent sync.WaitGroup
		for range batchSize {
			sent.Go(func() { w.send(w.vms[0], soundEvents, sharedPart, part) })
		}
		sent.Wait()
		time.Sleep(batchGap)
	}
	stop()
	return w.lateHarmful(), nil
}

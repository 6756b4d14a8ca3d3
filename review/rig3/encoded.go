//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	deskReplicas = 6
	// spoiledReplicas of the deskReplicas spoil spoiledShare of their answers: the largest dose of garble for the site is a share of 0.35
	// with x 0.02.
	spoiledReplicas = 2
	spoiledShare    = 0.02
	orderGap        = 20 * time.Millisecond
	orderTime       = 40 * time.Second
)

func init() { cases["encoded"] = encoded }

// encoded lets replicas of the plain service answer some orders with an encoded body, which callers have not asked for.
func encoded(w *world, trouble bool) (bool, error) {
	for i := range deskReplicas {
		if _, err := w.add(desk, fmt.Sprintf("d%d", i+1), 100, time.Hour); err != nil {
			return false, err
		}
	}
	if err := w.startVMs(w.program, w.template, gates); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	if trouble {
		w.encodes = func(r *replica) bool {
			return w.garbled() && r.id <= fmt.Sprintf("d%d", spoiledReplicas) && rand.Float64() < spoiledShare
		}
	}
	for i := range int(orderTime / orderGap) {
		go w.sendTo(w.vms[i%len(w.vms)], "/order/x", "", 1)
		time.Sleep(orderGap)
	}
	time.Sleep(2 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	answered, spoiled := 0, 0
	for id, a := range w.answers {
		if a.status != http.StatusOK || a.err != nil {
			continue
		}
		answered++
		if a.header.Get("Content-Encoding") != "" || string(a.body) != answerTo(id) {
			spoiled++
		}
	}
	w.result("%d orders answered with success, %d of them with a body that is not the replica's", answered, spoiled)
	if answered == 0 {
		return false, fmt.Errorf("no order was answered")
	}
	return spoiled > 0, nil
}

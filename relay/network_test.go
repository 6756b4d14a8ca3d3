package relay

import (
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
)

func (w *simulation) chance(p float64) bool {
	return p > 0 && w.networkFaults.random.Float64() < p
}

// delay returns the transfer time of a frame; a reordered frame takes longer than those after it.
func (w *simulation) delay() time.Duration {
	if w.chance(w.networkFaults.reorder) {
		return networkDelay + time.Duration(w.networkFaults.random.IntN(100))*time.Millisecond
	}
	return networkDelay
}

// send delivers a frame once, or twice if the network duplicates it.
func (w *simulation) send(_ string, deliver func()) {
	w.queue.After(w.delay(), deliver)
	if w.chance(w.networkFaults.duplicate) {
		w.queue.After(w.delay()+tokenTime, deliver)
	}
}

// sendToken delivers a token and sometimes a foreign one. Each event is overwritten after its delivery, as engines'
// streams reuse its memory.
//
// A foreign token belongs to another request, or to another attempt of this one. It never has the id and attempt of
// the current stream: package front makes request ids unique, and each attempt has a connection of its own, which is
// closed before the next one opens.
func (w *simulation) sendToken(e teaselstream.TokenEvent) {
	what := fmt.Sprintf("token %d of attempt %d", e.Index, e.Attempt)
	var shared teaselstream.TokenEvent
	deliver := func(x teaselstream.TokenEvent) func() {
		return func() {
			shared = x
			w.update(what, &shared)
			shared = teaselstream.TokenEvent{Text: "overwritten"}
		}
	}
	if w.chance(w.networkFaults.foreign) {
		x := e
		x.Text = "foreign"
		if w.chance(0.5) {
			x.Request = "r2"
		} else {
			x.Attempt += 100
		}
		w.queue.After(w.delay(), deliver(x))
	}
	w.send(what, deliver(e))
}

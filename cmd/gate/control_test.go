package main

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/config"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/platform"
)

// Guards against changes in the store, such as the removal of a server's entry, that are lost while the control loop is busy: the store
// does not send them again, and the server would be used on (DRAIN).
func TestFollowerWaitsForTheControlLoop(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := slog.New(slog.DiscardHandler)
	c := newControlLoop(config.GateSettings{}, log)
	p := &process{log: log, store: &platform.Store{}, controlLoop: c}
	for range inboxSize {
		c.post(teaselstream.Tick{})
	}
	posting := make(chan struct{})
	go func() {
		close(posting)
		p.follower(ctx).Post(fleet.ReplicaRemoved{Server: "a"})
	}()
	<-posting
	// The queue stays full long enough for the message to be dropped.
	time.Sleep(100 * time.Millisecond)
	removed := false
	for limit := time.After(time.Second); !removed; {
		select {
		case m := <-c.inbox:
			_, removed = m.(fleet.ReplicaRemoved)
		case <-limit:
			t.Fatal("the removal of an entry is lost while the queue is full")
		}
	}
}

package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/cover"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// orderTimeout bounds one call of an order.
	orderTimeout = 400 * time.Millisecond
	// loadPoll is the time between looks at a replica that loads.
	loadPoll = 250 * time.Millisecond
	// loadLimit bounds the wait for a load; all layers of the largest replicas load in less.
	loadLimit = 10 * time.Second
)

var errState = errors.New("replica's state differs from the list")

// order carries out one placement order and reports its end to the decider.
func (c *control) order(x cover.Hold) {
	err := c.placeRange(x)
	if err != nil {
		c.log.Warn("OrderFailed", "server", string(x.Server), "range", x.Range.String(), "error", err)
	} else {
		c.log.Info("OrderDone", "server", string(x.Server), "range", x.Range.String())
	}
	c.post(fleet.LayersOrdered{Server: x.Server})
	c.post(cover.Ended{Server: x.Server, OK: err == nil})
}

func (c *control) placeRange(x cover.Hold) error {
	r, err := c.handler.ReadReport(x.Server, x.Address, x.Incarnation)
	if err != nil {
		return fmt.Errorf("read state before order: %w", err)
	}
	if r.Busy || r.Holds != x.Holds || r.Incarnation != x.Incarnation {
		return fmt.Errorf("%w: busy %t, holds %s", errState, r.Busy, r.Holds)
	}
	c.post(fleet.LayersOrdered{Server: x.Server, Range: x.Range})
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	err = c.handler.Replicas.Hold(ctx, teaselstream.RangeOrder{
		Server: x.Server, Address: x.Address, Range: x.Range, Expected: r.Orders, Cut: x.Cut,
	})
	if err != nil && !errors.Is(err, teaselstream.ErrOutcomeUnknown) {
		return fmt.Errorf("give order: %w", err)
	}
	return c.awaitRange(x)
}

// awaitRange waits until the replica holds the range, so that this VM uses it before the list shows it.
func (c *control) awaitRange(x cover.Hold) error {
	for limit := time.Now().Add(loadLimit); time.Now().Before(limit); {
		time.Sleep(loadPoll)
		r, err := c.handler.ReadReport(x.Server, x.Address, x.Incarnation)
		if err != nil {
			return fmt.Errorf("read state after order: %w", err)
		}
		if r.Incarnation != x.Incarnation {
			return fmt.Errorf("%w: replica restarted", errState)
		}
		if !r.Busy && r.Holds == x.Range {
			return nil
		}
	}
	return fmt.Errorf("%w: range is not held in time", errState)
}

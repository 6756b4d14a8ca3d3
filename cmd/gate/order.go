package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/cover"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/proxy"
)

const (
	// orderTimeout limits the request that carries an order.
	orderTimeout = 400 * time.Millisecond
	// loadPollPeriod is the period of reports read from a replica that loads layers.
	loadPollPeriod = 250 * time.Millisecond
	// loadTimeout limits the wait for a load; all layers of the largest replicas load in less.
	loadTimeout = 10 * time.Second
)

var errStateMismatch = errors.New("replica state differs from the expected state")

// executeOrder executes one placement order and reports its result to cover.Decider.
func (c *controlLoop) executeOrder(ctx context.Context, x cover.Hold) {
	err := c.orderRange(x)
	if err != nil {
		c.log.Warn("OrderFailed", "server", string(x.Server), "range", x.Range.String(), "error", err)
	} else {
		c.log.Info("OrderDone", "server", string(x.Server), "range", x.Range.String())
	}
	c.postAll(ctx, fleet.LayersOrdered{Server: x.Server})
	c.postAll(ctx, cover.Ended{Server: x.Server, OK: err == nil})
}

func (c *controlLoop) orderRange(x cover.Hold) error {
	r, err := c.handler.ReadReport(x.Server, x.Address, x.Incarnation, 0)
	if err != nil {
		return fmt.Errorf("read report before order: %w", err)
	}
	if r.Busy || r.Holds != x.Holds || r.Incarnation != x.Incarnation {
		return fmt.Errorf("%w: busy %t, holds %s", errStateMismatch, r.Busy, r.Holds)
	}
	if err := c.handler.CheckWait(x.Server, x.Incarnation); err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	c.post(fleet.LayersOrdered{Server: x.Server, Range: x.Range})
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	err = c.handler.Replicas.Hold(ctx, teaselstream.RangeOrder{
		Server: x.Server, Address: x.Address, Range: x.Range, Expected: r.Orders, Cut: x.Cut,
	})
	c.handler.ObserveWait(x.Server, x.Incarnation, err)
	if err != nil && !errors.Is(err, teaselstream.ErrOutcomeUnknown) {
		return fmt.Errorf("send order: %w", err)
	}
	return c.awaitRange(x)
}

// awaitRange polls the replica until it holds the range, so that this VM uses it before the platform's list shows it.
func (c *controlLoop) awaitRange(x cover.Hold) error {
	for limit := time.Now().Add(loadTimeout); time.Now().Before(limit); {
		time.Sleep(loadPollPeriod)
		r, err := c.handler.ReadReport(x.Server, x.Address, x.Incarnation, 0)
		if errors.Is(err, proxy.ErrWithheld) {
			continue
		}
		if err != nil {
			return fmt.Errorf("read report after order: %w", err)
		}
		if r.Incarnation != x.Incarnation {
			return fmt.Errorf("%w: replica restarted", errStateMismatch)
		}
		if !r.Busy && r.Holds == x.Range {
			return nil
		}
	}
	return fmt.Errorf("%w: range not loaded in time", errStateMismatch)
}

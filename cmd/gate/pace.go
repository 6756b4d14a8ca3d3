package main

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/ramp"
	"github.com/teaselstream/teaselstream/status"
)

const (
	// maxShares bounds the shares in a message to another VM.
	maxShares = 256
	// usedTime is how long after its last first event a VM counts as one that sends model requests. Small VMs send one every few seconds.
	usedTime = 10 * time.Second
	// shareMemory is how long other VMs are told of a share of 1, which ends the search for a server's pace.
	shareMemory = 5 * time.Second
)

type (
	// pacer runs ramp.Tracker in the control loop and keeps what is exchanged with other VMs. Its zero value finds no paces.
	pacer struct {
		on      bool
		tracker ramp.Tracker
		mu      sync.Mutex
		counts  []ramp.Sample
		shares  map[teaselstream.ServerID]foundShare
	}

	foundShare struct {
		status.Share
		at time.Time
	}
)

// update passes a message to the tracker, if paces are to be found.
func (p *pacer) update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	if !p.on {
		return nil
	}
	return p.tracker.Update(now, m)
}

// known returns the servers with a share.
func (p *pacer) known() []teaselstream.ServerID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.shares))
}

func (p *pacer) drop(id teaselstream.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.shares, id)
}

// takeCounts returns what this VM has counted since the last call.
func (p *pacer) takeCounts() []ramp.Sample {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	p.counts = nil
	return counts
}

// found returns the shares to tell other VMs.
func (p *pacer) found() []status.Share {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []status.Share
	for id, x := range p.shares {
		// Beyond the limit, servers are told of once others are done.
		if len(out) == maxShares {
			break
		}
		if x.Share.Share >= 1 && time.Since(x.at) > shareMemory {
			delete(p.shares, id)
			continue
		}
		out = append(out, x.Share)
	}
	return out
}

// keep keeps a share for other VMs, and the counts for the observing one.
func (p *pacer) keep(x ramp.SetShare, n teaselstream.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shares == nil {
		p.shares = make(map[teaselstream.ServerID]foundShare)
	}
	p.shares[x.Server] = foundShare{status.Share{Server: x.Server, Incarnation: n, Share: x.Share}, time.Now()}
}

// collect takes the tracker's counts if the last ones were passed on.
func (p *pacer) collect() {
	if !p.on {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil {
		p.counts = p.tracker.Counts()
	}
}

// forgetGone ends the search for the pace of servers that have left or are down.
func (c *controlLoop) forgetGone(ctx context.Context, v *fleet.View) {
	for _, id := range c.pacer.known() {
		if m := v.Members[id]; m == nil || m.State == fleet.Down {
			c.pacer.drop(id)
			c.execute(ctx, c.pacer.update(v.At, ramp.Gone{Server: id}))
		}
	}
}

// started tells the tracker of a server that takes work again. A VM alone sees too few answers to find a pace soon, so that there must be an
// observer which collects those of all VMs.
func (c *controlLoop) started(ctx context.Context, now time.Time, x fleet.Returned) {
	if !c.status.Known() {
		return
	}
	if x.Cause == fleet.HoldsNewLayers && !c.handler.StreamedSince(now.Add(-usedTime)) {
		// All layers of a deployment that starts are new, and nothing floods a server while no requests come.
		return
	}
	reason := ramp.ReasonStarted
	switch x.Cause {
	case fleet.AnswersAgain:
		reason = ramp.ReasonRecovered
	case fleet.HoldsNewLayers:
		reason = ramp.ReasonNewLayers
	}
	c.execute(ctx, c.pacer.update(now, ramp.Started{Server: x.Server, Incarnation: x.Incarnation, Reason: reason}))
}

// setShare applies a share that the tracker has found.
func (c *controlLoop) setShare(ctx context.Context, now time.Time, x ramp.SetShare) {
	m := c.current().Members[x.Server]
	if m == nil {
		return
	}
	if x.Share > m.Share && m.Share > 0 {
		c.handler.Balancer.ForgetLatency(x.Server)
	}
	c.pacer.keep(x, m.Incarnation)
	c.execute(ctx, c.core.Update(now, fleet.ShareFound{Server: x.Server, Share: x.Share}))
}

// reported tells the tracker what a server reports of its load.
func (c *controlLoop) reported(ctx context.Context, now time.Time, id teaselstream.ServerID, r *teaselstream.ReplicaReport, age time.Duration) {
	m := c.current().Members[id]
	if m == nil || m.Share == 0 {
		return
	}
	c.execute(ctx, c.pacer.update(now, ramp.Reported{
		Server: id, Incarnation: r.Incarnation, Running: r.Running, Waiting: r.Waiting, Slots: m.Slots, Pace: r.Pace, At: now.Add(-age),
	}))
}

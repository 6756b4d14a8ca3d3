package proxy

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// probeTimeout bounds the wait for a server's report, which needs no slot and takes some milliseconds.
	probeTimeout = 90 * time.Millisecond
	// probeShare is how long a probe's result serves other streams.
	probeShare = 100 * time.Millisecond
)

type (
	// prober reads servers' reports for streams that wait; streams that wait for the same server share a probe.
	prober struct {
		mu     sync.Mutex
		recent map[teaselstream.ServerID]*probe
	}

	probe struct {
		at     time.Time
		done   chan struct{}
		report teaselstream.ReplicaReport
		err    error
	}
)

// read returns a server's report, from this or a very recent probe.
func (p *prober) read(h *Handler, m *fleet.Member) (teaselstream.ReplicaReport, error) {
	now := time.Now()
	p.mu.Lock()
	if p.recent == nil {
		p.recent = make(map[teaselstream.ServerID]*probe)
	}
	x := p.recent[m.ID]
	if x == nil || now.Sub(x.at) > probeShare {
		x = &probe{at: now, done: make(chan struct{})}
		p.recent[m.ID] = x
		p.mu.Unlock()
		x.report, x.err = h.ReadReport(m.ID, m.Address, m.Incarnation)
		close(x.done)
		return x.report, x.err
	}
	p.mu.Unlock()
	<-x.done
	return x.report, x.err
}

// ReadReport reads a server's report and tells the control side the result.
func (h *Handler) ReadReport(id teaselstream.ServerID, address string, incarnation teaselstream.Incarnation) (teaselstream.ReplicaReport, error) {
	var report teaselstream.ReplicaReport
	var err error
	// A kept connection may be dead although the server lives, so a failure counts only if a second try agrees.
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		report, err = h.Replicas.Report(ctx, id, address)
		cancel()
		if err == nil {
			h.Post(fleet.ReportReceived{Server: id, Report: report})
			h.Log.Info("ServerReport", "server", string(id), "holds", report.Holds.String(), "running", report.Running, "waiting", report.Waiting,
				"cacheUsed", report.CacheUsed, "cacheTotal", report.CacheTotal, "pace", report.Pace, "busy", report.Busy, "stalled", len(report.Stalled))
			return report, nil
		}
	}
	h.Post(fleet.Unreachable{Server: id, Incarnation: incarnation, Ended: errors.Is(err, syscall.ECONNREFUSED), Reason: err.Error()})
	return report, err
}

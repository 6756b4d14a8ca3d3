package proxy

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/flow"
)

const (
	// probeTimeout bounds the wait for a server's report, which needs no slot and takes some milliseconds.
	probeTimeout = 90 * time.Millisecond
	// probeShare is how long a probe's result serves other streams.
	probeShare = 100 * time.Millisecond
	// reachTimeout bounds the wait for a connection to a part, which is one or two milliseconds away.
	reachTimeout = 60 * time.Millisecond
)

type (
	// prober reads servers' reports for streams that wait; streams that wait for the same server share a probe.
	prober struct {
		mu     sync.Mutex
		recent map[teaselstream.ServerID]*probe
		// reached holds attempts to connect.
		reached map[teaselstream.ServerID]*probe
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
			h.Post(fleet.Reported{Server: id, Report: report})
			h.Log.Info("ServerReport", "server", string(id), "holds", report.Holds.String(), "running", report.Running, "waiting", report.Waiting,
				"cacheUsed", report.CacheUsed, "cacheTotal", report.CacheTotal, "pace", report.Pace, "busy", report.Busy, "stalled", len(report.Stalled))
			return report, nil
		}
	}
	h.Post(fleet.Silent{Server: id, Incarnation: incarnation, Ended: errors.Is(err, syscall.ECONNREFUSED), Reason: err.Error()})
	return report, err
}

// reach reports whether a server takes a connection, by this or a very recent attempt.
func (p *prober) reach(m *fleet.Member) error {
	now := time.Now()
	p.mu.Lock()
	if p.reached == nil {
		p.reached = make(map[teaselstream.ServerID]*probe)
	}
	x := p.reached[m.ID]
	if x != nil && now.Sub(x.at) <= probeShare {
		p.mu.Unlock()
		<-x.done
		return x.err
	}
	x = &probe{at: now, done: make(chan struct{})}
	p.reached[m.ID] = x
	p.mu.Unlock()
	d := net.Dialer{Timeout: reachTimeout, KeepAlive: -1}
	c, err := d.Dial("tcp", m.Address)
	if err == nil {
		err = c.Close()
	}
	x.err = err
	close(x.done)
	return err
}

// check tells the core which servers behind the first one of a path take no connection.
func (s *streamRun) check(c flow.CheckParts) {
	v := s.handler.View()
	errs := make([]error, len(c.Path))
	var wait sync.WaitGroup
	for i, p := range c.Path[1:] {
		if m := v.Members[p.Server]; m != nil {
			wait.Go(func() { errs[i+1] = s.handler.prober.reach(m) })
		}
	}
	wait.Wait()
	checked := flow.PartsChecked{Attempt: c.Attempt}
	for i, err := range errs {
		if err == nil {
			continue
		}
		m := v.Members[c.Path[i].Server]
		checked.Servers = append(checked.Servers, m.ID)
		s.log("PartUnreached", slog.LevelInfo, "attempt", c.Attempt, "server", string(m.ID), "error", err.Error())
		if errors.Is(err, syscall.ECONNREFUSED) && m.State != fleet.Down {
			s.handler.Post(fleet.Silent{Server: m.ID, Incarnation: m.Incarnation, Ended: true, Reason: "connection refused"})
		}
	}
	if len(checked.Servers) > 0 {
		s.tell(context.Background(), checked)
	}
}

package proxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/detour"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// probeTimeout limits the wait for a server's report, which needs no free slot and takes some milliseconds.
	probeTimeout = 90 * time.Millisecond
	// probeAnswerTimeout limits the wait for the first byte of the answer to a probe on a new connection, after the connection has come
	// about. A packet that is lost is sent again after 200 ms.
	probeAnswerTimeout = 200 * time.Millisecond
	// probeReuse is how long a probe's result is reused for other streams.
	probeReuse = 100 * time.Millisecond
)

type (
	// prober reads servers' load reports for streams that wait for an event; streams waiting for the same server share a probe.
	prober struct {
		mu sync.Mutex
		// recent and direct hold the newest probe of each server, and the newest one of this VM itself.
		recent, direct map[teaselstream.ServerID]*probe
	}

	probe struct {
		at     time.Time
		done   chan struct{}
		report teaselstream.ReplicaReport
		err    error
	}
)

// readReport returns a server's report from a probe at most probeReuse old, or from a new one, which another VM may carry out unless direct is
// set.
func (p *prober) readReport(h *Handler, m *fleet.Member, direct bool) (teaselstream.ReplicaReport, error) {
	now := time.Now()
	p.mu.Lock()
	if p.recent == nil {
		p.recent, p.direct = make(map[teaselstream.ServerID]*probe), make(map[teaselstream.ServerID]*probe)
	}
	known := p.recent
	if direct {
		known = p.direct
	}
	x := known[m.ID]
	if x == nil || now.Sub(x.at) > probeReuse {
		x = &probe{at: now, done: make(chan struct{})}
		known[m.ID] = x
		p.mu.Unlock()
		ok := false
		if !direct {
			x.report, ok, x.err = h.observedReport(m)
		}
		if !ok {
			x.report, x.err = h.ReadReport(m.ID, m.Address, m.Incarnation, 0)
		}
		close(x.done)
		return x.report, x.err
	}
	p.mu.Unlock()
	<-x.done
	return x.report, x.err
}

// ReadReport reads a server's load report and posts the result to the control loop. A server that takes longer than timeout counts as
// unreachable; 0 means probeTimeout. The error wraps ErrWithheld if the server wants nothing from this VM, which says nothing about its
// health.
func (h *Handler) ReadReport(id teaselstream.ServerID, address string, incarnation teaselstream.Incarnation, timeout time.Duration) (teaselstream.ReplicaReport, error) {
	var report teaselstream.ReplicaReport
	err := h.CheckWait(id, incarnation)
	if err != nil {
		return report, err
	}
	limit := cmp.Or(timeout, probeTimeout)
	var unanswered time.Duration
	// An idle connection may be broken although the server runs, so a failure counts only if a second try fails too.
	for range 2 {
		asked, through := time.Now(), h.Detour.Active()
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		report, err = h.Replicas.Report(ctx, id, address)
		cancel()
		if err == nil {
			if report.Leaving {
				h.Notices.ObserveLeaving(time.Now(), id, report.Incarnation)
			}
			h.Post(fleet.ReportReceived{Server: id, Report: report})
			h.Log.Info("ServerReport", "server", string(id), "holds", report.Holds.String(), "running", report.Running, "waiting", report.Waiting,
				"cacheUsed", report.CacheUsed, "cacheTotal", report.CacheTotal, "pace", report.Pace, "busy", report.Busy, "stalled", len(report.Stalled))
			return report, nil
		}
		if errors.Is(err, detour.ErrWithheld) || errors.Is(err, detour.ErrNoVM) {
			return report, fmt.Errorf("read report: %w: %w", ErrWithheld, err)
		}
		if h.ObserveWait(id, incarnation, err); errors.Is(h.CheckWait(id, incarnation), ErrWithheld) {
			return report, fmt.Errorf("read report: %w: %w", ErrWithheld, err)
		}
		if !isUnanswered(err) {
			unanswered = 0
			continue
		}
		// A VM that did not get the processor measures more than the server's silence.
		unanswered += min(time.Since(asked), limit)
		if through || h.Detour.Active() {
			// This VM's network, or the other VM, may be silent instead.
			unanswered = 0
		}
		if timeout > 0 {
			break
		}
	}
	h.Post(fleet.Unreachable{Server: id, Incarnation: incarnation, Ended: errors.Is(err, syscall.ECONNREFUSED), Unanswered: unanswered, Reason: err.Error()})
	return report, err
}

// isUnanswered reports whether a call failed because nothing came back, as opposed to a refusal or a connection that was broken off.
func isUnanswered(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout() || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

package proxy

import (
	"errors"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/flow"
	"github.com/teaselstream/teaselstream/ramp"
)

// directProbeAfter is the time without an event after which a stream asks its servers itself: the observing VM may reach a server that this VM does
// not.
const directProbeAfter = 300 * time.Millisecond

// stallShare is the share of the route's objective for pauses after which a stream may be reported as standing still. The rest is for
// finding the server, for the move and for reading the tokens again.
const stallShare = 0.25

type (
	// Observer exchanges what VMs of a failure domain find out about its servers.
	Observer interface {
		// Known reports whether a VM observes the servers of the failure domain.
		Known() bool
		// Report returns a server's report that the observing VM reads; ok is false if this VM has to read it itself.
		Report(id teaselstream.ServerID) (report teaselstream.ReplicaReport, ok bool, err error)
		// Stalled reports the path of a stream that stands still.
		Stalled(servers []teaselstream.ServerID)
	}

	// downSignal wakes streams when a server goes down, since a stream without events looks at the view rarely; its zero value works.
	downSignal struct {
		mu   sync.Mutex
		next chan struct{}
	}
)

// ServersWentDown makes all streams look at the current view, in which servers are down that were not before.
func (h *Handler) ServersWentDown() {
	h.downs.mu.Lock()
	defer h.downs.mu.Unlock()
	if h.downs.next != nil {
		close(h.downs.next)
		h.downs.next = nil
	}
}

// wait returns a channel that is closed when the next server goes down.
func (d *downSignal) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.next == nil {
		d.next = make(chan struct{})
	}
	return d.next
}

// observed reports whether another VM, or this one, observes the servers of the failure domain.
func (h *Handler) observed() bool { return h.Observer != nil && h.Observer.Known() }

// stallDelay returns the time without an event after which streams of a route may be reported as standing still, or 0.
func (h *Handler) stallDelay(r *teaselstream.Route) time.Duration {
	if !h.observed() {
		return 0
	}
	return time.Duration(stallShare * float64(r.Gap))
}

// reportStall tells the control loop and the observing VM that the stream stands still.
func (s *streamRunner) reportStall(c flow.StreamStalled) {
	servers := c.Path.Servers()
	s.handler.Post(fleet.StreamStalled{Servers: servers})
	if s.handler.Observer != nil {
		s.handler.Observer.Stalled(servers)
	}
}

// observedReport reads a server's report through the observing VM, if there is one.
func (h *Handler) observedReport(m *fleet.Member) (teaselstream.ReplicaReport, bool, error) {
	if h.Observer == nil {
		return teaselstream.ReplicaReport{}, false, nil
	}
	report, ok, err := h.Observer.Report(m.ID)
	if ok && err == nil && report.Leaving {
		h.Notices.ObserveLeaving(time.Now(), m.ID, report.Incarnation)
		h.Post(fleet.LeavingStated{Server: m.ID, Incarnation: report.Incarnation})
	}
	return report, ok, err
}

// IsUnanswered reports whether an error of ReadForOthers means that the server did not answer this VM.
func IsUnanswered(err error) bool {
	return err != nil && !errors.Is(err, ErrWithheld) && !errors.Is(err, teaselstream.ErrNotFound)
}

// ReadForOthers reads a server's report for another VM, or returns one that is at most probeReuse old.
func (h *Handler) ReadForOthers(id teaselstream.ServerID) (teaselstream.ReplicaReport, error) {
	m := h.View().Members[id]
	if m == nil {
		return teaselstream.ReplicaReport{}, teaselstream.ErrNotFound
	}
	return h.prober.readReport(h, m, true)
}

// CheckEnded connects to a server that has ended for another VM, and reports it to the control loop if it refuses the connection.
func (h *Handler) CheckEnded(x fleet.CheckEnded) {
	if refusesConnections(x.Address, h.dialServer) {
		h.Post(fleet.Unreachable{Server: x.Server, Incarnation: x.Incarnation, Ended: true, Reason: "ended for another VM, and refuses connections"})
	}
}

// StreamedSince reports whether the first event of a stream has come since a time.
func (h *Handler) StreamedSince(t time.Time) bool {
	at := h.firstEventAt.Load()
	return at != 0 && at > t.UnixNano()
}

// reportPace reports the time to the first event to the control loop, for the servers of the path whose pace is being found.
func (s *streamRunner) reportPace(now time.Time) {
	took := now.Sub(s.current().openedAt)
	s.handler.firstEventAt.Store(now.UnixNano())
	expected := s.handler.firstEvents.mean()
	v := s.handler.View()
	found := false
	for _, p := range s.core.Path {
		if m := v.Members[p.Server]; m != nil && m.Share > 0 {
			found = true
			s.handler.post(ramp.Answered{Server: m.ID, Incarnation: m.Incarnation, Took: took, Expected: expected})
		}
	}
	if !found {
		s.handler.firstEvents.add(took)
	}
}

// reportCallPace does the same with the time of a call to a plain replica.
func (h *Handler) reportCallPace(s sendResult, r *teaselstream.Route) {
	m := h.View().Members[s.member.ID]
	if m == nil || m.Share == 0 {
		return
	}
	expected, _ := h.durations.of(r)
	h.post(ramp.Answered{Server: m.ID, Incarnation: m.Incarnation, Took: s.elapsed, Expected: expected})
}

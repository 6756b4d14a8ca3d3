package status

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/hconn"
	"github.com/teaselstream/teaselstream/ramp"
)

const (
	// observersPerDomain is the number of VMs of a failure domain that may observe: the first, and those that stand by for it.
	observersPerDomain = 3
	// minVMs is the number of VMs from which a failure domain has an observer; fewer repeat little of each other's work.
	minVMs = 5
	// holdTime is how long an ask without news is held; the loads that come with the answer are then as old as this at most.
	holdTime = 900 * time.Millisecond
	// askTimeout bounds an ask, so that an observer that is frozen or cut off is noticed before callers leave a stream, after 2 s.
	askTimeout = 1400 * time.Millisecond
	// urgentTimeout bounds a message that a stream waits for; VMs of one domain are less than a millisecond apart.
	urgentTimeout = 60 * time.Millisecond
	// takeoverTime is how long a VM that answers, but does not observe, may take to begin before one behind it does: it has to notice the end
	// of the one before it, by a call that fails after askTimeout at most.
	takeoverTime = askTimeout + 2*retryPause
	// askSpacing is the least time between two asks, whatever the observer answers. Of several servers that end at once, the second one's news is
	// as much later.
	askSpacing = 10 * time.Millisecond
	// failedPause is how long a VM that did not answer is not asked.
	failedPause = 3 * time.Second
	// retryPause is the time between two attempts to find an observer.
	retryPause = 300 * time.Millisecond
	// standbyPeriod is how long a VM that stands in observes before it looks whether one before it answers again.
	standbyPeriod = 2 * time.Second
	// freshTime is how long after its last answer the observer counts as known.
	freshTime = 1900 * time.Millisecond
	// stallBatch is how long reports of streams that stand still are collected into one message.
	stallBatch = 5 * time.Millisecond
	stallQueue = 256
	// The paths of the listener for other VMs.
	askPath    = "/status"
	stallPath  = "/status/stalled"
	reportPath = "/status/report"
	// serverParameter names the server in a request for its report.
	serverParameter = "server"
)

var (
	// errNotObserving means that a VM answers and does not observe, or not the server in question.
	errNotObserving = errors.New("VM does not observe")
	// errUnknownMessage means that a VM does not know the message, as those of older builds do not.
	errUnknownMessage = errors.New("VM does not know the message")
)

type (
	// Service exchanges what VMs know about servers. All exported fields must be set before Run.
	Service struct {
		Self fleet.Peer
		// Peers returns the registered VMs, this one included.
		Peers func() []fleet.Peer
		// Post passes messages to the control loop: fleet.Observed, and the messages of Observer while this VM observes.
		Post func(teaselstream.Msg)
		// ReadReport reads a server's report, or returns one that is at most 100 ms old.
		ReadReport func(id teaselstream.ServerID) (teaselstream.ReplicaReport, error)
		// Unanswered reports whether an error of ReadReport means that the server did not answer this VM.
		Unanswered func(error) bool
		// Isolated reports whether this VM reaches no server itself; it does not observe then.
		Isolated func() bool
		// DomainOf returns the failure domain of a server, or an empty one if the server is not known.
		DomainOf func(id teaselstream.ServerID) teaselstream.DomainID
		// Teams returns this VM's running requests by team and service.
		Teams func() []TeamLoad
		// Samples returns what this VM has counted since the last call, and Shares the shares that it has found.
		Samples func() []ramp.Sample
		Shares  func() []Share
		// SetTeams receives those of all VMs.
		SetTeams func([]TeamLoad)
		Log      *slog.Logger

		journal journal
		conn    hconn.Client
		// observer is the VM that answered last, or nil; answeredAt is when.
		observer   atomic.Pointer[fleet.Peer]
		answeredAt atomic.Pointer[time.Time]
		observing  atomic.Bool
		foreign    foreignObservers
		stalls     chan []teaselstream.ServerID
		once       sync.Once
		// rejected counts the messages that could not be read since the last log line.
		rejected atomic.Int64
		// boot and seq are the place of the newest answer, and pausedUntil the time until which a VM is not asked. Only Run uses them.
		boot, seq   uint64
		pausedUntil map[teaselstream.VMID]time.Time
		// answersOnly holds the VMs that answered last that they do not observe, notObserving their number among those that rank before this VM,
		// and notObservingSince since when there has been such a VM and none that observes. Only Run uses them.
		answersOnly       map[teaselstream.VMID]bool
		notObserving      int
		notObservingSince time.Time
	}
)

func (s *Service) init() {
	s.once.Do(func() { s.stalls = make(chan []teaselstream.ServerID, stallQueue) })
}

// Run asks the observer of the failure domain, or observes, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.init()
	s.pausedUntil, s.answersOnly = make(map[teaselstream.VMID]time.Time), make(map[teaselstream.VMID]bool)
	go s.sendStalls(ctx)
	for ctx.Err() == nil {
		upstreams, mayObserve := s.role()
		switch {
		case s.askFirst(ctx, upstreams):
			s.observe(false)
			pause(ctx, askSpacing)
		case mayObserve && !s.Isolated() && !s.awaitsEarlier(time.Now()):
			s.observe(true)
			s.exchangeOwn(ctx, standbyPeriod)
		default:
			s.observe(false)
			pause(ctx, retryPause)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// role returns the VMs to ask in turn, and whether this VM observes if none of them answers.
func (s *Service) role() (upstreams []fleet.Peer, mayObserve bool) {
	ranked := observers(s.Self.Domain, s.Peers())
	for _, p := range ranked {
		if p.Name == s.Self.Name {
			return upstreams, true
		}
		upstreams = append(upstreams, p)
	}
	return upstreams, false
}

// observers returns the VMs of a failure domain that may observe, in rank, or none if it has fewer than minVMs. Those with the most memory go
// first, since observing takes a multiple of the processor time that the small VMs of some deployments have.
func observers(d teaselstream.DomainID, all []fleet.Peer) []fleet.Peer {
	peers := make(map[teaselstream.VMID]fleet.Peer)
	var names []teaselstream.VMID
	for _, p := range all {
		if p.Domain == d && p.Address != "" {
			peers[p.Name] = p
			names = append(names, p.Name)
		}
	}
	if len(names) < minVMs {
		return nil
	}
	ranked := teaselstream.RendezvousOrder("status/"+string(d), names)
	slices.SortStableFunc(ranked, func(a, b teaselstream.VMID) int { return cmp.Compare(peers[b].MemoryMB, peers[a].MemoryMB) })
	out := make([]fleet.Peer, observersPerDomain)
	for i, name := range ranked[:observersPerDomain] {
		out[i] = peers[name]
	}
	return out
}

// observe makes this VM the observer, or ends that.
func (s *Service) observe(active bool) {
	if s.observing.Swap(active) == active {
		// The control loop drops messages while its queue is full.
		s.Post(Activated{Active: active})
		return
	}
	s.foreign.stop()
	s.Log.Info("Observer", "active", active, "domain", string(s.Self.Domain))
	if active {
		s.observer.Store(nil)
		s.boot, s.seq = 0, 0
		s.journal.reset(rand.Uint64())
	} else {
		s.journal.reset(0)
	}
	s.Post(Activated{Active: active})
}

// exchangeOwn passes on the teams of this VM and of those that ask it, for some time.
func (s *Service) exchangeOwn(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		s.askForeign(ctx)
		now := time.Now()
		s.journal.setTeams(now, s.Self.Name, s.Teams())
		s.SetTeams(s.journal.teamLoads(now))
		pause(ctx, holdTime)
	}
	s.logRejected()
}

// logRejected logs how many messages or records could not be used since the last call.
func (s *Service) logRejected() {
	if n := s.rejected.Swap(0); n > 0 {
		s.Log.Warn("StatusMessagesRejected", "count", n)
	}
}

// askFirst asks the first VM that answers and reports whether one did.
func (s *Service) askFirst(ctx context.Context, upstreams []fleet.Peer) bool {
	s.notObserving = 0
	for _, p := range upstreams {
		if time.Now().Before(s.pausedUntil[p.Name]) {
			s.countNotObserving(p.Name)
			continue
		}
		began := time.Now()
		a, err := s.ask(ctx, p)
		if err != nil {
			s.pausedUntil[p.Name] = time.Now().Add(pauseAfter(err))
			s.answersOnly[p.Name] = errors.Is(err, errNotObserving)
			s.countNotObserving(p.Name)
			if ctx.Err() == nil {
				s.Log.Info("ObserverFailed", "observer", string(p.Name), "error", err.Error())
			}
			continue
		}
		s.notObservingSince = time.Time{}
		s.apply(p, began, a)
		return true
	}
	s.observer.Store(nil)
	switch {
	case s.notObserving == 0:
		s.notObservingSince = time.Time{}
	case s.notObservingSince.IsZero():
		s.notObservingSince = time.Now()
	}
	return false
}

// countNotObserving counts a VM that answers and does not observe.
func (s *Service) countNotObserving(id teaselstream.VMID) {
	if s.answersOnly[id] {
		s.notObserving++
	}
}

// awaitsEarlier reports whether a VM that ranks before this one answers and may begin to observe soon.
func (s *Service) awaitsEarlier(now time.Time) bool {
	return !s.notObservingSince.IsZero() && now.Sub(s.notObservingSince) < time.Duration(s.notObserving)*takeoverTime
}

// pauseAfter returns how long a VM is not asked after an error. One that answers, but does not observe, may do so soon.
func pauseAfter(err error) time.Duration {
	if errors.Is(err, errNotObserving) {
		return retryPause
	}
	return failedPause
}

func (s *Service) apply(p fleet.Peer, began time.Time, a Answer) {
	now := time.Now()
	s.answeredAt.Store(&now)
	if old := s.observer.Swap(&p); old == nil || old.Name != p.Name {
		s.Log.Info("ObserverFound", "observer", string(p.Name), "ms", now.Sub(began).Milliseconds())
	}
	s.logRejected()
	s.boot, s.seq = a.Boot, a.Seq
	s.SetTeams(a.Teams)
	s.Post(observedMessage(p, a))
	for _, x := range a.Shares {
		s.Post(ramp.Shared{Server: x.Server, Incarnation: x.Incarnation, Share: x.Share, At: now})
	}
}

func observedMessage(p fleet.Peer, a Answer) fleet.Observed {
	m := fleet.Observed{From: p.Name, Observations: make([]fleet.Observation, len(a.Records))}
	for i, r := range a.Records {
		m.Observations[i] = r.observation()
	}
	return m
}

func (r *Record) observation() fleet.Observation {
	return fleet.Observation{
		Server: r.Server, Incarnation: r.Incarnation, State: r.State, Age: r.Age, CutOff: r.CutOff,
		Report: teaselstream.ReplicaReport{
			Incarnation: r.Incarnation, Holds: r.Holds, Orders: r.Orders, Running: r.Running, Waiting: r.Waiting,
			CacheUsed: r.CacheUsed, CacheTotal: r.CacheTotal, Pace: r.Pace,
		},
	}
}

func (s *Service) ask(ctx context.Context, p fleet.Peer) (Answer, error) {
	return s.exchange(ctx, p, Ask{VM: s.Self.Name, Domain: s.Self.Domain, Boot: s.boot, After: s.seq, Teams: s.Teams(), Samples: s.Samples()})
}

func (s *Service) exchange(ctx context.Context, p fleet.Peer, q Ask) (Answer, error) {
	body, err := encode(q)
	if err != nil {
		return Answer{}, err
	}
	answer, err := s.call(ctx, p, askPath, body, askTimeout)
	if err != nil {
		return Answer{}, err
	}
	a, dropped, err := decodeAnswer(answer)
	s.rejected.Add(int64(dropped))
	return a, err
}

// call sends a message to another VM and returns the body of its answer.
func (s *Service) call(ctx context.Context, p fleet.Peer, target string, body []byte, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetRequestURI("http://" + p.Address + target)
	q.SetBody(body)
	if err := s.conn.Do(ctx, q, a); err != nil {
		return nil, fmt.Errorf("ask VM %s: %w", p.Name, err)
	}
	switch a.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusServiceUnavailable:
		return nil, fmt.Errorf("ask VM %s: %w", p.Name, errNotObserving)
	default:
		return nil, fmt.Errorf("ask VM %s: status %d: %w", p.Name, a.StatusCode(), errUnknownMessage)
	}
	return append([]byte(nil), a.Body()...), nil
}

// current returns the VM that observes for the failure domain, if it has answered lately.
func (s *Service) current() (fleet.Peer, bool) {
	p := s.observer.Load()
	if p == nil || time.Since(*s.answeredAt.Load()) > freshTime {
		return fleet.Peer{}, false
	}
	return *p, true
}

// Known reports whether another VM observes for this one, or this VM observes itself.
func (s *Service) Known() bool {
	if s.observing.Load() {
		return true
	}
	_, ok := s.current()
	return ok
}

// Observes reports whether this VM observes for its failure domain.
func (s *Service) Observes() bool { return s.observing.Load() }

// Report returns a server's report that the observer reads; ok is false if this VM has to read it itself. The error wraps
// teaselstream.ErrUnavailable if the server does not answer the observer.
func (s *Service) Report(id teaselstream.ServerID) (report teaselstream.ReplicaReport, ok bool, err error) {
	p, known := s.current()
	if !known {
		return report, false, nil
	}
	body, err := s.call(context.Background(), p, reportPath+"?"+serverParameter+"="+url.QueryEscape(string(id)), nil, 2*urgentTimeout+2*stallTimeout)
	if err != nil {
		s.Log.Info("ObserverFailed", "observer", string(p.Name), "error", err.Error())
		return report, false, nil
	}
	a, err := decodeReport(body)
	if err != nil {
		s.rejected.Add(1)
		return report, false, nil
	}
	if a.Unanswered {
		return report, true, fmt.Errorf("report of %s by VM %s: %w", id, p.Name, teaselstream.ErrUnavailable)
	}
	return a.Report, true, nil
}

// Stalled reports a stream that stands still to the observer. It never blocks; what exceeds the queue is dropped, since other
// streams on a lost server report it too.
func (s *Service) Stalled(servers []teaselstream.ServerID) {
	s.init()
	select {
	case s.stalls <- servers:
	default:
	}
}

func (s *Service) sendStalls(ctx context.Context) {
	for {
		var paths [][]teaselstream.ServerID
		select {
		case <-ctx.Done():
			return
		case first := <-s.stalls:
			paths = append(paths, first)
		}
		pause(ctx, stallBatch)
		for len(paths) < maxPaths && len(s.stalls) > 0 {
			paths = append(paths, <-s.stalls)
		}
		if s.observing.Load() {
			s.takeStalls(Stall{Paths: paths})
			continue
		}
		p, ok := s.current()
		if !ok {
			continue
		}
		body, err := encode(Stall{Paths: paths})
		if err == nil {
			_, err = s.call(ctx, p, stallPath, body, urgentTimeout)
		}
		if err != nil {
			s.Log.Info("ObserverFailed", "observer", string(p.Name), "error", err.Error())
		}
	}
}

package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/call"
	"github.com/teaselstream/teaselstream/config"
	"github.com/teaselstream/teaselstream/ctrl"
	"github.com/teaselstream/teaselstream/drain"
	"github.com/teaselstream/teaselstream/front"
	"github.com/teaselstream/teaselstream/hengin"
	"github.com/teaselstream/teaselstream/hlist"
	"github.com/teaselstream/teaselstream/hstore"
	"github.com/teaselstream/teaselstream/hsvc"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/route"
	"github.com/teaselstream/teaselstream/serve"
	"github.com/teaselstream/teaselstream/shadow"
)

// shutdownMargin is added to the drain timeout for the shutdown steps before and after the wait for requests in flight.
const shutdownMargin = 10 * time.Second

// warmUpTimeout is the maximum wait at the start for servers that do not answer. The control plane determines the state of all servers within 2 s.
const warmUpTimeout = 3 * time.Second

// reportLag is the maximum age of an engine's load report when it is read. The planner adds the streams that it started
// within this time to the reported load.
const reportLag = time.Second

// process holds the components of the running program.
type process struct {
	settings    config.EntrySettings
	incarnation teaselstream.Incarnation
	recorder    *invar.Recorder
	budget      admit.RetryBudget
	meter       *meter.Meter
	store       *hstore.Client
	engine      *hengin.Client
	control     *ctrl.Control
	models      *serve.Service
	shadow      *shadow.Sampler
	calls       *call.Handler
	front       *front.Server
	keys        serverKeys
	// startedControl has the same value as control. It is atomic because the control plane calls engines, whose keys come
	// from its snapshot, before startControl returns.
	startedControl atomic.Pointer[ctrl.Control]
	stopping       atomic.Bool
	// listenersClosed is set when the callers' listener closes.
	listenersClosed atomic.Bool
	// warmedUp is set once the VM can serve requests; documentSince is the time of the first readiness check with a document.
	warmedUp      atomic.Bool
	documentSince atomic.Pointer[time.Time]
	// lastInFlight is the last count of requests in flight that was logged during shutdown.
	lastInFlight atomic.Pointer[drain.InFlight]
	// frontShutdown receives the result of the shutdown of front.
	frontShutdown chan error
}

// serveUntil runs the router until ctx ends, then shuts down gracefully and lets requests in flight finish.
func serveUntil(ctx context.Context, settings config.EntrySettings) error {
	m, err := meter.New(ctx, meter.Options{
		VM: settings.VM.Name, PushAddress: settings.Metrics.PushAddress, PushPeriod: settings.Metrics.PushPeriod,
	})
	if err != nil {
		return fmt.Errorf("start metrics: %w", err)
	}
	p := &process{
		settings: settings, meter: m, store: &hstore.Client{Addresses: settings.Store.Addresses},
		incarnation: teaselstream.Incarnation(time.Now().UnixNano()), frontShutdown: make(chan error, 1),
	}
	p.recorder = &invar.Recorder{OnViolation: func(invar.Violation) { m.Count(meter.InvariantViolated, 1) }}
	p.engine = &hengin.Client{Key: p.engineKey}
	// The control plane outlives ctx because it runs the shutdown sequence.
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.startControl(background); err != nil {
		return err
	}
	p.buildServices()
	go p.models.Run(background)
	go p.shadow.Run(background)
	failed, err := p.listen()
	if err != nil {
		return err
	}
	slog.Info("serving", "vm", settings.VM.Name, "callers", settings.Listen.Callers, "operators", settings.Listen.Operators)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return p.stop()
}

func (p *process) startControl(ctx context.Context) error {
	s := &p.settings
	o := ctrl.Options{
		VM: s.VM.Name, Domain: s.VM.Domain, Environment: s.VM.Environment, Incarnation: p.incarnation,
		Store: p.store, Engine: p.engine, ListenPeers: s.Listen.Peers, Seeds: s.Peers.Addresses, Secret: []byte(s.Peers.Secret),
		DrainDelay: s.Limits.BalancerDelay, DrainTimeout: s.Limits.DrainTimeout,
		InFlight: p.inFlight, CloseListeners: p.closeListeners, Recorder: p.recorder,
	}
	if s.List.Address != "" {
		o.List = &hlist.Client{Address: s.List.Address}
	}
	c, err := ctrl.Start(ctx, o)
	if err != nil {
		return fmt.Errorf("start control: %w", err)
	}
	p.control = c
	p.startedControl.Store(c)
	return nil
}

func (p *process) buildServices() {
	prefixes := &route.Prefixes{}
	p.models = serve.New(serve.Options{
		Snapshot: p.control.Snapshot, Engine: p.engine, Meter: p.meter, Invariants: p.recorder, Budget: &p.budget,
		Planner: route.NewCheapest(route.Options{Recorder: p.recorder, Prefixes: prefixes, ReportLag: reportLag}), Prefixes: prefixes,
		Report: p.reportEngine, SendBlameMessage: p.sendBlame,
		Latency: func(l serve.Latency) { p.control.Post(l) },
	})
	p.calls = call.New(call.Options{
		Snapshot: p.control.Snapshot, Service: &hsvc.Client{}, Store: p.store, VM: p.settings.VM.Name, Incarnation: p.incarnation,
		SendPeer: p.control.Send, Invariants: p.recorder, MayRetry: p.budget.Retry, Report: p.reportService,
	})
	p.control.SetReceiver(p.receive)
	p.control.SetCanary(p.models.Canary)
	p.shadow = shadow.NewSampler(time.Now)
	p.front = front.New(front.Options{
		VM: p.settings.VM.Name, Snapshot: p.control.Snapshot, Models: p.models, ServiceCaller: p.calls, Shadow: p.shadow,
		Ready:             p.ready,
		OperatorStatus:    operator{p},
		Metrics:           p.meter.Handler(),
		OperatorKeyDigest: digestOf(string(p.settings.Operators.Key)),
		MaxHeader:         teaselstream.Bytes(p.settings.Limits.MaxHeaderBytes),
		MaxBody:           teaselstream.Bytes(p.settings.Limits.MaxBodyBytes),
		ReadTimeout:       p.settings.Limits.ReadTimeout,
	})
}

// ready reports whether the VM has a document, has completed its warm-up, and is not stopping.
func (p *process) ready() bool {
	s := p.control.Snapshot()
	return s != nil && s.Document != nil && !s.Stopping && !p.stopping.Load() && p.checkWarmUp(time.Now(), s)
}

// checkWarmUp reports whether all servers accept new work or warmUpTimeout has passed.
// A VM sends no work to servers that have not answered yet, so without the warm-up it would refuse requests after its start.
func (p *process) checkWarmUp(now time.Time, s *teaselstream.Snapshot) bool {
	if p.warmedUp.Load() {
		return true
	}
	p.documentSince.CompareAndSwap(nil, &now)
	warmedUp := now.Sub(*p.documentSince.Load()) >= warmUpTimeout
	if !warmedUp {
		warmedUp = true
		for id := range s.Document.Servers {
			warmedUp = warmedUp && s.Servers[id].State.TakesNewWork()
		}
	}
	p.warmedUp.Store(warmedUp)
	return warmedUp
}

func digestOf(key string) teaselstream.Digest {
	sum := sha256.Sum256([]byte(key))
	return teaselstream.Digest(hex.EncodeToString(sum[:]))
}

// listen opens both listeners; the channel receives the error of a listener that fails.
func (p *process) listen() (<-chan error, error) {
	callers, err := net.Listen("tcp", p.settings.Listen.Callers)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := net.Listen("tcp", p.settings.Listen.Operators)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for operators: %w", err), callers.Close())
	}
	failed := make(chan error, 2)
	go func() { failed <- p.front.Serve(callers) }()
	go func() { failed <- p.front.ServeOperator(operators) }()
	return failed, nil
}

func (p *process) inFlight() drain.InFlight {
	n := drain.InFlight{Streams: p.models.InFlight(), Calls: p.front.Calls(), Orders: p.calls.Orders()}
	if p.listenersClosed.Load() {
		// A request that is still being read needs the control plane as well.
		n.Calls = max(n.Calls, p.front.OpenConnections())
	}
	if old := p.lastInFlight.Swap(&n); old == nil || *old != n {
		slog.Info("waiting for work in flight", "streams", n.Streams, "calls", n.Calls, "orders", n.Orders)
	}
	return n
}

// closeListeners stops accepting requests; requests in flight continue.
func (p *process) closeListeners() {
	p.listenersClosed.Store(true)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.settings.Limits.DrainTimeout)
		defer cancel()
		p.frontShutdown <- p.front.Shutdown(ctx)
	}()
}

// stop runs the shutdown sequence of the control plane and then closes the remaining components.
func (p *process) stop() error {
	p.stopping.Store(true)
	slog.Info("stopping", "in_flight", p.models.InFlight())
	limits := p.settings.Limits
	ctx, cancel := context.WithTimeout(context.Background(), limits.BalancerDelay+limits.DrainTimeout+shutdownMargin)
	defer cancel()
	err := p.control.Stop(ctx)
	select {
	case x := <-p.frontShutdown:
		err = errors.Join(err, x)
	case <-ctx.Done():
		err = errors.Join(err, ctx.Err())
	}
	p.calls.Close()
	p.engine.Close()
	if err = errors.Join(err, p.meter.Stop(ctx)); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	slog.Info("stopped")
	return nil
}

func setLog(l config.Log) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		// The settings accept only level names that UnmarshalText accepts.
		slog.Warn("unknown log level; using info", "level", l.Level, "error", err)
	}
	o := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, o)))
		return
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, o)))
}

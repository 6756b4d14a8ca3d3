package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/chain"
	"github.com/teaselstream/teaselstream/config"
	"github.com/teaselstream/teaselstream/detour"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/hconn"
	"github.com/teaselstream/teaselstream/memory"
	"github.com/teaselstream/teaselstream/meter"
	"github.com/teaselstream/teaselstream/pick"
	"github.com/teaselstream/teaselstream/platform"
	"github.com/teaselstream/teaselstream/proxy"
	"github.com/teaselstream/teaselstream/share"
	"github.com/teaselstream/teaselstream/sock"
	"github.com/teaselstream/teaselstream/status"
	"github.com/teaselstream/teaselstream/watch"
)

const (
	// idleCheckPeriod is the period of closing expired idle connections to servers.
	idleCheckPeriod = time.Second
	// budgetFraction is the fraction of the retry budget that is used; the rest covers VMs that another VM does not know yet,
	// and requests that the servers count in another time window.
	budgetFraction = 0.85
	// minBudgetVMs is the least number of VMs by which the budget is divided, since after a start few have registered.
	minBudgetVMs = 6
	// Servers' answers may take one part in messageShare of the process's memory, and so may the bodies of requests. The garbage
	// collector lets the heap grow to about twice what is held.
	messageShare = 8
	// heapShare is the fraction of the process's memory from which on the garbage collector runs more often; the rest is for what the
	// platform counts beyond the heap, such as received bytes that have not been read.
	heapShare = 0.75
	// maxReportBytes limits the answer to a report or an order, which lists stalled requests at most.
	maxReportBytes = 256 << 10
	// headerTimeout limits reading the header of a readiness or metrics request.
	headerTimeout = 2 * time.Second
)

// process holds the components of a running router.
type process struct {
	file        string
	settings    atomic.Pointer[config.GateSettings]
	log         *slog.Logger
	store       *platform.Store
	shared      *share.Directory
	budgets     admit.Budgets
	controlLoop *controlLoop
	handler     *proxy.Handler
	server      *proxy.Server
	// relay serves exchanges of other VMs with servers.
	relay *proxy.Server
	// bodies bounds the bytes of requests' bodies.
	bodies   memory.Budget
	meter    *meter.Meter
	stopping atomic.Bool
	dial     sock.DialFunc
	// status exchanges what VMs know about servers, and conns watches the connections on which reports are read.
	status *status.Service
	conns  status.Conns
}

// serveUntil runs the router until ctx ends, then drains the requests in flight. It connects to servers with dial, or with net.Dialer
// if dial is nil.
func serveUntil(ctx context.Context, file string, settings config.GateSettings, log *slog.Logger, dial sock.DialFunc) error {
	m, err := meter.New(ctx, meter.Options{VM: settings.VM.Name})
	if err != nil {
		return fmt.Errorf("start metrics: %w", err)
	}
	p := &process{file: file, log: log, store: &platform.Store{}, meter: m, dial: dial}
	p.assemble(settings)
	p.applySettings(settings)
	p.budgets.Start(time.Now())
	background, end := context.WithCancel(context.Background())
	defer end()
	callers, err := net.Listen("tcp", settings.Listen.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if err := p.serveReady(settings); err != nil {
		return errors.Join(err, callers.Close())
	}
	if err := p.servePeers(settings); err != nil {
		return errors.Join(err, callers.Close())
	}
	if err := p.serveRelay(settings); err != nil {
		return errors.Join(err, callers.Close())
	}
	registered, unregister := context.WithCancel(background)
	defer unregister()
	registrar := p.registrar()
	go registrar.Run(registered)
	for _, reports := range []*watch.Publisher{p.controlLoop.crashReports, p.controlLoop.limitReports} {
		reports.Lease = registrar.Lease
		go reports.Run(background)
	}
	go p.controlLoop.run(background)
	p.runStatus(background)
	follower := p.follower(background)
	follower.Restored = registrar.StoreRestored
	go follower.Run(background)
	go p.reload(background)
	go p.closeExpired(background)
	failed := make(chan error, 1)
	go func() { failed <- p.server.Run(callers) }()
	log.Info("Serving", "callers", settings.Listen.Callers, "ready", settings.Listen.Ready, "store", settings.Store.Addresses)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	log.Info("Stopping", "active", p.server.ActiveRequests())
	unregister()
	p.stop(callers, failed)
	return nil
}

func (p *process) assemble(settings config.GateSettings) {
	random := &globalRand{}
	planner := &chain.Planner{DrainTime: settings.Bounds.DrainTime, Rand: random}
	p.controlLoop = newControlLoop(settings, p.log)
	peers := func() []fleet.Peer { return p.controlLoop.current().Peers }
	through := &detour.Chooser{Self: settings.VM.Name, Isolated: p.controlLoop.isolated.Load, Peers: peers, Rand: random, OnPutAside: p.recordPutAside}
	p.handler = &proxy.Handler{
		View: p.controlLoop.current, Dialect: platform.Dialect{}, Dial: p.dial, Detour: through, Planner: planner,
		Quarantine: p.controlLoop.quarantine.Load,
		Balancer:   &pick.Balancer{Rand: random}, Budgets: &p.budgets, Rand: random, Meter: p.meter, Log: p.log, Post: p.controlLoop.post,
	}
	p.handler.Replicas = &platform.Replicas{Conn: hconn.Client{Dial: p.handler.DialServer, Detour: through, MaxBodyBytes: maxReportBytes}}
	p.controlLoop.handler = p.handler
	p.controlLoop.store = p.store
	publisher := func(prefix string) *watch.Publisher {
		return &watch.Publisher{Store: p.store, Key: prefix + string(settings.VM.Name), Rand: random, Log: p.log}
	}
	p.controlLoop.crashReports, p.controlLoop.limitReports = publisher(watch.CrashReportPrefix), publisher(watch.LimitReportPrefix)
	p.controlLoop.onPublish = p.shareBudget
	p.shared = &share.Directory{
		Directory: p.store, Self: fleet.Peer{Name: settings.VM.Name, Domain: settings.VM.Domain, Address: settings.Listen.Peers, Relay: settings.Listen.Relay, MemoryMB: memoryMB(settings)},
		Peers: peers, Log: p.log,
	}
	p.server = &proxy.Server{Serve: p.handler.Serve, Limits: p.limits, Log: p.log, Bodies: &p.bodies}
	p.assembleStatus(settings, peers)
	p.relay = &proxy.Server{Serve: p.handler.Carry, Limits: p.relayLimits, Log: p.log, Bodies: &p.bodies}
}

func (p *process) limits() teaselstream.EdgeLimits {
	v := p.controlLoop.current()
	if v.Routing == nil {
		return teaselstream.EdgeLimits{}
	}
	return v.Routing.Limits
}

// applySettings applies the settings that may change while the process runs.
func (p *process) applySettings(settings config.GateSettings) {
	p.settings.Store(&settings)
	p.store.SetAddress(settings.Store.Addresses[0])
	p.shareBudget(p.controlLoop.current())
	p.shareMemory(settings.Bounds.Memory)
}

// shareMemory divides the memory of the process, or sets the defaults if it is not known.
func (p *process) shareMemory(n teaselstream.Bytes) {
	p.handler.Answers.SetLimit(n / messageShare)
	p.bodies.SetLimit(n / messageShare)
	if n > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(n)))
	}
}

// shareBudget sets this VM's share of the retry budget of all VMs.
func (p *process) shareBudget(v *fleet.View) {
	b := p.settings.Load().Bounds
	p.budgets.Set(budgetFraction*b.RetryRatio, budgetFraction*b.RetrySlack/float64(max(len(v.Peers), minBudgetVMs)), b.RetryWindow)
}

func (p *process) follower(ctx context.Context) *watch.Follower {
	return &watch.Follower{
		Directory: p.shared, RoutingKey: platform.RoutingKey, ReplicaPrefix: platform.ReplicaPrefix,
		DecodeRouting: platform.DecodeRouting, DecodeReplica: platform.DecodeReplica,
		Post: func(m teaselstream.Msg) { p.controlLoop.postAll(ctx, m) }, Rand: &globalRand{}, Log: p.log,
	}
}

func (p *process) registrar() *watch.Registrar {
	return &watch.Registrar{Directory: p.store, Self: p.shared.Self, Rand: &globalRand{}, Log: p.log}
}

// ready reports whether the VM accepts new connections: it has a configuration and is not stopping.
func (p *process) ready() bool {
	return !p.stopping.Load() && p.controlLoop.current().Routing != nil
}

func (p *process) serveReady(settings config.GateSettings) error {
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !p.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := p.listen(settings.Listen.Ready, ready); err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	if settings.Listen.Metrics == "" {
		return nil
	}
	if err := p.listen(settings.Listen.Metrics, p.meter.Handler()); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return nil
}

// servePeers serves other VMs that read the store through this one.
func (p *process) servePeers(settings config.GateSettings) error {
	if settings.Listen.Peers == "" {
		return nil
	}
	l, err := net.Listen("tcp", settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	go func() {
		if err := p.shared.Serve(l); err != nil {
			p.log.Error("ListenerFailed", "address", settings.Listen.Peers, "error", err)
		}
	}()
	return nil
}

func (p *process) listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := s.Serve(l); err != nil {
			p.log.Error("ListenerFailed", "address", address, "error", err)
		}
	}()
	return nil
}

// reload rereads the settings on SIGHUP, and keeps the old ones if the new ones are invalid.
func (p *process) reload(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		settings, err := config.LoadGate(p.file)
		if err != nil {
			p.log.Error("ReloadFailed", "error", err)
			continue
		}
		p.applySettings(settings)
		p.log.Info("Reloaded", "store", settings.Store.Addresses)
	}
}

func (p *process) closeExpired(ctx context.Context) {
	t := time.NewTicker(idleCheckPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.handler.CloseExpired(now)
		}
	}
}

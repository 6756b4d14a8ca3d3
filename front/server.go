package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/serve"
	"github.com/teaselstream/teaselstream/shadow"
)

const (
	defaultMaxHeader   = 16 << 10
	defaultMaxBody     = 4 << 20
	defaultReadTimeout = 10 * time.Second
	defaultIdleTimeout = 60 * time.Second
	// defaultWriteTimeout ends a stream whose caller does not read.
	defaultWriteTimeout = 10 * time.Second
)

type (
	// ServiceCaller calls plain services; errors are *teaselstream.Error.
	ServiceCaller interface {
		Handle(ctx context.Context, c teaselstream.ServiceCall, t teaselstream.TeamID, v teaselstream.ServiceID, deadline time.Time) (teaselstream.ServiceAnswer, error)
	}

	// OperatorStatus supplies the answers of the operator API; the results are encoded as JSON.
	OperatorStatus interface {
		Status() any
		Trial() any
	}

	// Options configures a Server; zero limits take defaults.
	Options struct {
		VM       teaselstream.VMID
		Snapshot func() *teaselstream.Snapshot
		Models   *serve.Service
		// ServiceCaller may be nil; calls to services are then answered with UnknownService.
		ServiceCaller ServiceCaller
		// Shadow takes samples of requests; nil takes none.
		Shadow *shadow.Feed
		// Ready reports whether the VM takes traffic from the balancer.
		Ready func() bool
		// OperatorStatus and Metrics may be nil; their paths are then answered with 404.
		OperatorStatus OperatorStatus
		Metrics        http.Handler
		// OperatorKeyDigest is the SHA-256 digest of the operators' key; empty refuses the operator paths.
		OperatorKeyDigest teaselstream.Digest

		MaxHeader    teaselstream.Bytes
		MaxBody      teaselstream.Bytes
		ReadTimeout  time.Duration
		WriteTimeout time.Duration
		IdleTimeout  time.Duration
	}

	// Server is the front of one VM.
	Server struct {
		options  Options
		keys     admit.KeyIndex
		limit    rateLimit
		calls    atomic.Int64
		ids      idSource
		caller   *fasthttp.Server
		operator *fasthttp.Server
	}
)

// New returns a server that does not listen yet.
func New(o Options) *Server {
	setDefault(&o.MaxHeader, defaultMaxHeader)
	setDefault(&o.MaxBody, defaultMaxBody)
	setDefault(&o.ReadTimeout, defaultReadTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	s := &Server{options: o}
	s.ids.init(o.VM)
	s.caller = s.server(s.serveCaller)
	s.operator = s.server(s.operatorHandler())
	return s
}

func setDefault[T teaselstream.Bytes | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (s *Server) server(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               h,
		ErrorHandler:          s.protocolError,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		ReadBufferSize:        int(s.options.MaxHeader),
		MaxRequestBodySize:    int(s.options.MaxBody),
		ReadTimeout:           s.options.ReadTimeout,
		WriteTimeout:          s.options.WriteTimeout,
		IdleTimeout:           s.options.IdleTimeout,
		CloseOnShutdown:       true,
		// A stream holds its connection long after its request was read, so the read buffer is given back.
		ReduceMemoryUsage: true,
		Logger:            quietLogger{},
	}
}

// Serve answers callers until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.caller.Serve(l); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// ServeOperator answers operators until Shutdown.
func (s *Server) ServeOperator(l net.Listener) error {
	if err := s.operator.Serve(l); err != nil {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// Calls returns the number of calls to plain services in flight.
func (s *Server) Calls() int { return int(s.calls.Load()) }

// Shutdown closes the callers' listener, waits until all requests have ended, then stops the operators' one.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.caller.ShutdownWithContext(ctx)
	if err = errors.Join(err, s.operator.ShutdownWithContext(ctx)); err != nil {
		return fmt.Errorf("shut down the front: %w", err)
	}
	return nil
}

func (s *Server) operatorHandler() fasthttp.RequestHandler {
	var metrics fasthttp.RequestHandler
	if s.options.Metrics != nil {
		metrics = fasthttpadaptor.NewFastHTTPHandler(s.options.Metrics)
	}
	return func(c *fasthttp.RequestCtx) { s.serveOperator(c, metrics) }
}

// quietLogger drops the HTTP library's per-connection messages, which callers can provoke at will.
type quietLogger struct{}

// Printf drops a message.
func (quietLogger) Printf(string, ...any) {}

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
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultReadTimeout    = 10 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	// defaultWriteTimeout ends a stream whose caller has stopped reading.
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

	// Options configures a Server; a limit or timeout of 0 selects the default.
	Options struct {
		VM       teaselstream.VMID
		Snapshot func() *teaselstream.Snapshot
		Models   *serve.Service
		// ServiceCaller may be nil; calls to services are then answered with UnknownService.
		ServiceCaller ServiceCaller
		// Shadow receives samples of requests, which it evaluates against a document on trial; nil disables sampling.
		Shadow *shadow.Sampler
		// Ready reports whether the VM accepts traffic from the load balancer; nil means that it always does.
		Ready func() bool
		// OperatorStatus and Metrics may be nil; their paths are then answered with 404.
		OperatorStatus OperatorStatus
		Metrics        http.Handler
		// OperatorKeyDigest is the SHA-256 digest of the operators' key in hex; if it is empty, the operator paths are refused.
		OperatorKeyDigest teaselstream.Digest

		MaxHeader    teaselstream.Bytes
		MaxBody      teaselstream.Bytes
		ReadTimeout  time.Duration
		WriteTimeout time.Duration
		IdleTimeout  time.Duration
	}

	// Server answers the callers and the operators of one VM.
	Server struct {
		options        Options
		keys           admit.KeyIndex
		limit          rateLimit
		callsInFlight  atomic.Int64
		ids            idGenerator
		callerServer   *fasthttp.Server
		operatorServer *fasthttp.Server
	}
)

// New returns a server; Serve and ServeOperator start it.
func New(o Options) *Server {
	setDefault(&o.MaxHeader, defaultMaxHeaderBytes)
	setDefault(&o.MaxBody, defaultMaxBodyBytes)
	setDefault(&o.ReadTimeout, defaultReadTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	s := &Server{options: o}
	s.ids.init(o.VM)
	s.callerServer = s.newHTTPServer(s.serveCaller)
	s.operatorServer = s.newHTTPServer(s.operatorHandler())
	return s
}

func setDefault[T teaselstream.Bytes | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (s *Server) newHTTPServer(h fasthttp.RequestHandler) *fasthttp.Server {
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
		// A stream keeps its connection long after its request was read; this setting releases the read buffer meanwhile.
		ReduceMemoryUsage: true,
		Logger:            discardLogger{},
	}
}

// Serve answers callers until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.callerServer.Serve(l); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// ServeOperator answers operators until Shutdown.
func (s *Server) ServeOperator(l net.Listener) error {
	if err := s.operatorServer.Serve(l); err != nil {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// Calls returns the number of calls to plain services in flight.
func (s *Server) Calls() int { return int(s.callsInFlight.Load()) }

// OpenConnections returns the number of callers' connections. After the listener was closed, each has a request in progress, which may
// still be read, or is closed soon.
func (s *Server) OpenConnections() int { return max(0, int(s.callerServer.GetOpenConnectionsCount())) }

// Shutdown closes the callers' listener, waits until all requests have ended, and then shuts down the operators' listener.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.callerServer.ShutdownWithContext(ctx)
	if err = errors.Join(err, s.operatorServer.ShutdownWithContext(ctx)); err != nil {
		return fmt.Errorf("shut down HTTP servers: %w", err)
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

// discardLogger discards the HTTP library's messages about connections, since callers can cause any number of them.
type discardLogger struct{}

// Printf discards a message.
func (discardLogger) Printf(string, ...any) {}

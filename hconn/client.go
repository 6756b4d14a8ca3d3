package hconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/detour"
	"github.com/teaselstream/teaselstream/sock"
)

const (
	// dialTimeout limits the time for a new connection. It is short because addresses are IP addresses, which need no DNS
	// lookup, in nearby failure domains.
	dialTimeout = 500 * time.Millisecond
	// defaultTimeout limits a call whose context has no deadline.
	defaultTimeout = 10 * time.Second
	// idleTimeout closes idle connections early, so that few calls are sent on a connection that the server has closed.
	idleTimeout = 5 * time.Second
	// maxConnectionsPerAddress limits the number of connections to one address.
	maxConnectionsPerAddress = 1024
	// maxBodyBytes limits a response body, which a server in trouble may send without end. The platform's store sends pages of
	// 1 MB; the header is limited by the library's read buffer.
	maxBodyBytes = 8 << 20
)

var errDial = errors.New("connection not established")

// Client calls HTTP servers and never repeats a call; its zero value works.
type Client struct {
	// Dial opens connections; nil means net.Dialer. It must be set before the first call.
	Dial sock.DialFunc
	// MaxBodyBytes limits a response body; 0 means maxBodyBytes. It must be set before the first call.
	MaxBodyBytes int
	// Detour chooses the VM through which calls go while this VM reaches no server; nil sends all calls directly.
	Detour *detour.Chooser

	once   sync.Once
	client *fasthttp.Client
	// vms connects to other VMs.
	vms *fasthttp.Client
}

// Do sends request q and reads the response into p, until the context's deadline.
//
// An error wraps teaselstream.ErrUnavailable if no byte of the request was
// written, and teaselstream.ErrOutcomeUnknown otherwise.
func (c *Client) Do(ctx context.Context, q *fasthttp.Request, p *fasthttp.Response) error {
	c.once.Do(c.init)
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", teaselstream.ErrUnavailable, err)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if c.Detour.Active() {
		return c.doThrough(q, p, deadline)
	}
	return classify(c.client.DoDeadline(q, p, deadline))
}

// DoCancelable is like Do, for a call that the server may hold open: it returns as soon as the context is canceled. The
// abandoned call keeps its connection until its deadline.
func (c *Client) DoCancelable(ctx context.Context, q *fasthttp.Request, p *fasthttp.Response) error {
	own, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.CopyTo(own)
	result := make(chan error, 1)
	go func() {
		defer fasthttp.ReleaseRequest(own)
		result <- c.Do(ctx, own, answer)
	}()
	select {
	case err := <-result:
		answer.CopyTo(p)
		fasthttp.ReleaseResponse(answer)
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", teaselstream.ErrOutcomeUnknown, ctx.Err())
	}
}

func (c *Client) init() {
	direct := sock.DialFunc((&net.Dialer{}).DialContext)
	limit := c.MaxBodyBytes
	if limit <= 0 {
		limit = maxBodyBytes
	}
	c.client, c.vms = newClient(direct, limit), newClient(direct, limit)
	if c.Dial != nil {
		c.client.DialTimeout = dialWith(c.Dial)
	}
}

func newClient(dial sock.DialFunc, maxBody int) *fasthttp.Client {
	return &fasthttp.Client{
		DialTimeout: dialWith(dial),
		// By default the library repeats a call although the first attempt may have had an effect.
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		MaxConnsPerHost:               maxConnectionsPerAddress,
		MaxResponseBodySize:           maxBody,
		MaxIdleConnDuration:           idleTimeout,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dialWith returns a function that opens connections within dialTimeout and the time that is left for the call.
func dialWith(dial sock.DialFunc) fasthttp.DialFuncWithTimeout {
	return func(address string, left time.Duration) (net.Conn, error) {
		limit := dialTimeout
		if left > 0 {
			limit = min(limit, left)
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		n, err := dial(ctx, "tcp", address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errDial, err)
		}
		return &checkedConn{Conn: n}, nil
	}
}

func classify(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		return fmt.Errorf("%w: %w", teaselstream.ErrUnavailable, err)
	default:
		return fmt.Errorf("%w: %w", teaselstream.ErrOutcomeUnknown, err)
	}
}

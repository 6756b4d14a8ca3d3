package hengin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/hconn"
	"github.com/teaselstream/teaselstream/sock"
)

const (
	jsonType = "application/json"
	// callTimeout is the longest that a call other than a stream, or the sending of a stream request, may take.
	callTimeout = 2 * time.Second
)

// Client calls model engines; its zero value works.
type Client struct {
	// Key returns the key that the engine at an address requires, or "" if it requires none; nil means that no engine does.
	Key func(address string) string

	streams pool
	calls   hconn.Client
}

var (
	_ teaselstream.Engine = (*Client)(nil)

	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4096) }}
)

// Close closes the idle connections that are kept for streams.
func (c *Client) Close() { c.streams.close() }

// Start sends a stream request without waiting for the answer, whose header is read by Next.
//
// An error wraps teaselstream.ErrUnavailable if no byte was written, and
// teaselstream.ErrOutcomeUnknown otherwise.
func (c *Client) Start(ctx context.Context, address string, r teaselstream.StreamRequest) (teaselstream.EngineStream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode stream request: %w: %w", teaselstream.ErrUnavailable, err)
	}
	conn, err := c.streams.get(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connect to engine: %w: %w", teaselstream.ErrUnavailable, err)
	}
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	c.setRequest(q, fasthttp.MethodPost, address, "/v1/streams", body)
	q.Header.Set("Accept", "text/event-stream")
	if err := send(ctx, conn, q); err != nil {
		sock.Discard(conn)
		return nil, fmt.Errorf("send stream request to %s: %w: %w", address, teaselstream.ErrOutcomeUnknown, err)
	}
	return &stream{conn: conn, address: address, pool: &c.streams}, nil
}

func send(ctx context.Context, conn net.Conn, q *fasthttp.Request) error {
	if err := conn.SetWriteDeadline(time.Now().Add(timeLeft(ctx))); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(conn)
	if err := q.Write(w); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("flush request: %w", err)
	}
	return nil
}

func (c *Client) setRequest(q *fasthttp.Request, method, address, path string, body []byte) {
	q.SetRequestURI("http://" + address + path)
	q.Header.SetMethod(method)
	q.SetBodyRaw(body)
	if body != nil {
		q.Header.SetContentType(jsonType)
	}
	if c.Key != nil {
		if k := c.Key(address); k != "" {
			q.Header.Set("Authorization", "Bearer "+k)
		}
	}
}

// timeLeft returns the time until the context's deadline, at most callTimeout.
func timeLeft(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return min(time.Until(d), callTimeout)
	}
	return callTimeout
}

// call makes a call other than a stream and decodes the answer into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, address, path string, in, out any) error {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode call: %w", err)
		}
	}
	c.setRequest(q, method, address, path, body)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.calls.Do(ctx, q, a); err != nil {
		return fmt.Errorf("%s http://%s%s: %w", method, address, path, err)
	}
	switch s := a.StatusCode(); {
	case s == fasthttp.StatusConflict:
		return fmt.Errorf("%s http://%s%s: %w", method, address, path, teaselstream.ErrFenced)
	case s == fasthttp.StatusNotFound:
		return fmt.Errorf("%s http://%s%s: %w", method, address, path, teaselstream.ErrNotFound)
	case s >= fasthttp.StatusMultipleChoices:
		return fmt.Errorf("%s http://%s%s: %w", method, address, path, statusError(s, a.Body()))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(a.Body(), out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}

// Cancel cancels a stream; it returns nil if the engine does not know the stream.
func (c *Client) Cancel(ctx context.Context, address string, id teaselstream.RequestID, a teaselstream.Attempt) error {
	path := "/v1/streams/" + string(id) + "?attempt=" + strconv.FormatUint(uint64(a), 10)
	err := c.call(ctx, fasthttp.MethodDelete, address, path, nil, nil)
	if errors.Is(err, teaselstream.ErrNotFound) {
		return nil
	}
	return err
}

// Load returns the load that the engine reports, with the time at which the report arrived.
func (c *Client) Load(ctx context.Context, address string) (teaselstream.Load, error) {
	var l teaselstream.Load
	err := c.call(ctx, fasthttp.MethodGet, address, "/v1/load", nil, &l)
	l.At = time.Now()
	return l, err
}

// CacheEvents returns the cache events after the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after teaselstream.Sequence) ([]teaselstream.CacheEvent, error) {
	var events []teaselstream.CacheEvent
	path := "/v1/events?after=" + strconv.FormatUint(uint64(after), 10)
	err := c.call(ctx, fasthttp.MethodGet, address, path, nil, &events)
	return events, err
}

// Export makes the engine export the KV cache of a request, and returns the name of the export and the number of tokens
// that it covers.
func (c *Client) Export(ctx context.Context, address string, id teaselstream.RequestID) (string, teaselstream.TokenIndex, error) {
	in := struct{ Request teaselstream.RequestID }{id}
	var out struct {
		Name   string
		Tokens teaselstream.TokenIndex
	}
	err := c.call(ctx, fasthttp.MethodPost, address, "/v1/kv/export", in, &out)
	return out.Name, out.Tokens, err
}

// Order sends a placement order; the error wraps teaselstream.ErrFenced if the fencing number of the order is too old.
func (c *Client) Order(ctx context.Context, address string, o teaselstream.PlacementOrder) error {
	return c.call(ctx, fasthttp.MethodPost, address, "/v1/orders", o, nil)
}

// Orders returns the placement order that the engine accepted last.
func (c *Client) Orders(ctx context.Context, address string) (teaselstream.PlacementOrder, error) {
	var o teaselstream.PlacementOrder
	err := c.call(ctx, fasthttp.MethodGet, address, "/v1/orders", nil, &o)
	return o, err
}

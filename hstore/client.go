package hstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/hconn"
)

const (
	revisionHeader = "Store-Revision"
	// watchWait is the longest time for which the store holds a watch open.
	watchWait = 30 * time.Second
	// callTimeout limits a call that is not a watch; the store usually answers within milliseconds.
	callTimeout = 2 * time.Second
)

type (
	// Client calls the store at the address that answered last, or at the next ones if that is unavailable. It implements
	// teaselstream.Store.
	Client struct {
		// Addresses holds the "IP:port" of each of the store's endpoints.
		Addresses []string

		conn        hconn.Client
		nextAddress atomic.Uint32
	}

	request struct {
		method string
		path   string
		body   []byte
		// longPoll means that the store holds the call open until the key changes.
		longPoll bool
	}

	leaseAnswer struct {
		Lease teaselstream.LeaseID
	}
)

var _ teaselstream.Store = (*Client)(nil)

// Get returns the value of a key; the error wraps teaselstream.ErrNotFound if the key is absent.
func (c *Client) Get(ctx context.Context, key string) (teaselstream.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.readRecord(ctx, request{method: http.MethodGet, path: keyPath(key, nil)})
}

// Watch waits until the key's revision exceeds after, and returns the record. It returns an error that wraps
// teaselstream.ErrNotFound if the key is absent, and the unchanged record if the key did not change for 30 s.
func (c *Client) Watch(ctx context.Context, key string, after teaselstream.Revision) (teaselstream.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	query := url.Values{"after": {formatRevision(after)}, "wait": {watchWait.String()}}
	return c.readRecord(ctx, request{method: http.MethodGet, path: keyPath(key, query), longPoll: true})
}

// CompareAndSwap writes value if the key's revision equals expected, and returns the new revision.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected teaselstream.Revision, value []byte, lease teaselstream.LeaseID) (teaselstream.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{"revision": {formatRevision(expected)}}
	if lease != 0 {
		query.Set("lease", strconv.FormatUint(uint64(lease), 10))
	}
	var revision teaselstream.Revision
	err := c.call(ctx, request{method: http.MethodPut, path: keyPath(key, query), body: value}, func(p *fasthttp.Response) error {
		var err error
		revision, err = parseRevision(p)
		return err
	})
	return revision, err
}

// Grant returns a new lease that expires after ttl unless it is kept alive.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (teaselstream.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var l leaseAnswer
	path := "/v1/leases?" + url.Values{"ttl": {ttl.String()}}.Encode()
	err := c.call(ctx, request{method: http.MethodPost, path: path}, func(p *fasthttp.Response) error {
		return json.Unmarshal(p.Body(), &l)
	})
	return l.Lease, err
}

// KeepAlive extends a lease by its time to live; the error wraps teaselstream.ErrNotFound if the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, lease teaselstream.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := "/v1/leases/" + strconv.FormatUint(uint64(lease), 10)
	return c.call(ctx, request{method: http.MethodPut, path: path}, nil)
}

func (c *Client) readRecord(ctx context.Context, r request) (teaselstream.Record, error) {
	var found teaselstream.Record
	err := c.call(ctx, r, func(p *fasthttp.Response) error {
		revision, err := parseRevision(p)
		if err != nil {
			return err
		}
		found = teaselstream.Record{Value: append([]byte(nil), p.Body()...), Revision: revision}
		return nil
	})
	return found, err
}

// call tries the addresses in turn until one is available. It does not repeat a call that may have had an effect.
func (c *Client) call(ctx context.Context, r request, decode func(*fasthttp.Response) error) error {
	err := fmt.Errorf("%w: no store address is configured", teaselstream.ErrUnavailable)
	first := int(c.nextAddress.Load())
	for i := range c.Addresses {
		address := c.Addresses[(first+i)%len(c.Addresses)]
		err = c.callAddress(ctx, address, r, decode)
		if !errors.Is(err, teaselstream.ErrUnavailable) {
			return err
		}
		c.nextAddress.Add(1)
	}
	return err
}

func (c *Client) callAddress(ctx context.Context, address string, r request, decode func(*fasthttp.Response) error) error {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	q.Header.SetMethod(r.method)
	q.SetRequestURI("http://" + address + r.path)
	q.SetBody(r.body)
	do := c.conn.Do
	if r.longPoll {
		do = c.conn.DoCancelable
	}
	if err := do(ctx, q, p); err != nil {
		return fmt.Errorf("store %s %s: %w", r.method, r.path, err)
	}
	if err := statusError(p.StatusCode()); err != nil {
		return fmt.Errorf("store %s %s: %w", r.method, r.path, err)
	}
	if decode == nil {
		return nil
	}
	if err := decode(p); err != nil {
		return fmt.Errorf("store %s %s: %w: %w", r.method, r.path, teaselstream.ErrOutcomeUnknown, err)
	}
	return nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return teaselstream.ErrNotFound
	case http.StatusConflict:
		return teaselstream.ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return teaselstream.ErrUnavailable
	default:
		return fmt.Errorf("%w: status %d", teaselstream.ErrOutcomeUnknown, status)
	}
}

func keyPath(key string, query url.Values) string {
	path := "/v1/kv/" + key
	if len(query) == 0 {
		return path
	}
	return path + "?" + query.Encode()
}

func formatRevision(r teaselstream.Revision) string { return strconv.FormatUint(uint64(r), 10) }

func parseRevision(p *fasthttp.Response) (teaselstream.Revision, error) {
	n, err := strconv.ParseUint(string(p.Header.Peek(revisionHeader)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse header %s: %w", revisionHeader, err)
	}
	return teaselstream.Revision(n), nil
}

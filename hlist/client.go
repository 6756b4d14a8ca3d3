package hlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/hconn"
)

// Client reads the platform's list of VMs and servers; it implements teaselstream.VMList.
type Client struct {
	// Address is the "IP:port" of the list's endpoint.
	Address string

	conn hconn.Client
}

var _ teaselstream.VMList = (*Client)(nil)

// List returns the VMs and servers that the platform considers live or leaving.
func (c *Client) List(ctx context.Context) ([]teaselstream.ListEntry, error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	q.SetRequestURI("http://" + c.Address + "/v1/vms")
	if err := c.conn.Do(ctx, q, p); err != nil {
		return nil, fmt.Errorf("read machine list: %w", err)
	}
	if p.StatusCode() != http.StatusOK {
		return nil, fmt.Errorf("read machine list: %w: status %d", teaselstream.ErrUnavailable, p.StatusCode())
	}
	var entries []teaselstream.ListEntry
	if err := json.Unmarshal(p.Body(), &entries); err != nil {
		return nil, fmt.Errorf("parse machine list: %w", err)
	}
	return entries, nil
}

package hconn

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/detour"
)

// doThrough sends a call through another VM. An error that wraps detour.ErrNoVM or detour.ErrWithheld says nothing about the server.
func (c *Client) doThrough(q *fasthttp.Request, p *fasthttp.Response, deadline time.Time) error {
	vm, ok := c.Detour.Search().Next(time.Now())
	if !ok {
		return fmt.Errorf("%w: %w", teaselstream.ErrUnavailable, detour.ErrNoVM)
	}
	server := string(q.URI().Host())
	q.UseHostHeader = true
	q.Header.SetHost(server)
	q.Header.Set(detour.HeaderAddress, server)
	q.Header.Set(detour.HeaderFrom, string(c.Detour.Self))
	// An open connection to the VM may have gone silent since it was used.
	q.SetConnectionClose()
	q.URI().SetHost(vm.Relay)
	if err := c.vms.DoDeadline(q, p, deadline); err != nil {
		err = classify(err)
		if errors.Is(err, teaselstream.ErrUnavailable) {
			c.Detour.RecordRefusal(time.Now(), vm.Name)
			err = fmt.Errorf("%w: %w", detour.ErrNoVM, err)
		} else {
			c.Detour.RecordFailure(time.Now(), vm.Name, server)
		}
		return fmt.Errorf("through VM %s: %w", vm.Name, err)
	}
	err := detour.ResultError(string(p.Header.Peek(detour.HeaderResult)))
	c.Detour.RecordResult(time.Now(), vm.Name, server, err)
	if err == nil {
		return nil
	}
	return fmt.Errorf("through VM %s: %w: %w", vm.Name, teaselstream.ErrUnavailable, err)
}

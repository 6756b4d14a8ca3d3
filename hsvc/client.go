package hsvc

import (
	"context"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/hconn"
)

const (
	keyHeader     = "Idempotency-Key"
	fencingHeader = "Fencing-Number"
	requestHeader = "X-Request-Id"
)

// Client calls replicas of plain services. It implements teaselstream.Service; its zero value works.
type Client struct {
	conn hconn.Client
	// keyed sends the calls with a key. Its connections are never pooled, so that each of these calls gets a new one.
	keyed hconn.Client
}

var _ teaselstream.Service = (*Client)(nil)

// Call sends one call to a replica and returns its answer, whatever its status.
func (c *Client) Call(ctx context.Context, address string, s teaselstream.ServiceCall) (teaselstream.ServiceAnswer, error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	setRequest(q, address, s)
	conn := &c.conn
	if s.Key != "" {
		conn = &c.keyed
	}
	if err := conn.Do(ctx, q, p); err != nil {
		return teaselstream.ServiceAnswer{}, fmt.Errorf("call %s %s: %w", s.Method, s.Path, err)
	}
	a := teaselstream.ServiceAnswer{Status: p.StatusCode(), Body: append([]byte(nil), p.Body()...)}
	for k, v := range p.Header.All() {
		a.Header = append(a.Header, [2]string{string(k), string(v)})
	}
	return a, nil
}

func setRequest(q *fasthttp.Request, address string, s teaselstream.ServiceCall) {
	q.Header.SetMethod(s.Method)
	q.SetRequestURI("http://" + address + s.Path)
	for _, h := range s.Header {
		q.Header.Set(h[0], h[1])
	}
	q.Header.Set(requestHeader, string(s.Request))
	if s.Key != "" {
		q.Header.Set(keyHeader, s.Key)
		// The server may already have closed a pooled connection, which would leave the outcome of the call unknown; a new
		// connection fails before any byte is sent.
		q.SetConnectionClose()
	}
	if s.Fencing != 0 {
		q.Header.Set(fencingHeader, strconv.FormatUint(uint64(s.Fencing), 10))
	}
	q.SetBody(s.Body)
}

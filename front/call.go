package front

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/shadow"
)

const defaultCallDeadline = 30 * time.Second

// notForwarded lists the headers that are not forwarded to services or callers: those that apply to one connection, and
// those that the router itself reads or sets.
var notForwarded = map[string]bool{
	"Authorization": true, "Connection": true, "Content-Length": true, "Host": true, "Idempotency-Key": true,
	"Fencing-Number": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "X-Deadline-Ms": true, "X-Priority": true, "X-Request-Id": true,
	"X-Worth": true, "Date": true, "Server": true,
}

// serveServiceCall forwards a request for /svc/SERVICE/PATH to a plain service.
func (s *Server) serveServiceCall(c *fasthttp.RequestCtx, r callerInfo) {
	rest := string(c.RequestURI()[len(servicePrefix):])
	name, path, _ := strings.Cut(rest, "/")
	if i := strings.IndexByte(name, '?'); i >= 0 {
		name = name[:i]
	}
	service := teaselstream.ServiceID(name)
	s.options.Shadow.Offer(r.snapshot, func() shadow.Sample {
		return shadow.Sample{
			Key: r.key, Service: service, Worth: r.statedWorth,
			Call: teaselstream.ServiceCall{Method: string(c.Method()), Path: "/" + path, Header: forwardedHeaders(c)},
		}
	})
	if s.options.ServiceCaller == nil || !admit.MayCall(r.team, service) {
		writeError(c, r.id, refusal(teaselstream.CodeUnknownService, "the team has no service "+name))
		return
	}
	deadline := r.deadline
	if deadline.IsZero() {
		deadline = r.arrived.Add(defaultCallDeadline)
		if d := r.snapshot.Document.Limits.DefaultDeadline; d > 0 {
			deadline = r.arrived.Add(d)
		}
	}
	call := teaselstream.ServiceCall{
		Request: r.id, Method: string(c.Method()), Path: "/" + path, Body: append([]byte(nil), c.PostBody()...),
		Key: string(c.Request.Header.Peek("Idempotency-Key")), Header: forwardedHeaders(c),
	}
	s.callsInFlight.Add(1)
	defer s.callsInFlight.Add(-1)
	// The request's own context is canceled at shutdown, which must not abort calls in flight.
	a, err := s.options.ServiceCaller.Handle(context.Background(), call, r.team.Name, service, deadline)
	if err != nil {
		writeError(c, r.id, err)
		return
	}
	c.SetStatusCode(a.Status)
	for _, h := range a.Header {
		if !notForwarded[h[0]] {
			c.Response.Header.Add(h[0], h[1])
		}
	}
	c.SetBody(a.Body)
}

// forwardedHeaders returns the headers of a request that are forwarded to services.
func forwardedHeaders(c *fasthttp.RequestCtx) [][2]string {
	var out [][2]string
	for k, v := range c.Request.Header.All() {
		if !notForwarded[string(k)] {
			out = append(out, [2]string{string(k), string(v)})
		}
	}
	return out
}

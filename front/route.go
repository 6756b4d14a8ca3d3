package front

import (
	"bytes"
	"encoding/json"
	"log/slog"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
)

const jsonType = "application/json"

var servicePrefix = []byte("/svc/")

func (s *Server) serveCaller(c *fasthttp.RequestCtx) {
	if !s.ready() {
		// A stopping VM closes idle connections, so callers are told not to reuse theirs.
		c.SetConnectionClose()
	}
	switch path := c.Path(); {
	case string(path) == "/livez":
		c.SetStatusCode(fasthttp.StatusOK)
	case string(path) == "/readyz":
		s.serveReady(c)
	case string(path) == "/v1/completions":
		s.withAuth(c, fasthttp.MethodPost, s.serveText)
	case string(path) == "/v1/chat/completions":
		s.withAuth(c, fasthttp.MethodPost, s.serveChat)
	case string(path) == "/v1/models":
		s.withAuth(c, fasthttp.MethodGet, s.serveModels)
	case bytes.HasPrefix(path, servicePrefix):
		s.withAuth(c, "", s.serveServiceCall)
	default:
		writeStatus(c, fasthttp.StatusNotFound, s.ids.make(nil), refusal(teaselstream.CodeBadRequest, "no such path"))
	}
}

// withAuth calls next for a request of an authenticated caller that is within its team's rate; an empty method allows all
// methods.
func (s *Server) withAuth(c *fasthttp.RequestCtx, method string, next func(*fasthttp.RequestCtx, callerInfo)) {
	if method != "" && string(c.Method()) != method {
		c.Response.Header.Set("Allow", method)
		writeStatus(c, fasthttp.StatusMethodNotAllowed, s.ids.make(nil), refusal(teaselstream.CodeBadRequest, "the method must be "+method))
		return
	}
	r, err := s.identify(c)
	c.Response.Header.Set("X-Request-Id", string(r.id))
	if err == nil {
		err = s.limit.take(r.arrived, &r)
	}
	if err != nil {
		writeError(c, r.id, err)
		return
	}
	next(c, r)
}

func (s *Server) ready() bool { return s.options.Ready == nil || s.options.Ready() }

func (s *Server) serveReady(c *fasthttp.RequestCtx) {
	if !s.ready() {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (s *Server) serveOperator(c *fasthttp.RequestCtx, metrics fasthttp.RequestHandler) {
	path := string(c.Path())
	switch path {
	case "/livez":
		return
	case "/readyz":
		s.serveReady(c)
		return
	}
	if key := bearerKey(c); s.options.OperatorKeyDigest == "" || digestOf(key) != s.options.OperatorKeyDigest {
		writeError(c, "", refusal(teaselstream.CodeUnauthorized, "the operator key is missing or wrong"))
		return
	}
	switch o := s.options.OperatorStatus; {
	case path == "/metrics" && metrics != nil:
		metrics(c)
	case path == "/operator/status" && o != nil:
		writeJSON(c, o.Status())
	case path == "/operator/trial" && o != nil:
		writeJSON(c, o.Trial())
	default:
		writeStatus(c, fasthttp.StatusNotFound, "", refusal(teaselstream.CodeBadRequest, "no such path"))
	}
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		slog.Error("encoding an answer as JSON failed", "path", string(c.Path()), "error", err)
		writeError(c, "", refusal(teaselstream.CodeInternal, "the answer cannot be encoded"))
		return
	}
	c.SetContentType(jsonType)
	c.SetBody(b)
}

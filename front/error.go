package front

import (
	"encoding/json"
	"errors"
	"log/slog"
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
)

// errorBody is the answer to a request that failed.
type errorBody struct {
	Error struct {
		Code      teaselstream.Code
		Message   string
		Outcome   teaselstream.Outcome
		RequestID teaselstream.RequestID
	}
}

var statusOf = map[teaselstream.Code]int{
	teaselstream.CodeBadRequest:       fasthttp.StatusBadRequest,
	teaselstream.CodeUnauthorized:     fasthttp.StatusUnauthorized,
	teaselstream.CodeUnknownModel:     fasthttp.StatusNotFound,
	teaselstream.CodeUnknownService:   fasthttp.StatusNotFound,
	teaselstream.CodeTooLarge:         fasthttp.StatusRequestEntityTooLarge,
	teaselstream.CodeDeadlineExceeded: fasthttp.StatusGatewayTimeout,
	teaselstream.CodeOverloaded:       fasthttp.StatusTooManyRequests,
	teaselstream.CodeOverShare:        fasthttp.StatusTooManyRequests,
	teaselstream.CodeNoRoute:          fasthttp.StatusServiceUnavailable,
	teaselstream.CodeCrashesServers:   fasthttp.StatusUnprocessableEntity,
	teaselstream.CodeKeyRequired:      fasthttp.StatusBadRequest,
	teaselstream.CodeKeyReused:        fasthttp.StatusUnprocessableEntity,
	teaselstream.CodeKeyExpired:       fasthttp.StatusGone,
	teaselstream.CodeKeyTimeRequired:  fasthttp.StatusBadRequest,
	teaselstream.CodeStoreUnavailable: fasthttp.StatusServiceUnavailable,
	teaselstream.CodeOutcomeUnknown:   fasthttp.StatusBadGateway,
	teaselstream.CodeServerLost:       fasthttp.StatusBadGateway,
	teaselstream.CodeCanceled:         499, // Status 499 is the usual one for a caller that closed its connection.
	teaselstream.CodeStopping:         fasthttp.StatusServiceUnavailable,
}

func refusal(c teaselstream.Code, message string) *teaselstream.Error {
	return &teaselstream.Error{Code: c, Outcome: teaselstream.NotRun, Message: message}
}

// callerError returns err as it is shown to callers. An error of another type than *teaselstream.Error is a bug; it is
// logged, and the caller sees an internal error without details.
func callerError(err error) *teaselstream.Error {
	var e *teaselstream.Error
	if errors.As(err, &e) {
		return e
	}
	slog.Error("unexpected error type; answered as an internal error", "error", err)
	return &teaselstream.Error{Code: teaselstream.CodeInternal, Outcome: teaselstream.Unknown, Message: "internal error"}
}

func writeError(c *fasthttp.RequestCtx, id teaselstream.RequestID, err error) {
	e := callerError(err)
	status, ok := statusOf[e.Code]
	if !ok {
		status = fasthttp.StatusInternalServerError
	}
	writeStatus(c, status, id, e)
}

func writeStatus(c *fasthttp.RequestCtx, status int, id teaselstream.RequestID, e *teaselstream.Error) {
	c.SetStatusCode(status)
	c.SetContentType(jsonType)
	if e.RetryAfter > 0 {
		c.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	c.SetBody(encodeError(id, e))
}

func encodeError(id teaselstream.RequestID, e *teaselstream.Error) []byte {
	var b errorBody
	b.Error.Code, b.Error.Message, b.Error.Outcome, b.Error.RequestID = e.Code, e.Message, e.Outcome, id
	data, err := json.Marshal(b)
	if err != nil {
		return []byte(`{"Error":{"Code":"Internal","Message":"internal error","Outcome":"Unknown"}}`)
	}
	return data
}

// protocolError answers a request that the HTTP library could not read; the library then closes the connection.
func (s *Server) protocolError(c *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	id := s.ids.make(nil)
	switch {
	case errors.As(err, &small):
		writeStatus(c, fasthttp.StatusRequestHeaderFieldsTooLarge, id,
			refusal(teaselstream.CodeTooLarge, "the header exceeds "+strconv.FormatInt(int64(s.options.MaxHeader), 10)+" bytes"))
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		writeError(c, id, refusal(teaselstream.CodeTooLarge, "the body exceeds "+strconv.FormatInt(int64(s.options.MaxBody), 10)+" bytes"))
	case isTimeout(err):
		writeStatus(c, fasthttp.StatusRequestTimeout, id, refusal(teaselstream.CodeBadRequest, "the request did not arrive in time"))
	default:
		writeError(c, id, refusal(teaselstream.CodeBadRequest, "the request is malformed or incomplete"))
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

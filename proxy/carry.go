package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/detour"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// maxCarried limits the exchanges that a VM carries for others at a time; it has its own callers to serve.
	maxCarried = 256
	// carryTimeout limits an exchange that states no deadline, such as a report.
	carryTimeout = 2 * time.Second
)

var (
	errNotTaken      = errors.New("this VM takes no exchange now")
	errUnknownServer = errors.New("server is not known as the sender knows it")
)

// Carry serves an exchange of another VM with a server: it sends the request on its own connection and returns the answer as it
// comes. It never uses a third VM. An answer of its own bears detour.HeaderResult and means that the server has not got the
// request; once a byte was sent, a failure closes the connection without an answer or in the middle of one.
func (h *Handler) Carry(x *Exchange) {
	from := x.Header.Get(detour.HeaderFrom)
	head, err := h.Dialect.Call(x.Header)
	if err != nil {
		x.refuseExchange(h, detour.ResultRefused, fmt.Errorf("decode request: %w", err))
		return
	}
	if h.Detour.IsIsolated() || h.stopping.lastAnswer.Load() != 0 || h.carried.Load() >= maxCarried {
		x.refuseExchange(h, detour.ResultRefused, errNotTaken)
		return
	}
	to, r, err := h.carryTarget(x.Header)
	if err != nil {
		x.refuseExchange(h, detour.ResultWithheld, err)
		return
	}
	h.carried.Add(1)
	defer h.carried.Add(-1)
	limit := carryTimeout
	if head.Deadline > 0 {
		limit = head.Deadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-x.Disconnected:
			cancel()
		case <-done:
		}
	}()
	m := &outgoingRequest{method: x.Method, target: x.Target, host: x.Host, header: carriedHeader(x.Header), body: x.Body, stream: x.Header.Get(detour.HeaderStream) != ""}
	a, err := h.sendDirect(ctx, to, r, m, head.Attempt)
	if err != nil {
		h.reportInvalid(to, head.Attempt, err)
	}
	switch {
	case errors.Is(err, ErrWithheld):
		x.refuseExchange(h, detour.ResultWithheld, err)
	case notSent(err):
		h.Log.Info("CarryFailed", "request", string(head.Attempt), "server", string(to.ID), "from", from, "error", err.Error(), "notSent", true)
		x.refuseExchange(h, detour.ResultNotSent, err)
	case err != nil:
		h.Log.Info("CarryFailed", "request", string(head.Attempt), "server", string(to.ID), "from", from, "error", err.Error(), "notSent", false)
		x.Abort()
	default:
		err := x.copyAnswer(a, &h.pool)
		h.Log.Info("Carried", "request", string(head.Attempt), "server", string(to.ID), "from", from, "status", a.status, "ms", time.Since(x.Arrived).Milliseconds(), "error", errorText(err))
	}
}

// refuseExchange answers that the server has not got the request.
func (x *Exchange) refuseExchange(h *Handler, result string, reason error) {
	header := http.Header{detour.HeaderResult: {result}, "Content-Type": {"text/plain"}}
	if err := x.Respond(http.StatusServiceUnavailable, header, []byte(reason.Error()+"\n")); err != nil {
		h.Log.Info("AnswerNotDelivered", "error", err.Error())
	}
}

// carryTarget returns the server of an exchange and the connections that may carry it. A call of the control interface names the
// address only; the platform's own header in it names the server.
func (h *Handler) carryTarget(header http.Header) (*fleet.Member, reuse, error) {
	to := h.View().ByAddress(header.Get(detour.HeaderAddress))
	if to == nil {
		return nil, 0, errUnknownServer
	}
	if id := header.Get(detour.HeaderServer); id != "" {
		incarnation, err := strconv.ParseUint(header.Get(detour.HeaderIncarnation), 10, 64)
		if err != nil || id != string(to.ID) || teaselstream.Incarnation(incarnation) != to.Incarnation {
			return nil, 0, errUnknownServer
		}
	}
	switch header.Get(detour.HeaderConnection) {
	case strconv.Itoa(int(reuseAny)):
		return to, reuseAny, nil
	case strconv.Itoa(int(reuseRecent)):
		return to, reuseRecent, nil
	default:
		return to, reuseNone, nil
	}
}

// carriedHeader returns the header of a request or an answer without those of the protocol between VMs.
func carriedHeader(h http.Header) http.Header {
	out := endToEndHeader(h)
	for name := range out {
		if detour.IsHeader(name) {
			out.Del(name)
		}
	}
	return out
}

// copyAnswer writes a server's answer as it comes. An answer that breaks off stays broken off.
func (x *Exchange) copyAnswer(a *upstreamResponse, p *Pool) error {
	if err := x.copyBody(a); err != nil {
		a.conn.discard()
		x.Abort()
		return err
	}
	a.release(p)
	return nil
}

func (x *Exchange) copyBody(a *upstreamResponse) error {
	// A server must not be able to state a result of this VM.
	header := carriedHeader(a.header)
	if hasNoBody(x.Method, a.status) {
		return x.Respond(a.status, header, nil)
	}
	if err := x.StartResponse(a.status, header); err != nil {
		return fmt.Errorf("start answer: %w", err)
	}
	if err := x.flush(); err != nil {
		return err
	}
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := a.body.Read(buffer)
		if n > 0 {
			if err := x.Write(buffer[:n]); err != nil {
				return fmt.Errorf("write answer: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return x.EndResponse()
		}
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
	}
}

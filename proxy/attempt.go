package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/memory"
	"github.com/teaselstream/teaselstream/reach"
)

const (
	// maxResponseBytes limits a response of a plain service, which is buffered in full before it is forwarded.
	maxResponseBytes = 8 << 20
	// maxTextBytes limits a response of a model that is no stream of events, such as a refusal or the whole text of an answer.
	maxTextBytes = 1 << 20
	// maxEventBytes limits one server-sent event.
	maxEventBytes = 1 << 20
	// maxStaleResponses limits the responses to earlier requests that are skipped on a connection.
	maxStaleResponses = 3
	// bodyBlockBytes is the size of the blocks in which a whole response is read.
	bodyBlockBytes = 32 << 10
	// sendTimeout limits the write of a request to a server that does not read it.
	sendTimeout = 2 * time.Second
)

// The texts of errors of an attempt can reach callers, in the Message of the refusal that ends a request.
var (
	errStaleResponses = errors.New("connection returned answers of other requests only")
	// errUnnamedResponse reports a response without an attempt id on a connection that carried other requests, of which it may be one
	// more answer. Servers state the id in all answers.
	errUnnamedResponse = errors.New("answer on a kept connection names no request")
	// errInvalidAnswer reports bytes of a server that are no answer.
	errInvalidAnswer = errors.New("server sent no valid answer")
	// errResponseTooLarge reports a response or event that exceeds its size limit.
	errResponseTooLarge = fmt.Errorf("%w: it is over the limit", errInvalidAnswer)
	// errUnstamped reports a success that does not come from the server's application.
	errUnstamped = fmt.Errorf("%w: a success without the server's stamp", errInvalidAnswer)
)

// upstreamResponse is a server's response; its body may still be unread.
type upstreamResponse struct {
	status int
	header http.Header
	head   teaselstream.AnswerHead
	body   io.ReadCloser
	conn   *serverConn
	// delimited reports whether the body has a length or is chunked, so that its end is known without a close.
	delimited bool
	// held counts the bytes of the body that are kept; it ends with the request's context.
	held *memory.Holder
	// detach stops the request's context from closing the connection; it returns false if the context has already closed it.
	detach func() bool
}

// send writes a request to a server, directly or through another VM, and reads the status and header of its response.
// The connection closes when ctx ends. An error wraps errDial or ErrWithheld if nothing was sent.
func (h *Handler) send(ctx context.Context, to *fleet.Member, r reuse, m *outgoingRequest, id teaselstream.AttemptID) (*upstreamResponse, error) {
	by := h.sendDirect
	if h.Detour.Active() {
		by = h.sendThrough
	}
	a, err := by(ctx, to, r, m, id)
	if err == nil && a.status/100 == 2 && !a.head.Stamped {
		a.conn.discard()
		err = errUnstamped
	}
	if err != nil {
		h.reportInvalid(to, id, err)
		return nil, err
	}
	a.held = h.Answers.Open(a.conn.discard)
	context.AfterFunc(ctx, a.held.Close)
	return a, nil
}

// reportInvalid reports to the control loop that a server sent bytes that are no answer, or more than this VM can hold, so that other
// requests avoid it for a while.
func (h *Handler) reportInvalid(to *fleet.Member, id teaselstream.AttemptID, err error) {
	if !errors.Is(err, errInvalidAnswer) && !errors.Is(err, memory.ErrEnded) {
		return
	}
	h.Log.Info("AnswerInvalid", "request", string(id), "server", string(to.ID), "incarnation", uint64(to.Incarnation), "error", err.Error())
	h.post(fleet.AnswerInvalid{Server: to.ID, Incarnation: to.Incarnation})
}

// sendDirect is send on a connection of this VM to the server.
func (h *Handler) sendDirect(ctx context.Context, to *fleet.Member, r reuse, m *outgoingRequest, id teaselstream.AttemptID) (*upstreamResponse, error) {
	planned := time.Now()
	u, err := h.pool.get(ctx, to.Address, r, h.dialServer)
	if err != nil {
		return nil, err
	}
	if err := h.maySend(planned, to, id); err != nil {
		h.pool.giveBack(u)
		return nil, err
	}
	if m.stream {
		h.pool.addStream(u, to.Service)
	}
	stop := context.AfterFunc(ctx, u.discard)
	a, err := h.roundTrip(u, m, id)
	if err != nil {
		stop()
		u.discard()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			h.postFailed(to.Address, reach.Silent)
		}
		return nil, err
	}
	a.detach = stop
	h.observeNotice(to, a.head, id)
	return a, nil
}

func (h *Handler) roundTrip(u *serverConn, m *outgoingRequest, id teaselstream.AttemptID) (*upstreamResponse, error) {
	if err := u.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return nil, fmt.Errorf("set write deadline: %w", err)
	}
	written := make(chan error, 1)
	if len(m.body) <= maxInlineBodyBytes {
		written <- m.write(u)
	} else {
		// A server may respond before it has read a long body.
		go func() { written <- m.write(u) }()
	}
	for range maxStaleResponses {
		p, err := u.readResponse(m.method)
		if err != nil {
			return nil, err
		}
		a := &upstreamResponse{status: p.StatusCode, header: p.Header, body: p.Body, conn: u, head: h.Dialect.Answer(p.StatusCode, p.Header)}
		a.delimited = p.ContentLength >= 0 || len(p.TransferEncoding) > 0
		if a.head.Attempt != "" && a.head.Attempt != id {
			if _, err := io.Copy(io.Discard, io.LimitReader(p.Body, maxResponseBytes)); err != nil || !a.delimited {
				return nil, errors.Join(errStaleResponses, err)
			}
			continue
		}
		if a.head.Attempt == "" && u.used {
			return nil, errUnnamedResponse
		}
		select {
		case err := <-written:
			if err != nil {
				p.Header.Set("Connection", "close")
			}
		default:
			// The rest of this body must not precede another request on the connection.
			p.Header.Set("Connection", "close")
		}
		return a, nil
	}
	return nil, errStaleResponses
}

// maxInlineBodyBytes is the size up to which a body fits the socket's buffers, so that writing it does not block.
const maxInlineBodyBytes = 16 << 10

// readAll reads the rest of the body, of at most limit bytes, and returns the connection to the pool.
func (a *upstreamResponse) readAll(p *Pool, limit int64) ([]byte, error) {
	body, err := readBlocks(a.held.Reader(io.LimitReader(a.body, limit+1)))
	if err == nil && int64(len(body)) > limit {
		err = errResponseTooLarge
	}
	if err != nil {
		a.conn.discard()
		return nil, fmt.Errorf("read body: %w", err)
	}
	a.held.Keep()
	a.release(p)
	return body, nil
}

// readBlocks reads r to its end. It keeps the data in blocks until then, since a buffer that grows leaves several times its size to the
// garbage collector.
func readBlocks(r io.Reader) ([]byte, error) {
	var blocks [][]byte
	for block := make([]byte, 0, readBufferBytes); ; {
		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		if err != nil && len(blocks) == 0 {
			return block, nil
		}
		if err != nil {
			return slices.Concat(append(blocks, block)...), nil
		}
		if len(block) == cap(block) {
			blocks = append(blocks, block)
			block = make([]byte, 0, bodyBlockBytes)
		}
	}
}

func (a *upstreamResponse) release(p *Pool) {
	if !a.detach() || !a.delimited {
		a.conn.discard()
		return
	}
	p.put(a.conn, a.header)
}

// isEventStream reports whether the body consists of server-sent events.
func (a *upstreamResponse) isEventStream() bool {
	return strings.HasPrefix(strings.ToLower(a.header.Get("Content-Type")), "text/event-stream")
}

// readEvent returns the next complete event and its id, or 0 if it has none.
func readEvent(r *bufio.Reader) ([]byte, uint64, error) {
	var event []byte
	var id uint64
	hasText := false
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		hasText = hasText || len(bytes.TrimSpace(line)) > 0
		if len(event) > maxEventBytes {
			return nil, 0, errResponseTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && hasText {
				err = io.ErrUnexpectedEOF
			}
			return nil, 0, fmt.Errorf("read event: %w", err)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && hasText {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				id = n
			}
		}
	}
}

// notSent reports whether an error means that no byte of the request was written.
func notSent(err error) bool { return errors.Is(err, errDial) || errors.Is(err, ErrWithheld) }

// dialFailed reports whether connecting failed, which is unusual for a running server.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

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
	"strconv"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// maxAnswer bounds an answer that is kept whole before it is passed on.
	maxAnswer = 8 << 20
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// maxStale bounds the answers of earlier requests that are skipped on a connection.
	maxStale = 3
	// sendTimeout bounds the write of a request to a server that does not read.
	sendTimeout = 2 * time.Second
)

var (
	errStale = errors.New("connection returned answers of other requests only")
	errBig   = errors.New("answer is over the limit")
)

// answer is a replica's answer, of which the body may still be unread.
type answer struct {
	status int
	header http.Header
	head   teaselstream.AnswerHead
	body   io.ReadCloser
	conn   *upstream
	// delimited says that the framing of the body states its end.
	delimited bool
	// detach parts the connection from the context of its request; it returns false if that has ended and closed it.
	detach func() bool
}

// send writes a request to a server and reads the head of its answer. The connection closes when ctx ends.
// An error wraps errDial if nothing was sent.
func (h *Handler) send(ctx context.Context, address string, fresh bool, m *message, id teaselstream.AttemptID) (*answer, error) {
	u, err := h.pool.get(ctx, address, fresh)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, u.discard)
	a, err := h.exchange(u, m, id)
	if err != nil {
		stop()
		u.discard()
		return nil, err
	}
	a.detach = stop
	return a, nil
}

func (h *Handler) exchange(u *upstream, m *message, id teaselstream.AttemptID) (*answer, error) {
	if err := u.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return nil, fmt.Errorf("set write deadline: %w", err)
	}
	written := make(chan error, 1)
	if len(m.body) <= smallBody {
		written <- m.write(u)
	} else {
		// A server may answer before it has read a long body.
		go func() { written <- m.write(u) }()
	}
	for range maxStale {
		p, err := readAnswer(u.reader, m.method)
		if err != nil {
			return nil, err
		}
		a := &answer{status: p.StatusCode, header: p.Header, body: p.Body, conn: u, head: h.Dialect.Answer(p.StatusCode, p.Header)}
		a.delimited = p.ContentLength >= 0 || len(p.TransferEncoding) > 0
		if a.head.Attempt != "" && a.head.Attempt != id {
			if _, err := io.Copy(io.Discard, io.LimitReader(p.Body, maxAnswer)); err != nil || !a.delimited {
				return nil, errors.Join(errStale, err)
			}
			continue
		}
		select {
		case err := <-written:
			if err != nil {
				p.Header.Set("Connection", "close")
			}
		default:
			// The rest of the body may not follow a next request on this connection.
			p.Header.Set("Connection", "close")
		}
		return a, nil
	}
	return nil, errStale
}

// smallBody fits the socket's buffers, so that writing it does not wait for the server.
const smallBody = 16 << 10

// readAnswer reads the head of an answer and passes over interim ones.
func readAnswer(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		p, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if p.StatusCode/100 != 1 {
			return p, nil
		}
	}
}

// whole reads the rest of the body and gives the connection back.
func (a *answer) whole(p *Pool) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errBig
	}
	if err != nil {
		a.conn.discard()
		return nil, fmt.Errorf("read body: %w", err)
	}
	a.release(p)
	return body, nil
}

func (a *answer) release(p *Pool) {
	if !a.detach() || !a.delimited {
		a.conn.discard()
		return
	}
	p.put(a.conn, a.header)
}

// isEvents reports whether the body is a series of events.
func (a *answer) isEvents() bool {
	return strings.HasPrefix(strings.ToLower(a.header.Get("Content-Type")), "text/event-stream")
}

// readEvent returns the next whole event with its number, which is 0 if it has none.
func readEvent(r *bufio.Reader) ([]byte, uint64, error) {
	var event []byte
	var id uint64
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEvent {
			return nil, 0, errBig
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, 0, fmt.Errorf("read event: %w", err)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(bytes.TrimSpace(event)) > 0 {
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
func notSent(err error) bool { return errors.Is(err, errDial) }

// refusedConnection reports whether the server's address refuses connections, which a server that runs does not do.
func refusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

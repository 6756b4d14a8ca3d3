package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/sock"
)

// fastEngine is a simulated engine with minimal cost per token.
//
// A prompt that parses as a duration sets the time between tokens; with any other prompt there is no wait.
type fastEngine struct {
	address  string
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func startFastEngine() (*fastEngine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e := &fastEngine{address: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}}
	go e.accept()
	return e, nil
}

func (e *fastEngine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go func() {
			e.serve(c)
			sock.Discard(c)
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		}()
	}
}

func (e *fastEngine) close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		// The connection's goroutine may have closed it already.
		if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("close engine: %w", err)
		}
	}
	return e.listener.Close()
}

func (e *fastEngine) serve(c net.Conn) {
	r := bufio.NewReaderSize(c, 1024)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if q.Method != http.MethodPost || q.URL.Path != "/v1/streams" {
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
				return
			}
			continue
		}
		var s teaselstream.StreamRequest
		if err := json.NewDecoder(q.Body).Decode(&s); err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if err := writeStream(c, s); err != nil {
			return
		}
	}
}

const engineHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func writeStream(c net.Conn, s teaselstream.StreamRequest) error {
	period, _ := time.ParseDuration(s.Prompt)
	head := fmt.Sprintf(`event: token`+"\n"+`data: {"Request":%q,"Attempt":%d,"Sequence":`, s.Request, s.Attempt)
	receipts, err := json.Marshal(receiptsOf(s.Chain))
	if err != nil {
		return fmt.Errorf("encode receipts: %w", err)
	}
	tail := `,"Text":" token","Receipts":` + string(receipts) + "}\n\n"
	var b, event []byte
	b = append(b, engineHeader...)
	for i := range s.MaxTokens {
		event = append(event[:0], head...)
		event = strconv.AppendInt(event, int64(i+1), 10)
		event = append(event, `,"Index":`...)
		event = strconv.AppendInt(event, int64(i), 10)
		event = append(event, tail...)
		b = appendChunk(b, event)
		if period > 0 || len(b) > 2048 {
			if _, err := c.Write(b); err != nil {
				return fmt.Errorf("write token: %w", err)
			}
			b = b[:0]
		}
		if period > 0 && i+1 < s.MaxTokens {
			time.Sleep(period)
		}
	}
	done, err := json.Marshal(teaselstream.DoneEvent{
		Request: s.Request, Attempt: s.Attempt, Sequence: teaselstream.Sequence(s.MaxTokens + 1), Reason: "stop", Tokens: s.MaxTokens,
	})
	if err != nil {
		return fmt.Errorf("encode done event: %w", err)
	}
	b = appendChunk(b, append(append([]byte("event: done\ndata: "), done...), "\n\n"...))
	if _, err := c.Write(append(b, "0\r\n\r\n"...)); err != nil {
		return fmt.Errorf("write done event: %w", err)
	}
	return nil
}

func appendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

func receiptsOf(chain []teaselstream.Hop) []teaselstream.Receipt {
	var out []teaselstream.Receipt
	for _, h := range chain {
		out = append(out, teaselstream.Receipt{Server: h.Server, From: h.From, To: h.To})
	}
	return out
}
